#include "directory/dir.h"
#include "script/scr.h"

/*
 * Explores when a VM that follows the store learns of a change: each phase of
 * up to two silences of its connections, of the change, and of one call that
 * fails after the last silence.
 */

#define SILENCES_MAX 2
#define STEP (50 * GB_MSEC) /* of the phases */
#define SECOND_STEP (150 * GB_MSEC) /* of the second silence */

/* Longest time that a sound store needs for an answer. */
#define LATENCY DIR_ANSWER_TIME

/* A VM, or a store, that refuses a call does so after this time. */
#define REFUSAL_TIME (1 * GB_MSEC)

/* Steps after which a change that is still not known never will be. */
#define STEPS_MAX 1000

/* Calls after the last silence of which one may fail. */
#define FAILING_CALLS 3

enum failure {
	NO_FAILURE,
	ANSWER_LOST,
	CONNECTION_REFUSED,
	CONNECTION_CLOSED, /* halfway through the wait */
	FAILURES
};

struct plan {
	gb_time silences[SILENCES_MAX];
	size_t silences_len;
	gb_time change_at;
	enum failure failure;
	int failing_call; /* number of the call after the last silence */
};

struct sim {
	const struct plan *plan;
	const struct dir_timing *timing;
	struct dir_follower follower;
	gb_time now;
	gb_time conn_opened_at;
	int calls; /* to the store since the last silence */
	gb_time known_at;
};

static gb_time last_silence(const struct plan *plan)
{
	return plan->silences[plan->silences_len - 1];
}

/* Tells whether the connection falls silent before that time. */
static bool is_silent(const struct sim *sim, gb_time until)
{
	for (size_t i = 0; i < sim->plan->silences_len; i++)
		if (sim->plan->silences[i] >= sim->conn_opened_at &&
		    sim->plan->silences[i] < until)
			return true;
	return false;
}

/* Returns when the store answers the call that starts now. */
static gb_time answer_time(const struct sim *sim)
{
	gb_time change_at = sim->plan->change_at;
	gb_time wait_end = sim->now + sim->follower.watch_wait;

	if (sim->known_at == GB_NEVER && change_at <= wait_end)
		return MAX(change_at, sim->now) + LATENCY;
	return wait_end + LATENCY;
}

/* The call gets no answer: a watch that waited is renewed at once. */
static void time_out(struct sim *sim)
{
	sim->now += dir_step_timeout(&sim->follower);
	sim->conn_opened_at = sim->now;
	if (!sim->follower.watch_wait) {
		dir_step_failed(&sim->follower, sim->now);
		return;
	}
	dir_doubt_source(&sim->follower);
	sim->follower.due_at = sim->now;
}

static void refuse(struct sim *sim)
{
	sim->now += REFUSAL_TIME;
	sim->conn_opened_at = sim->now;
	dir_step_failed(&sim->follower, sim->now);
}

/* The store closes the connection, and has sent no change before that. */
static void close_conn(struct sim *sim)
{
	sim->now += sim->follower.watch_wait / 2;
	sim->conn_opened_at = sim->now;
	if (!dir_watch_cut(&sim->follower, sim->now))
		dir_step_failed(&sim->follower, sim->now);
}

static void answer(struct sim *sim, gb_time at)
{
	bool is_new = sim->known_at == GB_NEVER &&
		      sim->plan->change_at + LATENCY <= at;

	sim->now = at;
	if (is_new)
		sim->known_at = at;
	dir_watch_done(&sim->follower, at, 2 + is_new, is_new);
}

static void call_store(struct sim *sim)
{
	bool is_after_silence = sim->now >= last_silence(sim->plan);
	bool fails = is_after_silence && sim->plan->failure != NO_FAILURE &&
		     sim->calls == sim->plan->failing_call;
	gb_time at = answer_time(sim);

	sim->calls += is_after_silence;
	if (fails && sim->plan->failure == CONNECTION_REFUSED)
		refuse(sim);
	else if (fails && sim->plan->failure == CONNECTION_CLOSED)
		close_conn(sim);
	else if (fails || is_silent(sim, at))
		time_out(sim);
	else
		answer(sim, at);
}

/* After a failure of the store another VM is asked, which is not up to date. */
static void run_step(struct sim *sim)
{
	bool asks_vm = sim->follower.failures % 2;

	sim->now = MAX(sim->now, sim->follower.due_at);
	dir_begin_step(&sim->follower, sim->now, sim->timing->watch_wait,
		       asks_vm);
	if (asks_vm) {
		sim->now += REFUSAL_TIME;
		dir_step_failed(&sim->follower, sim->now);
		return;
	}
	call_store(sim);
}

