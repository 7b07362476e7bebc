#include "shard-random.h"

static const char *const results[MSG_STATUSES] = {
	"ok",	    "not_run",	   "not_owner", "moved",
	"overload", "unavailable", "unknown",	"deadline",
	"gone",	    "quarantined", "failed",
};

static const char *const answers[] = {
	"ok",	   "refused", "not_sent", "reset",
	"timeout", "gone",    "mismatch", "error",
};

static const char *const states[] = { "cold", "ramping", "warm" };

static const char *const verdicts[] = { "unknown", "canary", "good",
					"suspect", "alone",  "quarantined" };

static void on_send(void *ctx, struct shd_shard *shard,
		    const struct shd_send *send)
{
	struct world *w = ctx;

	(void)shard;
	if (w->sim) {
		sim_send(w->sim, send);
		return;
	}
	if (w->quiet) {
		g_array_append_val(w->sent, send->call);
		return;
	}
	gb_buf_addf(w->out, "send %" PRIu64 " r%u %.*s", send->call,
		    send->replica, (int)send->body.len, send->body.ptr);
	/* The time of a hedge depends on the buckets of the histogram. */
	if (w->hedging)
		gb_buf_add(w->out, GB_STR(" hedge\n"));
	else
		gb_buf_addf(w->out, " timeout=%" PRId64 "\n",
			    (int64_t)(send->timeout / GB_MSEC));
	w->hedging = false;
}

static void on_cancel(void *ctx, struct shd_shard *shard, uint64_t call)
{
	struct world *w = ctx;

	(void)shard;
	if (!w->quiet && !w->sim)
		gb_buf_addf(w->out, "cancel %" PRIu64 "\n", call);
}

static void on_done(void *ctx, struct shd_shard *shard, uint32_t vm,
		    uint64_t query, const struct msg_sub_result *result)
{
	struct world *w = ctx;

	(void)shard;
	(void)vm;
	if (w->sim)
		sim_done(w->sim, result);
	else if (!w->quiet)
		gb_buf_addf(w->out, "done q%" PRIu64 " %s\n", query,
			    results[result->status]);
}

static void on_crashed(void *ctx, struct shd_shard *shard, uint64_t fingerprint,
		       uint32_t crashes)
{
	struct world *w = ctx;

	(void)shard;
	if (!w->sim)
		gb_buf_addf(w->out, "crashed fp=%" PRIu64 " %u\n", fingerprint,
			    crashes);
}

static void on_event(void *ctx, struct shd_shard *shard, enum ev_code code,
		     uint64_t query, int replica, int64_t a, int64_t b)
{
	struct world *w = ctx;

	(void)shard;
	(void)query;
	(void)replica;
	(void)a;
	(void)b;
	w->hedging = code == EV_SUB_HEDGED;
}

static void on_warm(void *ctx, struct shd_shard *shard, uint32_t replica,
		    uint64_t instance)
{
	(void)ctx;
	(void)shard;
	(void)replica;
	(void)instance;
}

static uint64_t on_next_call(void *ctx)
{
	struct world *w = ctx;

	return ++w->calls;
}

static const struct shd_ops ops = {
	.send = on_send,
	.cancel = on_cancel,
	.done = on_done,
	.crashed = on_crashed,
	.event = on_event,
	.warm = on_warm,
	.next_call = on_next_call,
};

static void *open_ctx(void)
{
	struct world *w = g_new0(struct world, 1);

	w->sent = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	return w;
}

static void close_ctx(void *ctx)
{
	struct world *w = ctx;

	world_clear(w);
	g_array_free(w->sent, TRUE);
	g_free(w);
}

/* Starts anew with one shard. */
static void cmd_service(void *ctx, const struct scr_args *args,
			struct gb_buf *out)
{
	struct world *w = ctx;

	w->out = out;
	world_clear(w);
	world_service(w, args, &ops, w);
}

