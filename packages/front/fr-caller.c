#include "front/fr-delegate.h"
#include "front/fr-organisation.h"

#include <string.h>

/*
 * Retry-After of a VM without a configuration. All VMs may have started at the
 * same time; they know it after the time that two calls to other VMs and one to
 * the store take. Callers that return sooner are refused again.
 */
#define RETRY_AFTER_UNREADY (250 * GB_MSEC)

/* Bytes of the request path in a log line, at most. */
#define PATH_LOGGED_MAX 80

/* Missing parts that a log line names, at most. */
#define MISSING_LOGGED_MAX 4

static void on_timer(uv_timer_t *timer);

void fr_query_refuse(struct fr *fr, struct ht_exchange *exchange,
		     const struct fr_request_info *info, int status,
		     gb_time retry_after)
{
	struct gb_buf fields = GB_BUF_INIT;
	const struct fw_reply reply = {
		.reason = FW_NO_UPSTREAM,
		.status = status,
		.retry_after = retry_after,
	};

	met_add(&fr->metrics, MET_QUERIES_REFUSED, 1);
	fr->platform->write_reply(&reply, info->id, &fields);
	ht_reply(exchange, &(struct ht_reply){ .status = status,
					       .fields = gb_buf_str(&fields) });
	gb_buf_free(&fields);
}

/* Refuses a request that no route, or no configuration, is known for. */
static void refuse_unrouted(struct fr *fr, struct ht_exchange *exchange,
			    const struct fr_request_info *info, int status)
{
	const struct ev_event event = {
		.code = EV_FORWARD_UNROUTED,
		.request = info->id,
		.num1 = status,
		.num2 = fr->config.table ? fr->config.table->version : 0,
		.detail =
			gb_str_sub(exchange->request.path, 0, PATH_LOGGED_MAX),
	};

	fr_log_event(fr, &event);
	fr_query_refuse(fr, exchange, info, status,
			status == 503 ? RETRY_AFTER_UNREADY : 0);
}

static void on_timer_closed(uv_handle_t *handle)
{
	struct fr_query *query = handle->data;

	gb_buf_free(&query->common_head);
	g_free(query);
}

static void free_query(struct fr_query *query)
{
	g_queue_unlink(&query->fr->queries, &query->link);
	if (query->is_of_other)
		query->fr->queries_of_others--;
	fw_request_free(query->request);
	ht_memory_hold(&query->holder, 0);
	query->request = NULL;
	uv_close((uv_handle_t *)&query->timer, on_timer_closed);
}

/*
 * Frees a query that has ended; otherwise sets its timer to the next due time.
 */
void fr_query_free_or_rearm(struct fr_query *query)
{
	gb_time now = ht_now(), left;

	if (query->request->ended) {
		free_query(query);
		return;
	}
	left = fw_request_next_tick(query->request) - now;
	uv_timer_start(&query->timer, on_timer,
		       left > 0 ? (left + GB_MSEC - 1) / GB_MSEC : 0, 0);
}

static void on_timer(uv_timer_t *timer)
{
	struct fr_query *query = timer->data;

	fw_request_tick(query->request, ht_now());
	fr_query_free_or_rearm(query);
}

/*
 * Tells whether the process may end before the request does. In the last phase
 * of a stop the load balancer sends no more requests, and those that still
 * arrive are better served by another VM at once.
 */
static bool may_outlast_process(const struct fr *fr,
				const struct fw_request *request)
{
	return fr->phase == FR_CLOSING &&
	       request->deadline > fr_stop_deadline(fr);
}

struct fr_query *fr_query_new(struct fr *fr, struct ht_exchange *exchange,
			      struct rt_table *table, struct rt_route *route,
			      const struct fw_request_params *params)
{
	struct fr_query *query = g_new0(struct fr_query, 1);
	struct fw_request_params forward = *params;

	forward.data = query;
	query->fr = fr;
	query->exchange = exchange;
	query->link.data = query;
	query->holder.memory = &fr->memory;
	ht_memory_hold(&query->holder,
		       exchange->request.head.cap + exchange->request.body.cap);
	exchange->data = query;
	uv_timer_init(fr->loop, &query->timer);
	query->timer.data = query;
	g_queue_push_tail_link(&fr->queries, &query->link);
	query->request = fw_request_new(&fr->engine, table, route, &forward);
	return query;
}

