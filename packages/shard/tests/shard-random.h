#ifndef SHARD_RANDOM_H
#define SHARD_RANDOM_H

/*
 * NAME
 *	shard-random - seeded random runs of one shard, for shard-test
 */

#include "shard-world.h"

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

/* A call that its upstream still works on. */
struct call {
	uint64_t id;
	uint32_t sub;
	uint32_t replica;
	gb_time end;
};

struct sim {
	struct world *w;
	struct gb_rng rng;
	GArray *subs;
	GArray *open; /* of struct call */
	uint32_t crashes[FINGERPRINTS];
	bool closed[REPLICAS];
	uint32_t bad;
	int64_t slots, queue, cold;
	uint64_t load; /* submissions per thousand events */
};

static void check(struct sim *sim, bool ok, const char *rule)
{
	if (ok)
		return;
	if (!sim->bad++)
		g_test_message("broken at %" PRId64 " us: %s", sim->w->now,
			       rule);
}

static struct sub *sub_at(struct sim *sim, uint32_t index)
{
	return &g_array_index(sim->subs, struct sub, index);
}

/* Calls on which a replica may work: not answered, deadline not passed. */
static uint32_t busy_on(struct sim *sim, uint32_t replica)
{
	uint32_t busy = 0;

	for (guint i = 0; i < sim->open->len; i++) {
		const struct call *call =
			&g_array_index(sim->open, struct call, i);

		busy += call->replica == replica && sim->w->now < call->end;
	}
	return busy;
}

/* Answers a call twice. */
static void sim_answer(struct sim *sim, uint32_t at, enum shd_status status)
{
	const struct call call = g_array_index(sim->open, struct call, at);
	const struct shd_answer a = {
		.call = call.id,
		.status = status,
		.snapshot = gb_rng_below(&sim->rng, 200) ? 7 : 6,
		.instance = 1 + gb_rng_below(&sim->rng, 1000) / 999,
	};

	g_array_remove_index_fast(sim->open, at);
	if (status == SHD_REFUSED || status == SHD_NOT_SENT)
		sub_at(sim, call.sub)->may_have_run = false;
	shd_answer(sim->w->shard, sim->w->now, &a);
	check(sim, !shd_answer(sim->w->shard, sim->w->now, &a),
	      "answered twice");
}

static void sim_send(struct sim *sim, const struct shd_send *send)
{
	const struct up_upstream *up =
		shd_upstream(sim->w->shard, send->replica);
	int64_t index = 0;
	struct call call = {
		.id = send->call,
		.replica = send->replica,
		.end = sim->w->now + send->timeout,
	};
	uint32_t busy;

	g_assert_cmpint(gb_str_to_int(send->body, 0, INT32_MAX, &index), ==, 0);
	call.sub = (uint32_t)index;
	check(sim, sim->w->now < sim->w->lease, "sent without lease");
	check(sim, send->timeout > 0 && call.end <= sim->w->lease, "timeout");
	check(sim, !sim->closed[send->replica], "sent to a closed upstream");
	check(sim, !sub_at(sim, index)->done, "sent after its result");
	check(sim, !sub_at(sim, index)->may_have_run, "order sent again");
	if (sub_at(sim, index)->order)
		sub_at(sim, index)->may_have_run = true;
	g_array_append_val(sim->open, call);
	busy = busy_on(sim, send->replica);
	check(sim, busy <= sim->slots + sim->queue, "above slots and queue");
	check(sim, up->state != UP_COLD || busy <= sim->cold, "above cold");
	/* Some sends fail within the call, as with an expired lease. */
	if (gb_rng_below(&sim->rng, 50) == 0)
		sim_answer(sim, sim->open->len - 1, SHD_NOT_SENT);
}

static void sim_done(struct sim *sim, const struct msg_sub_result *result)
{
	struct sub *sub = sub_at(sim, result->attempt);

	check(sim, !sub->done, "two results");
	check(sim, !sub->cancelled, "result after cancel");
	check(sim,
	      !sub->may_have_run || (result->status != MSG_STATUS_NOT_RUN &&
				     result->status != MSG_STATUS_NOT_OWNER &&
				     result->status != MSG_STATUS_MOVED &&
				     result->status != MSG_STATUS_OVERLOAD &&
				     result->status != MSG_STATUS_UNAVAILABLE),
	      "order called not run");
	sub->done = true;
}

