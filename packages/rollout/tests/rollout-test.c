#include "rollout-simulation.h"

/* One roll-out on a virtual clock, as one VM sees it. */
struct ctx {
	gb_time now;
	struct ro_rollout *rollout;
	struct ro_state state;
	struct ro_exposure_limits limits;
	struct ro_vms vms;
	struct ro_report report; /* of another VM */
};

static void *open_ctx(void)
{
	struct ctx *ctx = g_new0(struct ctx, 1);

	ctx->now = 100 * GB_SEC;
	ctx->limits =
		(struct ro_exposure_limits){ .share = 0.1, .extra_total = 50 };
	ctx->vms = (struct ro_vms){ .count = 4 };
	ctx->state = (struct ro_state){ .target_ready = 3,
					.current_ready = 3,
					.vms_live = 1,
					.decides = true };
	return ctx;
}

static void close_ctx(void *data)
{
	struct ctx *ctx = data;

	if (ctx->rollout)
		ro_free(ctx->rollout);
	g_free(ctx);
}

static void print_step(const struct ctx *ctx, struct gb_buf *out)
{
	struct gb_str step = ro_step_name(ro_step(ctx->rollout));
	struct gb_str store = ro_step_name(ro_step_to_store(ctx->rollout));
	struct gb_str reason = ro_reason_name(ro_reason(ctx->rollout));

	gb_buf_addf(out,
		    "  %lld ms: %.*s, reason %.*s, store is to have %.*s\n",
		    (long long)(ro_age(ctx->rollout, ctx->now) / GB_MSEC),
		    (int)step.len, step.ptr, (int)reason.len, reason.ptr,
		    (int)store.len, store.ptr);
}

/* order seconds= age_ms=: a new order, known for that time already */
static void cmd_order(void *data, const struct scr_args *args,
		      struct gb_buf *out)
{
	struct ctx *ctx = data;
	const struct ro_order order = {
		.id = 1,
		.service = GB_STR_INIT("s"),
		.target_version = GB_STR_INIT("v2"),
		.duration = scr_int(args, GB_STR("seconds"), 12) * GB_SEC,
	};

	if (ctx->rollout)
		ro_free(ctx->rollout);
	ctx->rollout = ro_new(&order, ctx->now,
			      scr_int(args, GB_STR("age_ms"), 0) * GB_MSEC);
	print_step(ctx, out);
}

/* know target= current= calls= vms= live= decides= rank= */
static void cmd_know(void *data, const struct scr_args *args,
		     struct gb_buf *out)
{
	struct ctx *ctx = data;
	struct ro_state *state = &ctx->state;

	(void)out;
	state->target_ready =
		scr_int(args, GB_STR("target"), state->target_ready);
	state->current_ready =
		scr_int(args, GB_STR("current"), state->current_ready);
	state->calls_current =
		scr_int(args, GB_STR("calls"), state->calls_current);
	state->vms_live = scr_int(args, GB_STR("live"), state->vms_live);
	state->decides = scr_int(args, GB_STR("decides"), state->decides);
	ctx->vms.count = scr_int(args, GB_STR("vms"), ctx->vms.count);
	ctx->vms.rank = scr_int(args, GB_STR("rank"), ctx->vms.rank);
}

/* wait ms= late_us=: ticks, every third one late; prints each change */
static void cmd_wait(void *data, const struct scr_args *args,
		     struct gb_buf *out)
{
	struct ctx *ctx = data;
	gb_time until = ctx->now + scr_int(args, GB_STR("ms"), 0) * GB_MSEC;
	gb_time late = scr_int(args, GB_STR("late_us"), 0) * GB_USEC;
	enum ro_step stored = ro_step_to_store(ctx->rollout);
	gb_time due = ctx->now;

	for (int tick = 1; (due += RO_TICK) <= until; tick++) {
		ctx->now = due + (tick % 3 == 1 ? late : 0);
		if (ro_tick(ctx->rollout, &ctx->state, ctx->now) ||
		    ro_step_to_store(ctx->rollout) != stored)
			print_step(ctx, out);
		stored = ro_step_to_store(ctx->rollout);
	}
	ctx->now = until;
}

