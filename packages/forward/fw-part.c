#include "forward/fw-internal.h"

/* Pause before the same upstreams are tried again. */
#define RETRY_MIN (5 * GB_MSEC)
#define RETRY_MAX (50 * GB_MSEC)

/* Upstreams of a service that are looked at for a second send to one. */
#define FW_AGAIN_MAX 64

/* A call that reached its upstream; only those count as attempts. */
static bool has_reached(const struct fw_call *call)
{
	return call->running ||
	       (call->outcome != FW_UNSENT && call->outcome != FW_MISDIRECTED);
}

static bool is_earlier_of(const struct fw_part *part, uint32_t at)
{
	for (uint32_t i = 0; i < at; i++)
		if (part->calls[i].upstream == part->calls[at].upstream &&
		    has_reached(&part->calls[i]))
			return true;
	return false;
}

/* Number of different upstreams that the part was sent to. */
static uint32_t upstreams_reached(const struct fw_part *part)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < part->calls_len; i++)
		if (has_reached(&part->calls[i]) && !is_earlier_of(part, i))
			count++;
	return count;
}

static struct fl_upstream *choose_new(struct fw_part *part, bool spare,
				      gb_time now, gb_time *wait)
{
	const struct fl_upstream *tried[FW_CALLS_MAX];
	const struct fl_need need = { .usual = fw_usual(part->request),
				      .except = tried,
				      .except_len = part->calls_len,
				      .spare = spare,
				      .free_slot =
					      fw_is_pressed(part->request) };

	for (uint32_t i = 0; i < part->calls_len; i++)
		tried[i] = part->calls[i].upstream;
	return fl_pick(part->request->engine->fleet, part->service, &need, now,
		       wait);
}

/* Tells whether the upstream could run the part after all. */
static bool may_have_again(const struct fw_part *part,
			   const struct fl_upstream *upstream)
{
	bool had = false;

	for (uint32_t i = 0; i < part->calls_len; i++) {
		const struct fw_call *call = &part->calls[i];

		if (call->upstream != upstream)
			continue;
		/* Its own failure would only be repeated. */
		if (call->running || call->outcome == FW_ANSWERED)
			return false;
		had = true;
	}
	return had;
}

/* An upstream that had the part before, and refused or lost it. */
static struct fl_upstream *choose_again(struct fw_part *part, gb_time now,
					gb_time *wait)
{
	const struct fl_upstream *others[FW_AGAIN_MAX];
	struct fl_need need = { .usual = fw_usual(part->request),
				.except = others };
	GPtrArray *all = part->service->upstreams;

	for (guint i = 0; i < all->len; i++) {
		if (may_have_again(part, all->pdata[i]))
			continue;
		if (need.except_len == FW_AGAIN_MAX)
			return NULL;
		others[need.except_len++] = all->pdata[i];
	}
	return fl_pick(part->request->engine->fleet, part->service, &need, now,
		       wait);
}

struct fl_upstream *fw_choose(struct fw_part *part, bool spare, gb_time now,
			      gb_time *wait)
{
	uint32_t most = MAX(part->request->route->attempts_max, 1);

	*wait = GB_NEVER;
	if (upstreams_reached(part) >= most)
		return NULL;
	return choose_new(part, spare, now, wait);
}

void fw_part_missing(struct fw_part *part)
{
	if (part->state != FW_WAITING)
		return;
	part->state = FW_MISSING;
	part->request->parts_missing++;
}

/* Only a request that has not run, or may run again, is sent again. */
static bool may_repeat(const struct fw_request *request)
{
	return request->route->kind == RT_IDEMPOTENT || !request->may_have_run;
}

/* Tells whether an upstream may yet give the part a good answer. */
static bool may_improve(const struct fw_part *part)
{
	GPtrArray *all = part->service->upstreams;

	if (upstreams_reached(part) <
	    MAX(part->request->route->attempts_max, 1))
		return all->len > upstreams_reached(part);
	for (guint i = 0; i < all->len; i++)
		if (may_have_again(part, all->pdata[i]))
			return true;
	return false;
}

/* Waits for an upstream, if there is time left to use it. */
static void retry_later(struct fw_part *part, gb_time wait, gb_time now)
{
	struct fw_request *request = part->request;
	gb_time usual = fw_usual(request);
	gb_time pause = CLAMP(usual / 2, RETRY_MIN, RETRY_MAX);

	if (wait != GB_NEVER)
		pause = MAX(pause, wait);
	if (part->calls_len == FW_CALLS_MAX || !may_improve(part) ||
	    now + pause + usual > request->end) {
		fw_part_missing(part);
		return;
	}
	part->retry_at = now + pause;
}

