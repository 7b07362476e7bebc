#ifndef QRY_H
#define QRY_H

/*
 * NAME
 *	qry - fan-out of one lookup to its shards, and admission per service
 *
 * DESCRIPTION
 *	A query runs at its entry VM. It pins one snapshot of the configuration
 *	it started with. Unless its fingerprint is known to be good, it sends
 *	one shard first, as a canary, and the other shards once the canary has
 *	succeeded. A shard whose owner reports that it did not run the
 *	sub-request is sent again after a short pause. A shard that no longer
 *	has the snapshot makes the query restart, once, on a newer snapshot, as
 *	soon as the configuration names one; shards that answered for the old
 *	snapshot are then sent again, so that snapshots never mix.
 *
 *	Coverage is the number of documents that shards searched, each shard
 *	counted once, over the number of documents of the pinned snapshot. An
 *	answer with another snapshot, an unknown shard or too many documents is
 *	not counted.
 *
 *	The query ends with exactly one call of qry_ops.done, unless it is
 *	cancelled or freed before.
 */

#include "base/gb.h"
#include "config/cfg.h"
#include "msg/msg.h"
#include "policy/pol.h"

enum qry_degraded {
	QRY_DEGRADED_NONE,
	QRY_DEGRADED_TIMEOUT,
	QRY_DEGRADED_OVERLOAD,
	QRY_DEGRADED_UNAVAILABLE,
	QRY_DEGRADED_SNAPSHOT,
	QRY_DEGRADED_FAILED
};

enum qry_shard_state {
	QRY_SHARD_HELD, /* waits for the canary */
	QRY_SHARD_DUE, /* to be sent at due_at */
	QRY_SHARD_SENT,
	QRY_SHARD_SNAPSHOT_GONE, /* waits for a newer snapshot */
	QRY_SHARD_OK,
	QRY_SHARD_FAILED /* for degraded_reason */
};

struct qry_shard {
	enum qry_shard_state state;
	enum qry_degraded degraded_reason;
	uint64_t attempt;
	uint32_t vm; /* owner it was sent to; 0: none is live */
	gb_time due_at;
	bool may_have_run; /* some attempt may have reached an upstream */
	uint64_t docs_searched;
	struct gb_str body; /* owned */
};

struct qry_query;

struct qry_ops {
	/*
	 * Sends the sub-requests of the shards listed; sets attempt and vm of
	 * each. A shard whose unit has no live owner gets vm 0.
	 */
	void (*send)(void *ctx, struct qry_query *query, const uint32_t *shards,
		     uint32_t len, bool canary);
	/* Cancels all sub-requests that owners still run for the query. */
	void (*cancel)(void *ctx, struct qry_query *query);
	void (*done)(void *ctx, struct qry_query *query, enum gb_code code);
};

struct qry_query {
	uint64_t number; /* unique to VM and incarnation */
	uint64_t caller;
	struct gb_str id; /* owned */
	struct gb_str body; /* owned */
	uint64_t fingerprint;
	struct cfg *cfg; /* the pinned configuration; referenced */
	uint32_t service;
	const struct pol_ops *policy;
	const struct cfg_snapshot *snapshot;
	gb_time started_at;
	gb_time deadline;
	double min_coverage;
	bool canary_pending; /* the canary has not succeeded yet */
	uint32_t canary_shard;
	bool restarted;
	bool ended;
	uint32_t shards_len;
	uint32_t pending_shards; /* neither answered nor failed */
	uint32_t due_shards; /* in state QRY_SHARD_DUE */
	uint64_t docs_searched; /* so far */
	uint64_t docs_total; /* of the pinned snapshot */
	uint32_t sends; /* sub-requests sent, re-sends included */
	gb_time queue_wait_max; /* longest wait in an owner's queue */
	gb_time next_tick;
	struct qry_shard *shards;
	const struct qry_ops *ops;
	void *ctx;
};

struct qry_request {
	uint64_t number;
	uint64_t caller;
	struct gb_str id;
	struct gb_str body;
	uint64_t fingerprint;
	uint32_t service;
	gb_time timeout; /* 0: the service's default */
	double min_coverage;
	bool known_good;
};

/* Fingerprint by which the suspect package knows a request. */
uint64_t qry_fingerprint(struct gb_str service, struct gb_str body);

/* The service must have a snapshot; the query holds a reference to cfg. */
struct qry_query *qry_new(gb_time now, struct cfg *cfg,
			  const struct qry_request *request,
			  const struct pol_ops *policy,
			  const struct qry_ops *ops, void *ctx);
void qry_free(struct qry_query *query);

/* Sends the first sub-requests. */
void qry_start(struct qry_query *query, gb_time now);

/* Handles a sub-request's result; current is the newest configuration. */
void qry_handle_result(struct qry_query *query, gb_time now,
		       struct cfg *current,
		       const struct msg_sub_result *result);

/* Restarts on a newer snapshot if a shard waits for one. */
void qry_config_changed(struct qry_query *query, gb_time now,
			struct cfg *current);

/* Sends the sub-requests in flight at a dead VM again. */
void qry_vm_dead(struct qry_query *query, gb_time now, uint32_t vm);
void qry_tick(struct qry_query *query, gb_time now);

/* Ends the query early, without an answer. */
void qry_cancel(struct qry_query *query);

uint64_t qry_docs_searched(const struct qry_query *query);
uint64_t qry_docs_total(const struct qry_query *query);
double qry_coverage(const struct qry_query *query);
enum qry_degraded qry_degraded(const struct qry_query *query);

/*
 * ADMISSION
 *	Limits the concurrent queries of one service on this VM. The limit
 *	grows while owners report short queues and shrinks when a query waited
 *	for longer than a fraction of its timeout or was refused by an owner,
 *	so that some queries are refused at once, rather than parts of many
 *	queries late.
 */
struct qry_admission {
	double limit;
	uint32_t running;
	gb_time last_decrease;
};

void qry_admission_init(struct qry_admission *admission);
bool qry_admission_enter(struct qry_admission *admission);
void qry_admission_leave(struct qry_admission *admission, gb_time now,
			 gb_time wait, gb_time timeout, bool overloaded);

#endif
