#include "front/fr-internal.h"

/* One call of a sub-request to an upstream, with its HTTP call. */
struct upstream_attempt {
	struct ht_call http;
	struct fw_call *call;
	struct fr_query *query;
	struct fr_answer_head head;
	struct fw_answer answer;
	bool answer_begun; /* the head of the answer to this call is read */
	bool withdrawn; /* not sent, since the upstream wants no requests */
};

/*
 * An upstream that asks for a longer pause is tried again after this time,
 * since nothing else would show that the request was a mistake.
 */
#define PAUSE_MAX (600 * GB_SEC)

static struct fr_identity identity_of(const struct fw_request *request)
{
	return (struct fr_identity){
		.needs_key = request->table->organisations != NULL,
		.organisation = request->org ? request->org->name : GB_STR(""),
	};
}

static bool on_encode(struct ht_call *http, struct gb_buf *out)
{
	struct upstream_attempt *attempt = (struct upstream_attempt *)http;
	const struct ht_request *request = &attempt->query->exchange->request;
	const struct fr_identity identity =
		identity_of(attempt->query->request);
	gb_time now = ht_now(), left;

	attempt->withdrawn = !fw_call_may_be_sent(attempt->call, now);
	if (attempt->withdrawn)
		return false;
	left = fw_call_sent(attempt->call, now);
	if (!attempt->query->common_head.len)
		attempt->query->fr->platform->write_common_head(
			request, &identity, &attempt->query->common_head);
	gb_buf_add(out, gb_buf_str(&attempt->query->common_head));
	attempt->query->fr->platform->write_call(
		request, attempt->call->upstream, MAX(left, GB_MSEC), out);
	return true;
}

/* Closes the idle connections to an upstream that is leaving. */
static void take_announcement(struct fr *fr, struct fl_upstream *upstream)
{
	const struct ev_event event = { .code = EV_UPSTREAM_LEAVING,
					.upstream = upstream->id,
					.dc = upstream->dc };

	if (!fl_leaving_announced(upstream, ht_now()))
		return;
	ht_target_retire(upstream->data);
	fr_log_event(fr, &event);
}

static void take_pause(struct fr *fr, struct fl_upstream *upstream,
		       gb_time pause)
{
	const struct ev_event event = { .code = EV_UPSTREAM_PAUSED,
					.upstream = upstream->id,
					.dc = upstream->dc,
					.num1 = pause > PAUSE_MAX,
					.num2 = pause };

	if (!fl_is_paused(upstream, ht_now()))
		fr_log_event(fr, &event);
	fl_pause_requested(upstream, ht_now(), MIN(pause, PAUSE_MAX));
}

/*
 * Takes what the upstream requests for itself, unless a new process has
 * replaced the one that answers.
 */
static void take_requests(const struct upstream_attempt *attempt)
{
	struct fl_upstream *upstream = attempt->call->upstream;
	struct fr *fr = attempt->query->fr;

	if (attempt->http.target != upstream->data)
		return;
	if (attempt->head.leaving)
		take_announcement(fr, upstream);
	if (attempt->head.pause)
		take_pause(fr, upstream, attempt->head.pause);
}

static enum ht_verdict on_head(struct ht_call *http,
			       const struct ht_response *response)
{
	struct upstream_attempt *attempt = (struct upstream_attempt *)http;
	const struct fw_request *request = attempt->query->request;
	const struct fr_answer_context context = {
		.id = request->id,
		.conn_reused = http->conn_reused,
		.keep_fields = !request->route->fanout,
	};

	fw_answer_clear(&attempt->answer);
	attempt->head = (struct fr_answer_head){ 0 };
	attempt->query->fr->platform->read_head(
		response, &context, &attempt->head, &attempt->answer);
	attempt->answer_begun = attempt->head.verdict == HT_ACCEPT;
	take_requests(attempt);
	return attempt->head.verdict;
}

static void free_call(struct upstream_attempt *attempt)
{
	fw_answer_clear(&attempt->answer);
	gb_buf_free(&attempt->http.body);
	g_free(attempt);
}

static enum fw_outcome map_outcome(const struct upstream_attempt *attempt,
				   enum ht_outcome outcome)
{
	switch (outcome) {
	case HT_ANSWERED:
		return attempt->head.outcome;
	case HT_NOT_SENT:
		return attempt->withdrawn ? FW_WITHDRAWN : FW_UNSENT;
	case HT_INVALID:
		return FW_UNUSABLE;
	case HT_LOST:
		break;
	}
	/* An answer that broke off shows that the run had ended. */
	return attempt->answer_begun ? FW_UNUSABLE : FW_LOST;
}

static void on_done(struct ht_call *http, enum ht_outcome outcome)
{
	struct upstream_attempt *attempt = (struct upstream_attempt *)http;
	struct fr_query *query = attempt->query;
	struct fw_call *call = attempt->call;
	gb_time now = ht_now();
	size_t held;

	if (outcome == HT_ANSWERED) {
		attempt->answer.body = http->body;
		http->body = GB_BUF_INIT;
		if (attempt->head.reports_load)
			fl_load_reported(call->upstream, now,
					 attempt->head.running,
					 attempt->head.waiting);
	}
	call->data = NULL;
	held = query->holder.bytes + attempt->answer.body.cap;
	fw_call_done(call, now, map_outcome(attempt, outcome),
		     &attempt->answer);
	free_call(attempt);
	if (!query->request->ended)
		ht_memory_hold(&query->holder, held);
	fr_query_free_or_rearm(query);
}

static const struct ht_call_ops call_ops = {
	.encode = on_encode,
	.head = on_head,
	.done = on_done,
};

void fr_upstream_send(void *ctx, struct fw_call *call)
{
	struct upstream_attempt *attempt = g_new0(struct upstream_attempt, 1);
	struct fl_upstream *upstream = call->upstream;
	struct ht_target *target = upstream->data;
	struct fr *fr = ctx;

	if (!target) {
		target = ht_target_new(fr->loop, upstream->address, 1);
		target->memory = &fr->memory;
		upstream->data = target;
	}
	attempt->call = call;
	attempt->query = call->part->request->data;
	attempt->http.key = gb_hash(call->part->request->id, 0);
	call->data = attempt;
	target->conns_max = fl_conns_max(fr->fleet, upstream);
	ht_call_start(&attempt->http, target, &call_ops);
}

void fr_upstream_cancel(void *ctx, struct fw_call *call)
{
	struct upstream_attempt *attempt = call->data;

	(void)ctx;
	if (!attempt)
		return;
	call->data = NULL;
	ht_call_cancel(&attempt->http);
	free_call(attempt);
}

static void on_upstream_reset(void *ctx, struct fl_upstream *upstream)
{
	struct ht_target *target = upstream->data;

	(void)ctx;
	upstream->data = NULL;
	if (target)
		ht_target_free(target);
}

static void on_exclusion_ended(void *ctx, struct gb_str dc)
{
	const struct ev_event event = { .code = EV_DC_INCLUDED, .dc = dc };

	fr_log_event(ctx, &event);
}

const struct fl_ops fr_fleet_ops = { .upstream_reset = on_upstream_reset,
				     .exclusion_ended = on_exclusion_ended };

static uint32_t membership_live_vms(void *ctx)
{
	const struct fr *fr = ctx;

	return fr->engine.budget.vms;
}

static uint32_t membership_rank(void *ctx, uint64_t key)
{
	const struct fr *fr = ctx;

	return mem_rank(fr->members, MEM_ALL, key);
}

const struct fl_membership fr_membership = { .live_vms = membership_live_vms,
					     .rank = membership_rank };
