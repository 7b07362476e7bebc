#include "forward/fw-internal.h"

/* Bounds of the pause before a retry that may go to the same upstreams. */
#define RETRY_PAUSE_MIN (5 * GB_MSEC)
#define RETRY_PAUSE_MAX (50 * GB_MSEC)

/* If more upstreams than this are excluded, no tried one is chosen again. */
#define EXCLUDED_MAX 64

/* Tells whether the call reached its upstream: only those are attempts. */
static bool has_reached_upstream(const struct fw_call *call)
{
	return call->running ||
	       (call->outcome != FW_UNSENT && call->outcome != FW_WITHDRAWN &&
		call->outcome != FW_MISDIRECTED);
}

/* Tells whether an earlier call reached the same upstream. */
static bool was_reached_earlier(const struct fw_part *part, uint32_t index)
{
	for (uint32_t i = 0; i < index; i++)
		if (part->calls[i].upstream == part->calls[index].upstream &&
		    has_reached_upstream(&part->calls[i]))
			return true;
	return false;
}

/* Number of different upstreams that the part was sent to. */
static uint32_t count_upstreams_reached(const struct fw_part *part)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < part->calls_len; i++)
		if (has_reached_upstream(&part->calls[i]) &&
		    !was_reached_earlier(part, i))
			count++;
	return count;
}

static struct fl_upstream *choose_untried(struct fw_part *part,
					  bool healthy_only, gb_time now,
					  gb_time *wait)
{
	const struct fl_upstream *tried[FW_CALLS_MAX];
	const struct fl_pick_options need = {
		.median_latency = fw_median_latency(part->request),
		.skip = tried,
		.skip_len = part->calls_len,
		.healthy_only = healthy_only,
		.free_slot_only = fw_is_congested(part->request)
	};

	for (uint32_t i = 0; i < part->calls_len; i++)
		tried[i] = part->calls[i].upstream;
	return fw_pick_version(part, &need, now, wait);
}

/* Tells whether all calls of the part to the upstream ended unanswered. */
static bool may_try_again(const struct fw_part *part,
			  const struct fl_upstream *upstream)
{
	bool tried = false;

	for (uint32_t i = 0; i < part->calls_len; i++) {
		const struct fw_call *call = &part->calls[i];

		if (call->upstream != upstream)
			continue;
		/* It would answer with the same error again. */
		if (call->running || call->outcome == FW_ANSWERED)
			return false;
		tried = true;
	}
	return tried;
}

/* Chooses among the upstreams that refused or lost the part before. */
static struct fl_upstream *choose_tried(struct fw_part *part, gb_time now,
					gb_time *wait)
{
	const struct fl_upstream *excluded[EXCLUDED_MAX];
	struct fl_pick_options need = { .median_latency = fw_median_latency(
						part->request),
					.skip = excluded };
	GPtrArray *all = part->service->upstreams;

	for (guint i = 0; i < all->len; i++) {
		if (may_try_again(part, all->pdata[i]))
			continue;
		if (need.skip_len == EXCLUDED_MAX)
			return NULL;
		excluded[need.skip_len++] = all->pdata[i];
	}
	return fw_pick_version(part, &need, now, wait);
}

struct fl_upstream *fw_choose_upstream(struct fw_part *part, bool healthy_only,
				       gb_time now, gb_time *wait)
{
	uint32_t attempts_max = MAX(part->request->attempts_max, 1);

	*wait = GB_NEVER;
	if (count_upstreams_reached(part) >= attempts_max)
		return NULL;
	return choose_untried(part, healthy_only, now, wait);
}

void fw_part_set_missing(struct fw_part *part)
{
	if (part->state != FW_PART_PENDING)
		return;
	part->state = FW_PART_MISSING;
	part->request->parts_missing++;
}

/* Only a request that has not run, or may run again, is sent again. */
static bool may_resend(const struct fw_request *request)
{
	return request->route->kind == RT_IDEMPOTENT || !request->may_have_run;
}

static bool has_reached(const struct fw_part *part,
			const struct fl_upstream *upstream)
{
	for (uint32_t i = 0; i < part->calls_len; i++)
		if (part->calls[i].upstream == upstream &&
		    has_reached_upstream(&part->calls[i]))
			return true;
	return false;
}

/* Tells whether an upstream is left that may still run the part. */
static bool may_still_succeed(const struct fw_part *part, gb_time now)
{
	const struct fl_fleet *fleet = part->request->engine->fleet;
	bool new_allowed = count_upstreams_reached(part) <
			   MAX(part->request->attempts_max, 1);
	GPtrArray *all = part->service->upstreams;

	for (guint i = 0; i < all->len; i++) {
		if (fl_has_departed(fleet, all->pdata[i], now))
			continue;
		if (new_allowed ? !has_reached(part, all->pdata[i])
				: may_try_again(part, all->pdata[i]))
			return true;
	}
	return false;
}

