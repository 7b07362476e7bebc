#include "forward/fw-internal.h"

#include "gather/ga.h"

#include <stdlib.h>

/* Bounds of the Retry-After of a refused request, before jitter. */
#define RETRY_AFTER_MIN (60 * GB_MSEC)
#define RETRY_AFTER_MAX (1 * GB_SEC)

/* Ends the request: cancels the calls in flight, then sends the reply. */
static void finish(struct fw_request *request, const struct fw_reply *reply,
		   gb_time now)
{
	struct fw_engine *engine = request->engine;

	request->ended = true;
	for (uint32_t i = 0; i < request->parts_len; i++)
		fw_part_cancel_calls(&request->parts[i], now);
	engine->ops->reply(engine->ctx, request, reply);
}

static int compare_times(const void *a, const void *b)
{
	gb_time first = *(const gb_time *)a, second = *(const gb_time *)b;

	return first < second ? -1 : first > second;
}

/*
 * Returns the time until so many parts have an upstream that takes requests, as
 * far as all upstreams of a part have asked for a pause; otherwise 0.
 */
static gb_time time_until_pauses_end(const struct fw_request *request,
				     gb_time now)
{
	uint32_t parts_needed =
		request->route->fanout ? rt_parts_min(request->route) : 1;
	gb_time *pauses = g_new(gb_time, request->parts_len), pause;

	for (uint32_t i = 0; i < request->parts_len; i++)
		pauses[i] = fl_service_pause(request->engine->fleet,
					     request->parts[i].service, now);
	qsort(pauses, request->parts_len, sizeof(*pauses), compare_times);
	pause = parts_needed ? pauses[parts_needed - 1] : 0;
	g_free(pauses);
	return pause;
}

/*
 * Adds jitter of up to the wait itself, so that callers that were refused
 * together do not return together.
 */
static gb_time jittered_retry_after(struct fw_request *request, gb_time wait,
				    gb_time now)
{
	gb_time base = CLAMP(wait == GB_NEVER ? 0 : wait, RETRY_AFTER_MIN,
			     RETRY_AFTER_MAX);
	gb_time jitter = gb_rng_below(request->engine->rng, base);

	return MAX(base, time_until_pauses_end(request, now)) + jitter;
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
		reply.retry_after = jittered_retry_after(request, wait, now);
	} else {
		reply.status = reason == FW_TIMEOUT ? 504 : 502;
	}
	finish(request, &reply, now);
}

void fw_pass_on(struct fw_request *request, struct fw_answer *answer,
		gb_time now)
{
	const struct fw_reply reply = { .reason = FW_PASSED_ON,
					.status = answer->status,
					.answer = answer };

	finish(request, &reply, now);
}

static void answer_single(struct fw_request *request, gb_time now)
{
	const struct fw_answer *answer = &request->parts[0].answer;
	const struct fw_reply reply = { .reason = FW_COMPLETE,
					.status = answer->status,
					.answer = answer };

	finish(request, &reply, now);
}

static void answer_fanout(struct fw_request *request, gb_time now)
{
	struct gb_buf body = GB_BUF_INIT;
	struct fw_reply reply = {
		.reason = request->parts_answered == request->parts_len
				  ? FW_COMPLETE
				  : FW_PARTIAL,
		.status = 200,
		.parts = request->parts,
		.parts_len = request->parts_len,
		.parts_missing = request->parts_len - request->parts_answered,
	};
	struct ga_merge merge;

	ga_init(&merge, request->route->top_k);
	for (uint32_t i = 0; i < request->parts_len; i++)
		if (request->parts[i].state == FW_PART_ANSWERED)
			ga_add(&merge,
			       gb_buf_str(&request->parts[i].answer.body));
	ga_finish(&merge, &body);
	reply.body = gb_buf_str(&body);
	finish(request, &reply, now);
	gb_buf_free(&body);
}

static enum fw_reason failure_reason(const struct fw_request *request)
{
	if (request->route->fanout)
		return FW_TOO_FEW_PARTS;
	if (request->may_have_run)
		return FW_OUTCOME_UNKNOWN;
	return request->sends ? FW_ALL_REFUSED : FW_NO_UPSTREAM;
}

/* Tells whether only unresponsive upstreams have calls of a pending part. */
static bool waits_for_unresponsive(const struct fw_part *part, gb_time now)
{
	if (part->state != FW_PART_PENDING || !part->calls_running)
		return false;
	for (uint32_t i = 0; i < part->calls_len; i++)
		if (part->calls[i].running &&
		    !fl_is_unresponsive(part->calls[i].upstream, now))
			return false;
	return true;
}

/*
 * Number of parts that are answered or may still be. Parts that wait for
 * unresponsive upstreams are given up only if another part is missing.
 */
static uint32_t parts_possible(const struct fw_request *request, gb_time now)
{
	uint32_t count = request->parts_len - request->parts_missing;

	if (!request->parts_missing)
		return count;
	for (uint32_t i = 0; i < request->parts_len; i++)
		count -= waits_for_unresponsive(&request->parts[i], now);
	return count;
}

void fw_settle(struct fw_request *request, gb_time now)
{
	uint32_t parts_needed = 1;
	bool none_pending;

	if (request->ended)
		return;
	if (request->route->fanout)
		parts_needed = rt_parts_min(request->route);
	none_pending = request->parts_answered + request->parts_missing ==
		       request->parts_len;
	if (request->parts_answered >= parts_needed &&
	    (none_pending || now >= request->soft_deadline)) {
		if (request->route->fanout)
			answer_fanout(request, now);
		else
			answer_single(request, now);
		return;
	}
	if (parts_possible(request, now) < parts_needed) {
		fw_fail(request, failure_reason(request), GB_NEVER, now);
		return;
	}
	if (now >= request->deadline)
		fw_fail(request, FW_TIMEOUT, GB_NEVER, now);
}
