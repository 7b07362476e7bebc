#include "shard-test.h"

#include <inttypes.h>

#define REPLICAS 3
#define FINGERPRINTS 400

/* Each run of a request with this remainder crashes its upstream. */
#define POISON_MOD 50

/* What the test knows of one sub-request; its body holds the index. */
struct sub {
	bool order;
	bool cancelled;
	bool done;
	bool may_have_run;
	uint64_t fingerprint;
};

struct call {
	uint64_t id;
	uint32_t sub;
	uint32_t replica;
	gb_time sent;
	gb_time end;
	bool busy; /* the upstream still works on it */
};

struct sim {
	struct world w;
	struct gb_rng rng;
	GArray *subs;
	GArray *calls;
	GArray *open; /* indices of unanswered calls */
	uint32_t crashes[FINGERPRINTS];
	bool closed[REPLICAS];
	uint32_t bad;
	uint32_t done;
	uint32_t hedges;
	int64_t slots, queue, cold;
	uint64_t load; /* submissions per thousand events */
};

static void check(struct sim *sim, bool ok, const char *rule);
static void answer(struct sim *sim, uint32_t index, enum shd_status status);

static void check(struct sim *sim, bool ok, const char *rule)
{
	if (ok)
		return;
	if (!sim->bad++)
		g_test_message("broken at %" PRId64 " us: %s", sim->w.now,
			       rule);
}

static struct sub *sub_at(struct sim *sim, uint32_t index)
{
	return &g_array_index(sim->subs, struct sub, index);
}

static struct call *call_at(struct sim *sim, uint32_t index)
{
	return &g_array_index(sim->calls, struct call, index);
}

/* Calls on which a replica may work: not answered, deadline not passed. */
static uint32_t busy_on(struct sim *sim, uint32_t replica)
{
	uint32_t busy = 0;

	for (guint i = 0; i < sim->open->len; i++) {
		const struct call *call =
			call_at(sim, g_array_index(sim->open, uint32_t, i));

		busy += call->busy && call->replica == replica &&
			sim->w.now < call->end;
	}
	return busy;
}

static void on_send(void *ctx, struct shd_shard *shard,
		    const struct shd_send *send)
{
	struct sim *sim = ctx;
	const struct up_upstream *up = shd_upstream(shard, send->replica);
	int64_t index = 0;
	struct call call = {
		.id = send->call,
		.replica = send->replica,
		.sent = sim->w.now,
		.end = sim->w.now + send->timeout,
		.busy = true,
	};
	uint32_t at = sim->calls->len;
	uint32_t busy;

	g_assert_cmpint(gb_str_to_int(send->body, 0, INT32_MAX, &index), ==, 0);
	call.sub = (uint32_t)index;
	check(sim, sim->w.now < sim->w.lease, "sent without lease");
	check(sim, send->timeout > 0 && call.end <= sim->w.lease, "timeout");
	check(sim, !sim->closed[send->replica], "sent to a closed upstream");
	check(sim, !sub_at(sim, index)->done, "sent after its result");
	check(sim, !sub_at(sim, index)->may_have_run, "order sent again");
	if (sub_at(sim, index)->order)
		sub_at(sim, index)->may_have_run = true;
	g_array_append_val(sim->calls, call);
	g_array_append_val(sim->open, at);
	busy = busy_on(sim, send->replica);
	check(sim, busy <= sim->slots + sim->queue, "above slots and queue");
	check(sim, up->state != UP_COLD || busy <= sim->cold, "above cold");
	/* Some sends fail within the call, as with an expired lease. */
	if (gb_rng_below(&sim->rng, 50) == 0)
		answer(sim, at, SHD_NOT_SENT);
}

static void on_cancel(void *ctx, struct shd_shard *shard, uint64_t call)
{
	(void)ctx;
	(void)shard;
	(void)call;
}

static void on_done(void *ctx, struct shd_shard *shard, uint32_t vm,
		    uint64_t query, const struct msg_sub_result *result)
{
	struct sim *sim = ctx;
	struct sub *sub = sub_at(sim, result->attempt);

	(void)shard;
	(void)vm;
	(void)query;
	check(sim, !sub->done, "two results");
	check(sim, !sub->cancelled, "result after cancel");
	check(sim,
	      !sub->may_have_run || (result->status != MSG_STATUS_NOT_RUN &&
				     result->status != MSG_STATUS_NOT_OWNER &&
				     result->status != MSG_STATUS_OVERLOAD),
	      "order called not run");
	sub->done = true;
	sim->done++;
}

