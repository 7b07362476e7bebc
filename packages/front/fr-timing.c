#include "front/fr-internal.h"

/* A change of any kind must be in force within the shortest of their bounds. */
static struct dir_bounds read_bounds(const struct fr_settings *settings)
{
	gb_time change = MIN(settings->apply_time, settings->drain_time);

	return (struct dir_bounds){
		.change = MIN(change, settings->exclusion_time),
		.silence = settings->stable_time,
	};
}

static void log_timing(struct fr *fr)
{
	const struct dir_timing *timing = &fr->timing;
	struct gb_buf detail = GB_BUF_INIT;
	struct ev_event event = { .code = EV_FOLLOW_TIMING,
				  .num1 = timing->watch_wait,
				  .num2 = timing->relayed_wait };

	gb_buf_addf(&detail, "margin_us=%lld answer_us=%lld retry_us=%lld",
		    (long long)timing->watch_margin,
		    (long long)timing->answer_timeout,
		    (long long)timing->retry_interval_max);
	event.detail = gb_buf_str(&detail);
	fr_log_event(fr, &event);
	gb_buf_free(&detail);
}

static void log_tight_bounds(struct fr *fr)
{
	const struct ev_event event = { .code = EV_BOUNDS_TIGHT,
					.num1 = fr->bounds.change,
					.num2 = fr->bounds.silence };

	if (fr->timing.is_tight)
		fr_log_event(fr, &event);
}

void fr_update_timing(struct fr *fr)
{
	struct dir_bounds bounds = read_bounds(&fr->settings);

	if (bounds.change == fr->bounds.change &&
	    bounds.silence == fr->bounds.silence)
		return;
	fr->bounds = bounds;
	dir_timing_init(&fr->timing, &bounds);
	log_timing(fr);
	log_tight_bounds(fr);
}