static void sim_submit(struct sim *sim)
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
		.deadline = sim->w->now + GB_MSEC +
			    gb_rng_below(&sim->rng, 200 * GB_MSEC),
		.order = sub.order,
		.canary = true,
		.body = { .ptr = body,
			  .len = g_snprintf(body, sizeof(body), "%u", index) },
	};

	g_array_append_val(sim->subs, sub);
	shd_submit(sim->w->shard, sim->w->now, &request);
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
	uint32_t at;

	if (!sim->open->len)
		return;
	at = gb_rng_below(&sim->rng, sim->open->len);
	call = &g_array_index(sim->open, struct call, at);
	/* Some calls are slow, and some answers never come. */
	if (call->id % 50 == 0 && gb_rng_below(&sim->rng, 20))
		return;
	if (sim->w->now >= call->end) {
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
	sim_answer(sim, at, status);
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
	shd_cancel(sim->w->shard, sim->w->now, 0, index);
}

static void close_any(struct sim *sim)
{
	uint32_t replica = gb_rng_below(&sim->rng, REPLICAS);

	sim->closed[replica] = !sim->closed[replica];
	world_close(sim->w, (int)replica, -1, sim->closed[replica], false);
}

static void sim_step(struct sim *sim)
{
	uint64_t what = gb_rng_below(&sim->rng, 1000);

	sim->w->now += gb_rng_below(&sim->rng, 2 * GB_MSEC);
	/* A paused process takes its inputs before the tick that is due. */
	while (gb_rng_below(&sim->rng, 20) &&
	       shd_next_tick(sim->w->shard) <= sim->w->now)
		shd_tick(sim->w->shard, sim->w->now);
	if (what < sim->load)
		sim_submit(sim);
	else if (what < 970)
		answer_any(sim);
	else if (what < 985)
		cancel_any(sim);
	else if (what < 986)
		close_any(sim);
	else if (what < 987 || sim->w->lease - sim->w->now < 500 * GB_MSEC) {
		sim->w->lease = gb_rng_below(&sim->rng, 20)
					? sim->w->now + 1150 * GB_MSEC
					: 0;
		shd_set_lease(sim->w->shard, sim->w->lease);
	}
}

/* Lets everything end, then looks for what was left behind. */
static void sim_finish(struct sim *sim)
{
	uint32_t left = 0;

	sim->w->now += 10 * GB_SEC;
	shd_tick(sim->w->shard, sim->w->now);
	for (guint i = 0; i < sim->subs->len; i++)
		left += !sub_at(sim, i)->done && !sub_at(sim, i)->cancelled;
	check(sim, !left, "sub-request without result");
	check(sim, !shd_queued(sim->w->shard), "left in the queue");
	check(sim, !shd_running(sim->w->shard), "call leaked");
	check(sim, shd_next_tick(sim->w->shard) == GB_NEVER, "timer leaked");
	for (uint32_t i = 0; i < REPLICAS; i++) {
		const struct up_upstream *up = shd_upstream(sim->w->shard, i);

		check(sim, !up->in_flight && !up->exclusive, "slot leaked");
	}
	for (int i = 0; i < FINGERPRINTS; i++)
		check(sim, sim->crashes[i] <= 2, "more than two crashes");
}

/* Runs thousands of random events and checks the rules on each send. */
static void sim_run(struct world *w, const struct scr_args *args,
		    struct gb_buf *out)
{
	struct sim sim = {
		.w = w,
		.rng = { .state = scr_int(args, GB_STR("seed"), 1) },
		.slots = scr_int(args, GB_STR("slots"), 2),
		.queue = scr_int(args, GB_STR("queue"), 1),
		.cold = scr_int(args, GB_STR("cold"), 1),
		.load = scr_int(args, GB_STR("load"), 450),
	};
	int64_t events = scr_int(args, GB_STR("events"), 20000);

	sim.subs = g_array_new(FALSE, TRUE, sizeof(struct sub));
	sim.open = g_array_new(FALSE, TRUE, sizeof(struct call));
	w->sim = &sim;
	for (int64_t i = 0; i < events; i++)
		sim_step(&sim);
	sim_finish(&sim);
	w->sim = NULL;
	/* Exact counts follow the histogram's buckets, by the hedges. */
	gb_buf_addf(out, "subs>%u calls>%u hedges>%u broken=%u\n",
		    sim.subs->len / 5000 * 5000,
		    (uint32_t)w->calls / 5000 * 5000,
		    w->metrics.counter[MET_SUB_HEDGES] > 10 ? 10 : 0, sim.bad);
	g_test_message(
		"subs=%u calls=%" PRIu64 " hedges=%" PRIu64 " retries=%" PRIu64,
		sim.subs->len, w->calls, w->metrics.counter[MET_SUB_HEDGES],
		w->metrics.counter[MET_SUB_RETRIES]);
	g_array_free(sim.subs, TRUE);
	g_array_free(sim.open, TRUE);
}

#endif
