#ifndef FW_H
#define FW_H

/*
 * NAME
 *	fw - forwards a caller's request to upstreams and answers it
 *
 * DESCRIPTION
 *	A request has one part or, on a route that fans out, one part for each
 *	shard. A part is answered by the first success of an upstream. Until
 *	then the engine may send it to a second upstream: at once after a
 *	failure (retry), or when the first one has not answered after a
 *	multiple of the median latency (hedge). Retries and hedges are limited
 *	by the retry budget of the service. A request that may run only once is
 *	sent again only if it provably has not run.
 *
 *	A request is refused before anything is sent if too few of its parts
 *	have a usable upstream, or if the upstreams are so loaded that the
 *	answer would be late. A burst of less than a second does not count as
 *	overload.
 *
 *	A fan-out is answered when no part is pending, or at its soft deadline
 *	if enough parts are answered by then; it fails as soon as too few parts
 *	can still be answered.
 *
 *	While an operator moves a service to another version, its roll-out
 *	decides which version a call goes to, and learns how the call ended.
 *
 *	A request of which several runs in a row were lost, without any answer,
 *	is assumed to crash its upstreams: it is quarantined on all VMs.
 *
 *	The package reads no clock and does no I/O: the I/O layer passes in the
 *	time and what happened, and carries out the functions of struct fw_ops.
 *	It calls fw_request_tick() at the time that fw_request_next_tick()
 *	returns.
 */

#include "budget/bud.h"
#include "event/ev.h"
#include "fleet/fl.h"
#include "metric/met.h"
#include "rollout/ro.h"
#include "route/rt.h"
#include "suspect/sus.h"

/* Calls per part, including those that provably did not run. */
#define FW_CALLS_MAX 4

/* A single lost run is mostly just a lost answer: other VMs are not told. */
#define FW_CRASHES_REPORTED_MIN 2

struct fw_engine;
struct fw_part;
struct fw_request;

/* A decoded answer of an upstream. */
struct fw_answer {
	int status;
	bool success; /* status 2xx with the upstream's signature */
	struct gb_buf signature; /* empty if there is none */
	struct gb_buf fields; /* header fields for the caller, encoded */
	struct gb_buf body;
};

enum fw_outcome {
	FW_ANSWERED, /* success, or an error status of the upstream */
	FW_REFUSED, /* the upstream has not run it and never will */
	FW_UNSENT, /* nothing was sent, such as after a failed connect */
	FW_WITHDRAWN, /* not sent: the upstream wants no requests any more */
	FW_MISDIRECTED, /* not run: the address belongs to another upstream */
	FW_LOST, /* it was sent, may have run, and has no answer */
	FW_UNUSABLE /* it may have run; its answer is malformed or incomplete */
};

enum fw_cause { FW_FIRST, FW_RETRY, FW_HEDGE };

/* One send of a part to an upstream. */
struct fw_call {
	struct fw_part *part;
	struct fl_upstream *upstream; /* held until the request is freed */
	enum fw_cause cause;
	gb_time started_at;
	gb_time sent_at; /* 0 until it has a connection */
	double queue_rounds; /* expected queueing, in mean service times */
	bool running;
	bool overdue; /* reported as overdue to the fleet */
	enum fw_outcome outcome; /* valid once running is false */
	void *data; /* of the I/O layer */
};

/* FW_PART_MISSING: given up, so that no further call is made for it. */
enum fw_part_state { FW_PART_PENDING, FW_PART_ANSWERED, FW_PART_MISSING };

struct fw_part {
	struct fw_request *request;
	struct fl_service *service;
	struct fw_call calls[FW_CALLS_MAX];
	uint32_t calls_len;
	uint32_t calls_running; /* number of calls in flight */
	enum fw_part_state state;
	gb_time hedge_at; /* GB_NEVER if no hedge is planned */
	gb_time retry_at; /* GB_NEVER if no retry is planned */
	struct fw_answer answer; /* valid in state FW_PART_ANSWERED */
};

/* Result of a request, logged and counted with its status. */
enum fw_reason {
	FW_COMPLETE,
	FW_PARTIAL, /* a fan-out with parts missing */
	FW_PASSED_ON, /* the error of an upstream was passed on */
	FW_NO_UPSTREAM, /* not run: no usable upstream */
	FW_ALL_REFUSED, /* not run: each upstream refused it */
	FW_OVERLOAD, /* not run: the queues are too long */
	FW_QUARANTINED, /* not sent: its runs crash upstreams */
	FW_OUTCOME_UNKNOWN, /* it may have run, but has no answer */
	FW_TOO_FEW_PARTS, /* too few parts of a fan-out can be answered */
	FW_TIMEOUT,
	FW_STOPPED, /* the process is stopping */
	FW_REASONS
};

struct fw_reply {
	enum fw_reason reason;
	int status;
	gb_time retry_after; /* 0 for none; set only if it has not run */
	const struct fw_answer *answer; /* to be passed on, or NULL */
	struct gb_str body; /* of a fan-out */
	const struct fw_part *parts; /* of a fan-out */
	uint32_t parts_len;
	uint32_t parts_missing;
};

/* A decision, for the log. */
struct fw_event {
	enum ev_code code;
	const struct fw_request *request;
	const struct fl_upstream *upstream; /* NULL for none */
	int64_t num1; /* the row of the code has the keys of both numbers */
	int64_t num2;
	struct gb_str detail; /* further "key=value" pairs */
};

