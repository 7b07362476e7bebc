#ifndef FW_H
#define FW_H

/*
 * NAME
 *	fw - one request of a caller, from its route to its answer
 *
 * DESCRIPTION
 *	A request has one part, or, on a route that fans out, one part for
 *	each shard. A part is settled by the first good answer of an upstream.
 *	While it is not, the engine decides whether to send it to a second
 *	upstream: at once after a failure (retry), or because the first one
 *	takes longer than usual (hedge). Both draw on the budget of the
 *	service. A request that may run only once is sent again only after a
 *	proof that it has not run.
 *
 *	A request is refused before anything is sent if too few of its parts
 *	have an upstream, or if the upstreams have so much to do that it would
 *	be late. A burst that passes within a second is no reason for that.
 *
 *	A fan-out is answered when all parts are settled, or when its aim is
 *	near and enough parts are in; it fails as soon as enough parts can no
 *	longer come in.
 *
 *	A request of which several runs in a row were lost, and none answered,
 *	is taken to crash its upstreams: it is quarantined, on all VMs.
 *
 *	The package reads no clock and does no I/O: the shell hands in the
 *	time and what happened, and acts on the calls of struct fw_ops. It asks
 *	fw_next() when to call fw_tick() again.
 */

#include "budget/bud.h"
#include "event/ev.h"
#include "fleet/fl.h"
#include "metric/met.h"
#include "route/rt.h"
#include "suspect/sus.h"

/* Sends of one part, those that were proved not to have run included. */
#define FW_CALLS_MAX 4

struct fw_engine;
struct fw_part;
struct fw_request;

/* An upstream's answer, decoded. */
struct fw_answer {
	int status;
	bool success; /* 2xx with the upstream's signature */
	struct gb_buf signature; /* empty if there is none */
	struct gb_buf fields; /* header fields for the caller, encoded */
	struct gb_buf body;
};

enum fw_outcome {
	FW_ANSWERED, /* success or the upstream's own failure */
	FW_REFUSED, /* the upstream has not run it and never will */
	FW_UNSENT, /* it has not left this VM */
	FW_MISDIRECTED, /* another upstream has the address; not run */
	FW_LOST /* it was sent and may have run */
};

enum fw_cause { FW_FIRST, FW_RETRY, FW_HEDGE };

/* One send of a part to an upstream. */
struct fw_call {
	struct fw_part *part;
	struct fl_upstream *upstream;
	enum fw_cause cause;
	gb_time started;
	gb_time sent_at; /* 0 while it waits for a connection */
	double queued; /* rounds that it waits for a slot, as expected */
	bool running;
	bool overdue;
	enum fw_outcome outcome; /* once it no longer runs */
	void *data; /* of the shell */
};

enum fw_state { FW_WAITING, FW_IN, FW_MISSING };

struct fw_part {
	struct fw_request *request;
	struct fl_service *service;
	struct fw_call calls[FW_CALLS_MAX];
	uint32_t calls_len;
	uint32_t running;
	enum fw_state state;
	gb_time hedge_at; /* GB_NEVER while no hedge is due */
	gb_time retry_at; /* GB_NEVER unless a retry waits for an upstream */
	struct fw_answer answer; /* of a part that is in */
};

/* Why a request was answered as it was. */
enum fw_reason {
	FW_COMPLETE,
	FW_PARTIAL, /* a fan-out with parts missing */
	FW_PASSED_ON, /* the upstream's own failure */
	FW_NO_UPSTREAM, /* not run: nothing that could run it */
	FW_ALL_REFUSED, /* not run: each upstream refused */
	FW_OVERLOAD, /* not run: it would wait for too long */
	FW_QUARANTINED, /* it crashes the upstreams that run it */
	FW_BROKEN, /* it may have run; no answer came */
	FW_TOO_FEW, /* too few parts of a fan-out can come in */
	FW_TIMEOUT,
	FW_STOPPED, /* the process ends */
	FW_REASONS
};

