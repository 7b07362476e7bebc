#include "fleet/fl-internal.h"

#include <math.h>

/* Weights of the newest sample in the moving averages. */
#define LATENCY_WEIGHT 0.3
#define FAILURE_WEIGHT 0.2
#define SERVICE_TIME_WEIGHT 0.05

/* Cost of a failed call and its retry, in expected response times. */
#define FAILURE_COST 4

/* Failure rate above which an upstream is avoided if its last call failed. */
#define FAILING_RATE 0.5

/* Bounds the effect of a single slow call on the moving average. */
#define LATENCY_RATIO_MAX 20.0

/* Without new calls, a moving average loses half its weight in this time. */
#define DECAY_HALF_LIFE (2 * GB_SEC)

/* Random part of the cost, so that load spreads over similar upstreams. */
#define COST_JITTER 0.1

/* Bounds of the time for which an upstream is avoided after a late call. */
#define AVOID_MIN (30 * GB_MSEC)
#define AVOID_MAX (600 * GB_MSEC)

/* Bounds of the time without requests after a failed connect. */
#define UNREACHABLE_MIN (60 * GB_MSEC)
#define UNREACHABLE_MAX (600 * GB_MSEC)
#define BACKOFF_DOUBLINGS_MAX 5

/* Consecutive calls without an answer that make an upstream unresponsive. */
#define UNRESPONSIVE_CALLS 3

/*
 * An upstream that is merely slow answers within this time, since calls whose
 * answer is still needed are not cancelled.
 */
#define UNRESPONSIVE_AFTER (1 * GB_SEC)

/* A report of other VMs' calls loses its weight linearly over this time. */
#define LOAD_REPORT_AGE_MAX (60 * GB_MSEC)

/* Returns the weight, 0 to 1, of a moving average last updated at a time. */
static double remaining_weight(gb_time measured_at, gb_time now)
{
	return exp2(-(double)MAX(now - measured_at, 0) / DECAY_HALF_LIFE);
}

double fl_latency_ratio(const struct fl_upstream *upstream, gb_time now)
{
	return 1 + (upstream->latency_ratio - 1) *
			   remaining_weight(upstream->latency_ratio_at, now);
}

static double current_failure_rate(const struct fl_upstream *upstream,
				   gb_time now)
{
	return upstream->failure_rate *
	       remaining_weight(upstream->failure_rate_at, now);
}

/*
 * Only answers have a latency, so on a busy VM, where all answers are late, an
 * upstream that always fails would look faster than the others.
 */
static bool is_failing(const struct fl_upstream *upstream, gb_time now)
{
	return upstream->last_call_failed &&
	       current_failure_rate(upstream, now) > FAILING_RATE;
}

static void add_latency_sample(struct fl_upstream *upstream, gb_time now,
			       gb_time elapsed, gb_time expected_latency)
{
	double sample = MIN((double)elapsed / MAX(expected_latency, 1),
			    LATENCY_RATIO_MAX);
	double ratio = fl_latency_ratio(upstream, now);

	upstream->latency_ratio = ratio + LATENCY_WEIGHT * (sample - ratio);
	upstream->latency_ratio_at = now;
}

static void add_failure_sample(struct fl_upstream *upstream, gb_time now,
			       double failed)
{
	double rate = current_failure_rate(upstream, now);

	upstream->failure_rate = rate + FAILURE_WEIGHT * (failed - rate);
	upstream->failure_rate_at = now;
}

static gb_time backoff(gb_time initial, uint32_t failures, gb_time limit)
{
	return MIN(initial << MIN(failures, BACKOFF_DOUBLINGS_MAX), limit);
}

void fl_call_answered(struct fl_upstream *upstream, gb_time now,
		      gb_time elapsed, gb_time expected_latency)
{
	upstream->in_flight--;
	upstream->abandoned_calls = 0;
	upstream->failed_connects = 0;
	upstream->avoid_until = 0;
	upstream->unreachable_until = 0;
	upstream->last_call_failed = false;
	add_failure_sample(upstream, now, 0);
	add_latency_sample(upstream, now, elapsed, expected_latency);
}

void fl_call_refused(struct fl_upstream *upstream, gb_time now)
{
	upstream->in_flight--;
	upstream->unresponsive_since = now;
	upstream->failed_connects = 0;
	upstream->last_call_failed = false;
	if (!fl_is_paused(upstream, now))
		add_failure_sample(upstream, now, 1);
}

