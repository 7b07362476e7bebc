#include "forward/fw-internal.h"

/* Delays on one side of their bound for so long change the state. */
#define OVERLOAD_AFTER (1 * GB_SEC)

/* Part of the aim, less the usual time, that is the most delay in overload. */
#define AIM_SHARE 0.7

/* Part of a caller's time that is the most delay in any case. */
#define TIME_SHARE 0.5

/*
 * Part of the least aim of all kinds that is the most delay of any of them: the
 * kind with the longest aim would push the others out.
 */
#define LEAST_AIM_SHARE 0.7

/* A less urgent kind is refused from this part of that delay on. */
#define OUTRANKED_SHARE 0.7

/* Part of the most delay below which an overload is over. */
#define CALM_SHARE 0.25

static int compare_times(gconstpointer a, gconstpointer b)
{
	const gb_time *x = a, *y = b;

	return (*x > *y) - (*x < *y);
}

/* How much longer than usual an upstream takes that has no free slot. */
static gb_time delay_at(const struct fl_upstream *upstream, gb_time usual,
			gb_time now)
{
	gb_time wait = fl_wait(upstream, usual, now);

	return wait ? wait + usual * (fl_slowness(upstream, now) - 1) : 0;
}

/* Delay of the last part that an answer needs. */
static gb_time delay_of(const struct fw_request *request,
			struct fl_upstream *const *chosen, uint32_t need,
			gb_time now)
{
	GArray *delays = g_array_new(FALSE, FALSE, sizeof(gb_time));
	gb_time usual = fw_usual(request), delay;

	for (uint32_t i = 0; i < request->parts_len; i++) {
		if (!chosen[i])
			continue;
		delay = delay_at(chosen[i], usual, now);
		g_array_append_val(delays, delay);
	}
	g_array_sort(delays, compare_times);
	delay = g_array_index(delays, gb_time, need - 1);
	g_array_free(delays, TRUE);
	return delay;
}

/*
 * Takes the delay of one more request. A short time of long delays is no
 * overload: the upstreams catch up, and late answers are better than none.
 */
static bool is_overload(struct fw_admission *admission, gb_time delay,
			gb_time most, gb_time now)
{
	bool against =
		admission->overload ? delay < most * CALM_SHARE : delay > most;

	if (!against) {
		admission->since = GB_NEVER;
	} else if (admission->since == GB_NEVER) {
		admission->since = now;
	} else if (now - admission->since >= OVERLOAD_AFTER) {
		admission->overload = !admission->overload;
		admission->since = GB_NEVER;
	}
	return admission->overload;
}

bool fw_is_pressed(const struct fw_request *request)
{
	const struct fw_admission *admission = &request->pace->admission;

	return admission->overload || admission->since != GB_NEVER;
}

/* The most delay that lets all kinds of request be in time. */
static gb_time most_delay(const struct fw_request *request, gb_time now)
{
	gb_time usual = fw_usual(request);
	gb_time least_aim = rt_least_aim(request->route);
	gb_time most = (request->aim_at - now - usual) * AIM_SHARE;

	if (least_aim)
		most = MIN(most, least_aim * LEAST_AIM_SHARE);
	if (rt_is_outranked(request->route))
		most *= OUTRANKED_SHARE;
	return MAX(most, usual);
}

/* Tells whether the request is one too many, by its delay. */
static bool is_refused(const struct fw_request *request, gb_time delay,
		       gb_time now)
{
	gb_time usual = fw_usual(request);
	gb_time most = most_delay(request, now);
	gb_time in_any_case = (request->end - now) * TIME_SHARE;
	bool overload =
		is_overload(&request->pace->admission, delay, most, now);
	bool refused =
		delay > MAX(in_any_case, usual) || (overload && delay > most);

	if (refused)
		fw_event(request, EV_FORWARD_OVERLOAD, NULL,
			 "delay_us=%lld most_us=%lld usual_us=%lld overload=%d",
			 (long long)delay, (long long)most, (long long)usual,
			 overload);
	return refused;
}

bool fw_is_overload(const struct fw_request *request,
		    struct fl_upstream *const *chosen, uint32_t need,
		    gb_time now, gb_time *delay)
{
	*delay = delay_of(request, chosen, need, now);
	return is_refused(request, *delay, now);
}
