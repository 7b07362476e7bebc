#include "forward/fw-internal.h"

/* Takes the time that a call waited for a slot off its time. */
static void learn(const struct fw_call *call, gb_time now, gb_time elapsed)
{
	gb_time least = elapsed / (1 + call->queued);

	fw_pace_add(call->part->request->pace,
		    MAX(elapsed - fw_waited(call), least));
	fl_worked(call->upstream, now, elapsed, call->queued);
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
		fw_vouch(request);
		if (!answer->success && answer->status >= 500) {
			fl_failed(upstream, now);
			return;
		}
		fl_answered(upstream, now, elapsed,
			    fw_usual(request) + fw_waited(call));
		if (answer->success)
			learn(call, now, elapsed);
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
		fw_suspect(call, now);
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

/* What a request is refused for by one upstream, others refuse it for, too. */
static bool is_final(const struct fw_request *request,
		     const struct fw_answer *answer)
{
	return !request->route->fanout && answer->status >= 400 &&
	       answer->status < 500;
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
	else if (own_failure && is_final(request, answer))
		fw_part_missing(part);
	else
		fw_part_failed(part, call, now);
	/* With nothing better to come, the upstream's own failure is it. */
	if (own_failure && part->state == FW_MISSING && !request->route->fanout)
		fw_pass_on(request, answer, now);
	else
		fw_settle(request, now);
}
