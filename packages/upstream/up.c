#include "upstream/up.h"

#include <glib.h>
#include <math.h>

/* Consecutive failures that open the circuit breaker, and its pause. */
#define BREAKER_FAILURES 3
#define BREAKER_PAUSE_MIN (100 * GB_MSEC)
#define BREAKER_PAUSE_MAX (5 * GB_SEC)

/* Weight of one sample in the mean service time, if the last one is recent. */
#define SERVICE_TIME_WEIGHT (1.0 / 16)

/*
 * Without samples the mean service time keeps its weight for the first time,
 * then loses half of it in each of the second, and all of it after the third.
 * An upstream that was slow is tried again by then, however slow it was, and
 * not avoided for ever.
 */
#define SERVICE_TIME_FRESH (1 * GB_SEC)
#define SERVICE_TIME_HALF_LIFE (2 * GB_SEC)
#define SERVICE_TIME_EXPIRY (10 * GB_SEC)

/*
 * Idle time after which the instance must be verified: the restart of an
 * upstream with calls in flight is noticed by their loss, but that of an idle
 * one is not. A new process takes longer than this to start.
 */
#define UNVERIFIED_AFTER (50 * GB_MSEC)

/* Limits how far errors can raise the mean service time. */
#define SERVICE_TIME_MAX (double)GB_SEC

static uint32_t cold_slots(const struct up_upstream *up);
static uint32_t full_limit(const struct up_upstream *up);
static gb_time step_time(const struct up_upstream *up);
static gb_time step_end(const struct up_upstream *up);
static void advance_ramp(struct up_upstream *up, gb_time now,
			 uint64_t instance);
static void lower_limit(struct up_upstream *up, gb_time now);
static void add_failure(struct up_upstream *up, gb_time now);
static double service_time_weight(const struct up_upstream *up, gb_time now);
static void add_service_time(struct up_upstream *up, gb_time now,
			     double duration);

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

/* Returns the earliest end of the current step of the ramp. */
static gb_time step_end(const struct up_upstream *up)
{
	return up->ramp_start +
	       step_time(up) * (up->ramp_slots - cold_slots(up) + 1);
}

void up_init(struct up_upstream *up, const struct cfg_limits *limits)
{
	*up = (struct up_upstream){ .limits = *limits };
	up_set_cold(up);
}

void up_set_limits(struct up_upstream *up, const struct cfg_limits *limits)
{
	up->limits = *limits;
	up->ramp_slots = CLAMP(up->ramp_slots, cold_slots(up), full_limit(up));
}

void up_set_cold(struct up_upstream *up)
{
	up->state = UP_COLD;
	up->ramp_slots = cold_slots(up);
	up->successes = 0;
}

void up_reset(struct up_upstream *up)
{
	up_set_cold(up);
	up->warm_instance = 0;
}

uint32_t up_limit(const struct up_upstream *up, gb_time now)
{
	uint32_t limit = up->ramp_slots;

	if (up->disabled || now < up->breaker_open_until)
		return 0;
	if (up->breaker_open_until) /* half open: one trial request */
		return 1;
	if (up->state == UP_WARM)
		limit = full_limit(up);
	if (up->instance_unverified)
		limit = MIN(limit, cold_slots(up));
	/* Each request in flight holds a connection. */
	if (up->limits.connections)
		limit = MIN(limit, up->limits.connections);
	return limit;
}

bool up_can_send(const struct up_upstream *up, gb_time now)
{
	return !up->isolated && up->in_flight < up_limit(up, now);
}

void up_attempt_sent(struct up_upstream *up, gb_time now)
{
	if (!up->in_flight &&
	    now - up->last_answered_sent_at >= UNVERIFIED_AFTER)
		up->instance_unverified = true;
	up->in_flight++;
}

/* Records a success: moves at most one step up the ramp. */
static void advance_ramp(struct up_upstream *up, gb_time now, uint64_t instance)
{
	if (up->state == UP_WARM)
		return;
	if (instance && instance == up->warm_instance) {
		up->state = UP_WARM;
		return;
	}
	if (up->state == UP_COLD) {
		up->state = UP_RAMPING;
		up->ramp_start = now;
		up->ramp_slots = cold_slots(up);
		up->successes = 0;
		return;
	}
	up->successes++;
	if (now < step_end(up))
		return;
	up->successes = 0;
	if (up->ramp_slots >= up->limits.slots) {
		up->state = UP_WARM;
		up->warm_instance = up->instance;
		return;
	}
	up->ramp_slots++;
	/* The next step takes its full time, also after an idle time. */
	up->ramp_start =
		now - step_time(up) * (up->ramp_slots - cold_slots(up));
	/* The ramp ends at the slots; one success there adds the queue. */
	if (up->ramp_slots >= up->limits.slots)
		up->ramp_start -= step_time(up);
}

