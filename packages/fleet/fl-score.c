#include "fleet/fl-internal.h"

#include <math.h>

/* Weights of the newest call in the moving averages. */
#define SLOW_WEIGHT 0.3
#define FAILURE_WEIGHT 0.2
#define WORK_WEIGHT 0.05

/* Times the usual time that a failed call costs, with the call that repeats it.
 */
#define FAILURE_COST 4

/* A single sample counts as this much at most. */
#define SLOW_SAMPLE_MAX 20.0

/* An upstream that is not tried seems half as bad after this time. */
#define HALF_LIFE (2 * GB_SEC)

/* Part of the expected time by which two upstreams count as equal. */
#define JITTER 0.1

#define AVOID_MIN (30 * GB_MSEC)
#define AVOID_MAX (600 * GB_MSEC)
#define DOWN_MIN (60 * GB_MSEC)
#define DOWN_MAX (600 * GB_MSEC)
#define DOUBLINGS_MAX 5

/* Calls in a row without an answer that make an upstream silent. */
#define ABANDONED_MAX 3

/*
 * An upstream that is only slow is heard of within this time, since calls to
 * it that are needed are not cancelled.
 */
#define SILENCE_MAX (1 * GB_SEC)

/* What an upstream reported of other VMs' calls holds for about this time. */
#define REPORT_AGE_MAX (60 * GB_MSEC)

/* The part of what was learned at a time that still counts. */
static double faded(gb_time learned, gb_time now)
{
	return exp2(-(double)MAX(now - learned, 0) / HALF_LIFE);
}

double fl_slowness(const struct fl_upstream *upstream, gb_time now)
{
	return 1 + (upstream->slow - 1) * faded(upstream->slow_at, now);
}

static double failures(const struct fl_upstream *upstream, gb_time now)
{
	return upstream->failures * faded(upstream->failures_at, now);
}

static void add_slow_sample(struct fl_upstream *upstream, gb_time now,
			    gb_time elapsed, gb_time usual)
{
	double sample = MIN((double)elapsed / MAX(usual, 1), SLOW_SAMPLE_MAX);
	double slow = fl_slowness(upstream, now);

	upstream->slow = slow + SLOW_WEIGHT * (sample - slow);
	upstream->slow_at = now;
}

static void add_failure(struct fl_upstream *upstream, gb_time now,
			double failed)
{
	double before = failures(upstream, now);

	upstream->failures = before + FAILURE_WEIGHT * (failed - before);
	upstream->failures_at = now;
}

static gb_time doubled(gb_time first, uint32_t times, gb_time most)
{
	return MIN(first << MIN(times, DOUBLINGS_MAX), most);
}

void fl_answered(struct fl_upstream *upstream, gb_time now, gb_time elapsed,
		 gb_time usual)
{
	upstream->in_flight--;
	upstream->abandoned = 0;
	upstream->unreachable = 0;
	upstream->avoid_until = 0;
	upstream->down_until = 0;
	add_failure(upstream, now, 0);
	add_slow_sample(upstream, now, elapsed, usual);
}

void fl_refused(struct fl_upstream *upstream, gb_time now)
{
	upstream->in_flight--;
	upstream->silent_since = now;
	upstream->unreachable = 0;
	add_failure(upstream, now, 1);
}

void fl_failed(struct fl_upstream *upstream, gb_time now)
{
	upstream->in_flight--;
	add_failure(upstream, now, 1);
}

void fl_unreachable(struct fl_upstream *upstream, gb_time now)
{
	upstream->in_flight--;
	upstream->down_until =
		now + doubled(DOWN_MIN, upstream->unreachable++, DOWN_MAX);
}

/* Time for which an upstream is avoided after one more call was late. */
static gb_time avoid_time(const struct fl_upstream *upstream, gb_time usual)
{
	return doubled(MAX(2 * usual, AVOID_MIN), upstream->abandoned,
		       AVOID_MAX);
}

void fl_overdue(struct fl_upstream *upstream, gb_time now, gb_time usual)
{
	gb_time until = now + avoid_time(upstream, usual);

	upstream->avoid_until = MAX(upstream->avoid_until, until);
}

bool fl_is_silent(const struct fl_upstream *upstream, gb_time now)
{
	return upstream->abandoned >= ABANDONED_MAX &&
	       upstream->avoid_until > now &&
	       now - upstream->silent_since > SILENCE_MAX;
}

void fl_abandoned(struct fl_upstream *upstream, gb_time now, gb_time elapsed,
		  gb_time usual)
{
	upstream->in_flight--;
	/* One that had less than the usual time says nothing. */
	if (elapsed < usual + usual / 2)
		return;
	add_slow_sample(upstream, now, elapsed, usual);
	if (!upstream->abandoned)
		upstream->silent_since = now - elapsed;
	upstream->avoid_until = now + avoid_time(upstream, usual);
	upstream->abandoned++;
}

