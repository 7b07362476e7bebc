#include "daemon/gd.h"

#define EVENTS_MAX 10000 /* per answer */

static void handle_live(struct gd *gd, h2o_req_t *req, struct gb_str subpath);
static void handle_ready(struct gd *gd, h2o_req_t *req, struct gb_str subpath);
static void handle_metrics(struct gd *gd, h2o_req_t *req,
			   struct gb_str subpath);
static void handle_status(struct gd *gd, h2o_req_t *req, struct gb_str subpath);
static void handle_config(struct gd *gd, h2o_req_t *req, struct gb_str subpath);
static void handle_events(struct gd *gd, h2o_req_t *req, struct gb_str subpath);
static void handle_plan(struct gd *gd, h2o_req_t *req, struct gb_str subpath);
static void handle_confirm(struct gd *gd, h2o_req_t *req,
			   struct gb_str subpath);
static struct gb_str request_body(const h2o_req_t *req);
static void reply_json(struct gd *gd, h2o_req_t *req, int status,
		       struct gb_buf *body);

const struct gd_route gd_admin_routes[] = {
	{ GB_STR("GET"), GB_STR("/live"), false, handle_live },
	{ GB_STR("GET"), GB_STR("/ready"), false, handle_ready },
	{ GB_STR("GET"), GB_STR("/metrics"), false, handle_metrics },
	{ GB_STR("GET"), GB_STR("/v1/admin/status"), false, handle_status },
	{ GB_STR("GET"), GB_STR("/v1/admin/config"), false, handle_config },
	{ GB_STR("GET"), GB_STR("/v1/admin/events"), false, handle_events },
	{ GB_STR("POST"), GB_STR("/v1/admin/plan"), false, handle_plan },
	{ GB_STR("POST"), GB_STR("/v1/admin/confirm"), false, handle_confirm },
};
const size_t gd_admin_routes_len = G_N_ELEMENTS(gd_admin_routes);

static struct gb_str request_body(const h2o_req_t *req)
{
	return (struct gb_str){ .ptr = req->entity.base,
				.len = req->entity.len };
}

/* Sends the body and frees it. */
static void reply_json(struct gd *gd, h2o_req_t *req, int status,
		       struct gb_buf *body)
{
	gd_http_reply(gd, req, status, GB_STR("application/json"),
		      gb_buf_str(body));
	gb_buf_free(body);
}

static void handle_live(struct gd *gd, h2o_req_t *req,
			struct gb_str subpath __attribute__((unused)))
{
	gd_http_reply(gd, req, 200, GB_STR("application/json"),
		      GB_STR("{\"live\":true}"));
}

static void handle_ready(struct gd *gd, h2o_req_t *req,
			 struct gb_str subpath __attribute__((unused)))
{
	bool ready = gd->phase == GD_RUNNING && nd_ready(gd->node);

	gd_http_reply(gd, req, ready ? 200 : 503, GB_STR("application/json"),
		      ready ? GB_STR("{\"ready\":true}")
			    : GB_STR("{\"ready\":false}"));
}

static void handle_metrics(struct gd *gd, h2o_req_t *req,
			   struct gb_str subpath __attribute__((unused)))
{
	struct gb_buf body = GB_BUF_INIT;

	met_text(&gd->metrics, &body);
	gd_http_reply(gd, req, 200, GB_STR("text/plain; version=0.0.4"),
		      gb_buf_str(&body));
	gb_buf_free(&body);
}

static void handle_status(struct gd *gd, h2o_req_t *req,
			  struct gb_str subpath __attribute__((unused)))
{
	struct gb_buf body = GB_BUF_INIT;
	struct nd_status status;

	nd_status(gd->node, gd_clock(), &status);
	js_status_encode(&status, nd_current_config(gd->node), &body);
	reply_json(gd, req, 200, &body);
}

static void handle_config(struct gd *gd, h2o_req_t *req,
			  struct gb_str subpath __attribute__((unused)))
{
	const struct cfg *cfg = nd_current_config(gd->node);
	struct gb_error err = { .code = GB_ERR_NOT_RUN };
	struct gb_buf body = GB_BUF_INIT;

