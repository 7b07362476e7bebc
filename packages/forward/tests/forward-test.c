#include "forward-ignore.h"
#include "script/scr.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define CALLS_MAX 512
#define REQUESTS_MAX 256

/*
 * Forwards requests on a virtual clock. The script acts as the upstreams: it
 * names a call by the number that was printed when the call was started.
 */
struct ctx {
	gb_time now;
	struct gb_rng rng;
	struct met_registry metrics;
	struct fl_fleet *fleet;
	struct fw_engine engine;
	struct rt_table *table;
	struct fw_call *call[CALLS_MAX];
	uint32_t calls;
	struct fw_request *request[REQUESTS_MAX];
	char id[REQUESTS_MAX][16];
	uint32_t requests;
	struct gb_buf *out;
	bool quiet;
	uint32_t replies[FW_REASONS];
	uint32_t late;
};

static void print_line(struct ctx *ctx, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

static void print_line(struct ctx *ctx, const char *fmt, ...)
{
	char text[400];
	va_list ap;

	if (ctx->quiet)
		return;
	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	gb_buf_addf(ctx->out, "  %lld ms: %s\n",
		    (long long)(ctx->now / GB_MSEC), text);
}

static void on_send(void *data, struct fw_call *call)
{
	static const char *const causes[] = { "first", "retry", "hedge" };
	struct ctx *ctx = data;

	g_assert(ctx->calls < CALLS_MAX);
	call->data = &ctx->call[ctx->calls];
	ctx->call[ctx->calls] = call;
	print_line(ctx, "%.*s sends %u to %.*s (%s)",
		   (int)call->part->request->id.len,
		   call->part->request->id.ptr, ctx->calls,
		   (int)call->upstream->id.len, call->upstream->id.ptr,
		   causes[call->cause]);
	ctx->calls++;
}

static uint32_t number_of(const struct ctx *ctx, const struct fw_call *call)
{
	return (struct fw_call **)call->data - ctx->call;
}

static void on_cancel(void *data, struct fw_call *call)
{
	struct ctx *ctx = data;

	print_line(ctx, "cancels %u", number_of(ctx, call));
	ctx->call[number_of(ctx, call)] = NULL;
}

/* Prints the upstream of the last call of each missing part, as the log does.
 */
static void print_missing(struct ctx *ctx, const struct fw_request *request)
{
	for (uint32_t i = 0; i < request->parts_len; i++) {
		const struct fw_part *part = &request->parts[i];
		const struct fl_upstream *last;

		if (part->state == FW_PART_ANSWERED || !part->calls_len)
			continue;
		last = part->calls[part->calls_len - 1].upstream;
		print_line(ctx, "%.*s lacks %.*s, last sent to %.*s",
			   (int)request->id.len, request->id.ptr,
			   (int)part->service->name.len,
			   part->service->name.ptr, (int)last->id.len,
			   last->id.ptr);
	}
}

static void on_reply(void *data, struct fw_request *request,
		     const struct fw_reply *reply)
{
	struct ctx *ctx = data;
	struct gb_str reason = fw_reason_name(reply->reason);
	struct gb_str body =
		reply->answer ? gb_buf_str(&reply->answer->body) : reply->body;

	ctx->replies[reply->reason]++;
	ctx->late += reply->status < 300 && request->route->target_latency &&
		     ctx->now - request->received_at >
			     request->route->target_latency;
	print_line(ctx, "%.*s is answered %d (%.*s)%s%s missing %u \"%.*s\"",
		   (int)request->id.len, request->id.ptr, reply->status,
		   (int)reason.len, reason.ptr,
		   reply->retry_after ? ", retry after" : "",
		   !reply->retry_after			 ? ""
		   : reply->retry_after <= 200 * GB_MSEC ? " 0.2 s or less,"
		   : reply->retry_after < 2 * GB_SEC	 ? " more than 0.2 s,"
		   : reply->retry_after < 5 * GB_SEC	 ? " 2 to 5 s,"
							 : " 5 s or more,",
		   reply->parts_missing, (int)body.len, body.ptr);
	print_missing(ctx, request);
}

static void on_report_crashes(void *data, uint64_t fingerprint,
			      uint32_t crashes)
{
	struct ctx *ctx = data;

	(void)fingerprint;
	print_line(ctx, "tells other VMs of %u crashes", crashes);
}

static void on_report_answer(void *data, uint64_t fingerprint, uint32_t crashes)
{
	struct ctx *ctx = data;

	(void)fingerprint;
	(void)crashes;
	print_line(ctx, "tells that a request with crashes was answered");
}

static uint32_t live_vms(void *ctx)
{
	(void)ctx;
	return 1;
}

static uint32_t rank_of_vm(void *ctx, uint64_t key)
{
	(void)ctx;
	(void)key;
	return 0;
}

static void *open_ctx(void)
{
	static const struct fw_ops ops = { .send = on_send,
					   .cancel = on_cancel,
					   .reply = on_reply,
					   .event = ignore_event,
					   .report_crashes = on_report_crashes,
					   .report_answer = on_report_answer };
	static const struct fl_ops fleet_ops = {
		.upstream_reset = ignore_upstream_reset
	};
	static const struct fl_membership membership = { .live_vms = live_vms,
							 .rank = rank_of_vm };
	const struct fl_settings settings = { .dc = GB_STR_INIT("here"),
					      .drain_time = 2800 * GB_MSEC };
	struct ctx *ctx = g_new0(struct ctx, 1);

	ctx->now = GB_SEC;
	ctx->rng.state = 1;
	ctx->fleet = fl_new(&settings, &fleet_ops, &membership, ctx, &ctx->rng);
	fw_engine_init(&ctx->engine, ctx->fleet, &ops, ctx, &ctx->rng,
		       &ctx->metrics);
	ctx->engine.budget = (struct bud_limits){ .ratio = 0.2,
						  .extra_total = 58,
						  .window = 10 * GB_SEC,
						  .vms = 1,
						  .vms_confirmed = true };
	ctx->engine.suspects = sus_new(100, 3, 10 * GB_SEC);
	ctx->table = rt_table_new(1);
	return ctx;
}

static void free_ended(struct ctx *ctx, bool all)
{
	for (uint32_t i = 0; i < ctx->requests; i++) {
		if (!ctx->request[i] || !(all || ctx->request[i]->ended))
			continue;
		if (!ctx->request[i]->ended)
			fw_request_cancel(ctx->request[i], ctx->now);
		fw_request_free(ctx->request[i]);
		ctx->request[i] = NULL;
	}
}

static void close_ctx(void *data)
{
	struct ctx *ctx = data;

	ctx->quiet = true;
	free_ended(ctx, true);
	rt_table_unref(ctx->table);
	sus_free(ctx->engine.suspects);
	fw_engine_clear(&ctx->engine);
	fl_free(ctx->fleet);
	g_free(ctx);
}

/* budget ratio= extra=: sets the retry budget */
static void cmd_budget(void *data, const struct scr_args *args,
		       struct gb_buf *out)
{
	struct ctx *ctx = data;

	(void)out;
	ctx->engine.budget.ratio = scr_double(args, GB_STR("ratio"), 0);
	ctx->engine.budget.extra_total = scr_double(args, GB_STR("extra"), 0);
}

/* upstream ID service= dc= slots= leaving= */
static void cmd_upstream(void *data, const struct scr_args *args,
			 struct gb_buf *out)
{
	struct ctx *ctx = data;
	const struct fl_entry entry = {
		.id = scr_word(args, 0),
		.service = scr_str(args, GB_STR("service"), GB_STR("s")),
		.address = GB_STR_INIT("10.0.0.1:80"),
		.dc = scr_str(args, GB_STR("dc"), GB_STR("here")),
		.slots = scr_int(args, GB_STR("slots"), 2),
		.leaving = scr_int(args, GB_STR("leaving"), 0),
	};

	(void)out;
	fl_apply_entry(ctx->fleet, ctx->now, &entry);
}

/* shards n= replicas=: services s0, s1 and so on, upstreams s0a, s0b, s1a */
static void cmd_shards(void *data, const struct scr_args *args,
		       struct gb_buf *out)
{
	int64_t shards = scr_int(args, GB_STR("n"), 1);
	int64_t replicas = scr_int(args, GB_STR("replicas"), 2);
	struct ctx *ctx = data;

	(void)out;
	for (int64_t i = 0; i < shards * replicas; i++) {
		struct gb_buf id = GB_BUF_INIT, service = GB_BUF_INIT;
		struct fl_entry entry = { .address = GB_STR("10.0.0.1:80"),
					  .dc = GB_STR("here"),
					  .slots = 2 };

		gb_buf_addf(&service, "s%lld", (long long)(i / replicas));
		gb_buf_addf(&id, "s%lld%c", (long long)(i / replicas),
			    (char)('a' + i % replicas));
		entry.id = gb_buf_str(&id);
		entry.service = gb_buf_str(&service);
		fl_apply_entry(ctx->fleet, ctx->now, &entry);
		gb_buf_free(&id);
		gb_buf_free(&service);
	}
}

static void add_target(struct ctx *ctx, struct rt_route *route,
		       struct gb_str name)
{
	struct rt_service *service = rt_find_service(ctx->table, name);

	if (!service)
		service = rt_add_service(ctx->table, name);
	service->data = fl_service(ctx->fleet, name);
	rt_add_target(route, service, 1);
}

/* route PREFIX kind=safe|once service=S | shards=N aim= timeout= ... */
static void cmd_route(void *data, const struct scr_args *args,
		      struct gb_buf *out)
{
	struct ctx *ctx = data;
	int64_t shards = scr_int(args, GB_STR("shards"), 0);
	const struct rt_route route = {
		.name = scr_word(args, 0),
		.host = GB_STR_INIT("h"),
		.prefix = scr_word(args, 0),
		.kind = gb_str_eq(scr_str(args, GB_STR("kind"), GB_STR("safe")),
				  GB_STR("safe"))
				? RT_IDEMPOTENT
				: RT_AT_MOST_ONCE,
		.target_latency = scr_int(args, GB_STR("aim"), 100) * GB_MSEC,
		.timeout = scr_int(args, GB_STR("timeout"), 1000) * GB_MSEC,
		.attempts_max = scr_int(args, GB_STR("attempts"), 2),
		.fanout = shards > 0,
		.top_k = scr_int(args, GB_STR("top"), 3),
		.shard_share_min = scr_double(args, GB_STR("share"), 1),
	};
	struct rt_route *added = rt_add_route(ctx->table, &route);

	(void)out;
	added->data = fw_route_stats(&ctx->engine, route.name);
	if (!shards)
		add_target(ctx, added,
			   scr_str(args, GB_STR("service"), GB_STR("s")));
	for (int64_t i = 0; i < shards; i++) {
		struct gb_buf name = GB_BUF_INIT;

		gb_buf_addf(&name, "s%lld", (long long)i);
		add_target(ctx, added, gb_buf_str(&name));
		gb_buf_free(&name);
	}
}

static void start_request(struct ctx *ctx, struct gb_str id, struct gb_str path,
			  gb_time timeout, gb_time unread_max)
{
	uint32_t i = ctx->requests++;
	struct fw_request_params params = { .fingerprint = gb_hash(path, 0),
					    .received_at = ctx->now,
					    .timeout = timeout,
					    .unread_max = unread_max };

	g_assert(i < REQUESTS_MAX && id.len < sizeof(ctx->id[i]));
	memcpy(ctx->id[i], id.ptr, id.len);
	params.id = (struct gb_str){ ctx->id[i], id.len };
	ctx->request[i] = fw_request_new(
		&ctx->engine, ctx->table,
		rt_find_route(ctx->table, GB_STR("h"), path), &params);
	fw_request_start(ctx->request[i], ctx->now);
	free_ended(ctx, false);
}

static void print_time_left(gb_time left, const struct scr_args *args,
			    struct gb_buf *out)
{
	if (scr_int(args, GB_STR("unread"), 0))
		gb_buf_addf(out, "  upstream has %lld ms\n",
			    (long long)(left / GB_MSEC));
}

/*
 * ask ID PATH deadline= unread= unsent=1: calls are sent at once unless unsent
 * is 1; with unread, prints the time that their upstreams are given
 */
static void cmd_ask(void *data, const struct scr_args *args, struct gb_buf *out)
{
	struct ctx *ctx = data;
	uint32_t first = ctx->calls;

	ctx->out = out;
	start_request(ctx, scr_word(args, 0), scr_word(args, 1),
		      scr_int(args, GB_STR("deadline"), 0) * GB_MSEC,
		      scr_int(args, GB_STR("unread"), 0) * GB_MSEC);
	for (uint32_t i = first; i < ctx->calls; i++)
		if (ctx->call[i] && !scr_int(args, GB_STR("unsent"), 0))
			print_time_left(fw_call_sent(ctx->call[i], ctx->now),
					args, out);
}

static void end_call(struct ctx *ctx, uint32_t number, enum fw_outcome outcome,
		     struct fw_answer *answer)
{
	struct fw_call *call = ctx->call[number];
	uint32_t first = ctx->calls;

	g_assert(call);
	ctx->call[number] = NULL;
	fw_call_done(call, ctx->now, outcome, answer);
	for (uint32_t i = first; i < ctx->calls; i++)
		if (ctx->call[i])
			fw_call_sent(ctx->call[i], ctx->now);
	free_ended(ctx, false);
}

/* answer CALL... status= body= */
static void cmd_answer(void *data, const struct scr_args *args,
		       struct gb_buf *out)
{
	int64_t status = scr_int(args, GB_STR("status"), 200), number;
	struct ctx *ctx = data;

	ctx->out = out;
	for (size_t i = 0; i < args->len; i++) {
		struct fw_answer answer = { .status = status,
					    .success = status < 300 };

		if (gb_str_to_int(args->word[i], 0, CALLS_MAX, &number) ||
		    !ctx->call[number])
			continue;
		gb_buf_add(&answer.body,
			   scr_str(args, GB_STR("body"), GB_STR("")));
		gb_buf_add(&answer.signature, GB_STR("sig"));
		end_call(ctx, number, FW_ANSWERED, &answer);
		fw_answer_clear(&answer);
	}
}

/* Ends each call that the arguments name, without an answer. */
static void end_calls(void *data, const struct scr_args *args,
		      struct gb_buf *out, enum fw_outcome outcome)
{
	struct ctx *ctx = data;
	int64_t number;

	ctx->out = out;
	for (size_t i = 0; i < args->len; i++) {
		struct fw_answer answer = { 0 };

		if (gb_str_to_int(args->word[i], 0, CALLS_MAX, &number))
			continue;
		if (outcome == FW_UNSENT)
			ctx->call[number]->sent_at = 0;
		end_call(ctx, number, outcome, &answer);
	}
}

/* refuse CALL... pause=: the upstreams ask for no requests for pause ms */
static void cmd_refuse(void *data, const struct scr_args *args,
		       struct gb_buf *out)
{
	gb_time pause = scr_int(args, GB_STR("pause"), 0) * GB_MSEC;
	struct ctx *ctx = data;
	int64_t number;

	for (size_t i = 0; pause && i < args->len; i++)
		if (!gb_str_to_int(args->word[i], 0, CALLS_MAX, &number))
			fl_pause_requested(ctx->call[number]->upstream,
					   ctx->now, pause);
	end_calls(data, args, out, FW_REFUSED);
}

/* send CALL...: a connection is available; sends what may still be sent */
static void cmd_send(void *data, const struct scr_args *args,
		     struct gb_buf *out)
{
	struct ctx *ctx = data;
	int64_t number;

	ctx->out = out;
	for (size_t i = 0; i < args->len; i++) {
		struct fw_answer answer = { 0 };

		g_assert(!gb_str_to_int(args->word[i], 0, CALLS_MAX, &number));
		if (fw_call_may_be_sent(ctx->call[number], ctx->now)) {
			fw_call_sent(ctx->call[number], ctx->now);
			continue;
		}
		print_line(ctx, "%lld is not sent", (long long)number);
		end_call(ctx, number, FW_WITHDRAWN, &answer);
	}
}

static void cmd_unusable(void *data, const struct scr_args *args,
			 struct gb_buf *out)
{
	end_calls(data, args, out, FW_UNUSABLE);
}

static void cmd_lose(void *data, const struct scr_args *args,
		     struct gb_buf *out)
{
	end_calls(data, args, out, FW_LOST);
}

static void cmd_unreachable(void *data, const struct scr_args *args,
			    struct gb_buf *out)
{
	end_calls(data, args, out, FW_UNSENT);
}

static void cmd_misdirect(void *data, const struct scr_args *args,
			  struct gb_buf *out)
{
	end_calls(data, args, out, FW_MISDIRECTED);
}

/* Runs all timers that are due until a time. */
static void run_until(struct ctx *ctx, gb_time until)
{
	for (;;) {
		struct fw_request *next = NULL;
		uint32_t first = ctx->calls;

		for (uint32_t i = 0; i < ctx->requests; i++)
			if (ctx->request[i] &&
			    (!next || fw_request_next_tick(ctx->request[i]) <
					      fw_request_next_tick(next)))
				next = ctx->request[i];
		if (!next || fw_request_next_tick(next) > until)
			break;
		ctx->now = MAX(ctx->now, fw_request_next_tick(next));
		fw_request_tick(next, ctx->now);
		for (uint32_t i = first; i < ctx->calls; i++)
			if (ctx->call[i])
				fw_call_sent(ctx->call[i], ctx->now);
		free_ended(ctx, false);
	}
	ctx->now = until;
}

/* wait ms=: advances the clock */
static void cmd_wait(void *data, const struct scr_args *args,
		     struct gb_buf *out)
{
	struct ctx *ctx = data;

	ctx->out = out;
	run_until(ctx, ctx->now + scr_int(args, GB_STR("ms"), 0) * GB_MSEC);
}

/* learn PATH crashes=: another VM reports the crashes of a request */
static void cmd_learn(void *data, const struct scr_args *args,
		      struct gb_buf *out)
{
	const struct sus_record record = {
		.fingerprint = gb_hash(scr_word(args, 0), 0),
		.crashes = scr_int(args, GB_STR("crashes"), 0),
	};
	struct ctx *ctx = data;

	(void)out;
	sus_merge(ctx->engine.suspects, ctx->now, &record);
}

/* explain PATH: what a request would meet now, at most 3 upstreams a part */
static void cmd_explain(void *data, const struct scr_args *args,
			struct gb_buf *out)
{
	struct ctx *ctx = data;
	const struct fw_request_params params = { .received_at = ctx->now,
						  .is_explained = true };
	struct fw_request *request = fw_request_new(
		&ctx->engine, ctx->table,
		rt_find_route(ctx->table, GB_STR("h"), scr_word(args, 0)),
		&params);

	fw_explain(request, 3, ctx->now, out);
	fw_request_free(request);
}

/* purge: frees upstreams that have left; prints how many are known */
static void cmd_purge(void *data, const struct scr_args *args,
		      struct gb_buf *out)
{
	struct ctx *ctx = data;

	(void)args;
	ctx->out = out;
	fl_purge_departed(ctx->fleet, ctx->now);
	print_line(ctx, "%zu upstreams", fl_upstream_count(ctx->fleet));
}

/* gone ID: the caller of the request has left */
static void cmd_gone(void *data, const struct scr_args *args,
		     struct gb_buf *out)
{
	struct ctx *ctx = data;

	ctx->out = out;
	for (uint32_t i = 0; i < ctx->requests; i++)
		if (ctx->request[i] &&
		    gb_str_eq(ctx->request[i]->id, scr_word(args, 0)))
			fw_request_cancel(ctx->request[i], ctx->now);
	free_ended(ctx, false);
}

/* stop: the process is stopping */
static void cmd_stop(void *data, const struct scr_args *args,
		     struct gb_buf *out)
{
	struct ctx *ctx = data;

	(void)args;
	ctx->out = out;
	for (uint32_t i = 0; i < ctx->requests; i++)
		if (ctx->request[i])
			fw_request_stop(ctx->request[i], ctx->now);
	free_ended(ctx, false);
}

/* median PATH ms=: sets the median latency of a route */
static void cmd_median(void *data, const struct scr_args *args,
		       struct gb_buf *out)
{
	struct ctx *ctx = data;

	(void)out;
	fw_route_stats(&ctx->engine, scr_word(args, 0))->median =
		scr_int(args, GB_STR("ms"), 10) * GB_MSEC;
}

int main(int argc, char **argv)
{
	static const struct scr_command commands[] = {
		{ GB_STR_INIT("budget"), cmd_budget },
		{ GB_STR_INIT("explain"), cmd_explain },
		{ GB_STR_INIT("upstream"), cmd_upstream },
		{ GB_STR_INIT("shards"), cmd_shards },
		{ GB_STR_INIT("route"), cmd_route },
		{ GB_STR_INIT("median"), cmd_median },
		{ GB_STR_INIT("ask"), cmd_ask },
		{ GB_STR_INIT("answer"), cmd_answer },
		{ GB_STR_INIT("refuse"), cmd_refuse },
		{ GB_STR_INIT("unusable"), cmd_unusable },
		{ GB_STR_INIT("send"), cmd_send },
		{ GB_STR_INIT("lose"), cmd_lose },
		{ GB_STR_INIT("unreachable"), cmd_unreachable },
		{ GB_STR_INIT("misdirect"), cmd_misdirect },
		{ GB_STR_INIT("wait"), cmd_wait },
		{ GB_STR_INIT("purge"), cmd_purge },
		{ GB_STR_INIT("gone"), cmd_gone },
		{ GB_STR_INIT("learn"), cmd_learn },
		{ GB_STR_INIT("stop"), cmd_stop },
	};
	static const struct scr_suite suite = {
		.name = "forward",
		.folder = "packages/forward/tests",
		.commands = commands,
		.commands_len = G_N_ELEMENTS(commands),
		.context_new = open_ctx,
		.context_free = close_ctx,
	};

	return scr_main(argc, argv, &suite);
}