void fr_query_run(struct fr_query *query)
{
	if (may_outlast_process(query->fr, query->request))
		fw_request_stop(query->request, ht_now());
	else
		fw_request_start(query->request, ht_now());
	fr_query_free_or_rearm(query);
}

void fr_query_cancel(struct fr_query *query)
{
	query->exchange = NULL;
	fw_request_cancel(query->request, ht_now());
	free_query(query);
}

void fr_query_start(struct fr *fr, struct ht_exchange *exchange,
		    struct rt_table *table, struct rt_route *route,
		    const struct og_org *org,
		    const struct fr_request_info *info)
{
	const struct fw_request_params params = {
		.id = info->id,
		.fingerprint =
			fr_request_fingerprint(&exchange->request, info->host),
		.org = org,
		.received_at = exchange->received_at,
		.timeout = info->timeout,
		.rtt = exchange->network_delay,
		.unread_max = exchange->unread_max,
	};

	met_add(&fr->metrics, MET_QUERIES, 1);
	if (!fr_delegate(fr, exchange, table, route, &params))
		fr_query_run(fr_query_new(fr, exchange, table, route, &params));
}

static void on_request(void *ctx, struct ht_exchange *exchange)
{
	struct fr *fr = ctx;
	struct rt_route *route;
	struct fr_request_info info;
	struct fr_org_verdict verdict;

	met_add(&fr->metrics, MET_HTTP_REQUESTS, 1);
	fr->platform->read_request_info(&exchange->request, &info);
	if (!fr->config.table) {
		refuse_unrouted(fr, exchange, &info, 503);
		return;
	}
	route = rt_find_route(fr->config.table, info.host,
			      exchange->request.path);
	if (!route) {
		/* A newer version of the configuration may have the route. */
		refuse_unrouted(fr, exchange, &info,
				fr_routes_may_be_stale(fr) ? 503 : 404);
		return;
	}
	if (!info.id.len) {
		refuse_unrouted(fr, exchange, &info, 400);
		return;
	}
	verdict = fr_org_admit(fr, route, &info);
	if (verdict.status) {
		fr_query_refuse(fr, exchange, &info, verdict.status,
				verdict.retry_after);
		return;
	}
	if (verdict.asks)
		fr_ask_start(fr, exchange, route, verdict.org, &info);
	else
		fr_query_start(fr, exchange, fr->config.table, route,
			       verdict.org, &info);
}

static void on_disconnect(void *ctx, struct ht_exchange *exchange)
{
	struct fr_query *query = exchange->data;
	struct fr *fr = ctx;
	struct ev_event event = { .code = EV_FORWARD_GONE };

	if (!query) {
		if (!fr_delegation_cancel(fr, exchange))
			fr_ask_cancel(fr, exchange);
		return;
	}
	event.request = query->request->id;
	event.num2 = ht_now() - query->request->received_at;
	fr_log_event(fr, &event);
	if (query->delegation)
		fr_delegation_end(query->delegation);
	fr_query_cancel(query);
}

static void on_bad_request(void *ctx, int status)
{
	struct fr *fr = ctx;
	const struct ev_event event = { .code = EV_HTTP_BAD_REQUEST,
					.num1 = status };

	met_add(&fr->metrics, MET_HTTP_BAD, 1);
	fr_log_event(fr, &event);
}

const struct ht_server_ops fr_caller_ops = {
	.request = on_request,
	.disconnected = on_disconnect,
	.bad_request = on_bad_request,
};

static void count_reply(struct fr *fr, const struct fw_request *request,
			const struct fw_reply *reply)
{
	enum met_counter counter = MET_QUERIES_REFUSED;

	if (reply->reason == FW_COMPLETE || reply->reason == FW_PASSED_ON)
		counter = MET_QUERIES_COMPLETE;
	else if (reply->reason == FW_PARTIAL)
		counter = MET_QUERIES_PARTIAL;
	else if (reply->reason == FW_TIMEOUT)
		counter = MET_QUERIES_LATE;
	met_add(&fr->metrics, counter, 1);
	met_hist_add(&fr->metrics.histogram[MET_QUERY_TIME],
		     ht_now() - request->received_at);
}

