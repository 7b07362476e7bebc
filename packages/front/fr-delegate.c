#include "front/fr-delegate.h"
#include "front/fr-organisation.h"

/*
 * Without an answer of the helper for this part of the target latency, the
 * helper is avoided, and this VM gathers the query too if it may.
 */
#define HELPER_TIME_SHARE 0.5

/*
 * The route bounds the upstreams that are tried per part, on all VMs together.
 * One of them is kept for this VM if the helper can still retry without it.
 */
#define ATTEMPTS_KEPT 1
#define ATTEMPTS_OF_HELPER_MIN 2

/* A query that another VM gathers; see helper/hp.h. */
struct fr_delegation {
	struct ht_call http;
	struct fr *fr;
	GList link; /* in fr->delegations */
	struct ht_exchange *exchange;
	struct ht_memory_holder holder; /* of the request */
	struct rt_table *table; /* held */
	struct rt_route *route;
	struct fw_request_params params; /* its strings are in the exchange */
	struct hp_helper *helper; /* NULL once its call has ended */
	gb_time deadline; /* by which the caller is answered */
	struct fr_query *local; /* of this VM, after some time; or NULL */
	int failed_status; /* of a local query that has failed; or 0 */
	bool is_gathered; /* the head of a reply to the query was read */
	int status;
	struct gb_buf fields;
	uv_timer_t timer;
};

static void end_call(struct fr_delegation *delegation, enum hp_outcome outcome)
{
	hp_call_end(delegation->helper, outcome, ht_now());
	delegation->helper = NULL;
}

static void cancel_call(struct fr_delegation *delegation,
			enum hp_outcome outcome)
{
	if (!delegation->helper)
		return;
	ht_call_cancel(&delegation->http);
	end_call(delegation, outcome);
}

static void on_closed(uv_handle_t *handle)
{
	struct fr_delegation *delegation = handle->data;

	rt_table_unref(delegation->table);
	gb_buf_free(&delegation->fields);
	gb_buf_free(&delegation->http.body);
	g_free(delegation);
}

static void free_delegation(struct fr_delegation *delegation)
{
	g_queue_unlink(&delegation->fr->delegations, &delegation->link);
	ht_memory_hold(&delegation->holder, 0);
	uv_close((uv_handle_t *)&delegation->timer, on_closed);
}

static void log_end(struct fr_delegation *delegation, enum ev_code code,
		    int64_t num1)
{
	const struct ev_event event = {
		.code = code,
		.request = delegation->params.id,
		.num1 = num1,
		.num2 = ht_now() - delegation->params.received_at,
	};

	fr_log_event(delegation->fr, &event);
}

static void reply(struct fr_delegation *delegation,
		  const struct ht_reply *message)
{
	if (message->status == 503)
		fr_org_refund(delegation->fr, delegation->params.org);
	delegation->exchange->data = NULL;
	ht_reply(delegation->exchange, message);
	free_delegation(delegation);
}

/* Answers with a failure of this VM. */
static void fail(struct fr_delegation *delegation, int status)
{
	struct gb_buf fields = GB_BUF_INIT;
	const struct fw_reply failure = { .reason = FW_OUTCOME_UNKNOWN,
					  .status = status };

	delegation->fr->platform->write_reply(&failure, delegation->params.id,
					      &fields);
	met_add(&delegation->fr->metrics,
		status == 504 ? MET_QUERIES_LATE : MET_QUERIES_REFUSED, 1);
	log_end(delegation, EV_DELEGATED_LOST, status);
	reply(delegation, &(struct ht_reply){ .status = status,
					      .fields = gb_buf_str(&fields) });
	gb_buf_free(&fields);
}

static void pass_on(struct fr_delegation *delegation)
{
	struct fr_query *local = delegation->local;
	struct fr *fr = delegation->fr;

	if (local) {
		local->delegation = NULL;
		fr_query_cancel(local);
	}
	met_add(&fr->metrics, MET_DELEGATED, 1);
	met_hist_add(&fr->metrics.histogram[MET_QUERY_TIME],
		     ht_now() - delegation->params.received_at);
	log_end(delegation, EV_DELEGATED, delegation->status);
	reply(delegation, &(struct ht_reply){
				  .status = delegation->status,
				  .fields = gb_buf_str(&delegation->fields),
				  .body = gb_buf_str(&delegation->http.body),
			  });
}

