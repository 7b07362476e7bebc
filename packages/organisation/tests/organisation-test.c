#include "limit-simulation.h"

#include <math.h>

/* Organisations and one VM on a virtual clock. */
struct ctx {
	gb_time now;
	struct og_table *table;
	struct og_limiter *limiter;
	struct og_buckets *buckets;
	struct og_settings settings;
	uint32_t vms;
};

static void *open_ctx(void)
{
	struct ctx *ctx = g_new0(struct ctx, 1);

	ctx->now = 100 * GB_SEC;
	ctx->settings =
		(struct og_settings){ .tolerance = 20, .window = 5 * GB_SEC };
	ctx->table = og_table_new();
	ctx->limiter = og_limiter_new(&ctx->settings);
	ctx->buckets = og_buckets_new(&ctx->settings);
	ctx->vms = 4;
	return ctx;
}

static void close_ctx(void *data)
{
	struct ctx *ctx = data;

	og_table_free(ctx->table);
	og_limiter_free(ctx->limiter);
	og_buckets_free(ctx->buckets);
	g_free(ctx);
}

/* org NAME priority= rate= burst= */
static void cmd_org(void *data, const struct scr_args *args, struct gb_buf *out)
{
	struct ctx *ctx = data;
	const struct og_org org = {
		.name = scr_word(args, 0),
		.priority = scr_int(args, GB_STR("priority"), 1),
		.rate = scr_double(args, GB_STR("rate"), 0),
		.burst = scr_double(args, GB_STR("burst"), 0),
	};

	if (!og_table_add(ctx->table, &org))
		gb_buf_add(out, GB_STR("  there is one of that name\n"));
}

static const struct og_org *find_org(struct ctx *ctx, struct gb_str name)
{
	return og_table_by_id(ctx->table, gb_hash(name, 0));
}

/* key ORG KEY */
static void cmd_key(void *data, const struct scr_args *args, struct gb_buf *out)
{
	struct ctx *ctx = data;

	if (!og_table_add_key(ctx->table, find_org(ctx, scr_word(args, 0)),
			      scr_word(args, 1)))
		gb_buf_add(out, GB_STR("  ignored\n"));
}

/* find KEY */
static void cmd_find(void *data, const struct scr_args *args,
		     struct gb_buf *out)
{
	struct ctx *ctx = data;
	const struct og_org *org = og_table_find(ctx->table, scr_word(args, 0));

	if (!org)
		gb_buf_add(out, GB_STR("  nobody\n"));
	else
		gb_buf_addf(
			out, "  %.*s, priority %u, more urgent ones %d\n",
			(int)org->name.len, org->name.ptr, org->priority,
			og_table_has_more_urgent(ctx->table, org->priority));
}

static void cmd_wait(void *data, const struct scr_args *args,
		     struct gb_buf *out)
{
	struct ctx *ctx = data;

	(void)out;
	ctx->now += scr_int(args, GB_STR("ms"), 0) * GB_MSEC;
}

/* admit ORG n=: requests at this VM */
static void cmd_admit(void *data, const struct scr_args *args,
		      struct gb_buf *out)
{
	struct ctx *ctx = data;
	const struct og_org *org = find_org(ctx, scr_word(args, 0));
	int64_t n = scr_int(args, GB_STR("n"), 1), admitted = 0, asks = 0;
	gb_time wait = 0;

	for (int64_t i = 0; i < n; i++) {
		enum og_verdict verdict =
			og_admit(ctx->limiter, org, ctx->vms, ctx->now, &wait);

		admitted += verdict == OG_ADMITTED;
		asks += verdict == OG_ASK;
	}
	gb_buf_addf(out, "  admitted %lld of %lld", (long long)admitted,
		    (long long)n);
	if (asks)
		gb_buf_addf(out, ", asks for %lld", (long long)asks);
	if (admitted + asks < n)
		gb_buf_addf(out, ", wait %lld ms", (long long)(wait / GB_MSEC));
	gb_buf_addc(out, '\n');
}

/* asked ORG granted=: the bucket VM has decided; unasked ORG: it has not */
static void cmd_asked(void *data, const struct scr_args *args,
		      struct gb_buf *out)
{
	struct ctx *ctx = data;

	(void)out;
	og_asked(ctx->limiter, find_org(ctx, scr_word(args, 0)),
		 scr_int(args, GB_STR("granted"), 1), ctx->now);
}

static void cmd_unasked(void *data, const struct scr_args *args,
			struct gb_buf *out)
{
	struct ctx *ctx = data;
	gb_time wait = 0;