static void submit(struct world *w, const struct scr_args *args, int64_t query)
{
	char body[32];
	int len = g_snprintf(body, sizeof(body), "q%" PRId64, query);
	const struct shd_request request = {
		.vm = 1,
		.query = query,
		.attempt = query,
		.snapshot = 7,
		.fingerprint = scr_int(args, GB_STR("fp"), query),
		.deadline = w->now +
			    scr_int(args, GB_STR("deadline"), 200) * GB_MSEC,
		.order = scr_int(args, GB_STR("order"), 0),
		.canary = scr_int(args, GB_STR("canary"), 0),
		.body = { .ptr = body, .len = len },
	};

	shd_submit(w->shard, w->now, &request);
}

/* Reads a word as a number. */
static bool number(const struct scr_args *args, size_t i, int64_t *value)
{
	return !gb_str_to_int(scr_word(args, i), 0, GB_SEC, value);
}

/* Submits one request per number. */
static void cmd_submit(void *ctx, const struct scr_args *args,
		       struct gb_buf *out)
{
	struct world *w = ctx;
	int64_t query;

	w->out = out;
	for (size_t i = 0; number(args, i, &query); i++)
		submit(w, args, query);
}

static void answer(struct world *w, const struct scr_args *args, uint64_t call)
{
	struct gb_str name = scr_str(args, GB_STR("status"), GB_STR("ok"));
	struct shd_answer a = {
		.call = call,
		.status = SHD_ERROR + 1,
		.instance = scr_int(args, GB_STR("instance"), 0),
		.snapshot = scr_int(args, GB_STR("snapshot"), 7),
		.shard = scr_int(args, GB_STR("shard"), 0),
		.load = scr_int(args, GB_STR("load"), 0),
	};

	for (size_t i = 0; i < G_N_ELEMENTS(answers); i++) {
		if (gb_str_eq(gb_str_from_c(answers[i]), name))
			a.status = i;
	}
	g_assert_cmpint(a.status, <=, SHD_ERROR);
	if (!shd_answer(w->shard, w->now, &a))
		gb_buf_add(w->out, GB_STR("no such call\n"));
}

static void cmd_answer(void *ctx, const struct scr_args *args,
		       struct gb_buf *out)
{
	struct world *w = ctx;
	int64_t call;

	w->out = out;
	for (size_t i = 0; number(args, i, &call); i++)
		answer(w, args, call);
}

/* Moves the clock, with the ticks that the shard asks for unless ticks=0. */
static void cmd_run(void *ctx, const struct scr_args *args, struct gb_buf *out)
{
	struct world *w = ctx;
	int64_t ms = 0;
	gb_time end;

	w->out = out;
	number(args, 0, &ms);
	end = w->now + ms * GB_MSEC;
	while (scr_int(args, GB_STR("ticks"), 1) &&
	       shd_next_tick(w->shard) <= end) {
		w->now = MAX(w->now, shd_next_tick(w->shard));
		shd_tick(w->shard, w->now);
	}
	w->now = end;
}

static void cmd_lease(void *ctx, const struct scr_args *args,
		      struct gb_buf *out)
{
	struct world *w = ctx;
	int64_t ms = 0;

	w->out = out;
	number(args, 0, &ms);
	shd_set_lease(w->shard, ms ? w->now + ms * GB_MSEC : 0);
}

static void cmd_cancel(void *ctx, const struct scr_args *args,
		       struct gb_buf *out)
{
	struct world *w = ctx;
	int64_t query = 0;

	w->out = out;
	number(args, 0, &query);
	shd_cancel(w->shard, w->now, 1, query);
}

static void cmd_move(void *ctx, const struct scr_args *args, struct gb_buf *out)
{
	struct world *w = ctx;

	(void)args;
	w->out = out;
	shd_drain(w->shard, w->now);
}

static void cmd_close(void *ctx, const struct scr_args *args,
		      struct gb_buf *out)
{
	struct world *w = ctx;

	w->out = out;
	world_close(w, (int)scr_int(args, GB_STR("replica"), -1),
		    (int)scr_int(args, GB_STR("dc"), -1),
		    scr_int(args, GB_STR("closed"), 1),
		    scr_int(args, GB_STR("removed"), 0));
}

