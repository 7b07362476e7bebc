#include "directory/dir-audit.h"
#include "directory/dir.h"
#include "script/scr.h"

/* One VM that follows a source, on a virtual clock. */
struct vm {
	struct dir_timing timing;
	struct dir_follower follower;
	gb_time now;
};

/* Failures after which timeouts and intervals have their largest values. */
#define FAILURES_MANY 10

/* Least share of its bound that the longest chain should take. */
#define BOUND_USED_MIN 0.95

static void start(struct vm *vm, const struct dir_bounds *bounds)
{
	*vm = (struct vm){ 0 };
	dir_timing_init(&vm->timing, bounds);
	dir_init(&vm->follower, &vm->timing, 0);
	dir_list_done(&vm->follower, 0, 1, false, GB_STR(""));
}

/* Returns the time that the VM has needed. */
static gb_time end(struct vm *vm)
{
	dir_free(&vm->follower);
	return vm->now;
}

/* The step gets no answer. */
static void lose_step(struct vm *vm, gb_time wait)
{
	dir_begin_step(&vm->follower, vm->now, wait, false);
	vm->now += dir_step_timeout(&vm->follower);
}

/* A failed attempt at the store, and one at a VM that refuses at once. */
static void fail_attempt(struct vm *vm)
{
	lose_step(vm, 0);
	dir_step_failed(&vm->follower, vm->now);
	vm->now = vm->follower.due_at;
	dir_begin_step(&vm->follower, vm->now, 0, true);
	dir_step_failed(&vm->follower, vm->now);
	vm->now = vm->follower.due_at;
}

/* A watch that begins after its pause, and falls silent as it begins. */
static void lose_watch(struct vm *vm, gb_time wait)
{
	dir_watch_done(&vm->follower, vm->now, 2, 1);
	vm->now = vm->follower.due_at;
	lose_step(vm, wait);
	dir_doubt_source(&vm->follower);
}

/* The watch falls silent, and the first attempt after that fails. */
static void survive_silence(struct vm *vm, const struct dir_bounds *bounds,
			    bool relayed)
{
	start(vm, bounds);
	lose_watch(vm,
		   relayed ? vm->timing.relayed_wait : vm->timing.watch_wait);
	fail_attempt(vm);
	vm->now += DIR_ANSWER_TIME;
}

static gb_time all_silent(const struct dir_bounds *bounds)
{
	struct vm vm;

	survive_silence(&vm, bounds, false);
	return end(&vm);
}

/* The watch at another VM falls silent alone, long before the change. */
static gb_time relay_silent(const struct dir_bounds *bounds)
{
	struct vm vm;

	survive_silence(&vm, bounds, true);
	return end(&vm);
}

/* A VM that has failed often follows one whose connections fell silent. */
static gb_time relayed(const struct dir_bounds *bounds)
{
	struct vm vm;

	survive_silence(&vm, bounds, true);
	for (int i = 0; i < FAILURES_MANY; i++)
		dir_step_failed(&vm.follower, vm.now);
	dir_begin_step(&vm.follower, vm.now, 0, true);
	dir_step_failed(&vm.follower, vm.now);
	vm.now = vm.follower.due_at + DIR_ANSWER_TIME;
	return end(&vm);
}

/* One watch at the store falls silent alone, long before the change. */
static gb_time one_silent(const struct dir_bounds *bounds)
{
	struct dir_audit audit = { 0 };
	struct vm vm;

	start(&vm, bounds);
	dir_watch_done(&vm.follower, 0, 2, 1);
	vm.now = vm.follower.due_at + vm.timing.watch_wait;
	dir_audit_watched(&audit, vm.now, 0, 1, 0);
	vm.now = dir_audit_due(&audit, vm.timing.arrival_time);
	dir_doubt_source(&vm.follower);
	fail_attempt(&vm);
	vm.now += DIR_ANSWER_TIME;
	return end(&vm);
}

/* The store is back just after it has lost one more call of a VM. */
static gb_time store_silent(const struct dir_bounds *bounds)
{
	struct vm vm;

	start(&vm, bounds);
	for (int i = 0; i < FAILURES_MANY; i++)
		dir_step_failed(&vm.follower, 0);
	vm.now = 0;
	fail_attempt(&vm);
	fail_attempt(&vm);
	vm.now += DIR_ANSWER_TIME;
	return end(&vm);
}