	if (!cfg) {
		gd_http_error(gd, req, &err);
		return;
	}
	js_config_encode(cfg, &body);
	gd_http_add_header(req, GB_STR("etag"), "\"%" PRIu64 "\"",
			   cfg->version);
	reply_json(gd, req, 200, &body);
}

/*
 * Sends the stored events that match the filter, oldest first, one JSON object
 * per line. after=STAMP continues an earlier answer.
 */
static void handle_events(struct gd *gd, h2o_req_t *req,
			  struct gb_str subpath __attribute__((unused)))
{
	struct ev_filter filter = {
		.request = gd_http_query_param(req, GB_STR("request")),
		.upstream = gd_http_query_param(req, GB_STR("upstream")),
		.dc = gd_http_query_param(req, GB_STR("dc")),
		.vm = -1,
	};
	struct gb_buf body = GB_BUF_INIT;
	int64_t after = -1;
	uint32_t found = 0;

	gb_str_to_int(gd_http_query_param(req, GB_STR("vm")), 0, UINT32_MAX,
		      &filter.vm);
	gb_str_to_int(gd_http_query_param(req, GB_STR("after")), 0, INT64_MAX,
		      &after);
	for (size_t i = 0; i < ev_ring_len(gd->ring); i++) {
		const struct ev_event *event = ev_ring_at(gd->ring, i);

		if ((int64_t)event->hlc <= after ||
		    !ev_filter_match(&filter, event))
			continue;
		if (found++ == EVENTS_MAX)
			break;
		js_event_encode(event, &body);
	}
	gd_http_reply(gd, req, 200, GB_STR("application/x-ndjson"),
		      gb_buf_str(&body));
	gb_buf_free(&body);
}

static void handle_plan(struct gd *gd, h2o_req_t *req,
			struct gb_str subpath __attribute__((unused)))
{
	struct pln_intent intent = { 0 };
	struct gb_error err = { 0 };
	struct gd_pending_request *pending;

	if (js_intent_decode(request_body(req), &intent, &err)) {
		gd_http_error(gd, req, &err);
		return;
	}
	pending = gd_http_add_pending(gd, req, NULL);
	pending->intent = intent;
	pending->has_intent = true;
	nd_plan(gd->node, gd_clock(), pending->handle, &intent);
}

static void handle_confirm(struct gd *gd, h2o_req_t *req,
			   struct gb_str subpath __attribute__((unused)))
{
	struct pln_intent intent = { 0 };
	struct gb_error err = { 0 };
	struct gd_pending_request *pending;
	uint64_t plan, base, handle;

	if (js_confirm_decode(request_body(req), &plan, &base, &intent, &err)) {
		gd_http_error(gd, req, &err);
		return;
	}
	pending = gd_http_add_pending(gd, req, NULL);
	handle = pending->handle;
	nd_confirm(gd->node, gd_clock(), handle, plan, base, &intent);
	js_intent_free(&intent);
	gd_http_watch_disconnect(gd, handle);
}

void gd_admin_answer(struct gd *gd, const struct nd_admin_result *result)
{
	struct gd_pending_request *pending =
		gd_http_find_pending(gd, result->caller);
	struct gb_error err = { .code = result->code,
				.number = result->version };
	struct gb_buf body = GB_BUF_INIT;
	h2o_req_t *req;

	if (!pending)
		return;
	if (result->code != GB_OK)
		js_error_encode(&err, &body);
	else if (result->plan)
		js_plan_encode(result->plan, &pending->intent, &body);
	else
		gb_buf_addf(&body,
			    "{\"status\":\"ok\",\"version\":%" PRIu64 "}",
			    result->version);
	req = gd_http_remove_pending(gd, pending);
	if (gd_http_status(result->code) == 503)
		gd_http_add_header(req, GB_STR("retry-after"), "1");
	reply_json(gd, req, gd_http_status(result->code), &body);
}
