#include "forward/fw-fair.h"
#include "forward/fw-internal.h"

/* How long delays must stay beyond a threshold to start or end an overload. */
#define OVERLOAD_HYSTERESIS (1 * GB_SEC)

/*
 * Delay limit in overload, as a share of the time until the soft deadline less
 * the median latency.
 */
#define SOFT_DEADLINE_SHARE 0.7

/* Delay limit in any state, as a share of the time until the deadline. */
#define DEADLINE_SHARE 0.5

/*
 * Delay limit in overload, as a share of the lowest target latency of all
 * routes to the same services: without it, the route with the highest target
 * would push the others out.
 */
#define LOWEST_TARGET_SHARE 0.7

/* Less urgent routes are refused from this share of the overload limit on. */
#define LOW_PRIORITY_SHARE 0.7

/* Organisations that use more than their share are refused from here on. */
#define BEYOND_SHARE 0.5

/* Share of the limit below which the delays must stay to end an overload. */
#define OVERLOAD_END_SHARE 0.25

static int compare_times(gconstpointer a, gconstpointer b)
{
	const gb_time *x = a, *y = b;

	return (*x > *y) - (*x < *y);
}

/* Expected delay at the upstream over the median; 0 while a slot is free. */
static gb_time upstream_delay(const struct fl_upstream *upstream,
			      gb_time median, gb_time now)
{
	gb_time wait = fl_queue_wait(upstream, median, now);

	return wait ? wait + median * (fl_latency_ratio(upstream, now) - 1) : 0;
}

/* Delay of the slowest part that an answer needs. */
static gb_time answer_delay(const struct fw_request *request,
			    struct fl_upstream *const *chosen,
			    uint32_t parts_needed, gb_time now)
{
	GArray *delays = g_array_new(FALSE, FALSE, sizeof(gb_time));
	gb_time median = fw_median_latency(request), delay;

	for (uint32_t i = 0; i < request->parts_len; i++) {
		if (!chosen[i])
			continue;
		delay = upstream_delay(chosen[i], median, now);
		g_array_append_val(delays, delay);
	}
	g_array_sort(delays, compare_times);
	delay = g_array_index(delays, gb_time, parts_needed - 1);
	g_array_free(delays, TRUE);
	return delay;
}

/*
 * Updates the overload state with the delay of one more request. Long delays
 * for a short time are no overload: the upstreams catch up, and late answers
 * are better than none.
 */
static bool update_overload(struct fw_admission *admission, gb_time delay,
			    gb_time limit, gb_time now)
{
	bool crossed = admission->overload ? delay < limit * OVERLOAD_END_SHARE
					   : delay > limit;

	if (!crossed) {
		admission->threshold_crossed_at = GB_NEVER;
	} else if (admission->threshold_crossed_at == GB_NEVER) {
		admission->threshold_crossed_at = now;
	} else if (now - admission->threshold_crossed_at >=
		   OVERLOAD_HYSTERESIS) {
		admission->overload = !admission->overload;
		admission->threshold_crossed_at = GB_NEVER;
	}
	return admission->overload;
}

bool fw_is_congested(const struct fw_request *request)
{
	const struct fw_admission *admission = &request->stats->admission;

	return admission->overload ||
	       admission->threshold_crossed_at != GB_NEVER;
}

/* The longest delay in overload that keeps all routes within their targets. */
static gb_time overload_limit(const struct fw_request *request, gb_time now)
{
	gb_time median = fw_median_latency(request);
	gb_time lowest_target = rt_min_target_latency(request->route);
	gb_time limit =
		(request->soft_deadline - now - median) * SOFT_DEADLINE_SHARE;

	if (lowest_target)
		limit = MIN(limit, lowest_target * LOWEST_TARGET_SHARE);
	if (rt_yields(request->table, request->route, request->org))
		limit *= LOW_PRIORITY_SHARE;
	return MAX(limit, median);
}

/*
 * An organisation beyond its share is refused before the others are, and also
 * for delays of a short time: it is the one that causes them.
 */
static bool yields_to_others(const struct fw_request *request, gb_time delay,
			     gb_time limit, gb_time now)
{
	return request->org && delay > limit * BEYOND_SHARE &&
	       fw_fair_is_beyond(request->engine->fair, request->org, now);
}

/* Compares the delay with the limits; the state of overload is given. */
static void compare(const struct fw_request *request, gb_time now,
		    struct fw_admission_view *view)
{
	gb_time median = fw_median_latency(request);
	gb_time deadline_limit = (request->deadline - now) * DEADLINE_SHARE;

	view->yields = yields_to_others(request, view->delay, view->limit, now);
	view->refused = view->delay > MAX(deadline_limit, median) ||
			(view->overload && view->delay > view->limit) ||
			view->yields;
}

void fw_view_admission(const struct fw_request *request,
		       struct fl_upstream *const *chosen, gb_time now,
		       struct fw_admission_view *view)
{
	*view = (struct fw_admission_view){
		.delay = answer_delay(request, chosen, fw_parts_needed(request),
				      now),
		.limit = overload_limit(request, now),
		.overload = request->stats->admission.overload,
	};
	compare(request, now, view);
}

/* Tells whether the delay of the request is over the limits. */
static bool should_refuse(const struct fw_request *request, gb_time delay,
			  gb_time now)
{
	struct fw_admission_view view = {
		.delay = delay, .limit = overload_limit(request, now)
	};

	view.overload = update_overload(&request->stats->admission, delay,
					view.limit, now);
	compare(request, now, &view);
	if (view.refused)
		fw_emit_event(
			request, EV_FORWARD_OVERLOAD, NULL,
			"delay_us=%lld most_us=%lld usual_us=%lld overload=%d "
			"beyond_share=%d",
			(long long)delay, (long long)view.limit,
			(long long)fw_median_latency(request), view.overload,
			view.yields);
	return view.refused;
}

bool fw_should_shed(const struct fw_request *request,
		    struct fl_upstream *const *chosen, uint32_t parts_needed,
		    gb_time now, gb_time *delay)
{
	*delay = answer_delay(request, chosen, parts_needed, now);
	if (should_refuse(request, *delay, now))
		return true;
	if (request->org)
		fw_fair_add(request->engine->fair, request->org,
			    request->parts_len, now);
	return false;
}