/* Lowers the limit by one after a refusal; the ramp continues from there. */
static void lower_limit(struct up_upstream *up, gb_time now)
{
	uint32_t limit = up->state == UP_WARM ? full_limit(up) : up->ramp_slots;

	if (up->state == UP_COLD)
		return;
	up->warm_instance = 0;
	up->state = UP_RAMPING;
	up->ramp_slots = MAX(limit - 1, cold_slots(up));
	up->successes = 0;
	up->ramp_start =
		now - step_time(up) * (up->ramp_slots - cold_slots(up));
}

/* Counts a failure; opens the circuit breaker after several in a row. */
static void add_failure(struct up_upstream *up, gb_time now)
{
	up->failures++;
	if (up->failures < BREAKER_FAILURES || now < up->breaker_open_until)
		return;
	up->breaker_pause = CLAMP(up->breaker_pause * 2, BREAKER_PAUSE_MIN,
				  BREAKER_PAUSE_MAX);
	up->breaker_open_until = now + up->breaker_pause;
}

/* The weight of the mean service time, from 1 down to 0. */
static double service_time_weight(const struct up_upstream *up, gb_time now)
{
	gb_time age = now - up->service_time_at;

	if (age >= SERVICE_TIME_EXPIRY)
		return 0;
	age = MAX(age - SERVICE_TIME_FRESH, 0);
	return exp2(-(double)age / SERVICE_TIME_HALF_LIFE);
}

static void add_service_time(struct up_upstream *up, gb_time now,
			     double duration)
{
	double weight =
		1 - (1 - SERVICE_TIME_WEIGHT) * service_time_weight(up, now);

	duration = MIN(duration, SERVICE_TIME_MAX);
	if (up->service_time_mean <= 0)
		weight = 1;
	up->service_time_mean += (duration - up->service_time_mean) * weight;
	up->service_time_at = now;
}

bool up_attempt_done(struct up_upstream *up, gb_time now,
		     enum up_outcome outcome, uint64_t instance,
		     gb_time duration)
{
	bool was_cold = up->state == UP_COLD;
	bool changed = instance && up->instance && instance != up->instance;

	if (up->in_flight)
		up->in_flight--;
	if (instance)
		up->instance = instance;
	if (instance || outcome == UP_OK || outcome == UP_REFUSED) {
		/*
		 * A VM that was paused handles an answer late, so the idle
		 * time counts from the sending of the request.
		 */
		up->last_answered_sent_at = now - duration;
		up->instance_unverified = false;
	}
	if (changed || outcome == UP_RESET)
		up_set_cold(up);
	if (outcome != UP_CANCELLED)
		up->unreachable = outcome == UP_RESET || outcome == UP_NOT_SENT;
	switch (outcome) {
	case UP_OK:
		up->failures = 0;
		up->breaker_open_until = 0;
		up->breaker_pause = 0;
		add_service_time(up, now, duration);
		advance_ramp(up, now, instance);
		break;
	case UP_REFUSED:
		/* It answered, so the breaker need not stay open. */
		up->failures = 0;
		up->breaker_open_until = 0;
		lower_limit(up, now);
		break;
	case UP_TIMEOUT:
		add_service_time(up, now, duration);
		add_failure(up, now);
		break;
	case UP_NOT_SENT:
		/* A refused connection is a sign of a restart. */
		up->instance_unverified = true;
		add_failure(up, now);
		break;
	case UP_RESET:
		add_failure(up, now);
		break;
	case UP_ERROR:
		/* Fast failures must not attract requests. */
		add_service_time(up, now,
				 MAX(duration, up->service_time_mean * 2));
		up->failures = 0;
		up->breaker_open_until = 0;
		break;
	case UP_CANCELLED:
		/* The time so far is a lower bound of the full time. */
		if (duration > up->service_time_mean)
			add_service_time(up, now, duration);
		break;
	}
	return !was_cold && up->state == UP_COLD;
}

double up_score(const struct up_upstream *up, gb_time now)
{
	uint32_t slots = MIN(up->limits.slots, up_limit(up, now));
	double mean = up->service_time_mean;
	double load = MIN(up->reported_load, 1000);

	/* With a request in flight a new sample is on its way. */
	if (!up->in_flight)
		mean *= service_time_weight(up, now);
	mean = MAX(mean, 1.0);
	/* Reported load weighs less than one request in flight. */
	return mean * (1.0 + (double)up->in_flight / MAX(slots, 1)) +
	       load * 1e-6;
}
