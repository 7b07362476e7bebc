#ifndef FW_INTERNAL_H
#define FW_INTERNAL_H

/*
 * NAME
 *	fw-internal - the steps of a request, within the package
 *
 * DESCRIPTION
 *	Calls go one way: fw-request.c and fw-done.c take what happens and use
 *	fw-admit.c, which decides whether a request is taken, fw-suspect.c,
 *	which keeps requests that crash upstreams, fw-part.c, which
 *	decides about repeats, and fw-settle.c, which decides about the answer;
 *	they use fw-call.c, and all use fw-engine.c.
 */

#include "forward/fw.h"

/* Usual time of the request's kind, also before any was seen. */
gb_time fw_usual(const struct fw_request *request);

/* Time after which the call's part is sent to a second upstream. */
gb_time fw_hedge_delay(const struct fw_call *call, gb_time now);

/* Time that the call was expected to wait for a slot when it was sent. */
gb_time fw_waited(const struct fw_call *call);
void fw_pace_add(struct fw_pace *pace, gb_time elapsed);

/* Sends a part to the upstream; it becomes the part's last call. */
void fw_call_start(struct fw_part *part, struct fl_upstream *upstream,
		   enum fw_cause cause, gb_time now);
void fw_call_cancel(struct fw_call *call, gb_time now);
void fw_cancel_running(struct fw_part *part, gb_time now);

/* Tells whether the request is taken to crash its upstreams. */
bool fw_is_quarantined(const struct fw_request *request, gb_time now);

/* Notes a run that was lost, or one that was answered. */
void fw_suspect(const struct fw_call *call, gb_time now);
void fw_vouch(const struct fw_request *request);

/* Tells whether requests of its kind are delayed, or were until just now. */
bool fw_is_pressed(const struct fw_request *request);

/*
 * Tells whether the request is to be refused, since the upstreams that were
 * chosen for its parts have too much to do; *delay is set to how much longer
 * than usual they would take for the parts that an answer needs.
 */
bool fw_is_overload(const struct fw_request *request,
		    struct fl_upstream *const *chosen, uint32_t need,
		    gb_time now, gb_time *delay);

/* Chooses an upstream for a first or a further send of the part. */
struct fl_upstream *fw_choose(struct fw_part *part, bool spare, gb_time now,
			      gb_time *wait);

/* Sends a waiting part once more, for a failure or a late answer. */
void fw_part_failed(struct fw_part *part, struct fw_call *call, gb_time now);
void fw_part_hedge(struct fw_part *part, gb_time now);
/* After a pause, an upstream that had the part may get it once more. */
void fw_part_retry(struct fw_part *part, bool paused, gb_time now);
void fw_part_missing(struct fw_part *part);

/* Answers the request if it can be answered, or can no longer succeed. */
void fw_settle(struct fw_request *request, gb_time now);
void fw_fail(struct fw_request *request, enum fw_reason reason, gb_time wait,
	     gb_time now);
void fw_pass_on(struct fw_request *request, struct fw_answer *answer,
		gb_time now);

void fw_event(const struct fw_request *request, enum ev_code code,
	      const struct fl_upstream *upstream, const char *fmt, ...)
	__attribute__((format(printf, 4, 5)));

#endif