void fl_call_failed(struct fl_upstream *upstream, gb_time now)
{
	upstream->in_flight--;
	upstream->last_call_failed = true;
	add_failure_sample(upstream, now, 1);
}

void fl_call_withdrawn(struct fl_upstream *upstream)
{
	upstream->in_flight--;
}

void fl_call_unreachable(struct fl_upstream *upstream, gb_time now)
{
	upstream->in_flight--;
	upstream->unreachable_until =
		now + backoff(UNREACHABLE_MIN, upstream->failed_connects++,
			      UNREACHABLE_MAX);
}

/* Returns how long to avoid an upstream after one more late call. */
static gb_time avoid_time(const struct fl_upstream *upstream,
			  gb_time expected_latency)
{
	return backoff(MAX(2 * expected_latency, AVOID_MIN),
		       upstream->abandoned_calls, AVOID_MAX);
}

void fl_call_overdue(struct fl_upstream *upstream, gb_time now,
		     gb_time expected_latency)
{
	gb_time until = now + avoid_time(upstream, expected_latency);

	upstream->avoid_until = MAX(upstream->avoid_until, until);
}

bool fl_is_unresponsive(const struct fl_upstream *upstream, gb_time now)
{
	return upstream->abandoned_calls >= UNRESPONSIVE_CALLS &&
	       upstream->avoid_until > now &&
	       now - upstream->unresponsive_since > UNRESPONSIVE_AFTER;
}

void fl_call_abandoned(struct fl_upstream *upstream, gb_time now,
		       gb_time elapsed, gb_time expected_latency)
{
	upstream->in_flight--;
	/* A call that was cut short tells nothing about the upstream. */
	if (elapsed < expected_latency + expected_latency / 2)
		return;
	add_latency_sample(upstream, now, elapsed, expected_latency);
	if (!upstream->abandoned_calls)
		upstream->unresponsive_since = now - elapsed;
	upstream->avoid_until = now + avoid_time(upstream, expected_latency);
	upstream->abandoned_calls++;
}

void fl_call_misdirected(struct fl_fleet *fleet, struct fl_upstream *upstream,
			 gb_time now)
{
	upstream->in_flight--;
	upstream->leaving = true;
	upstream->left_at = now - fleet->last_resort_time;
}

void fl_load_reported(struct fl_upstream *upstream, gb_time now,
		      uint32_t running, uint32_t waiting)
{
	double others = (double)running + waiting - upstream->in_flight;

	upstream->other_calls = MAX(others, 0);
	upstream->other_calls_at = now;
}

static double load(const struct fl_upstream *upstream, gb_time now)
{
	double age =
		(double)(now - upstream->other_calls_at) / LOAD_REPORT_AGE_MAX;
	double others = upstream->other_calls * MAX(1 - age, 0);

	return upstream->in_flight + others;
}

double fl_queue_rounds(const struct fl_upstream *upstream, gb_time now)
{
	return MAX((load(upstream, now) + 1) / upstream->slots - 1, 0);
}

gb_time fl_service_time(const struct fl_service *service,
			gb_time median_latency)
{
	return service->service_time > 0 ? service->service_time
					 : median_latency;
}

gb_time fl_queue_wait(const struct fl_upstream *upstream,
		      gb_time median_latency, gb_time now)
{
	return fl_queue_rounds(upstream, now) *
	       fl_service_time(upstream->service, median_latency) *
	       fl_latency_ratio(upstream, now);
}

void fl_add_service_time(const struct fl_upstream *upstream, gb_time now,
			 gb_time elapsed, double queue_rounds)
{
	struct fl_service *service = upstream->service;
	double sample =
		elapsed / (1 + queue_rounds) / fl_latency_ratio(upstream, now);

	if (service->service_time <= 0)
		service->service_time = sample;
	else
		service->service_time +=
			SERVICE_TIME_WEIGHT * (sample - service->service_time);
}

/* Returns the expected response time, in microseconds. */
static double expected_response(const struct fl_fleet *fleet,
				const struct fl_upstream *upstream,
				gb_time median_latency, gb_time now)
{
	double utilisation = load(upstream, now) / upstream->slots;
	double latency = median_latency * fl_latency_ratio(upstream, now);
	double expected = latency * (1 + 0.25 * utilisation) +
			  fl_queue_wait(upstream, median_latency, now);

	if (!gb_str_eq(upstream->dc, fleet->settings.dc))
		expected += fleet->settings.cross_dc_rtt;
	return expected *
	       (1 + FAILURE_COST * current_failure_rate(upstream, now));
}