/* Plans a retry if an upstream may be found in time, or gives the part up. */
static void schedule_retry(struct fw_part *part, gb_time wait, gb_time now)
{
	struct fw_request *request = part->request;
	gb_time asked =
		fl_service_pause(request->engine->fleet, part->service, now);
	gb_time median = fw_median_latency(request);
	gb_time pause = CLAMP(median / 2, RETRY_PAUSE_MIN, RETRY_PAUSE_MAX);

	if (wait != GB_NEVER)
		pause = MAX(pause, wait);
	/* The caller is told to come back when a longer pause has ended. */
	if (part->calls_len == FW_CALLS_MAX || asked > RETRY_PAUSE_MAX ||
	    !may_still_succeed(part, now) ||
	    now + pause + median > request->deadline) {
		fw_part_set_missing(part);
		return;
	}
	part->retry_at = now + pause;
}

/* A retry uses the retry budget only if an earlier call was sent. */
static bool take_budget(struct fw_part *part, bool sent, gb_time now)
{
	if (!sent)
		return true;
	return bud_take_repeat(part->service->data,
			       &part->request->engine->budget, now);
}

static bool was_sent(const struct fw_part *part)
{
	for (uint32_t i = 0; i < part->calls_len; i++)
		if (part->calls[i].sent_at)
			return true;
	return false;
}

void fw_part_retry(struct fw_part *part, bool after_pause, gb_time now)
{
	struct fw_request *request = part->request;
	struct fl_upstream *upstream;
	gb_time wait = GB_NEVER;

	part->retry_at = GB_NEVER;
	if (part->calls_len == FW_CALLS_MAX || !may_resend(request) ||
	    fw_is_quarantined(request, now)) {
		fw_part_set_missing(part);
		return;
	}
	upstream = fw_choose_upstream(part, false, now, &wait);
	if (!upstream && after_pause)
		upstream = choose_tried(part, now, &wait);
	if (!upstream) {
		schedule_retry(part, wait, now);
		return;
	}
	if (!take_budget(part, was_sent(part), now)) {
		fw_emit_event(request, EV_FORWARD_DENIED, upstream,
			      "cause=retry sends=%u", request->sends);
		fw_part_set_missing(part);
		return;
	}
	met_add(request->engine->metrics, MET_SUB_RETRIES, 1);
	fw_emit_event(request, EV_FORWARD_RETRY, upstream,
		      "service=%.*s sends=%u left_us=%lld",
		      (int)part->service->name.len, part->service->name.ptr,
		      request->sends, (long long)(request->deadline - now));
	fw_call_start(part, upstream, FW_RETRY, now);
}

/* Drops the last call if nothing was sent: it does not use up FW_CALLS_MAX. */
static void drop_unsent_call(struct fw_part *part)
{
	const struct fw_call *last = &part->calls[part->calls_len - 1];

	if (!last->running &&
	    (last->outcome == FW_UNSENT || last->outcome == FW_WITHDRAWN)) {
		fl_release(last->upstream);
		part->calls_len--;
	}
}

void fw_part_handle_failure(struct fw_part *part, struct fw_call *call,
			    gb_time now)
{
	static const char *const outcomes[] = {
		[FW_ANSWERED] = "failure",	  [FW_REFUSED] = "refused",
		[FW_UNSENT] = "unreachable",	  [FW_WITHDRAWN] = "withdrawn",
		[FW_MISDIRECTED] = "misdirected", [FW_LOST] = "lost",
		[FW_UNUSABLE] = "unusable",
	};

	fw_emit_event(part->request, EV_FORWARD_FAILED, call->upstream,
		      "outcome=%s running=%u elapsed_us=%lld",
		      outcomes[call->outcome], part->calls_running,
		      (long long)(now - call->started_at));
	if (part->state != FW_PART_PENDING || part->calls_running)
		return;
	/* After an error answer, other upstreams are expected to fail, too. */
	if (call->outcome == FW_ANSWERED &&
	    part->request->route->kind != RT_IDEMPOTENT) {
		fw_part_set_missing(part);
		return;
	}
	drop_unsent_call(part);
	fw_part_retry(part, false, now);
}

/* Marks late calls as overdue, so that other requests avoid the upstream. */
static void mark_calls_overdue(struct fw_part *part, gb_time now)
{
	gb_time median = fw_median_latency(part->request);

	for (uint32_t i = 0; i < part->calls_len; i++) {
		struct fw_call *call = &part->calls[i];

		if (!call->running || call->overdue)
			continue;
		call->overdue = true;
		fl_call_overdue(call->upstream, now, median);
	}
}

void fw_part_hedge(struct fw_part *part, gb_time now)
{
	struct fw_request *request = part->request;
	struct fl_upstream *upstream;
	gb_time wait;

	mark_calls_overdue(part, now);
	part->hedge_at = GB_NEVER;
	if (request->route->kind != RT_IDEMPOTENT ||
	    part->calls_len == FW_CALLS_MAX)
		return;
	upstream = fw_choose_upstream(part, true, now, &wait);
	if (!upstream || !bud_take_repeat(part->service->data,
					  &request->engine->budget, now)) {
		part->hedge_at = now + fw_median_latency(request);
		return;
	}
	met_add(request->engine->metrics, MET_SUB_HEDGES, 1);
	fw_emit_event(request, EV_FORWARD_HEDGE, upstream,
		      "service=%.*s late_us=%lld usual_us=%lld",
		      (int)part->service->name.len, part->service->name.ptr,
		      (long long)(now - part->calls[0].started_at),
		      (long long)fw_median_latency(request));
	fw_call_start(part, upstream, FW_HEDGE, now);
}
