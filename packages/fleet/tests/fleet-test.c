#include "fleet/fl.h"
#include "script/scr.h"

/* A fleet on a virtual clock. */
struct ctx {
	gb_time now;
	gb_time median_latency;
	struct gb_rng rng;
	struct fl_fleet *fleet;
	uint32_t vms;
	uint32_t rank;
	struct gb_buf *out;
};

static void on_upstream_reset(void *data, struct fl_upstream *upstream)
{
	struct ctx *ctx = data;

	if (ctx->out)
		gb_buf_addf(ctx->out, "  resets %.*s\n", (int)upstream->id.len,
			    upstream->id.ptr);
}

static void on_exclusion_ended(void *data, struct gb_str dc)
{
	struct ctx *ctx = data;

	gb_buf_addf(ctx->out, "  includes %.*s\n", (int)dc.len, dc.ptr);
}

static uint32_t vms(void *data)
{
	struct ctx *ctx = data;

	return ctx->vms;
}

static uint32_t rank(void *data, uint64_t key)
{
	struct ctx *ctx = data;

	(void)key;
	return ctx->rank;
}

static struct fl_fleet *new_fleet(struct ctx *ctx, gb_time drain,
				  bool checks_versions)
{
	static const struct fl_ops ops = { .upstream_reset = on_upstream_reset,
					   .exclusion_ended =
						   on_exclusion_ended };
	static const struct fl_membership membership = { .live_vms = vms,
							 .rank = rank };
	const struct fl_settings settings = { .dc = GB_STR_INIT("here"),
					      .cross_dc_rtt = 6 * GB_MSEC,
					      .drain_time = drain,
					      .cold_burst = 5,
					      .checks_versions =
						      checks_versions };

	return fl_new(&settings, &ops, &membership, ctx, &ctx->rng);
}

static void *open_ctx(void)
{
	struct ctx *ctx = g_new0(struct ctx, 1);

	ctx->now = GB_SEC;
	ctx->median_latency = 10 * GB_MSEC;
	ctx->vms = 1;
	ctx->rng.state = 7;
	ctx->fleet = new_fleet(ctx, 2800 * GB_MSEC, false);
	return ctx;
}

static void close_ctx(void *data)
{
	struct ctx *ctx = data;

	ctx->out = NULL;
	fl_free(ctx->fleet);
	g_free(ctx);
}

/* drain ms=: replaces the fleet by an empty one with this drain time */
static void cmd_drain(void *data, const struct scr_args *args,
		      struct gb_buf *out)
{
	struct ctx *ctx = data;

	ctx->out = out;
	fl_free(ctx->fleet);
	ctx->fleet =
		new_fleet(ctx, scr_int(args, GB_STR("ms"), 0) * GB_MSEC, false);
}

/* versions: replaces the fleet by an empty one that checks versions */
static void cmd_versions(void *data, const struct scr_args *args,
			 struct gb_buf *out)
{
	struct ctx *ctx = data;

	(void)args;
	ctx->out = out;
	fl_free(ctx->fleet);
	ctx->fleet = new_fleet(ctx, 2800 * GB_MSEC, true);
}

/* move to=VERSION | end=completed | end=barred: a roll-out begins or ends */
static void cmd_move(void *data, const struct scr_args *args,
		     struct gb_buf *out)
{
	struct ctx *ctx = data;
	struct fl_service *service = fl_service(ctx->fleet, GB_STR("s"));
	struct gb_str to = scr_str(args, GB_STR("to"), GB_STR(""));
	struct gb_str end = scr_str(args, GB_STR("end"), GB_STR(""));

	if (to.len)
		fl_set_target_version(ctx->fleet, service, to, ctx->now);
	else if (gb_str_eq(end, GB_STR("completed")))
		fl_complete_target_version(service);
	else
		fl_bar_target_version(service);
	gb_buf_addf(out, "  ready: target %u, current %u\n",
		    fl_count_ready(ctx->fleet, service, true, ctx->now),
		    fl_count_ready(ctx->fleet, service, false, ctx->now));
}

/*
 * put ID dc= version= process_start= leaving= restored= unseen_ms= cold_ms=
 * address=
 */
static void cmd_put(void *data, const struct scr_args *args, struct gb_buf *out)
{
	struct ctx *ctx = data;
	const struct fl_entry entry = {
		.id = scr_word(args, 0),
		.service = GB_STR_INIT("s"),
		.address =
			scr_str(args, GB_STR("address"), GB_STR("10.0.0.1:80")),
		.dc = scr_str(args, GB_STR("dc"), GB_STR("here")),
		.version = scr_str(args, GB_STR("version"), GB_STR("")),
		.slots = 2,
		.leaving = scr_int(args, GB_STR("leaving"), 0),
		.restored = scr_int(args, GB_STR("restored"), 0),
		.unseen = scr_int(args, GB_STR("unseen_ms"), 0) * GB_MSEC,
		.cold_remaining = scr_int(args, GB_STR("cold_ms"), 0) * GB_MSEC,
		.process_start = scr_int(args, GB_STR("process_start"), 1),
	};

	ctx->out = out;
	if (!fl_apply_entry(ctx->fleet, ctx->now, &entry))
		gb_buf_add(out, GB_STR("  ignored\n"));
}

