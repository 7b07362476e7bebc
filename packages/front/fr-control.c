#include "front/fr-delegate.h"
#include "front/fr-organisation.h"

bool fr_is_ready(const struct fr *fr)
{
	return fr->phase == FR_RUNNING && fr_is_synced(fr) &&
	       fr_keys_are_fresh(fr);
}

static void reply_text(struct ht_exchange *exchange, int status,
		       struct gb_str body)
{
	const struct ht_reply reply = {
		.status = status,
		.fields = GB_STR_INIT("Content-Type: text/plain\r\n"),
		.body = body,
	};

	ht_reply(exchange, &reply);
}

static void on_ready(void *ctx, struct ht_exchange *exchange)
{
	struct fr *fr = ctx;

	if (!gb_str_eq(exchange->request.path, fr->platform->ready_path))
		reply_text(exchange, 404, GB_STR("no such path\n"));
	else if (fr_is_ready(fr))
		reply_text(exchange, 200, GB_STR("ready\n"));
	else
		reply_text(exchange, 503, GB_STR("not ready\n"));
}

/* Appends the state of this VM, as lines of "key value". */
static void add_status(struct fr *fr, struct gb_buf *out)
{
	static const char *const phases[] = { "running", "stopping",
					      "closing" };
	gb_time now = ht_now();

	gb_buf_addf(out, "phase %s\n", phases[fr->phase]);
	gb_buf_addf(out, "ready %d\n", fr_is_ready(fr));
	gb_buf_addf(out, "config_version %lld\n",
		    fr->config.table ? (long long)fr->config.table->version
				     : 0LL);
	gb_buf_addf(out, "upstreams %zu\n", fl_upstream_count(fr->fleet));
	gb_buf_addf(out, "vms_live %u\n", mem_live_count(fr->members));
	gb_buf_addf(out, "vms_counted %u\n",
		    mem_estimate_vms(fr->members, now));
	gb_buf_addf(out, "queries_running %u\n", fr->queries.length);
	for (int kind = 0; kind < fr->kinds; kind++) {
		const struct dir_follower *f = &fr->followers[kind].state;

		gb_buf_addf(out, "follower_%d revision=%lld failures=%u\n",
			    kind, (long long)f->revision, f->failures);
	}
}

static void add_rollouts(struct fr *fr, struct gb_buf *out)
{
	fr_rollout_text(fr, out);
	if (!out->len)
		gb_buf_add(out, GB_STR("no roll-outs\n"));
}

static void add_metrics(struct fr *fr, struct gb_buf *out)
{
	met_text(&fr->metrics, out);
	fr_org_metrics(fr, out);
}

static void on_control(void *ctx, struct ht_exchange *exchange)
{
	struct gb_buf out = GB_BUF_INIT;
	struct fr_store_query query;
	struct fr *fr = ctx;

	if (fr_hop_serve(fr, exchange))
		return;
	if (fr->platform->read_store_query(exchange->request.path, &query)) {
		fr_mirror_serve(fr, exchange, &query);
		return;
	}
	met_set(&fr->metrics, MET_QUERIES_RUNNING, fr->queries.length);
	met_set(&fr->metrics, MET_CONFIG_VERSION,
		fr->config.table ? fr->config.table->version : 0);
	if (gb_str_eq(exchange->request.path, GB_STR("/metrics")))
		add_metrics(fr, &out);
	else if (gb_str_eq(exchange->request.path, GB_STR("/status")))
		add_status(fr, &out);
	else if (gb_str_eq(exchange->request.path, GB_STR("/rollouts")))
		add_rollouts(fr, &out);
	else if (gb_str_eq(exchange->request.path, GB_STR("/organisations")))
		fr_org_text(fr, &out);
	else if (gb_str_eq(exchange->request.path, GB_STR("/explain")))
		fr_explain(fr, gb_buf_str(&exchange->request.body), &out);
	if (out.len)
		reply_text(exchange, 200, gb_buf_str(&out));
	else
		reply_text(exchange, 404,
			   GB_STR("try /metrics, /status, /rollouts, "
				  "/organisations or /explain\n"));
	gb_buf_free(&out);
}

static void on_disconnect(void *ctx, struct ht_exchange *exchange)
{
	if (!fr_hop_cancel(ctx, exchange))
		fr_mirror_on_disconnect(exchange);
}

static void on_bad_request(void *ctx, int status)
{
	(void)ctx;
	(void)status;
}

const struct ht_server_ops fr_ready_ops = {
	.request = on_ready,
	.disconnected = on_disconnect,
	.bad_request = on_bad_request,
};

const struct ht_server_ops fr_control_ops = {
	.request = on_control,
	.disconnected = on_disconnect,
	.bad_request = on_bad_request,
};