/* Warms all upstreams by rounds of successes that take 10 ms each. */
static void cmd_warm(void *ctx, const struct scr_args *args, struct gb_buf *out)
{
	struct world *w = ctx;
	const struct scr_args none = { .len = 0 };
	int64_t rounds = scr_int(args, GB_STR("rounds"), 60);

	w->out = out;
	w->quiet = true;
	for (int64_t i = 0; i < rounds; i++) {
		g_array_set_size(w->sent, 0);
		for (int r = 0; shd_upstream(w->shard, r); r++)
			submit(w, &none, 100000 + i);
		w->now += 10 * GB_MSEC;
		for (guint s = 0; s < w->sent->len; s++)
			answer(w, &none, g_array_index(w->sent, uint64_t, s));
	}
	w->quiet = false;
	w->calls = 0;
}

/* Submits many requests without printing what becomes of them. */
static void cmd_fill(void *ctx, const struct scr_args *args, struct gb_buf *out)
{
	struct world *w = ctx;
	int64_t len = 0;

	w->out = out;
	number(args, 0, &len);
	w->quiet = true;
	for (int64_t i = 0; i < len; i++)
		submit(w, args, i);
	w->quiet = false;
}

static void cmd_state(void *ctx, const struct scr_args *args,
		      struct gb_buf *out)
{
	const struct world *w = ctx;
	uint64_t fp = scr_int(args, GB_STR("fp"), 0);
	const struct up_upstream *up;

	gb_buf_addf(out, "queued=%u running=%u", shd_queued(w->shard),
		    shd_running(w->shard));
	for (int i = 0; (up = shd_upstream(w->shard, i)); i++)
		gb_buf_addf(out, " r%d=%s:%u/%u%s", i, states[up->state],
			    up->in_flight, up_limit(up, w->now),
			    up->exclusive ? ":alone" : "");
	if (fp)
		gb_buf_addf(out, " fp=%s crashes=%u",
			    verdicts[sus_state(w->suspects, w->now, fp)],
			    sus_crashes(w->suspects, fp));
	gb_buf_addc(out, '\n');
}

static void cmd_metrics(void *ctx, const struct scr_args *args,
			struct gb_buf *out)
{
	const struct world *w = ctx;
	const uint64_t *counter = w->metrics.counter;

	(void)args;
	gb_buf_addf(out,
		    "hedges=%" PRIu64 " retries=%" PRIu64 " cancelled=%" PRIu64
		    " dropped=%" PRIu64 "\n",
		    counter[MET_SUB_HEDGES], counter[MET_SUB_RETRIES],
		    counter[MET_SUB_CANCELLED], counter[MET_ANSWERS_DROPPED]);
}

static void cmd_random(void *ctx, const struct scr_args *args,
		       struct gb_buf *out)
{
	cmd_service(ctx, args, out);
	sim_run(ctx, args, out);
}

static const struct scr_command commands[] = {
	{ .name = GB_STR_INIT("service"), .run = cmd_service },
	{ .name = GB_STR_INIT("submit"), .run = cmd_submit },
	{ .name = GB_STR_INIT("answer"), .run = cmd_answer },
	{ .name = GB_STR_INIT("run"), .run = cmd_run },
	{ .name = GB_STR_INIT("lease"), .run = cmd_lease },
	{ .name = GB_STR_INIT("cancel"), .run = cmd_cancel },
	{ .name = GB_STR_INIT("move"), .run = cmd_move },
	{ .name = GB_STR_INIT("close"), .run = cmd_close },
	{ .name = GB_STR_INIT("warm"), .run = cmd_warm },
	{ .name = GB_STR_INIT("fill"), .run = cmd_fill },
	{ .name = GB_STR_INIT("state"), .run = cmd_state },
	{ .name = GB_STR_INIT("metrics"), .run = cmd_metrics },
	{ .name = GB_STR_INIT("random"), .run = cmd_random },
};

int main(int argc, char **argv)
{
	const struct scr_suite suite = {
		.name = "shard",
		.folder = "packages/shard/tests",
		.commands = commands,
		.commands_len = G_N_ELEMENTS(commands),
		.open = open_ctx,
		.close = close_ctx,
	};

	return scr_main(argc, argv, &suite);
}
