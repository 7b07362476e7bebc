#ifndef ND_H
#define ND_H

/*
 * NAME
 *	nd - all decisions of one VM, without any input or output
 *
 * DESCRIPTION
 *	A node composes the aggregates of one VM. The I/O layer around it (the
 *	daemon or the scenario runner) calls an input function for each event,
 *	with the time of the event, and carries out the operations that the
 *	node requests through struct nd_ops. The node reads no clock, opens no
 *	socket and draws random numbers only from a seeded generator.
 *
 *	Input functions must not be called from within an nd_ops function; if
 *	the I/O layer completes an operation at once, it queues the completion.
 *
 * TIME
 *	now is the I/O layer's monotonic clock; wall_ms is its wall clock in
 *	milliseconds, used only for the age of idempotency keys and for time
 *	stamps of events and messages.
 */

#include "base/gb.h"
#include "config/cfg.h"
#include "event/ev.h"
#include "metric/met.h"
#include "msg/msg.h"
#include "plan/pln.h"

struct node;

struct nd_clock {
	gb_time now;
	int64_t wall_ms;
};

/*
 * The I/O layer waits this much longer than the upstream may run before it
 * reports ND_UPSTREAM_TIMEOUT. The upstream counts its time from receipt, and
 * must have freed its slot before this VM sends it another request.
 */
#define ND_ANSWER_GRACE (50 * GB_MSEC)

/* One call to an upstream. Strings are valid during the call only. */
struct nd_upstream_call {
	uint64_t call; /* attempt id, echoed by the upstream */
	struct gb_str service;
	uint32_t shard;
	struct gb_str replica;
	struct gb_str host;
	uint16_t port;
	uint32_t connections_max; /* that this VM may open to the upstream */
	uint64_t snapshot;
	gb_time timeout; /* the upstream must stop this long after now */
	gb_time expires; /* must not be sent at or after this time */
	bool order;
	struct gb_str key;
	struct gb_str body;
};

enum nd_upstream_status {
	ND_UPSTREAM_OK,
	ND_UPSTREAM_REFUSED, /* certain: the upstream did not run it */
	/*
	 * Certain: no byte was sent. Also reported for the first call after
	 * the upstream closed an idle connection: it may have restarted, and
	 * the node limits what it sends until an answer names the process.
	 */
	ND_UPSTREAM_NOT_SENT,
	ND_UPSTREAM_RESET, /* connection lost after sending */
	ND_UPSTREAM_TIMEOUT,
	ND_UPSTREAM_SNAPSHOT_GONE, /* the upstream no longer has it */
	ND_UPSTREAM_MISMATCH, /* the answer belongs to another attempt */
	ND_UPSTREAM_ERROR /* the upstream ran it and failed */
};

struct nd_upstream_result {
	uint64_t call;
	enum nd_upstream_status status;
	uint64_t instance; /* id of the upstream process; 0 if unknown */
	uint64_t snapshot;
	uint32_t shard;
	uint64_t docs; /* documents searched */
	uint32_t load; /* reported by the upstream; a hint */
	struct gb_str body;
};

struct nd_request {
	uint64_t caller; /* the I/O layer's handle; returned in the answer */
	struct gb_str id; /* request id */
	struct gb_str service;
	struct gb_str body;
	gb_time timeout; /* 0 selects the service's default */
	double min_coverage;
	struct gb_str key; /* idempotency key; orders only */
};

/* Why documents are missing from an answer. */
enum nd_degraded_reason {
	ND_DEGRADED_NONE,
	ND_DEGRADED_TIMEOUT,
	ND_DEGRADED_OVERLOAD,
	ND_DEGRADED_UNAVAILABLE,
	ND_DEGRADED_SNAPSHOT,
	ND_DEGRADED_FAILED
};

struct nd_answer {
	uint64_t caller;
	struct gb_str id;
	enum gb_code code; /* GB_OK, or why the request failed */
	gb_time retry_after; /* 0 for none */
	uint64_t snapshot;
	uint64_t docs_searched;
	uint64_t docs_total;
	enum nd_degraded_reason degraded_reason;
	gb_time elapsed;
	uint32_t sub_requests;
	bool order; /* its body may be any JSON value, not only an array */
	bool replayed; /* outcome of an earlier run of the same order */
	/* One body per answered shard, in shard order. */
	const struct gb_str *bodies;
	const uint32_t *shards;
	uint32_t bodies_len;
};

enum nd_store_status {
	ND_STORE_OK,
	ND_STORE_CONFLICT, /* certain: not written */
	ND_STORE_NOT_FOUND,
	ND_STORE_TOO_LARGE, /* certain: not written; past CFG_OBJECT_MAX_BYTES
			     */
	ND_STORE_UNKNOWN, /* a write may have taken effect */
	ND_STORE_DOWN /* the store did not answer */
};

enum nd_store_op {
	ND_STORE_READ,
	ND_STORE_WATCH,
	ND_STORE_WRITE,
	ND_STORE_LIST_VMS
};

