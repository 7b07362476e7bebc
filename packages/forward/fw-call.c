#include "forward/fw-internal.h"

/*
 * A call that is cancelled after waiting this long for a connection marks its
 * upstream as unreachable.
 */
#define UNREACHABLE_AFTER (60 * GB_MSEC)

void fw_call_start(struct fw_part *part, struct fl_upstream *upstream,
		   enum fw_cause cause, gb_time now)
{
	struct fw_request *request = part->request;
	struct fw_engine *engine = request->engine;
	struct fw_call *call = &part->calls[part->calls_len++];

	*call = (struct fw_call){ .part = part,
				  .upstream = upstream,
				  .cause = cause,
				  .started_at = now,
				  .running = true };
	fl_hold(upstream);
	part->calls_running++;
	request->sends++;
	call->queue_rounds = fl_queue_rounds(upstream, now);
	part->hedge_at = now + fw_hedge_delay(call, now);
	fl_call_sent(engine->fleet, upstream, now);
	fw_version_chosen(call);
	met_add(engine->metrics, MET_SUB_REQUESTS, 1);
	engine->ops->send(engine->ctx, call);
}

bool fw_call_may_be_sent(const struct fw_call *call, gb_time now)
{
	const struct fl_fleet *fleet = call->part->request->engine->fleet;

	return !fl_is_paused(call->upstream, now) &&
	       !fl_has_departed(fleet, call->upstream, now);
}

gb_time fw_call_sent(struct fw_call *call, gb_time now)
{
	struct fw_request *request = call->part->request;

	call->sent_at = now;
	fw_version_sent(call);
	if (call->cause == FW_FIRST)
		bud_count_request(call->part->service->data, now);
	return request->deadline - now;
}

/* Ends a call whose answer is no longer needed. */
void fw_call_cancel(struct fw_call *call, gb_time now)
{
	struct fw_request *request = call->part->request;
	struct fw_engine *engine = request->engine;

	if (!call->running)
		return;
	call->running = false;
	call->outcome = call->sent_at ? FW_LOST : FW_UNSENT;
	call->part->calls_running--;
	request->may_have_run |= call->sent_at != 0;
	met_add(engine->metrics, MET_SUB_CANCELLED, 1);
	fw_version_answered(call, now, false);
	if (!call->sent_at && now - call->started_at > UNREACHABLE_AFTER)
		fl_call_unreachable(call->upstream, now);
	else
		fl_call_abandoned(call->upstream, now, now - call->started_at,
				  fw_median_latency(request));
	engine->ops->cancel(engine->ctx, call);
}

void fw_part_cancel_calls(struct fw_part *part, gb_time now)
{
	for (uint32_t i = 0; i < part->calls_len; i++)
		fw_call_cancel(&part->calls[i], now);
}