/* send n= every_ms=: requests; prints how many went to the target version */
static void cmd_send(void *data, const struct scr_args *args,
		     struct gb_buf *out)
{
	int64_t n = scr_int(args, GB_STR("n"), 1), target = 0;
	gb_time gap = scr_int(args, GB_STR("every_ms"), 10) * GB_MSEC;
	struct ctx *ctx = data;

	for (int64_t i = 0; i < n; i++) {
		if (ro_prefers_target(ctx->rollout, &ctx->limits, &ctx->vms,
				      true, ctx->now)) {
			ro_target_chosen(ctx->rollout);
			target++;
		}
		ro_call_sent(ctx->rollout);
		ctx->now += gap;
	}
	gb_buf_addf(out, "  %lld of %lld to the target version\n",
		    (long long)target, (long long)n);
}

/* repeat: asks for the version of a request that was sent before */
static void cmd_repeat(void *data, const struct scr_args *args,
		       struct gb_buf *out)
{
	struct ctx *ctx = data;

	(void)args;
	gb_buf_addf(out, "  prefers the target version %d, allows it %d\n",
		    ro_prefers_target(ctx->rollout, &ctx->limits, &ctx->vms,
				      false, ctx->now),
		    ro_allows_target(ctx->rollout, &ctx->limits, &ctx->vms,
				     ctx->now));
}

/* answers n= bad= upstream= route= target=0: ends of calls at this VM */
static void cmd_answers(void *data, const struct scr_args *args,
			struct gb_buf *out)
{
	int64_t n = scr_int(args, GB_STR("n"), 1);
	int64_t bad = scr_int(args, GB_STR("bad"), 0);
	struct ctx *ctx = data;

	(void)out;
	for (int64_t i = 0; i < n; i++)
		ro_call_ended(
			ctx->rollout,
			&(struct ro_sample){
				.route = scr_int(args, GB_STR("route"), 1),
				.upstream =
					scr_int(args, GB_STR("upstream"), 1),
				.is_target = scr_int(args, GB_STR("target"), 1),
				.is_bad = i < bad,
			});
}

/* report vm= answers= bad= upstream= calls= age_ms= step=N: of another VM */
static void cmd_report(void *data, const struct scr_args *args,
		       struct gb_buf *out)
{
	struct ctx *ctx = data;
	const struct ro_report report = {
		.order = 1,
		.vm = scr_int(args, GB_STR("vm"), 7),
		.age = scr_int(args, GB_STR("age_ms"), 0) * GB_MSEC,
		.step = scr_int(args, GB_STR("step"), RO_CANARY),
		.calls_current = scr_int(args, GB_STR("calls"), 0),
		.rows = { { .route = 1,
			    .upstream = scr_int(args, GB_STR("upstream"), 1),
			    .is_target = true,
			    .answers = scr_int(args, GB_STR("answers"), 0),
			    .bad = scr_int(args, GB_STR("bad"), 0) } },
		.rows_len = 1,
	};

	(void)out;
	ro_receive_report(ctx->rollout, &report, ctx->now);
}

/* told step=N, stored step=N: another VM's step, or that of the store */
static void cmd_told(void *data, const struct scr_args *args,
		     struct gb_buf *out)
{
	struct ctx *ctx = data;

	ro_receive_step(ctx->rollout, scr_int(args, GB_STR("step"), 0), 0,
			ctx->now);
	print_step(ctx, out);
}

static void cmd_stored(void *data, const struct scr_args *args,
		       struct gb_buf *out)
{
	struct ctx *ctx = data;

	ro_set_stored(ctx->rollout, scr_int(args, GB_STR("step"), 0), ctx->now);
	print_step(ctx, out);
}

static void print_check(struct gb_buf *out, const char *what, uint32_t count,
			double most)
{
	gb_buf_addf(out, "  %s: %s\n", what, count <= most ? "yes" : "no");
	if (count > most)
		g_printerr("%s: %u instead of %.1f\n", what, count, most);
}

