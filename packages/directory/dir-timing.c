#include "directory/dir-timing.h"

#include <glib.h>

/* Largest values; a healthy store answers sooner. */
#define WATCH_MARGIN_MAX (800 * GB_MSEC)
#define ANSWER_TIMEOUT_FIRST_MAX (600 * GB_MSEC)
#define ANSWER_TIMEOUT_MAX (1200 * GB_MSEC)
#define RETRY_INTERVAL_MAX (800 * GB_MSEC)

/* The same for short bounds: a source that needs longer counts as silent. */
#define WATCH_MARGIN_SHARE 0.3 /* of the shorter bound */
#define ANSWER_TIMEOUT_FIRST_SHARE 0.2
#define ANSWER_TIMEOUT_SHARE 0.4

/* Shorter bounds are taken as this, so that a sound source can answer. */
#define BOUND_MIN (1 * GB_SEC)

/* A watch that has returned is sent again after its pause, and takes a call. */
#define ARRIVAL_TIME (2 * DIR_WATCH_PAUSE)

/*
 * Time that one failed attempt costs: its timeout, and the back-off before and
 * after another VM, which refuses at once if it is not up to date itself.
 */
static gb_time failed_attempt_time(const struct dir_timing *timing)
{
	return timing->answer_timeout + 3 * DIR_BACKOFF_MIN;
}

/* What remains of a bound for a wait after which silence is noticed so late. */
static gb_time time_left(const struct dir_timing *timing, gb_time bound,
			 gb_time notice_time)
{
	return bound - DIR_WATCH_PAUSE - notice_time -
	       failed_attempt_time(timing) - DIR_ANSWER_TIME;
}

static gb_time share_of(gb_time bound, double share, gb_time max)
{
	return MIN((gb_time)(bound * share), max);
}

/*
 * During an outage a call to the store without an answer, an attempt at another
 * VM, and the same again must fit into the bound, then an answer.
 */
static gb_time retry_interval(const struct dir_timing *timing, gb_time bound)
{
	gb_time lost = timing->answer_timeout_max + DIR_BACKOFF_MIN;

	return (bound - 2 * lost - DIR_ANSWER_TIME) / 2;
}

/* Returns the time, or its least value if the bounds leave less. */
static gb_time at_least(struct dir_timing *timing, gb_time time, gb_time least)
{
	if (time >= least)
		return time;
	timing->is_tight = true;
	return least;
}

void dir_timing_init(struct dir_timing *timing, const struct dir_bounds *bounds)
{
	gb_time change = MAX(bounds->change, BOUND_MIN);
	/* A change that follows the silence has its own bound in any case. */
	gb_time silence = MAX(change, bounds->silence);
	gb_time shorter = MAX(MIN(change, bounds->silence), BOUND_MIN);
	gb_time all_silent, one_silent, relay;

	*timing = (struct dir_timing){
		.watch_margin =
			share_of(shorter, WATCH_MARGIN_SHARE, WATCH_MARGIN_MAX),
		.answer_timeout = share_of(shorter, ANSWER_TIMEOUT_FIRST_SHARE,
					   ANSWER_TIMEOUT_FIRST_MAX),
		.answer_timeout_max = share_of(shorter, ANSWER_TIMEOUT_SHARE,
					       ANSWER_TIMEOUT_MAX),
		.arrival_time = ARRIVAL_TIME,
		.is_tight = bounds->change < BOUND_MIN,
	};
	timing->retry_interval_max =
		MIN(at_least(timing, retry_interval(timing, silence),
			     DIR_BACKOFF_MIN),
		    RETRY_INTERVAL_MAX);
	relay = timing->retry_interval_max + DIR_ANSWER_TIME;
	all_silent = time_left(timing, silence, timing->watch_margin);
	one_silent = time_left(timing, change, timing->arrival_time);
	timing->watch_wait =
		at_least(timing, MIN(all_silent, one_silent), DIR_WAIT_MIN);
	/* The audit covers the store only: a relayed watch has its timeout. */
	one_silent = MIN(one_silent - DIR_ANSWER_TIME,
			 time_left(timing, change, timing->watch_margin));
	timing->relayed_wait = at_least(
		timing, MIN(all_silent - relay, one_silent), DIR_WAIT_MIN);
}