void fl_misdirected(struct fl_fleet *fleet, struct fl_upstream *upstream,
		    gb_time now)
{
	upstream->in_flight--;
	upstream->leaving = true;
	upstream->left_at = now - fleet->linger;
}

void fl_reported(struct fl_upstream *upstream, gb_time now, uint32_t running,
		 uint32_t waiting)
{
	double others = (double)running + waiting - upstream->in_flight;

	upstream->others = MAX(others, 0);
	upstream->others_at = now;
}

static double load(const struct fl_upstream *upstream, gb_time now)
{
	double age = (double)(now - upstream->others_at) / REPORT_AGE_MAX;
	double others = upstream->others * MAX(1 - age, 0);

	return upstream->in_flight + others;
}

double fl_queued(const struct fl_upstream *upstream, gb_time now)
{
	return MAX((load(upstream, now) + 1) / upstream->slots - 1, 0);
}

gb_time fl_work(const struct fl_service *service, gb_time usual)
{
	return service->work > 0 ? service->work : usual;
}

gb_time fl_wait(const struct fl_upstream *upstream, gb_time usual, gb_time now)
{
	return fl_queued(upstream, now) * fl_work(upstream->service, usual) *
	       fl_slowness(upstream, now);
}

void fl_worked(const struct fl_upstream *upstream, gb_time now, gb_time elapsed,
	       double queued)
{
	struct fl_service *service = upstream->service;
	double sample = elapsed / (1 + queued) / fl_slowness(upstream, now);

	if (service->work <= 0)
		service->work = sample;
	else
		service->work += WORK_WEIGHT * (sample - service->work);
}

/* Expected time until an answer, in microseconds. */
static double cost(const struct fl_fleet *fleet,
		   const struct fl_upstream *upstream, gb_time usual,
		   gb_time now)
{
	double busy = load(upstream, now) / upstream->slots;
	double time = usual * fl_slowness(upstream, now);
	double sum = time * (1 + 0.25 * busy) + fl_wait(upstream, usual, now);

	if (!gb_str_eq(upstream->dc, fleet->settings.dc))
		sum += fleet->settings.hop;
	sum *= 1 + FAILURE_COST * failures(upstream, now);
	/* Equal upstreams take turns. */
	return sum * (1 + JITTER * gb_rng_unit(fleet->rng));
}

static bool is_among(const struct fl_upstream *upstream,
		     const struct fl_need *need)
{
	for (size_t i = 0; i < need->except_len; i++)
		if (need->except[i] == upstream)
			return true;
	return false;
}

/* The ranks in which upstreams are used; a later one only for want of others.
 */
enum rank { RANK_GOOD, RANK_AVOIDED, RANK_LEAVING, RANK_NONE };

static enum rank rank(const struct fl_fleet *fleet,
		      struct fl_upstream *upstream, gb_time now, gb_time *wait)
{
	if (fl_is_excluded(fleet, upstream->dc))
		return RANK_NONE;
	if (upstream->down_until > now) {
		*wait = MIN(*wait, upstream->down_until - now);
		return RANK_NONE;
	}
	if (upstream->leaving)
		return now - upstream->left_at < fleet->linger ? RANK_LEAVING
							       : RANK_NONE;
	if (upstream->cold_until > now && !fl_cold_room(fleet, upstream, now)) {
		*wait = MIN(*wait, AVOID_MIN);
		return RANK_NONE;
	}
	if (fl_is_silent(upstream, now)) {
		*wait = MIN(*wait, upstream->avoid_until - now);
		return RANK_NONE;
	}
	return upstream->avoid_until > now ? RANK_AVOIDED : RANK_GOOD;
}

static bool is_spare(const struct fl_upstream *upstream,
		     const struct fl_need *need, enum rank at, gb_time now)
{
	return at == RANK_GOOD &&
	       !(need->free_slot && fl_queued(upstream, now) > 0);
}

struct fl_upstream *fl_pick(struct fl_fleet *fleet, struct fl_service *service,
			    const struct fl_need *need, gb_time now,
			    gb_time *wait)
{
	enum rank best_rank = need->spare ? RANK_AVOIDED : RANK_NONE;
	struct fl_upstream *best = NULL;
	double best_cost = 0;

	*wait = GB_NEVER;
	for (guint i = 0; i < service->upstreams->len; i++) {
		struct fl_upstream *upstream = service->upstreams->pdata[i];
		enum rank at;
		double sum;

		if (is_among(upstream, need))
			continue;
		at = rank(fleet, upstream, now, wait);
		if (at > best_rank || at == RANK_NONE ||
		    (need->spare && !is_spare(upstream, need, at, now)))
			continue;
		sum = cost(fleet, upstream, need->usual, now);
		if (best && at == best_rank && sum >= best_cost)
			continue;
		best = upstream;
		best_rank = at;
		best_cost = sum;
	}
	return best;
}

void fl_sent(struct fl_fleet *fleet, struct fl_upstream *upstream, gb_time now)
{
	upstream->in_flight++;
	if (upstream->cold_until > now)
		fl_cold_take(fleet, upstream, now);
}
