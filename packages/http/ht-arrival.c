#include "http/ht-arrival.h"

/* The loop reads its clock in whole milliseconds. */
#define CLOCK_STEP (1 * GB_MSEC)

/* A poll that takes this much longer than asked was suspended. */
#define OVERSLEPT (5 * GB_MSEC)

void ht_arrivals_poll_begins(struct ht_arrivals *arrivals, gb_time now,
			     gb_time timeout)
{
	arrivals->poll_began = now;
	arrivals->poll_timeout = timeout;
}

void ht_arrivals_poll_ended(struct ht_arrivals *arrivals, gb_time polled)
{
	arrivals->polled = polled;
}

/* A poll without a timeout has nothing to compare with. */
static bool has_overslept(const struct ht_arrivals *arrivals, gb_time slept)
{
	return arrivals->poll_timeout != GB_NEVER &&
	       slept > arrivals->poll_timeout + OVERSLEPT;
}

gb_time ht_arrivals_earliest(const struct ht_arrivals *arrivals, gb_time polled)
{
	gb_time slept = polled - arrivals->poll_began;

	if (has_overslept(arrivals, slept))
		return arrivals->poll_began;
	/* The loop was idle, and woke up for what arrived. */
	if (slept > CLOCK_STEP)
		return polled;
	return arrivals->polled ? MIN(arrivals->polled, polled) : polled;
}
