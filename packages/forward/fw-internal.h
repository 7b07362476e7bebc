#ifndef FW_INTERNAL_H
#define FW_INTERNAL_H

/*
 * NAME
 *	fw-internal - functions shared by the files of this package
 *
 * DESCRIPTION
 *	Calls between the files go in one direction: fw-request.c and fw-done.c
 *	take input and use fw-admit.c (whether a request is accepted),
 *	fw-suspect.c (requests that crash upstreams), fw-part.c (retries and
 *	hedges) and fw-settle.c (the answer). Those use fw-call.c and
 *	fw-version.c (roll-outs), and all use fw-engine.c. fw-explain.c asks
 *them what they would do.
 */

#include "forward/fw.h"

/* Median latency of the request's route; an estimate before any answer. */
gb_time fw_median_latency(const struct fw_request *request);

/* Time after which the call's part is sent to a second upstream. */
gb_time fw_hedge_delay(const struct fw_call *call, gb_time now);

/* Time that the call was expected to wait for a slot when it was sent. */
gb_time fw_queue_wait(const struct fw_call *call);
void fw_stats_add_latency(struct fw_route_stats *stats, gb_time latency);

/* Sends a part to the upstream; the new call is the last one of the part. */
void fw_call_start(struct fw_part *part, struct fl_upstream *upstream,
		   enum fw_cause cause, gb_time now);
void fw_call_cancel(struct fw_call *call, gb_time now);
void fw_part_cancel_calls(struct fw_part *part, gb_time now);

/* Parts that an answer needs. */
uint32_t fw_parts_needed(const struct fw_request *request);

/* Chooses an upstream for each part; returns the number that have one. */
uint32_t fw_choose_upstreams(struct fw_request *request,
			     struct fl_upstream **chosen, gb_time now,
			     gb_time *wait);

/* Tells whether the part should go to the target version of a roll-out. */
bool fw_prefers_target(const struct fw_part *part, gb_time now);

/* Chooses an upstream of the version that the roll-out of the service wants. */
struct fl_upstream *fw_pick_version(const struct fw_part *part,
				    const struct fl_pick_options *options,
				    gb_time now, gb_time *wait);

/* Count a call for the roll-out of its service, if there is one. */
void fw_version_chosen(const struct fw_call *call);
void fw_version_sent(const struct fw_call *call);
void fw_version_answered(const struct fw_call *call, gb_time now, bool failed);

/* Tells whether the request is quarantined for crashing its upstreams. */
bool fw_is_quarantined(const struct fw_request *request, gb_time now);

/* Counts a lost run as a crash that the request may have caused. */
void fw_record_lost_run(const struct fw_call *call, gb_time now);
/* Clears the crash count of a request that was answered. */
void fw_clear_suspicion(const struct fw_request *request, gb_time now);

/* Tells whether the route is in overload, or may be about to enter it. */
bool fw_is_congested(const struct fw_request *request);

/* What admission goes by. */
struct fw_admission_view {
	gb_time delay; /* expected, over the median latency */
	gb_time limit; /* in overload */
	bool overload;
	bool yields; /* its organisation uses more than its share */
	bool refused;
};

/* Returns what admission would say, and changes nothing. */
void fw_view_admission(const struct fw_request *request,
		       struct fl_upstream *const *chosen, gb_time now,
		       struct fw_admission_view *view);

/*
 * Tells whether to refuse the request because the upstreams chosen for its
 * parts are overloaded; *delay is set to how much longer than the median
 * latency they would take for the parts that an answer needs.
 */
bool fw_should_shed(const struct fw_request *request,
		    struct fl_upstream *const *chosen, uint32_t parts_needed,
		    gb_time now, gb_time *delay);

/*
 * Chooses an upstream that the part was not sent to yet. If there is none,
 * *wait is set to the time after which there may be one, or GB_NEVER.
 */
struct fl_upstream *fw_choose_upstream(struct fw_part *part, bool healthy_only,
				       gb_time now, gb_time *wait);

/* Retries the part or gives it up, unless another call of it is in flight. */
void fw_part_handle_failure(struct fw_part *part, struct fw_call *call,
			    gb_time now);
/* Sends a pending part whose call is late to a second upstream. */
void fw_part_hedge(struct fw_part *part, gb_time now);
/* After a pause, the retry may go to an upstream that was tried before. */
void fw_part_retry(struct fw_part *part, bool after_pause, gb_time now);
void fw_part_set_missing(struct fw_part *part);

/* Answers the request once it can be answered or can no longer succeed. */
void fw_settle(struct fw_request *request, gb_time now);
/*
 * Answers with a failure. A request that has not run gets a Retry-After of at
 * least wait, within bounds; GB_NEVER if the wait is not known.
 */
void fw_fail(struct fw_request *request, enum fw_reason reason, gb_time wait,
	     gb_time now);
/* Answers with the error status of an upstream. */
void fw_pass_on(struct fw_request *request, struct fw_answer *answer,
		gb_time now);

void fw_emit_event(const struct fw_request *request, enum ev_code code,
		   const struct fl_upstream *upstream, const char *fmt, ...)
	__attribute__((format(printf, 4, 5)));

#endif