static const struct chain {
	const char *name;
	gb_time (*run)(const struct dir_bounds *bounds);
	bool follows_silence; /* its bound is that after lost connections */
} chains[] = {
	{ "all silent", all_silent, true },
	{ "one silent", one_silent, false },
	{ "relayed", relayed, true },
	{ "relay silent", relay_silent, false },
	{ "store silent", store_silent, true },
};

static gb_time bound_of(const struct chain *chain,
			const struct dir_bounds *bounds)
{
	return chain->follows_silence ? MAX(bounds->change, bounds->silence)
				      : bounds->change;
}

static struct dir_bounds read_bounds(const struct scr_args *args)
{
	return (struct dir_bounds){
		.change = scr_int(args, GB_STR("change_ms"), 0) * GB_MSEC,
		.silence = scr_int(args, GB_STR("silence_ms"), 0) * GB_MSEC
	};
}

/* chains change_ms= silence_ms=: waits, and time until a change is known */
static void cmd_chains(void *data, const struct scr_args *args,
		       struct gb_buf *out)
{
	struct dir_bounds bounds = read_bounds(args);
	struct dir_timing timing;

	(void)data;
	dir_timing_init(&timing, &bounds);
	gb_buf_addf(out,
		    "watch_ms=%lld relayed_ms=%lld margin_ms=%lld "
		    "answer_ms=%lld to %lld retry_ms=%lld%s\n",
		    (long long)(timing.watch_wait / GB_MSEC),
		    (long long)(timing.relayed_wait / GB_MSEC),
		    (long long)(timing.watch_margin / GB_MSEC),
		    (long long)(timing.answer_timeout / GB_MSEC),
		    (long long)(timing.answer_timeout_max / GB_MSEC),
		    (long long)(timing.retry_interval_max / GB_MSEC),
		    timing.is_tight ? ", bounds are tight" : "");
	for (size_t i = 0; i < G_N_ELEMENTS(chains); i++)
		gb_buf_addf(
			out, "%s: %lld of %lld ms\n", chains[i].name,
			(long long)(chains[i].run(&bounds) / GB_MSEC),
			(long long)(bound_of(&chains[i], &bounds) / GB_MSEC));
}

/* Share of its bound that the longest chain takes. */
static double bound_used(const struct dir_bounds *bounds)
{
	double used = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(chains); i++)
		used = MAX(used, (double)chains[i].run(bounds) /
					 bound_of(&chains[i], bounds));
	return used;
}

/* sweep from_ms= to_ms= step_ms=: counts all pairs of bounds in a range */
static void cmd_sweep(void *data, const struct scr_args *args,
		      struct gb_buf *out)
{
	gb_time from = scr_int(args, GB_STR("from_ms"), 0) * GB_MSEC;
	gb_time to = scr_int(args, GB_STR("to_ms"), 0) * GB_MSEC;
	gb_time step = scr_int(args, GB_STR("step_ms"), 1) * GB_MSEC;
	unsigned int late = 0, unused = 0, tight = 0;

	(void)data;
	for (gb_time change = from; change <= to; change += step) {
		for (gb_time silence = from; silence <= to; silence += step) {
			struct dir_bounds bounds = { change, silence };
			struct dir_timing timing;
			double used = bound_used(&bounds);

			dir_timing_init(&timing, &bounds);
			tight += timing.is_tight;
			late += !timing.is_tight && used > 1;
			unused += used < BOUND_USED_MIN;
		}
	}
	gb_buf_addf(out, "late %u, waits shorter than needed %u, tight %u\n",
		    late, unused, tight);
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
		{ GB_STR_INIT("chains"), cmd_chains },
		{ GB_STR_INIT("sweep"), cmd_sweep },
	};
	static const struct scr_suite suite = {
		.name = "timing",
		.folder = "packages/directory/tests/timing",
		.commands = commands,
		.commands_len = G_N_ELEMENTS(commands),
		.context_new = open_ctx,
		.context_free = close_ctx,
	};

	return scr_main(argc, argv, &suite);
}