static void cmd_remove(void *data, const struct scr_args *args,
		       struct gb_buf *out)
{
	struct ctx *ctx = data;

	(void)out;
	fl_remove_entry(ctx->fleet, ctx->now, scr_word(args, 0),
			scr_int(args, GB_STR("unseen_ms"), 0) * GB_MSEC);
}

static void cmd_list(void *data, const struct scr_args *args,
		     struct gb_buf *out)
{
	struct ctx *ctx = data;

	(void)out;
	if (gb_str_eq(scr_word(args, 0), GB_STR("begin")))
		fl_list_begin(ctx->fleet);
	else
		fl_list_end(ctx->fleet, ctx->now,
			    scr_int(args, GB_STR("unseen_ms"), 0) * GB_MSEC);
}

static void cmd_exclude(void *data, const struct scr_args *args,
			struct gb_buf *out)
{
	struct ctx *ctx = data;

	(void)out;
	fl_set_dc_excluded(ctx->fleet, scr_word(args, 0),
			   scr_int(args, GB_STR("on"), 1));
}

static void cmd_exclusions(void *data, const struct scr_args *args,
			   struct gb_buf *out)
{
	struct ctx *ctx = data;

	ctx->out = out;
	if (gb_str_eq(scr_word(args, 0), GB_STR("begin")))
		fl_exclusions_begin(ctx->fleet);
	else
		fl_exclusions_end(ctx->fleet);
}

static void cmd_limits(void *data, const struct scr_args *args,
		       struct gb_buf *out)
{
	struct ctx *ctx = data;
	struct fl_service *service = fl_service(ctx->fleet, GB_STR("s"));

	(void)out;
	ctx->vms = scr_int(args, GB_STR("vms"), 1);
	ctx->rank = scr_int(args, GB_STR("rank"), 0);
	service->conns_max = scr_int(args, GB_STR("conns"), 26);
	service->cold_rate = scr_double(args, GB_STR("cold_rate"), 0);
}

static void cmd_wait(void *data, const struct scr_args *args,
		     struct gb_buf *out)
{
	struct ctx *ctx = data;

	ctx->out = out;
	ctx->now += scr_int(args, GB_STR("ms"), 0) * GB_MSEC;
	fl_purge_departed(ctx->fleet, ctx->now);
}

static struct fl_upstream *pick(struct ctx *ctx, bool healthy_only,
				bool of_target, gb_time *wait)
{
	const struct fl_pick_options options = { .of_target = of_target,
						 .median_latency =
							 ctx->median_latency,
						 .healthy_only = healthy_only };

	return fl_pick_upstream(ctx->fleet, fl_service(ctx->fleet, GB_STR("s")),
				&options, ctx->now, wait);
}

/*
 * pick n= healthy= target=: picks n times without sending, and prints how often
 * each upstream was chosen; prints the wait if there was none to choose.
 */
static void cmd_pick(void *data, const struct scr_args *args,
		     struct gb_buf *out)
{
	struct ctx *ctx = data;
	int64_t n = scr_int(args, GB_STR("n"), 100);
	GHashTable *counts = g_hash_table_new(g_direct_hash, g_direct_equal);
	GPtrArray *upstreams = fl_service(ctx->fleet, GB_STR("s"))->upstreams;
	gb_time wait = GB_NEVER;
	int64_t none = 0;

	for (int64_t i = 0; i < n; i++) {
		struct fl_upstream *upstream =
			pick(ctx, scr_int(args, GB_STR("healthy"), 0),
			     scr_int(args, GB_STR("target"), 0), &wait);
		gint count;

		if (!upstream) {
			none++;
			continue;
		}
		count = GPOINTER_TO_INT(g_hash_table_lookup(counts, upstream));
		g_hash_table_insert(counts, upstream,
				    GINT_TO_POINTER(count + 1));
	}
	for (guint i = 0; i < upstreams->len; i++) {
		struct fl_upstream *upstream = upstreams->pdata[i];

		gb_buf_addf(out, "  %.*s %s\n", (int)upstream->id.len,
			    upstream->id.ptr,
			    !g_hash_table_lookup(counts, upstream) ? "never"
			    : GPOINTER_TO_INT(g_hash_table_lookup(
				      counts, upstream)) == n
				    ? "always"
				    : "at times");
	}
	if (none && wait == GB_NEVER)
		gb_buf_addf(out, "  none, nothing to wait for\n");
	else if (none)
		gb_buf_addf(out, "  none, wait %lld ms\n",
			    (long long)(wait / GB_MSEC));
	g_hash_table_destroy(counts);
}

static struct fl_upstream *find(struct ctx *ctx, struct gb_str id)
{
	GPtrArray *upstreams = fl_service(ctx->fleet, GB_STR("s"))->upstreams;