static uint32_t attempts_of_helper(const struct rt_route *route)
{
	uint32_t attempts_max = MAX(route->attempts_max, 1);

	return attempts_max >= ATTEMPTS_OF_HELPER_MIN + ATTEMPTS_KEPT
		       ? attempts_max - ATTEMPTS_KEPT
		       : attempts_max;
}

/* Tells whether upstreams may still be tried for a query that was sent. */
static bool has_attempts_left(const struct rt_route *route)
{
	return attempts_of_helper(route) < route->attempts_max;
}

/* Gathers the query here; the helper may go on, and the first one answers. */
static void gather_here(struct fr_delegation *delegation, bool may_have_run)
{
	struct fw_request_params params = delegation->params;
	struct fr_query *query;

	met_add(&delegation->fr->metrics, MET_DELEGATED_FAILED, 1);
	log_end(delegation, EV_DELEGATED_FAILED, may_have_run);
	params.is_repeat = may_have_run;
	params.attempts_max = may_have_run ? ATTEMPTS_KEPT : 0;
	query = fr_query_new(delegation->fr, delegation->exchange,
			     delegation->table, delegation->route, &params);
	if (delegation->helper) {
		ht_memory_hold(&delegation->holder, 0);
		delegation->local = query;
		query->delegation = delegation;
	} else {
		free_delegation(delegation);
	}
	fr_query_run(query);
}

/* The helper is late, or the time is over. */
static void on_timer(uv_timer_t *timer)
{
	struct fr_delegation *delegation = timer->data;
	gb_time left = delegation->deadline - ht_now();

	/* The local query has the same deadline. */
	if (delegation->local)
		return;
	if (left <= 0) {
		cancel_call(delegation, HP_FAILED);
		fail(delegation, delegation->failed_status
					 ? delegation->failed_status
					 : 504);
		return;
	}
	if (!delegation->http.sent) {
		cancel_call(delegation, HP_FAILED);
		gather_here(delegation, false);
		return;
	}
	hp_call_overdue(delegation->helper, ht_now());
	uv_timer_start(timer, on_timer, left / GB_MSEC + 1, 0);
	if (has_attempts_left(delegation->route))
		gather_here(delegation, true);
}

static bool on_encode(struct ht_call *http, struct gb_buf *out)
{
	struct fr_delegation *delegation = (struct fr_delegation *)http;
	const struct fw_request_params *params = &delegation->params;
	const struct fr_hop hop = {
		.config_version = delegation->table->version,
		.elapsed = ht_now() - params->received_at,
		.rtt = params->rtt,
		.unread_max = params->unread_max,
		.attempts_max = attempts_of_helper(delegation->route),
		.organisation = params->org ? params->org->id : 0,
	};

	fr_hop_write(&hop, &delegation->exchange->request, out);
	return true;
}

static enum ht_verdict on_head(struct ht_call *http,
			       const struct ht_response *response)
{
	struct fr_delegation *delegation = (struct fr_delegation *)http;

	delegation->status = response->status;
	delegation->is_gathered =
		fr_hop_read_reply(response, &delegation->fields);
	return HT_ACCEPT;
}

/* A reply without the mark comes from a VM that has not taken the query. */
static enum hp_outcome map_outcome(const struct fr_delegation *delegation,
				   enum ht_outcome outcome)
{
	if (outcome != HT_ANSWERED)
		return HP_FAILED;
	return delegation->is_gathered ? HP_ANSWERED : HP_REFUSED;
}