/*
 * simulate runs= vms= upstreams= rate= bad= from= above= routes= bad_routes=
 * usual= seconds= lost= missed=: simulates roll-outs, and compares what became
 * of them with the most that may go wrong, as a part of the runs. With VERBOSE
 * in the environment, prints means.
 */
static void cmd_simulate(void *data, const struct scr_args *args,
			 struct gb_buf *out)
{
	const struct sim_plan plan = {
		.vms = scr_int(args, GB_STR("vms"), 4),
		.upstreams = scr_int(args, GB_STR("upstreams"), 3),
		.rate = scr_double(args, GB_STR("rate"), 40),
		.usual_bad = scr_double(args, GB_STR("usual"), 0.05),
		.target_bad = scr_double(args, GB_STR("bad"), 0),
		.bad_from = scr_double(args, GB_STR("from"), 0),
		.bad_above_rate = scr_double(args, GB_STR("above"), 0),
		.bad_routes = scr_int(args, GB_STR("bad_routes"), 5),
		.routes = scr_int(args, GB_STR("routes"), 2),
		.duration = scr_int(args, GB_STR("seconds"), 12) * GB_SEC,
		.lost_reports = scr_double(args, GB_STR("lost"), 0),
		.limits = ((struct ctx *)data)->limits,
	};
	uint32_t runs = scr_int(args, GB_STR("runs"), 100);
	struct sim_result sum = { 0 };

	for (uint32_t i = 0; i < runs; i++)
		sim_run(&plan, i + 1, &sum);
	if (!plan.target_bad) {
		print_check(out, "called bad at most 1 in 1,000",
			    sum.rolled_back, runs / 1000.0);
		print_check(out, "completed by the end, but 1 in 20",
			    sum.late + sum.neither, runs / 20.0);
	} else {
		print_check(out, "missed no more than allowed",
			    sum.completed + sum.neither,
			    runs * scr_double(args, GB_STR("missed"), 0.1));
		print_check(out, "over the exposure at most 1 in 50",
			    sum.over_exposure, runs / 50.0);
		print_check(out, "nothing later than 5 s after 50 bad answers",
			    sum.sent_late, 0);
	}
	if (g_getenv("VERBOSE"))
		g_printerr(
			"vms=%u rate=%.0f: completed %u (%u late) rolled back "
			"%u over exposure %u; means: exposed %.0f bad %.0f "
			"verdict at %.0f ms\n",
			plan.vms, plan.rate, sum.completed, sum.late,
			sum.rolled_back, sum.over_exposure,
			(double)sum.exposed / runs, (double)sum.bad / runs,
			(double)sum.verdict_time / GB_MSEC /
				MAX(sum.rolled_back, 1));
}

static const struct scr_command commands[] = {
	{ .name = GB_STR_INIT("order"), .run = cmd_order },
	{ .name = GB_STR_INIT("know"), .run = cmd_know },
	{ .name = GB_STR_INIT("wait"), .run = cmd_wait },
	{ .name = GB_STR_INIT("send"), .run = cmd_send },
	{ .name = GB_STR_INIT("repeat"), .run = cmd_repeat },
	{ .name = GB_STR_INIT("answers"), .run = cmd_answers },
	{ .name = GB_STR_INIT("report"), .run = cmd_report },
	{ .name = GB_STR_INIT("told"), .run = cmd_told },
	{ .name = GB_STR_INIT("stored"), .run = cmd_stored },
	{ .name = GB_STR_INIT("simulate"), .run = cmd_simulate },
};

int main(int argc, char **argv)
{
	const struct scr_suite suite = {
		.name = "rollout",
		.folder = "packages/rollout/tests",
		.commands = commands,
		.commands_len = G_N_ELEMENTS(commands),
		.context_new = open_ctx,
		.context_free = close_ctx,
	};

	return scr_main(argc, argv, &suite);
}