/* Returns when the change is known. */
static gb_time run_plan(const struct plan *plan,
			const struct dir_timing *timing)
{
	struct sim sim = { .plan = plan,
			   .timing = timing,
			   .known_at = GB_NEVER };

	dir_init(&sim.follower, timing, 0);
	dir_list_done(&sim.follower, 0, 1, false, GB_STR(""));
	dir_watch_done(&sim.follower, 0, 2, 1);
	for (int i = 0; i < STEPS_MAX && sim.known_at == GB_NEVER; i++)
		run_step(&sim);
	dir_free(&sim.follower);
	return sim.known_at;
}

/* When the change must be in force, at the latest. */
static gb_time due_time(const struct plan *plan,
			const struct dir_bounds *bounds, gb_time known_at)
{
	gb_time due = plan->change_at + bounds->change;
	gb_time silence = MAX(bounds->change, bounds->silence);

	for (size_t i = 0; i < plan->silences_len; i++)
		if (plan->silences[i] < known_at)
			due = MAX(due, plan->silences[i] + silence);
	return due;
}

struct result {
	uint64_t plans;
	uint64_t late;
	gb_time latest; /* by how much, at most */
	struct plan latest_plan;
};

static void check_plan(const struct plan *plan, const struct dir_bounds *bounds,
		       const struct dir_timing *timing, struct result *result)
{
	gb_time known_at = run_plan(plan, timing);
	gb_time late = known_at - due_time(plan, bounds, known_at);

	result->plans++;
	result->late += late > 0;
	if (late > result->latest) {
		result->latest = late;
		result->latest_plan = *plan;
	}
}

static void explore_failures(struct plan plan, const struct dir_bounds *bounds,
			     const struct dir_timing *timing,
			     struct result *result)
{
	plan.failure = NO_FAILURE;
	check_plan(&plan, bounds, timing, result);
	for (int call = 0; call < FAILING_CALLS; call++) {
		plan.failing_call = call;
		for (int f = ANSWER_LOST; f < FAILURES; f++) {
			plan.failure = f;
			check_plan(&plan, bounds, timing, result);
		}
	}
}

static void explore_changes(struct plan plan, const struct dir_bounds *bounds,
			    const struct dir_timing *timing,
			    struct result *result)
{
	gb_time end = last_silence(&plan) + bounds->silence;

	for (plan.change_at = 0; plan.change_at < end; plan.change_at += STEP)
		explore_failures(plan, bounds, timing, result);
}

static void print_result(const struct result *result, struct gb_buf *out)
{
	const struct plan *plan = &result->latest_plan;

	gb_buf_addf(out, "late %llu of %llu", (unsigned long long)result->late,
		    (unsigned long long)result->plans);
	if (result->late)
		gb_buf_addf(out,
			    ", by %lld ms: silences at %lld and %lld ms, "
			    "change at %lld, failure %d of call %d",
			    (long long)(result->latest / GB_MSEC),
			    (long long)(plan->silences[0] / GB_MSEC),
			    (long long)(plan->silences[1] / GB_MSEC),
			    (long long)(plan->change_at / GB_MSEC),
			    plan->failure, plan->failing_call);
	gb_buf_addc(out, '\n');
}

/*
 * silences n= change_ms= silence_ms= longer_ms=: explores up to two silences;
 * watches may wait for longer than the bounds allow
 */
static void cmd_silences(void *data, const struct scr_args *args,
			 struct gb_buf *out)
{
	const struct dir_bounds bounds = {
		.change = scr_int(args, GB_STR("change_ms"), 0) * GB_MSEC,
		.silence = scr_int(args, GB_STR("silence_ms"), 0) * GB_MSEC
	};
	struct plan plan = { .silences_len = scr_int(args, GB_STR("n"), 1) };
	struct result result = { 0 };
	struct dir_timing timing;
	gb_time last;

	(void)data;
	dir_timing_init(&timing, &bounds);
	timing.watch_wait += scr_int(args, GB_STR("longer_ms"), 0) * GB_MSEC;
	/* A watch begins, and has returned, or has been renewed. */
	last = timing.watch_wait + timing.watch_margin + GB_SEC;
	for (gb_time at = 0; at < last; at += STEP) {
		plan.silences[0] = at;
		plan.silences[1] = 0;
		if (plan.silences_len == 1)
			explore_changes(plan, &bounds, &timing, &result);
		for (gb_time next = at + SECOND_STEP;
		     plan.silences_len == 2 && next < at + bounds.silence;
		     next += SECOND_STEP) {
			plan.silences[1] = next;
			explore_changes(plan, &bounds, &timing, &result);
		}
	}
	print_result(&result, out);
}

static void *open_ctx(void)
{
	return NULL;
}

static void close_ctx(void *data)
{
	(void)data;
}

int main(int argc, char **argv)
{
	static const struct scr_command commands[] = {
		{ GB_STR_INIT("silences"), cmd_silences },
	};
	static const struct scr_suite suite = {
		.name = "explore",
		.folder = "packages/directory/tests/explore",
		.commands = commands,
		.commands_len = G_N_ELEMENTS(commands),
		.context_new = open_ctx,
		.context_free = close_ctx,
	};

	return scr_main(argc, argv, &suite);
}