	gb_buf_addf(out, "  admitted %d\n",
		    og_admit_unasked(ctx->limiter,
				     find_org(ctx, scr_word(args, 0)), ctx->vms,
				     ctx->now, &wait));
}

/* ask ORG vm= admitted=: a request that another VM has */
static void cmd_ask(void *data, const struct scr_args *args, struct gb_buf *out)
{
	struct ctx *ctx = data;
	const struct og_org *org = find_org(ctx, scr_word(args, 0));
	const struct og_use use = {
		.org = org->id,
		.since = 1,
		.admitted = scr_int(args, GB_STR("admitted"), 0),
	};
	gb_time wait = 0;

	switch (og_bucket_ask(ctx->buckets, org, ctx->vms,
			      scr_int(args, GB_STR("vm"), 1), &use, ctx->now,
			      &wait)) {
	case OG_ADMITTED:
		gb_buf_add(out, GB_STR("  granted\n"));
		break;
	case OG_REFUSED:
		gb_buf_addf(out, "  refused, wait %lld ms\n",
			    (long long)(wait / GB_MSEC));
		break;
	case OG_ASK:
		gb_buf_add(out, GB_STR("  not decided\n"));
		break;
	}
}

static void cmd_refund(void *data, const struct scr_args *args,
		       struct gb_buf *out)
{
	struct ctx *ctx = data;

	(void)out;
	og_refund(ctx->limiter, find_org(ctx, scr_word(args, 0)), ctx->now);
}

static void print_use(void *out, const struct og_use *use)
{
	gb_buf_addf(out, "  reports admitted=%lld recent=%u\n",
		    (long long)use->admitted, use->recent);
}

static void cmd_reports(void *data, const struct scr_args *args,
			struct gb_buf *out)
{
	struct ctx *ctx = data;

	(void)args;
	og_each_report(ctx->limiter, ctx->now, print_use, out);
}

/* level ORG tokens= answer=TOTAL: what the bucket VM tells */
static void cmd_level(void *data, const struct scr_args *args,
		      struct gb_buf *out)
{
	struct ctx *ctx = data;
	const struct og_level level = {
		.org = gb_hash(scr_word(args, 0), 0),
		.tokens = scr_double(args, GB_STR("tokens"), 0),
		.is_answer = scr_int(args, GB_STR("answer"), -1) >= 0,
		.admitted = scr_int(args, GB_STR("answer"), 0),
	};

	(void)out;
	og_receive_level(ctx->limiter, &level, ctx->now);
}

/* bucket ORG vm= admitted= recent= since=: a report that this VM gets */
static void cmd_bucket(void *data, const struct scr_args *args,
		       struct gb_buf *out)
{
	struct ctx *ctx = data;
	const struct og_org *org = find_org(ctx, scr_word(args, 0));
	const struct og_use use = {
		.org = org->id,
		.since = scr_int(args, GB_STR("since"), 1),
		.admitted = scr_int(args, GB_STR("admitted"), 0),
		.recent = scr_int(args, GB_STR("recent"), 0),
	};
	struct og_level level;

	if (og_bucket_report(ctx->buckets, org, ctx->vms,
			     scr_int(args, GB_STR("vm"), 1), &use, ctx->now,
			     &level))
		gb_buf_addf(out, "  answers tokens=%.1f\n", level.tokens);
	if (og_low_level(ctx->buckets, org, ctx->now, &level))
		gb_buf_addf(out, "  tells all tokens=%.1f\n", level.tokens);
}

/* vms n= reach=: VMs that may run, and the part that this one reaches */
static void cmd_vms(void *data, const struct scr_args *args, struct gb_buf *out)
{
	struct ctx *ctx = data;

	(void)out;
	ctx->vms = scr_int(args, GB_STR("n"), 4);
	og_buckets_set_reach(ctx->buckets,
			     scr_double(args, GB_STR("reach"), 1));
}

/* largest: those with the most requests, and how many others */
static void cmd_largest(void *data, const struct scr_args *args,
			struct gb_buf *out)
{
	struct ctx *ctx = data;
	struct og_largest largest;

	(void)args;
	og_find_largest(ctx->limiter, ctx->now, &largest);
	for (uint32_t i = 0; i < largest.len; i++) {
		const struct og_view *view = &largest.view[i];
		const struct og_org *org =
			og_table_by_id(ctx->table, view->org);

		gb_buf_addf(out, "  %.*s: %lld admitted, %llu refused\n",
			    (int)org->name.len, org->name.ptr,
			    (long long)view->admitted,
			    (unsigned long long)view->refused);
	}
	gb_buf_addf(out, "  %u others: %lld admitted, %llu refused\n",
		    largest.others_len, (long long)largest.others_admitted,
		    (unsigned long long)largest.others_refused);
}

