#include "upstream/up.h"

#include <glib.h>

#define BREAKER_FAILURES 3
#define BREAKER_PAUSE_MIN (100 * GB_MSEC)
#define BREAKER_PAUSE_MAX (5 * GB_SEC)

/* Weight of one sample in the mean service time. */
#define MEAN_WEIGHT (1.0 / 16)

/*
 * A lost call tells of a restart, so only an upstream without one can start
 * again unnoticed; a new process needs longer than this.
 */
#define DOUBT_AFTER (50 * GB_MSEC)

/* Bounds the growth of the mean by errors. */
#define MEAN_MAX (double)GB_SEC

static uint32_t cold_slots(const struct up_upstream *up);
static uint32_t full_limit(const struct up_upstream *up);
static gb_time step_time(const struct up_upstream *up);
static gb_time ramp_end(const struct up_upstream *up);
static void ramp(struct up_upstream *up, gb_time now, uint64_t instance);
static void shed(struct up_upstream *up, gb_time now);
static void fail(struct up_upstream *up, gb_time now);
static void add_time(struct up_upstream *up, double taken);

/* A cold limit of 0 would keep the upstream cold for ever. */
static uint32_t cold_slots(const struct up_upstream *up)
{
	return MAX(up->limits.cold_slots, 1);
}

static uint32_t full_limit(const struct up_upstream *up)
{
	return MAX(up->limits.slots + up->limits.queue, cold_slots(up));
}

/* Time from one step of the ramp to the next. */
static gb_time step_time(const struct up_upstream *up)
{
	uint32_t cold = cold_slots(up);

	if (up->limits.slots <= cold)
		return up->limits.ramp;
	return up->limits.ramp / (up->limits.slots - cold);
}

/* The time at which the current step ends at the earliest. */
static gb_time ramp_end(const struct up_upstream *up)
{
	return up->ramp_start + step_time(up) * (up->step - cold_slots(up) + 1);
}

void up_init(struct up_upstream *up, const struct cfg_limits *limits)
{
	*up = (struct up_upstream){ .limits = *limits };
	up_set_cold(up);
}

void up_set_limits(struct up_upstream *up, const struct cfg_limits *limits)
{
	up->limits = *limits;
	up->step = CLAMP(up->step, cold_slots(up), full_limit(up));
}

void up_set_cold(struct up_upstream *up)
{
	up->state = UP_COLD;
	up->step = cold_slots(up);
	up->successes = 0;
}

void up_set_idle(struct up_upstream *up)
{
	up_set_cold(up);
	up->known_warm = 0;
}

uint32_t up_limit(const struct up_upstream *up, gb_time now)
{
	uint32_t limit = up->step;

	if (up->closed || now < up->open_until)
		return 0;
	if (up->open_until) /* one trial decides on the breaker */
		return 1;
	if (up->state == UP_WARM)
		limit = full_limit(up);
	if (up->doubted)
		limit = MIN(limit, cold_slots(up));
	/* Each request in flight holds a connection. */
	if (up->limits.connections)
		limit = MIN(limit, up->limits.connections);
	return limit;
}

bool up_can_send(const struct up_upstream *up, gb_time now)
{
	return !up->exclusive && up->in_flight < up_limit(up, now);
}

void up_sent(struct up_upstream *up, gb_time now)
{
	if (!up->in_flight && now - up->answered >= DOUBT_AFTER)
		up->doubted = true;
	up->in_flight++;
}

/* Notes a success: moves at most one step up the ramp. */
static void ramp(struct up_upstream *up, gb_time now, uint64_t instance)
{
	if (up->state == UP_WARM)
		return;
	if (instance && instance == up->known_warm) {
		up->state = UP_WARM;
		return;
	}
	if (up->state == UP_COLD) {
		up->state = UP_RAMPING;
		up->ramp_start = now;
		up->step = cold_slots(up);
		up->successes = 0;
		return;
	}
	up->successes++;
	if (now < ramp_end(up))
		return;
	up->successes = 0;
	if (up->step >= up->limits.slots) {
		up->state = UP_WARM;
		up->known_warm = up->instance;
		return;
	}
	up->step++;
	/* After an idle time the next step still takes its own time. */
	up->ramp_start = now - step_time(up) * (up->step - cold_slots(up));
	/* The ramp ends at the slots; one success there adds the queue. */
	if (up->step >= up->limits.slots)
		up->ramp_start -= step_time(up);
}

/* Lowers the limit by one; the ramp goes on from there. */
static void shed(struct up_upstream *up, gb_time now)
{
	uint32_t limit = up->state == UP_WARM ? full_limit(up) : up->step;

	if (up->state == UP_COLD)
		return;
	up->known_warm = 0;
	up->state = UP_RAMPING;
	up->step = MAX(limit - 1, cold_slots(up));
	up->successes = 0;
	up->ramp_start = now - step_time(up) * (up->step - cold_slots(up));
}

/* Counts a failure; opens the circuit breaker after several in a row. */
static void fail(struct up_upstream *up, gb_time now)
{
	up->failures++;
	if (up->failures < BREAKER_FAILURES || now < up->open_until)
		return;
	up->pause = CLAMP(up->pause * 2, BREAKER_PAUSE_MIN, BREAKER_PAUSE_MAX);
	up->open_until = now + up->pause;
}

static void add_time(struct up_upstream *up, double taken)
{
	taken = MIN(taken, MEAN_MAX);
	if (up->time_mean <= 0)
		up->time_mean = taken;
	else
		up->time_mean += (taken - up->time_mean) * MEAN_WEIGHT;
}

bool up_done(struct up_upstream *up, gb_time now, enum up_outcome outcome,
	     uint64_t instance, gb_time taken)
{
	bool was_cold = up->state == UP_COLD;
	bool changed = instance && up->instance && instance != up->instance;

	if (up->in_flight)
		up->in_flight--;
	if (instance)
		up->instance = instance;
	if (instance || outcome == UP_OK || outcome == UP_REFUSED) {
		/* A VM that was paused handles an answer late. */
		up->answered = now - taken;
		up->doubted = false;
	}
	if (changed || outcome == UP_RESET)
		up_set_cold(up);
	switch (outcome) {
	case UP_OK:
		up->failures = 0;
		up->open_until = 0;
		up->pause = 0;
		add_time(up, taken);
		ramp(up, now, instance);
		break;
	case UP_REFUSED:
		/* It answered, so the breaker need not stay open. */
		up->failures = 0;
		up->open_until = 0;
		shed(up, now);
		break;
	case UP_TIMEOUT:
		add_time(up, taken);
		fail(up, now);
		break;
	case UP_NOT_SENT:
		/* It may have refused the connection: it starts again. */
		up->doubted = true;
		fail(up, now);
		break;
	case UP_RESET:
		fail(up, now);
		break;
	case UP_ERROR:
		/* Counted as slow: failing fast must not attract work. */
		add_time(up, MAX(taken, up->time_mean * 2));
		up->failures = 0;
		up->open_until = 0;
		break;
	case UP_CANCELLED:
		/* The time so far is a lower bound of the whole. */
		if (taken > up->time_mean)
			add_time(up, taken);
		break;
	}
	return !was_cold && up->state == UP_COLD;
}

double up_score(const struct up_upstream *up, gb_time now)
{
	uint32_t slots = MIN(up->limits.slots, up_limit(up, now));
	double mean = MAX(up->time_mean, 1.0);
	double load = MIN(up->reported_load, 1000);

	/* Reported load adds less than any difference in flight. */
	return mean * (1.0 + (double)up->in_flight / MAX(slots, 1)) +
	       load * 1e-6;
}