static void on_crashed(void *ctx, struct shd_shard *shard, uint64_t fingerprint,
		       uint32_t crashes)
{
	(void)ctx;
	(void)shard;
	(void)fingerprint;
	(void)crashes;
}

static void on_event(void *ctx, struct shd_shard *shard, enum ev_code code,
		     uint64_t query, int replica, int64_t a, int64_t b)
{
	struct sim *sim = ctx;

	(void)shard;
	(void)query;
	(void)replica;
	(void)a;
	(void)b;
	sim->hedges += code == EV_SUB_HEDGED;
}

static uint64_t on_next_call(void *ctx)
{
	struct sim *sim = ctx;

	return ++sim->w.calls;
}

static const struct shd_ops ops = {
	.send = on_send,
	.cancel = on_cancel,
	.done = on_done,
	.crashed = on_crashed,
	.event = on_event,
	.next_call = on_next_call,
};

static void submit(struct sim *sim)
{
	char body[16];
	uint32_t index = sim->subs->len;
	struct sub sub = {
		.order = gb_rng_below(&sim->rng, 10) == 0,
		.fingerprint = gb_rng_below(&sim->rng, FINGERPRINTS),
	};
	const struct shd_request request = {
		.query = index,
		.attempt = index,
		.snapshot = 7,
		.fingerprint = sub.fingerprint,
		.deadline = sim->w.now + GB_MSEC +
			    gb_rng_below(&sim->rng, 200 * GB_MSEC),
		.order = sub.order,
		.canary = true,
		.body = { .ptr = body,
			  .len = g_snprintf(body, sizeof(body), "%u", index) },
	};

	g_array_append_val(sim->subs, sub);
	shd_submit(sim->w.shard, sim->w.now, &request);
}

/* Answers a call; the answer is sent twice at times. */
static void answer(struct sim *sim, uint32_t index, enum shd_status status)
{
	struct call *call = call_at(sim, index);
	struct sub *sub = sub_at(sim, call->sub);
	const struct shd_answer a = {
		.call = call->id,
		.status = status,
		.snapshot = gb_rng_below(&sim->rng, 200) ? 7 : 6,
		.instance = 1 + gb_rng_below(&sim->rng, 1000) / 999,
	};

	call->busy = false;
	if (status == SHD_REFUSED || status == SHD_NOT_SENT)
		sub->may_have_run = false;
	shd_answer(sim->w.shard, sim->w.now, &a);
	check(sim, !shd_answer(sim->w.shard, sim->w.now, &a), "answered twice");
}

/* Ends an unanswered call in a random way, or loses its answer. */
static void answer_any(struct sim *sim)
{
	static const enum shd_status ends[] = { SHD_REFUSED, SHD_TIMEOUT,
						SHD_GONE, SHD_ERROR,
						SHD_MISMATCH };
	enum shd_status status = SHD_OK;
	const struct call *call;
	uint64_t fingerprint;
	uint32_t index, at;

	if (!sim->open->len)
		return;
	at = gb_rng_below(&sim->rng, sim->open->len);
	index = g_array_index(sim->open, uint32_t, at);
	call = call_at(sim, index);
	/* Some calls are slow, and some answers never come. */
	if (call->id % 50 == 0 && gb_rng_below(&sim->rng, 20))
		return;
	if (!call->busy || sim->w.now >= call->end) {
		g_array_remove_index_fast(sim->open, at);
		return;
	}
	fingerprint = sub_at(sim, call->sub)->fingerprint;
	if (fingerprint % POISON_MOD == 0) {
		sim->crashes[fingerprint]++;
		status = SHD_RESET;
	} else if (gb_rng_below(&sim->rng, 50) == 0) {
		status = ends[gb_rng_below(&sim->rng, G_N_ELEMENTS(ends))];
	}
	g_array_remove_index_fast(sim->open, at);
	answer(sim, index, status);
}

static void cancel_any(struct sim *sim)
{
	uint32_t back = 1 + gb_rng_below(&sim->rng, 10);
	uint32_t index = sim->subs->len - back;
	struct sub *sub;

	if (back > sim->subs->len)
		return;
	sub = sub_at(sim, index);
	if (!sub->order && !sub->done)
		sub->cancelled = true;
	shd_cancel(sim->w.shard, sim->w.now, 0, index);
}

