#include "forward/fw-internal.h"

#include "gather/ga.h"

/* Bounds of the time after which a refused caller should come again. */
#define COME_AGAIN_MIN (60 * GB_MSEC)
#define COME_AGAIN_MAX (1 * GB_SEC)

/* Ends the request: what still runs is cancelled before the answer leaves. */
static void end(struct fw_request *request, const struct fw_reply *reply,
		gb_time now)
{
	struct fw_engine *engine = request->engine;

	request->ended = true;
	for (uint32_t i = 0; i < request->parts_len; i++)
		fw_cancel_running(&request->parts[i], now);
	engine->ops->reply(engine->ctx, request, reply);
}

/* Callers that were refused together come back spread over the time. */
static gb_time come_again(struct fw_request *request, gb_time wait)
{
	gb_time least = CLAMP(wait == GB_NEVER ? 0 : wait, COME_AGAIN_MIN,
			      COME_AGAIN_MAX);

	return least + gb_rng_below(request->engine->rng, least);
}

/* 503 promises that the request has not run and never will. */
void fw_fail(struct fw_request *request, enum fw_reason reason, gb_time wait,
	     gb_time now)
{
	struct fw_reply reply = { .reason = reason };
	bool running = false;

	for (uint32_t i = 0; i < request->parts_len; i++)
		for (uint32_t j = 0; j < request->parts[i].calls_len; j++)
			running |= request->parts[i].calls[j].running &&
				   request->parts[i].calls[j].sent_at;
	if (!request->may_have_run && !running) {
		reply.status = 503;
		reply.retry_after = come_again(request, wait);
	} else {
		reply.status = reason == FW_TIMEOUT ? 504 : 502;
	}
	end(request, &reply, now);
}

void fw_pass_on(struct fw_request *request, struct fw_answer *answer,
		gb_time now)
{
	const struct fw_reply reply = { .reason = FW_PASSED_ON,
					.status = answer->status,
					.answer = answer };

	end(request, &reply, now);
}

static void answer_single(struct fw_request *request, gb_time now)
{
	const struct fw_answer *answer = &request->parts[0].answer;
	const struct fw_reply reply = { .reason = FW_COMPLETE,
					.status = answer->status,
					.answer = answer };

	end(request, &reply, now);
}

static void answer_fanout(struct fw_request *request, gb_time now)
{
	struct gb_buf body = GB_BUF_INIT;
	struct fw_reply reply = {
		.reason = request->parts_in == request->parts_len ? FW_COMPLETE
								  : FW_PARTIAL,
		.status = 200,
		.parts = request->parts,
		.parts_len = request->parts_len,
		.missing = request->parts_len - request->parts_in,
	};
	struct ga_merge merge;

	ga_init(&merge, request->route->top);
	for (uint32_t i = 0; i < request->parts_len; i++)
		if (request->parts[i].state == FW_IN)
			ga_add(&merge,
			       gb_buf_str(&request->parts[i].answer.body));
	ga_finish(&merge, &body);
	reply.body = gb_buf_str(&body);
	end(request, &reply, now);
	gb_buf_free(&body);
}

static enum fw_reason failure(const struct fw_request *request)
{
	if (request->route->fanout)
		return FW_TOO_FEW;
	if (request->may_have_run)
		return FW_BROKEN;
	return request->sends ? FW_ALL_REFUSED : FW_NO_UPSTREAM;
}

/* Tells whether the part waits for silent upstreams only. */
static bool waits_in_vain(const struct fw_part *part, gb_time now)
{
	if (part->state != FW_WAITING || !part->running)
		return false;
	for (uint32_t i = 0; i < part->calls_len; i++)
		if (part->calls[i].running &&
		    !fl_is_silent(part->calls[i].upstream, now))
			return false;
	return true;
}

/* The number of parts that are in or may yet come in. */
static uint32_t parts_possible(const struct fw_request *request, gb_time now)
{
	uint32_t count = request->parts_len - request->parts_missing;

	if (!request->parts_missing)
		return count;
	for (uint32_t i = 0; i < request->parts_len; i++)
		count -= waits_in_vain(&request->parts[i], now);
	return count;
}

void fw_settle(struct fw_request *request, gb_time now)
{
	uint32_t need = 1;
	bool all;

	if (request->ended)
		return;
	if (request->route->fanout)
		need = rt_parts_min(request->route);
	all = request->parts_in + request->parts_missing == request->parts_len;
	if (request->parts_in >= need && (all || now >= request->aim_at)) {
		if (request->route->fanout)
			answer_fanout(request, now);
		else
			answer_single(request, now);
		return;
	}
	if (parts_possible(request, now) < need) {
		fw_fail(request, failure(request), GB_NEVER, now);
		return;
	}
	if (now >= request->end)
		fw_fail(request, FW_TIMEOUT, GB_NEVER, now);
}
