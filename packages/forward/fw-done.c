#include "forward/fw-internal.h"

/* Records the latency of a call without its expected wait for a slot. */
static void record_latency(const struct fw_call *call, gb_time now,
			   gb_time elapsed)
{
	gb_time min_latency = elapsed / (1 + call->queue_rounds);

	fw_stats_add_latency(call->part->request->stats,
			     MAX(elapsed - fw_queue_wait(call), min_latency));
	fl_add_service_time(call->upstream, now, elapsed, call->queue_rounds);
}

/* Records the outcome of a call for its upstream, its route and its request. */
static void record_outcome(struct fw_call *call, gb_time now,
			   enum fw_outcome outcome,
			   const struct fw_answer *answer)
{
	struct fw_request *request = call->part->request;
	struct fl_upstream *upstream = call->upstream;
	gb_time elapsed = now - call->sent_at;

	switch (outcome) {
	case FW_ANSWERED:
		fw_clear_suspicion(request, now);
		fw_version_answered(call, now,
				    !answer->success && answer->status >= 500);
		if (!answer->success && answer->status >= 500) {
			fl_call_failed(upstream, now);
			return;
		}
		fl_call_answered(upstream, now, elapsed,
				 fw_median_latency(request) +
					 fw_queue_wait(call));
		if (answer->success)
			record_latency(call, now, elapsed);
		met_hist_add(&request->engine->metrics->histogram[MET_SUB_TIME],
			     elapsed);
		return;
	case FW_REFUSED:
		fl_call_refused(upstream, now);
		return;
	case FW_UNSENT:
		fl_call_unreachable(upstream, now);
		return;
	case FW_WITHDRAWN:
		fl_call_withdrawn(upstream);
		return;
	case FW_MISDIRECTED:
		fl_call_misdirected(request->engine->fleet, upstream, now);
		return;
	case FW_UNUSABLE:
		fw_version_answered(call, now, true);
		/* The upstream still sends, so the request did not crash it. */
		fl_call_failed(upstream, now);
		return;
	case FW_LOST:
		fw_version_answered(call, now, true);
		fl_call_failed(upstream, now);
		fw_record_lost_run(call, now);
		return;
	}
}

/* Completes the part with its first success; other calls are cancelled. */
static void accept_answer(struct fw_call *call, struct fw_answer *answer,
			  gb_time now)
{
	struct fw_part *part = call->part;

	part->answer = *answer;
	*answer = (struct fw_answer){ 0 };
	part->state = FW_PART_ANSWERED;
	part->request->parts_answered++;
	fw_part_cancel_calls(part, now);
}

/* A 4xx status concerns the request: other upstreams would return it, too. */
static bool is_final_error(const struct fw_request *request,
			   const struct fw_answer *answer)
{
	return !request->route->fanout && answer->status >= 400 &&
	       answer->status < 500;
}

void fw_call_done(struct fw_call *call, gb_time now, enum fw_outcome outcome,
		  struct fw_answer *answer)
{
	struct fw_part *part = call->part;
	struct fw_request *request = part->request;
	bool upstream_error;

	call->running = false;
	call->outcome = outcome;
	part->calls_running--;
	record_outcome(call, now, outcome, answer);
	if (outcome == FW_ANSWERED || outcome == FW_LOST ||
	    outcome == FW_UNUSABLE)
		request->may_have_run = true;
	upstream_error = outcome == FW_ANSWERED && !answer->success;
	if (outcome == FW_ANSWERED && answer->success)
		accept_answer(call, answer, now);
	else if (upstream_error && is_final_error(request, answer))
		fw_part_set_missing(part);
	else
		fw_part_handle_failure(part, call, now);
	/* No upstream is left that may succeed: pass the error on. */
	if (upstream_error && part->state == FW_PART_MISSING &&
	    !request->route->fanout)
		fw_pass_on(request, answer, now);
	else
		fw_settle(request, now);
}