static void close_any(struct sim *sim)
{
	uint32_t replica = gb_rng_below(&sim->rng, REPLICAS);

	sim->closed[replica] = !sim->closed[replica];
	world_close(&sim->w, (int)replica, -1, sim->closed[replica]);
}

static void step(struct sim *sim)
{
	uint64_t what = gb_rng_below(&sim->rng, 1000);

	sim->w.now += gb_rng_below(&sim->rng, 2 * GB_MSEC);
	while (shd_next_tick(sim->w.shard) <= sim->w.now)
		shd_tick(sim->w.shard, sim->w.now);
	if (what < sim->load)
		submit(sim);
	else if (what < 970)
		answer_any(sim);
	else if (what < 985)
		cancel_any(sim);
	else if (what < 986)
		close_any(sim);
	else if (what < 987 || sim->w.lease - sim->w.now < 500 * GB_MSEC) {
		sim->w.lease = gb_rng_below(&sim->rng, 20)
				       ? sim->w.now + 1150 * GB_MSEC
				       : 0;
		shd_set_lease(sim->w.shard, sim->w.lease);
	}
}

/* Lets everything end, then looks for what was left behind. */
static void finish(struct sim *sim)
{
	uint32_t left = 0;

	sim->w.now += 10 * GB_SEC;
	shd_tick(sim->w.shard, sim->w.now);
	for (guint i = 0; i < sim->subs->len; i++)
		left += !sub_at(sim, i)->done && !sub_at(sim, i)->cancelled;
	check(sim, !left, "sub-request without result");
	check(sim, !shd_queued(sim->w.shard), "left in the queue");
	check(sim, !shd_running(sim->w.shard), "call leaked");
	check(sim, shd_next_tick(sim->w.shard) == GB_NEVER, "timer leaked");
	for (uint32_t i = 0; i < REPLICAS; i++) {
		const struct up_upstream *up = shd_upstream(sim->w.shard, i);

		check(sim, !up->in_flight && !up->exclusive, "slot leaked");
	}
	for (int i = 0; i < FINGERPRINTS; i++)
		check(sim, sim->crashes[i] <= 2, "more than two crashes");
}

/* Runs thousands of random events and checks the rules on each send. */
static void cmd_random(void *ctx, const struct scr_args *args,
		       struct gb_buf *out)
{
	struct sim sim = {
		.rng = { .state = scr_int(args, GB_STR("seed"), 1) },
		.slots = scr_int(args, GB_STR("slots"), 2),
		.queue = scr_int(args, GB_STR("queue"), 1),
		.cold = scr_int(args, GB_STR("cold"), 1),
		.load = scr_int(args, GB_STR("load"), 450),
	};
	int64_t events = scr_int(args, GB_STR("events"), 20000);

	(void)ctx;
	sim.subs = g_array_new(FALSE, TRUE, sizeof(struct sub));
	sim.calls = g_array_new(FALSE, TRUE, sizeof(struct call));
	sim.open = g_array_new(FALSE, TRUE, sizeof(uint32_t));
	world_service(&sim.w, args, &ops, &sim);
	for (int64_t i = 0; i < events; i++)
		step(&sim);
	finish(&sim);
	gb_buf_addf(out, "subs=%s calls=%s hedges=%s broken=%u\n",
		    sim.subs->len > events / 4 ? "many" : "few",
		    sim.calls->len > events / 8 ? "many" : "few",
		    sim.hedges ? "some" : "none", sim.bad);
	if (g_getenv("SCR_COUNTS"))
		g_printerr("subs=%u results=%u calls=%u hedges=%u\n",
			   sim.subs->len, sim.done, sim.calls->len, sim.hedges);
	world_clear(&sim.w);
	g_array_free(sim.subs, TRUE);
	g_array_free(sim.calls, TRUE);
	g_array_free(sim.open, TRUE);
}

static void *open_ctx(void)
{
	return NULL;
}

static void close_ctx(void *ctx)
{
	(void)ctx;
}

int main(int argc, char **argv)
{
	static const struct scr_command commands[] = {
		{ .name = { "random", 6 }, .run = cmd_random },
	};
	const struct scr_suite suite = {
		.name = "shard-random",
		.folder = "packages/shard/tests/random",
		.commands = commands,
		.commands_len = G_N_ELEMENTS(commands),
		.open = open_ctx,
		.close = close_ctx,
	};

	return scr_main(argc, argv, &suite);
}