struct fw_ops {
	/* Starts a call; fw_call_done() reports its end, not from within. */
	void (*send)(void *ctx, struct fw_call *call);
	void (*cancel)(void *ctx, struct fw_call *call);
	/* Answers the caller; the request is freed later, not from within. */
	void (*reply)(void *ctx, struct fw_request *request,
		      const struct fw_reply *reply);
	void (*event)(void *ctx, const struct fw_event *event);
	/* Tells other VMs how many upstreams a request may have crashed. */
	void (*report_crashes)(void *ctx, uint64_t fingerprint,
			       uint32_t crashes);
	/*
	 * Tells that a request was answered after crashes of which other VMs
	 * may have heard.
	 */
	void (*report_answer)(void *ctx, uint64_t fingerprint,
			      uint32_t crashes);
};

/* Whether a route gets more requests than its upstreams can serve. */
struct fw_admission {
	bool overload;
	/* Since when delays contradict the overload flag; GB_NEVER if not. */
	gb_time threshold_crossed_at;
};

/* What the answers to a route have shown, over all of its upstreams. */
struct fw_route_stats {
	double median; /* us, without waits for a slot; 0: none yet */
	struct fw_admission admission;
};

struct fw_engine {
	struct fl_fleet *fleet;
	const struct fw_ops *ops;
	void *ctx;
	struct gb_rng *rng;
	struct met_registry *metrics;
	struct bud_limits budget;
	struct ro_exposure_limits exposure; /* of versions being rolled out */
	struct sus_table *suspects; /* NULL: no quarantine */
	GHashTable *route_stats; /* route name to struct fw_route_stats */
	struct fw_fair *fair; /* use of the upstreams by organisations */
};

struct fw_request {
	struct fw_engine *engine;
	struct rt_table *table; /* configuration at the start of the request */
	struct rt_route *route;
	const struct og_org *org; /* of the table; NULL if it has none */
	struct fw_route_stats *stats;
	struct gb_str id;
	uint64_t fingerprint;
	gb_time received_at;
	gb_time deadline; /* the caller's, or the timeout of the route */
	gb_time soft_deadline; /* until then a fan-out waits for all parts */
	struct fw_part *parts;
	uint32_t parts_len;
	uint32_t parts_answered;
	uint32_t parts_missing;
	uint32_t attempts_max; /* upstreams tried per part */
	uint32_t sends; /* calls started, of all parts */
	bool is_repeat; /* each part takes from the retry budget */
	/* A call was answered, lost, or cancelled after it was sent. */
	bool may_have_run;
	bool ended;
	void *data; /* of the I/O layer */
};

void fw_engine_init(struct fw_engine *engine, struct fl_fleet *fleet,
		    const struct fw_ops *ops, void *ctx, struct gb_rng *rng,
		    struct met_registry *metrics);
void fw_engine_clear(struct fw_engine *engine);

/*
 * Returns the statistics of a route, which are kept when a new version of the
 * configuration comes.
 */
struct fw_route_stats *fw_route_stats(struct fw_engine *engine,
				      struct gb_str route);

/* What a caller gives with a request. */
struct fw_request_params {
	struct gb_str id;
	uint64_t fingerprint; /* equal for repeats of a request */
	const struct og_org *org; /* of the table, or NULL */
	gb_time received_at;
	gb_time timeout; /* how long the caller waits; 0 if not given */
	gb_time rtt; /* network round trip to the caller */
	gb_time unread_max; /* it may have waited for so long until received_at
			     */
	bool is_repeat; /* another VM may have sent its parts */
	bool is_explained; /* it is for fw_explain(), and never started */
	uint32_t attempts_max; /* upstreams tried per part; 0: the route's */
	void *data;
};

/* Returns the time by which a request is answered. */
gb_time fw_deadline_of(const struct rt_route *route,
		       const struct fw_request_params *params);

struct fw_request *fw_request_new(struct fw_engine *engine,
				  struct rt_table *table,
				  struct rt_route *route,
				  const struct fw_request_params *params);

/*
 * fw_request_start(), fw_call_done(), fw_request_tick() and fw_request_stop()
 * may end the request: they then have called fw_ops.reply and set ended. The
 * I/O layer must free the request after the function has returned.
 */
void fw_request_start(struct fw_request *request, gb_time now);

/*
 * Appends what a request that has not been started would meet now, as lines of
 * words and "key=value": whether it is admitted, and for each part the order of
 * its upstreams, at most that many. Nothing is sent or counted.
 */
void fw_explain(struct fw_request *request, uint32_t upstreams_max, gb_time now,
		struct gb_buf *out);

/*
 * Tells whether the call may be sent now. While it waited for a connection its
 * upstream may have left or asked for a pause.
 */
bool fw_call_may_be_sent(const struct fw_call *call, gb_time now);

/* Notes that the call is being sent; returns the time until the deadline. */
gb_time fw_call_sent(struct fw_call *call, gb_time now);

/* Notes the end of a call; takes over the answer if that is a success. */
void fw_call_done(struct fw_call *call, gb_time now, enum fw_outcome outcome,
		  struct fw_answer *answer);

/* Sends retries and hedges that are due, and may answer the request. */
void fw_request_tick(struct fw_request *request, gb_time now);
/* Returns when fw_request_tick() is due next. */
gb_time fw_request_next_tick(const struct fw_request *request);

/*
 * Answers the request now because the process is stopping: with the parts
 * answered so far if they are enough, otherwise with a failure.
 */
void fw_request_stop(struct fw_request *request, gb_time now);

/* Cancels all calls of the request without a reply: the caller has left. */
void fw_request_cancel(struct fw_request *request, gb_time now);
void fw_request_free(struct fw_request *request);
void fw_answer_clear(struct fw_answer *answer);

/* Returns the name of a reason in the log, such as "too_few_parts". */
struct gb_str fw_reason_name(enum fw_reason reason);

#endif