static void on_done(struct ht_call *http, enum ht_outcome http_outcome)
{
	struct fr_delegation *delegation = (struct fr_delegation *)http;
	enum hp_outcome outcome = map_outcome(delegation, http_outcome);
	bool may_have_run;

	end_call(delegation, outcome);
	if (outcome == HP_ANSWERED &&
	    (!delegation->local || delegation->status < 500)) {
		pass_on(delegation);
		return;
	}
	if (delegation->local)
		return;
	may_have_run = outcome == HP_FAILED && http_outcome != HT_NOT_SENT;
	if (delegation->failed_status)
		fail(delegation, delegation->failed_status);
	else if (may_have_run && !has_attempts_left(delegation->route))
		fail(delegation, 502);
	else
		gather_here(delegation, may_have_run);
}

static const struct ht_call_ops call_ops = {
	.encode = on_encode,
	.head = on_head,
	.done = on_done,
};

struct hp_helper *fr_delegate_choose(struct fr *fr,
				     const struct rt_route *route)
{
	const struct hp_query query = { .parts = route->targets_len,
					.target_latency =
						route->target_latency };

	if (!route->fanout || route->kind != RT_IDEMPOTENT ||
	    fr->phase == FR_CLOSING)
		return NULL;
	return hp_choose(fr->helpers, &query, ht_now(), &fr->rng);
}

bool fr_delegate(struct fr *fr, struct ht_exchange *exchange,
		 struct rt_table *table, struct rt_route *route,
		 const struct fw_request_params *params)
{
	struct hp_helper *helper = fr_delegate_choose(fr, route);
	struct fr_delegation *delegation;
	struct ht_target *target;
	gb_time wait;

	wait = params->received_at + HELPER_TIME_SHARE * route->target_latency -
	       ht_now();
	if (!helper || wait <= 0 || fw_deadline_of(route, params) <= ht_now())
		return false;
	target = fr_query_target(fr,
				 (struct gb_str){ helper->said.address,
						  helper->said.address_len });
	if (!target)
		return false;
	delegation = g_new0(struct fr_delegation, 1);
	delegation->fr = fr;
	delegation->link.data = delegation;
	delegation->exchange = exchange;
	delegation->table = rt_table_ref(table);
	delegation->route = route;
	delegation->params = *params;
	delegation->deadline = fw_deadline_of(route, params);
	delegation->helper = helper;
	delegation->holder.memory = &fr->memory;
	ht_memory_hold(&delegation->holder,
		       exchange->request.head.cap + exchange->request.body.cap);
	g_queue_push_tail_link(&fr->delegations, &delegation->link);
	uv_timer_init(fr->loop, &delegation->timer);
	delegation->timer.data = delegation;
	uv_timer_start(&delegation->timer, on_timer, wait / GB_MSEC, 0);
	hp_call_begin(helper);
	ht_call_start(&delegation->http, target, &call_ops);
	return true;
}

bool fr_delegation_take_reply(struct fr_delegation *delegation,
			      const struct fw_reply *reply)
{
	if (delegation->helper && reply->status >= 500 &&
	    ht_now() < delegation->deadline) {
		delegation->local = NULL;
		delegation->failed_status = reply->status;
		return false;
	}
	cancel_call(delegation, HP_FAILED);
	free_delegation(delegation);
	return true;
}

void fr_delegation_end(struct fr_delegation *delegation)
{
	cancel_call(delegation, HP_CANCELLED);
	free_delegation(delegation);
}

bool fr_delegation_cancel(struct fr *fr, struct ht_exchange *exchange)
{
	for (GList *at = fr->delegations.head; at; at = at->next) {
		struct fr_delegation *delegation = at->data;

		if (delegation->exchange != exchange)
			continue;
		fr_delegation_end(delegation);
		return true;
	}
	return false;
}

void fr_delegation_abort(struct fr *fr)
{
	GList *next;

	for (GList *at = fr->delegations.head; at; at = next) {
		struct fr_delegation *delegation = at->data;

		next = at->next;
		if (delegation->local) {
			delegation->local->delegation = NULL;
			fr_delegation_end(delegation);
			continue;
		}
		cancel_call(delegation, HP_CANCELLED);
		fail(delegation, delegation->http.sent ? 502 : 503);
	}
}
