#ifndef HT_ARRIVAL_H
#define HT_ARRIVAL_H

/*
 * NAME
 *	ht-arrival - when bytes that are read may have arrived
 *
 * DESCRIPTION
 *	A loop reads what the kernel has received since it last polled. While a
 *	VM gets no processor time, or has much else to do, a request waits
 *there, and the time that its caller gave runs on. The kernel does not tell how
 *	long; the times of the loop's polls give a bound.
 */

#include "base/gb.h"

#include <glib.h>

struct ht_arrivals {
	gb_time poll_began;
	gb_time poll_timeout; /* GB_NEVER: none */
	gb_time polled; /* when the previous poll returned */
};

/* The loop is about to wait for events, for at most the timeout. */
void ht_arrivals_poll_begins(struct ht_arrivals *arrivals, gb_time now,
			     gb_time timeout);

/* The poll has returned, and its events were handled. */
void ht_arrivals_poll_ended(struct ht_arrivals *arrivals, gb_time polled);

/*
 * Returns the earliest time at which what is read after the current poll, which
 * returned at that time, may have arrived.
 */
gb_time ht_arrivals_earliest(const struct ht_arrivals *arrivals,
			     gb_time polled);

#endif