/*
 * simulate vms= used= rate= burst= asked= hot= hot_from= hot_to= lost= cut=
 * cut_from= cut_to= restarts= seconds= runs= most= served=: prints whether each
 * window is within the limit, and whether enough was admitted
 */
static void cmd_simulate(void *data, const struct scr_args *args,
			 struct gb_buf *out)
{
	const struct ctx *ctx = data;
	const int64_t vms = scr_int(args, GB_STR("vms"), 34);
	const struct sim_plan plan = {
		.vms = vms,
		.used_vms = scr_int(args, GB_STR("used"), vms),
		.org = { .id = 1,
			 .rate = scr_double(args, GB_STR("rate"), 17),
			 .burst = scr_double(args, GB_STR("burst"), 17) },
		.settings = ctx->settings,
		.asked = scr_double(args, GB_STR("asked"), 10),
		.hot_asked = scr_double(args, GB_STR("hot"), 75),
		.hot_from = scr_double(args, GB_STR("hot_from"), 0),
		.hot_to = scr_double(args, GB_STR("hot_to"), 0),
		.lost = scr_double(args, GB_STR("lost"), 0),
		.cut = scr_int(args, GB_STR("cut"), 0),
		.cut_from = scr_double(args, GB_STR("cut_from"), 0),
		.cut_to = scr_double(args, GB_STR("cut_to"), 0),
		.bucket_restarts = scr_double(args, GB_STR("restarts"), 0),
		.duration = scr_int(args, GB_STR("seconds"), 30) * GB_SEC,
	};
	double allowed = (plan.org.rate * plan.settings.window / GB_SEC +
			  plan.org.burst) *
				 1.1 +
			 plan.settings.tolerance;
	double served_min = scr_double(args, GB_STR("served"), 0);
	int64_t runs = scr_int(args, GB_STR("runs"), 5);
	struct sim_result sum = { 0 };
	double served;

	for (int64_t i = 0; i < runs; i++) {
		struct sim_result result = sim_run(&plan, i + 1);

		sum.asked += result.asked;
		sum.admitted += result.admitted;
		sum.messages += result.messages;
		sum.window_max = MAX(sum.window_max, result.window_max);
	}
	served = (double)sum.admitted / sum.asked;
	gb_buf_addf(out, "  each window within the limit: %s\n",
		    sum.window_max <= allowed ? "yes" : "no");
	if (served_min)
		gb_buf_addf(out, "  admitted at least %.3g: %s\n", served_min,
			    served >= served_min ? "yes" : "no");
	if (g_getenv("VERBOSE"))
		g_printerr(
			"vms=%u used=%u rate=%.0f asked=%.0f hot=%.0f cut=%u: "
			"most in a window %u of %.0f, admitted %.4f, "
			"%.2f messages a request\n",
			plan.vms, plan.used_vms, plan.org.rate, plan.asked,
			plan.hot_to > 0 ? plan.hot_asked : 0, plan.cut,
			sum.window_max, floor(allowed), served,
			(double)sum.messages / sum.asked);
}

static const struct scr_command commands[] = {
	{ .name = GB_STR_INIT("org"), .run = cmd_org },
	{ .name = GB_STR_INIT("key"), .run = cmd_key },
	{ .name = GB_STR_INIT("find"), .run = cmd_find },
	{ .name = GB_STR_INIT("wait"), .run = cmd_wait },
	{ .name = GB_STR_INIT("admit"), .run = cmd_admit },
	{ .name = GB_STR_INIT("asked"), .run = cmd_asked },
	{ .name = GB_STR_INIT("unasked"), .run = cmd_unasked },
	{ .name = GB_STR_INIT("ask"), .run = cmd_ask },
	{ .name = GB_STR_INIT("refund"), .run = cmd_refund },
	{ .name = GB_STR_INIT("reports"), .run = cmd_reports },
	{ .name = GB_STR_INIT("level"), .run = cmd_level },
	{ .name = GB_STR_INIT("bucket"), .run = cmd_bucket },
	{ .name = GB_STR_INIT("vms"), .run = cmd_vms },
	{ .name = GB_STR_INIT("largest"), .run = cmd_largest },
	{ .name = GB_STR_INIT("simulate"), .run = cmd_simulate },
};

int main(int argc, char **argv)
{
	const struct scr_suite suite = {
		.name = "organisation",
		.folder = "packages/organisation/tests",
		.commands = commands,
		.commands_len = G_N_ELEMENTS(commands),
		.context_new = open_ctx,
		.context_free = close_ctx,
	};

	return scr_main(argc, argv, &suite);
}
