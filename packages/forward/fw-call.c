#include "forward/fw-internal.h"

/* A new connection that takes longer than this counts as unreachable. */
#define CONNECT_SLOW (60 * GB_MSEC)

void fw_call_start(struct fw_part *part, struct fl_upstream *upstream,
		   enum fw_cause cause, gb_time now)
{
	struct fw_request *request = part->request;
	struct fw_engine *engine = request->engine;
	struct fw_call *call = &part->calls[part->calls_len++];

	*call = (struct fw_call){ .part = part,
				  .upstream = upstream,
				  .cause = cause,
				  .started = now,
				  .running = true };
	part->running++;
	request->sends++;
	part->hedge_at = now + fw_hedge_delay(part, now);
	fl_sent(engine->fleet, upstream, now);
	met_add(engine->metrics, MET_SUB_REQUESTS, 1);
	engine->ops->send(engine->ctx, call);
}

gb_time fw_sent(struct fw_call *call, gb_time now)
{
	struct fw_request *request = call->part->request;

	call->sent_at = now;
	if (call->cause == FW_FIRST)
		bud_request(call->part->service->data, now);
	return request->end - now;
}

/* Ends a call whose answer is no longer wanted. */
void fw_call_cancel(struct fw_call *call, gb_time now)
{
	struct fw_request *request = call->part->request;
	struct fw_engine *engine = request->engine;

	if (!call->running)
		return;
	call->running = false;
	call->outcome = call->sent_at ? FW_LOST : FW_UNSENT;
	call->part->running--;
	request->may_have_run |= call->sent_at != 0;
	met_add(engine->metrics, MET_SUB_CANCELLED, 1);
	if (!call->sent_at && now - call->started > CONNECT_SLOW)
		fl_unreachable(call->upstream, now);
	else
		fl_abandoned(call->upstream, now, now - call->started,
			     fw_usual(request));
	engine->ops->cancel(engine->ctx, call);
}

void fw_cancel_running(struct fw_part *part, gb_time now)
{
	for (uint32_t i = 0; i < part->calls_len; i++)
		fw_call_cancel(&part->calls[i], now);
}

/* Notes what the end of a call says of its upstream. */
static void score(struct fw_call *call, gb_time now, enum fw_outcome outcome,
		  const struct fw_answer *answer)
{
	struct fw_request *request = call->part->request;
	struct fl_upstream *upstream = call->upstream;
	gb_time elapsed = now - call->sent_at;

	switch (outcome) {
	case FW_ANSWERED:
		if (!answer->success && answer->status >= 500) {
			fl_failed(upstream, now);
			return;
		}
		fl_answered(upstream, now, elapsed, fw_usual(request));
		if (answer->success)
			fw_pace_add(request->pace, elapsed);
		met_hist_add(&request->engine->metrics->histogram[MET_SUB_TIME],
			     elapsed);
		return;
	case FW_REFUSED:
		fl_refused(upstream, now);
		return;
	case FW_UNSENT:
		fl_unreachable(upstream, now);
		return;
	case FW_MISDIRECTED:
		fl_misdirected(request->engine->fleet, upstream, now);
		return;
	case FW_LOST:
		fl_failed(upstream, now);
		return;
	}
}

/* The first good answer settles the part; other calls are cancelled. */
static void take_success(struct fw_call *call, struct fw_answer *answer,
			 gb_time now)
{
	struct fw_part *part = call->part;

	part->answer = *answer;
	*answer = (struct fw_answer){ 0 };
	part->state = FW_IN;
	part->request->parts_in++;
	fw_cancel_running(part, now);
}

void fw_done(struct fw_call *call, gb_time now, enum fw_outcome outcome,
	     struct fw_answer *answer)
{
	struct fw_part *part = call->part;
	struct fw_request *request = part->request;
	bool own_failure;

	call->running = false;
	call->outcome = outcome;
	part->running--;
	score(call, now, outcome, answer);
	if (outcome == FW_ANSWERED || outcome == FW_LOST)
		request->may_have_run = true;
	own_failure = outcome == FW_ANSWERED && !answer->success;
	if (outcome == FW_ANSWERED && answer->success)
		take_success(call, answer, now);
	else
		fw_part_failed(part, call, now);
	/* With nothing better to come, the upstream's own failure is it. */
	if (own_failure && part->state == FW_MISSING && !request->route->fanout)
		fw_pass_on(request, answer, now);
	else
		fw_settle(request, now);
}