/*
 * Appends the services whose parts are missing, each with the upstream of its
 * last call.
 */
static void append_missing_parts(const struct fw_request *request,
				 struct gb_buf *detail)
{
	uint32_t shown = 0;

	for (uint32_t i = 0; i < request->parts_len; i++) {
		const struct fw_part *part = &request->parts[i];
		const struct fw_call *last = NULL;

		if (part->state == FW_PART_ANSWERED ||
		    shown == MISSING_LOGGED_MAX)
			continue;
		if (part->calls_len)
			last = &part->calls[part->calls_len - 1];
		gb_buf_addf(
			detail, "%s%.*s", shown++ ? "," : " missing_services=",
			(int)part->service->name.len, part->service->name.ptr);
		if (last)
			gb_buf_addf(detail, "(%.*s)",
				    (int)last->upstream->id.len,
				    last->upstream->id.ptr);
	}
}

static void log_reply(struct fr *fr, const struct fw_request *request,
		      const struct fw_reply *reply)
{
	struct gb_str reason = fw_reason_name(reply->reason);
	struct gb_buf detail = GB_BUF_INIT;
	struct ev_event event = {
		.code = EV_FORWARD_END,
		.request = request->id,
		.num1 = reply->status,
		.num2 = ht_now() - request->received_at,
	};

	gb_buf_addf(&detail,
		    "reason=%.*s route=%.*s config_version=%lld parts=%u "
		    "missing=%u sends=%u aim_us=%lld",
		    (int)reason.len, reason.ptr, (int)request->route->name.len,
		    request->route->name.ptr,
		    (long long)request->table->version, request->parts_len,
		    request->parts_len - request->parts_answered,
		    request->sends, (long long)request->route->target_latency);
	append_missing_parts(request, &detail);
	event.detail = gb_buf_str(&detail);
	fr_log_event(fr, &event);
	gb_buf_free(&detail);
}

static void on_reply(void *ctx, struct fw_request *request,
		     const struct fw_reply *reply)
{
	struct fr_query *query = request->data;
	struct gb_buf fields = GB_BUF_INIT;
	struct fr *fr = ctx;

	log_reply(fr, request, reply);
	if (query->delegation &&
	    !fr_delegation_take_reply(query->delegation, reply)) {
		query->exchange->data = NULL;
		query->exchange = NULL;
		return;
	}
	fr->platform->write_reply(reply, request->id, &fields);
	if (query->is_of_other) {
		fr_hop_mark_reply(&fields);
	} else {
		count_reply(fr, request, reply);
		/* 503 promises that the request has not run. */
		if (reply->status == 503 && !reply->answer)
			fr_org_refund(fr, request->org);
	}
	query->exchange->data = NULL;
	ht_reply(query->exchange,
		 &(struct ht_reply){
			 .status = reply->status,
			 .fields = gb_buf_str(&fields),
			 .body = reply->answer
					 ? gb_buf_str(&reply->answer->body)
					 : reply->body,
		 });
	query->exchange = NULL;
	gb_buf_free(&fields);
}

static void on_event(void *ctx, const struct fw_event *decision)
{
	const struct fl_upstream *upstream = decision->upstream;
	const struct ev_event event = {
		.code = decision->code,
		.request = decision->request->id,
		.upstream = upstream ? upstream->id : GB_STR(""),
		.dc = upstream ? upstream->dc : GB_STR(""),
		.num1 = decision->num1,
		.num2 = decision->num2,
		.detail = decision->detail,
	};

	fr_log_event(ctx, &event);
}

const struct fw_ops fr_forward_ops = {
	.send = fr_upstream_send,
	.cancel = fr_upstream_cancel,
	.reply = on_reply,
	.event = on_event,
	.report_crashes = fr_suspect_report,
	.report_answer = fr_suspect_tell_answer,
};

/* Aborts the requests still in flight, before the process is killed. */
void fr_abort_queries(struct fr *fr)
{
	GList *next;

	fr_ask_abort(fr);
	fr_delegation_abort(fr);
	for (GList *at = fr->queries.head; at; at = next) {
		struct fr_query *query = at->data;

		next = at->next;
		fw_request_stop(query->request, ht_now());
		fr_query_free_or_rearm(query);
	}
}