/* A repeat of a request that has arrived somewhere draws on the budget. */
static bool take_budget(struct fw_part *part, bool arrived, gb_time now)
{
	if (!arrived)
		return true;
	return bud_take(part->service->data, &part->request->engine->budget,
			now);
}

static bool has_arrived(const struct fw_part *part)
{
	for (uint32_t i = 0; i < part->calls_len; i++)
		if (part->calls[i].sent_at)
			return true;
	return false;
}

void fw_part_retry(struct fw_part *part, bool paused, gb_time now)
{
	struct fw_request *request = part->request;
	struct fl_upstream *upstream;
	gb_time wait = GB_NEVER;

	part->retry_at = GB_NEVER;
	if (part->calls_len == FW_CALLS_MAX || !may_repeat(request) ||
	    fw_is_quarantined(request, now)) {
		fw_part_missing(part);
		return;
	}
	upstream = fw_choose(part, false, now, &wait);
	if (!upstream && paused)
		upstream = choose_again(part, now, &wait);
	if (!upstream) {
		retry_later(part, wait, now);
		return;
	}
	if (!take_budget(part, has_arrived(part), now)) {
		fw_event(request, EV_FORWARD_DENIED, upstream,
			 "cause=retry sends=%u", request->sends);
		fw_part_missing(part);
		return;
	}
	met_add(request->engine->metrics, MET_SUB_RETRIES, 1);
	fw_event(request, EV_FORWARD_RETRY, upstream,
		 "service=%.*s sends=%u left_us=%lld",
		 (int)part->service->name.len, part->service->name.ptr,
		 request->sends, (long long)(request->end - now));
	fw_call_start(part, upstream, FW_RETRY, now);
}

/* A call that has not left this VM does not count among the part's sends. */
static void drop_unsent(struct fw_part *part)
{
	const struct fw_call *last = &part->calls[part->calls_len - 1];

	if (!last->running && last->outcome == FW_UNSENT)
		part->calls_len--;
}

void fw_part_failed(struct fw_part *part, struct fw_call *call, gb_time now)
{
	static const char *const outcomes[] = {
		[FW_ANSWERED] = "failure",   [FW_REFUSED] = "refused",
		[FW_UNSENT] = "unreachable", [FW_MISDIRECTED] = "misdirected",
		[FW_LOST] = "lost",
	};

	fw_event(part->request, EV_FORWARD_FAILED, call->upstream,
		 "outcome=%s running=%u elapsed_us=%lld",
		 outcomes[call->outcome], part->running,
		 (long long)(now - call->started));
	if (part->state != FW_WAITING || part->running)
		return;
	/* An upstream that failed by itself says that others would, too. */
	if (call->outcome == FW_ANSWERED &&
	    part->request->route->kind != RT_IDEMPOTENT) {
		fw_part_missing(part);
		return;
	}
	drop_unsent(part);
	fw_part_retry(part, false, now);
}

/* Marks the calls that are late, so that other requests avoid their upstream.
 */
static void mark_overdue(struct fw_part *part, gb_time now)
{
	gb_time usual = fw_usual(part->request);

	for (uint32_t i = 0; i < part->calls_len; i++) {
		struct fw_call *call = &part->calls[i];

		if (!call->running || call->overdue)
			continue;
		call->overdue = true;
		fl_overdue(call->upstream, now, usual);
	}
}

void fw_part_hedge(struct fw_part *part, gb_time now)
{
	struct fw_request *request = part->request;
	struct fl_upstream *upstream;
	gb_time wait;

	mark_overdue(part, now);
	part->hedge_at = GB_NEVER;
	if (request->route->kind != RT_IDEMPOTENT ||
	    part->calls_len == FW_CALLS_MAX)
		return;
	upstream = fw_choose(part, true, now, &wait);
	if (!upstream ||
	    !bud_take(part->service->data, &request->engine->budget, now)) {
		part->hedge_at = now + fw_usual(request);
		return;
	}
	met_add(request->engine->metrics, MET_SUB_HEDGES, 1);
	fw_event(request, EV_FORWARD_HEDGE, upstream,
		 "service=%.*s late_us=%lld usual_us=%lld",
		 (int)part->service->name.len, part->service->name.ptr,
		 (long long)(now - part->calls[0].started),
		 (long long)fw_usual(request));
	fw_call_start(part, upstream, FW_HEDGE, now);
}