static bool is_skipped(const struct fl_upstream *upstream,
		       const struct fl_pick_options *options)
{
	for (size_t i = 0; i < options->skip_len; i++)
		if (options->skip[i] == upstream)
			return true;
	return options->of_target != fl_is_target(upstream);
}

static void set_class(struct fl_assessment *found, enum fl_class class,
		      struct gb_str reason, gb_time wait)
{
	found->class = class;
	found->reason = reason;
	found->wait = wait;
}

static void classify(const struct fl_fleet *fleet, struct fl_upstream *upstream,
		     gb_time now, struct fl_assessment *found)
{
	if (fl_is_excluded(fleet, upstream->dc))
		set_class(found, FL_UNUSABLE, GB_STR("dc_excluded"), GB_NEVER);
	else if (upstream->unreachable_until > now)
		set_class(found, FL_UNUSABLE, GB_STR("unreachable"),
			  upstream->unreachable_until - now);
	else if (fl_has_departed(fleet, upstream, now))
		set_class(found, FL_UNUSABLE, GB_STR("left"), GB_NEVER);
	else if (fl_is_paused(upstream, now))
		set_class(found, FL_UNUSABLE, GB_STR("paused"),
			  upstream->paused_until - now);
	else if (upstream->leaving)
		set_class(found, FL_LAST_RESORT, GB_STR("leaving"), GB_NEVER);
	else if (upstream->cold_until > now &&
		 !fl_cold_has_token(fleet, upstream, now))
		set_class(found, FL_UNUSABLE, GB_STR("cold"), AVOID_MIN);
	else if (fl_is_unresponsive(upstream, now))
		set_class(found, FL_UNUSABLE, GB_STR("unresponsive"),
			  upstream->avoid_until - now);
	else if (upstream->avoid_until > now)
		set_class(found, FL_AVOIDED, GB_STR("late"), GB_NEVER);
	else if (is_failing(upstream, now))
		set_class(found, FL_AVOIDED, GB_STR("failing"), GB_NEVER);
	else
		set_class(found, FL_GOOD, GB_STR(""), GB_NEVER);
}

void fl_assess(const struct fl_fleet *fleet, struct fl_upstream *upstream,
	       gb_time median_latency, gb_time now, struct fl_assessment *found)
{
	found->upstream = upstream;
	classify(fleet, upstream, now, found);
	found->expected =
		expected_response(fleet, upstream, median_latency, now);
	found->load = load(upstream, now);
	found->latency_ratio = fl_latency_ratio(upstream, now);
	found->failure_rate = current_failure_rate(upstream, now);
}

static bool is_healthy(const struct fl_assessment *found,
		       const struct fl_pick_options *options, gb_time now)
{
	return found->class == FL_GOOD &&
	       !(options->free_slot_only &&
		 fl_queue_rounds(found->upstream, now) > 0);
}

struct fl_upstream *fl_pick_upstream(struct fl_fleet *fleet,
				     struct fl_service *service,
				     const struct fl_pick_options *options,
				     gb_time now, gb_time *wait)
{
	enum fl_class best_class =
		options->healthy_only ? FL_AVOIDED : FL_UNUSABLE;
	struct fl_upstream *best = NULL;
	double best_expected = 0;

	*wait = GB_NEVER;
	for (guint i = 0; i < service->upstreams->len; i++) {
		struct fl_assessment found;
		double expected;

		if (is_skipped(service->upstreams->pdata[i], options))
			continue;
		found.upstream = service->upstreams->pdata[i];
		classify(fleet, found.upstream, now, &found);
		*wait = MIN(*wait, found.wait);
		if (found.class > best_class || found.class == FL_UNUSABLE ||
		    (options->healthy_only &&
		     !is_healthy(&found, options, now)))
			continue;
		expected = expected_response(fleet, found.upstream,
					     options->median_latency, now) *
			   (1 + COST_JITTER * gb_rng_unit(fleet->rng));
		if (best && found.class == best_class &&
		    expected >= best_expected)
			continue;
		best = found.upstream;
		best_class = found.class;
		best_expected = expected;
	}
	return best;
}

void fl_call_sent(struct fl_fleet *fleet, struct fl_upstream *upstream,
		  gb_time now)
{
	upstream->in_flight++;
	if (upstream->cold_until > now)
		fl_cold_take_token(fleet, upstream, now);
}