struct fw_reply {
	enum fw_reason reason;
	int status;
	gb_time retry_after; /* 0 for none; only for requests that have not run
			      */
	const struct fw_answer *answer; /* to be passed on, or NULL */
	struct gb_str body; /* of a fan-out */
	const struct fw_part *parts; /* of a fan-out */
	uint32_t parts_len;
	uint32_t missing;
};

struct fw_ops {
	/* Starts a call; its end is reported by fw_done(), but not inside. */
	void (*send)(void *ctx, struct fw_call *call);
	void (*cancel)(void *ctx, struct fw_call *call);
	/* Answers the request; the shell frees it afterwards. */
	void (*reply)(void *ctx, struct fw_request *request,
		      const struct fw_reply *reply);
	/* A decision; detail holds further "key=value" words. */
	void (*event)(void *ctx, enum ev_code code,
		      const struct fw_request *request,
		      const struct fl_upstream *upstream, struct gb_str detail);
	/* A request may have crashed so many upstreams, to be told to VMs. */
	void (*crashed)(void *ctx, uint64_t fingerprint, uint32_t crashes);
};

/* Whether more requests of one kind come than the upstreams can serve. */
struct fw_admission {
	bool overload;
	gb_time since; /* delays contradict the state; GB_NEVER: they do not */
};

/* What was learned of one kind of request, over its upstreams. */
struct fw_pace {
	double usual; /* median in microseconds; 0 until the first answer */
	struct fw_admission admission;
};

struct fw_engine {
	struct fl_fleet *fleet;
	const struct fw_ops *ops;
	void *ctx;
	struct gb_rng *rng;
	struct met_registry *metrics;
	struct bud_limits budget;
	struct sus_table *suspects; /* NULL for none */
	GHashTable *paces; /* name of a route to struct fw_pace */
};

struct fw_request {
	struct fw_engine *engine;
	struct rt_table *table; /* of the version that it began with */
	struct rt_route *route;
	struct fw_pace *pace;
	struct gb_str id;
	uint64_t fingerprint;
	gb_time received;
	gb_time end; /* the caller's deadline, or the route's timeout */
	gb_time aim_at; /* a fan-out is answered with what is in */
	struct fw_part *parts;
	uint32_t parts_len;
	uint32_t parts_in;
	uint32_t parts_missing;
	uint32_t sends;
	bool may_have_run; /* a call was sent and not refused */
	bool ended;
	void *data; /* of the shell */
};

void fw_engine_init(struct fw_engine *engine, struct fl_fleet *fleet,
		    const struct fw_ops *ops, void *ctx, struct gb_rng *rng,
		    struct met_registry *metrics);
void fw_engine_clear(struct fw_engine *engine);

/* The pace of a route, which outlives the versions that name it. */
struct fw_pace *fw_pace(struct fw_engine *engine, struct gb_str route);

/* What a caller asks for. */
struct fw_ask {
	struct gb_str id;
	uint64_t fingerprint; /* the same for a request that comes again */
	gb_time received;
	gb_time deadline; /* time that the caller waits; 0 if not given */
	gb_time way; /* time on the network, there and back */
	void *data;
};

struct fw_request *fw_new(struct fw_engine *engine, struct rt_table *table,
			  struct rt_route *route, const struct fw_ask *ask);

/*
 * These may end the request: the reply is then out, ended is set, and the
 * shell frees the request when the function has returned.
 */
void fw_start(struct fw_request *request, gb_time now);

/* The call's bytes leave now; returns the time that is left for it. */
gb_time fw_sent(struct fw_call *call, gb_time now);

/* A call has ended; an answer of FW_ANSWERED is taken over. */
void fw_done(struct fw_call *call, gb_time now, enum fw_outcome outcome,
	     struct fw_answer *answer);

/* Does what is due; the request may be answered. */
void fw_tick(struct fw_request *request, gb_time now);
gb_time fw_next(const struct fw_request *request);

/* Ends the request now, since the process ends. */
void fw_stop(struct fw_request *request, gb_time now);

/* The caller left: cancels all calls. */
void fw_gone(struct fw_request *request, gb_time now);
void fw_free(struct fw_request *request);
void fw_answer_clear(struct fw_answer *answer);

struct gb_str fw_reason_name(enum fw_reason reason);

#endif