	for (guint i = 0; i < upstreams->len; i++)
		if (gb_str_eq(((struct fl_upstream *)upstreams->pdata[i])->id,
			      id))
			return upstreams->pdata[i];
	return NULL;
}

/* call ID n= ms= end=answered|refused|failed|unreachable|abandoned|running */
static void cmd_call(void *data, const struct scr_args *args,
		     struct gb_buf *out)
{
	struct ctx *ctx = data;
	struct gb_str end = scr_str(args, GB_STR("end"), GB_STR("answered"));
	struct fl_upstream *upstream = find(ctx, scr_word(args, 0));
	gb_time elapsed = scr_int(args, GB_STR("ms"), 10) * GB_MSEC;

	(void)out;
	for (int64_t n = scr_int(args, GB_STR("n"), 1); n > 0; n--) {
		fl_call_sent(ctx->fleet, upstream, ctx->now);
		if (gb_str_eq(end, GB_STR("answered")))
			fl_call_answered(upstream, ctx->now, elapsed,
					 ctx->median_latency);
		else if (gb_str_eq(end, GB_STR("refused")))
			fl_call_refused(upstream, ctx->now);
		else if (gb_str_eq(end, GB_STR("failed")))
			fl_call_failed(upstream, ctx->now);
		else if (gb_str_eq(end, GB_STR("unreachable")))
			fl_call_unreachable(upstream, ctx->now);
		else if (gb_str_eq(end, GB_STR("abandoned")))
			fl_call_abandoned(upstream, ctx->now, elapsed,
					  ctx->median_latency);
		else if (gb_str_eq(end, GB_STR("misdirected")))
			fl_call_misdirected(ctx->fleet, upstream, ctx->now);
	}
}

/* announce ID: the upstream announces in an answer that it is leaving */
static void cmd_announce(void *data, const struct scr_args *args,
			 struct gb_buf *out)
{
	struct ctx *ctx = data;

	gb_buf_addf(out, "  %s\n",
		    fl_leaving_announced(find(ctx, scr_word(args, 0)), ctx->now)
			    ? "is news"
			    : "is known");
}

/* pause ID ms=: the upstream asks for no requests for that time */
static void cmd_pause(void *data, const struct scr_args *args,
		      struct gb_buf *out)
{
	struct ctx *ctx = data;

	(void)out;
	fl_pause_requested(find(ctx, scr_word(args, 0)), ctx->now,
			   scr_int(args, GB_STR("ms"), 0) * GB_MSEC);
}

static void cmd_conns(void *data, const struct scr_args *args,
		      struct gb_buf *out)
{
	struct ctx *ctx = data;

	gb_buf_addf(out, "  %u connections\n",
		    fl_conns_max(ctx->fleet, find(ctx, scr_word(args, 0))));
}

/* cold ms=: sends as often as the cold rate allows, and counts the requests. */
static void cmd_cold(void *data, const struct scr_args *args,
		     struct gb_buf *out)
{
	struct ctx *ctx = data;
	gb_time until = ctx->now + scr_int(args, GB_STR("ms"), 0) * GB_MSEC;
	int64_t sent = 0;
	gb_time wait;

	for (; ctx->now < until; ctx->now += 10 * GB_MSEC) {
		struct fl_upstream *upstream;

		while ((upstream = pick(ctx, false, false, &wait))) {
			fl_call_sent(ctx->fleet, upstream, ctx->now);
			fl_call_answered(upstream, ctx->now,
					 ctx->median_latency,
					 ctx->median_latency);
			sent++;
			if (upstream->cold_until <= ctx->now)
				break;
		}
	}
	gb_buf_addf(out, "  sent %lld\n", (long long)sent);
}

int main(int argc, char **argv)
{
	static const struct scr_command commands[] = {
		{ GB_STR_INIT("drain"), cmd_drain },
		{ GB_STR_INIT("versions"), cmd_versions },
		{ GB_STR_INIT("move"), cmd_move },
		{ GB_STR_INIT("put"), cmd_put },
		{ GB_STR_INIT("remove"), cmd_remove },
		{ GB_STR_INIT("list"), cmd_list },
		{ GB_STR_INIT("exclude"), cmd_exclude },
		{ GB_STR_INIT("exclusions"), cmd_exclusions },
		{ GB_STR_INIT("limits"), cmd_limits },
		{ GB_STR_INIT("wait"), cmd_wait },
		{ GB_STR_INIT("pick"), cmd_pick },
		{ GB_STR_INIT("call"), cmd_call },
		{ GB_STR_INIT("announce"), cmd_announce },
		{ GB_STR_INIT("pause"), cmd_pause },
		{ GB_STR_INIT("conns"), cmd_conns },
		{ GB_STR_INIT("cold"), cmd_cold },
	};
	static const struct scr_suite suite = {
		.name = "fleet",
		.folder = "packages/fleet/tests",
		.commands = commands,
		.commands_len = G_N_ELEMENTS(commands),
		.context_new = open_ctx,
		.context_free = close_ctx,
	};

	return scr_main(argc, argv, &suite);
}