struct nd_store_result {
	uint64_t tag; /* of the request */
	enum nd_store_op op;
	enum nd_store_status status;
	struct cfg *cfg; /* READ, WATCH: borrowed */
	const struct gb_str *leaving_hosts; /* LIST_VMS: borrowed */
	uint32_t leaving_hosts_len;
	uint64_t version; /* WRITE: the new version */
};

/* Result of an administrative request. */
struct nd_admin_result {
	uint64_t caller;
	enum gb_code code;
	uint64_t version;
	const struct pln_plan *plan; /* borrowed; plan requests only */
};

struct nd_ops {
	/* Sends a message to another VM; it is borrowed for the call. */
	void (*peer_send)(void *ctx, uint32_t vm, const struct msg *msg);
	void (*upstream_send)(void *ctx, const struct nd_upstream_call *call);
	void (*upstream_cancel)(void *ctx, uint64_t call);
	void (*answer)(void *ctx, const struct nd_answer *answer);
	void (*admin_answer)(void *ctx, const struct nd_admin_result *result);
	void (*store_read)(void *ctx, uint64_t tag);
	void (*store_watch)(void *ctx, uint64_t tag, uint64_t after_version);
	void (*store_write)(void *ctx, uint64_t tag, const struct cfg *cfg,
			    uint64_t base_version);
	void (*store_list_vms)(void *ctx, uint64_t tag);
	void (*event)(void *ctx, const struct ev_event *event);
};

struct nd_settings {
	uint32_t vm; /* id in the roster */
	struct gb_str dc; /* data centre of this VM */
	struct gb_str name; /* name and addresses, for the roster */
	struct gb_str host;
	uint16_t peer_port;
	uint16_t http_port;
	uint64_t incarnation; /* unique; higher for each later process */
	uint64_t seed; /* of the random number generator */
	gb_time heartbeat_interval;
	gb_time lease;
	gb_time drift_margin; /* for the drift of clocks during one lease */
	gb_time suspect_after; /* silence until a member counts as dead */
	gb_time remove_after; /* silence until a member leaves the roster */
	gb_time key_retention;
	gb_time clock_skew; /* largest difference of two VMs' wall clocks */
	uint32_t queries_max; /* queries running at once on this VM */
	/* Peers that are asked for a configuration while none is known. */
	uint32_t seed_vm[CFG_VMS_MAX];
	uint32_t seeds_len;
};

/* Fills in the defaults that docs/design.md gives. */
void nd_settings_default(struct nd_settings *settings);

struct node *nd_new(const struct nd_settings *settings,
		    const struct nd_ops *ops, void *ctx,
		    struct met_registry *metrics, struct nd_clock clock);
void nd_free(struct node *node);

/* Runs what is due. Must be called no later than at nd_next_tick(). */
void nd_tick(struct node *node, struct nd_clock clock);
gb_time nd_next_tick(const struct node *node);

void nd_peer_msg(struct node *node, struct nd_clock clock,
		 const struct msg *msg);
/* Callers' requests: lookups are idempotent, orders are run at most once. */
void nd_lookup(struct node *node, struct nd_clock clock,
	       const struct nd_request *request);
void nd_order(struct node *node, struct nd_clock clock,
	      const struct nd_request *request);
void nd_caller_gone(struct node *node, struct nd_clock clock, uint64_t caller);
void nd_upstream_done(struct node *node, struct nd_clock clock,
		      const struct nd_upstream_result *result);
void nd_store_done(struct node *node, struct nd_clock clock,
		   const struct nd_store_result *result);

/* Operators' requests: make a plan, or confirm one for its base version. */
void nd_plan(struct node *node, struct nd_clock clock, uint64_t caller,
	     const struct pln_intent *intent);
void nd_confirm(struct node *node, struct nd_clock clock, uint64_t caller,
		uint64_t plan, uint64_t base_version,
		const struct pln_intent *intent);

/* Starts a graceful stop; nd_stopped() tells when all work has ended. */
void nd_shutdown(struct node *node, struct nd_clock clock);
bool nd_stopped(const struct node *node);

/* Tells whether the platform's load balancer may send callers to this VM. */
bool nd_ready(const struct node *node);

/* A summary for operators. */
struct nd_status {
	uint32_t vm;
	uint64_t incarnation;
	uint64_t config_version;
	uint64_t epoch;
	bool ready;
	bool stopping;
	uint32_t units_held;
	uint32_t queries_running;
	uint32_t calls_running;
	uint64_t live_vms; /* bitmap by roster index */
};

void nd_status(const struct node *node, struct nd_clock clock,
	       struct nd_status *status);
struct cfg *nd_current_config(const struct node *node);

/*
 * Returns the time stamp for an event of the I/O layer. A VM has one hybrid
 * logical clock, so that the stamps of all its events increase.
 */
uint64_t nd_event_stamp(struct node *node, struct nd_clock clock);

#endif
