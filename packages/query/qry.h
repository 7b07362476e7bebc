#ifndef QRY_H
#define QRY_H

/*
 * NAME
 *	qry - the entry side of one lookup, and admission per service
 *
 * DESCRIPTION
 *	A query pins one snapshot of the configuration it started with. Unless
 *	its fingerprint is known to be good, it sends its canary shard first
 *	and the other shards after the canary succeeded. A shard whose owner
 *	says that it did not run the sub-request is sent again after a short
 *	pause. A shard that lost the snapshot makes the query start over, once,
 *	on a newer snapshot, as soon as its configuration is known; shards that
 *	answered for the old snapshot are then asked again, so that snapshots
 *	never mix.
 *
 *	Coverage is the sum of the documents that shards searched, each shard
 *	once, over the documents of the pinned snapshot. An answer whose
 *	snapshot, shard or number of documents does not fit is not counted.
 *
 *	The query ends by qry_ops.done, exactly once, unless it is freed.
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
	QRY_SHARD_IDLE, /* waits for the canary */
	QRY_SHARD_DUE, /* to be sent at due */
	QRY_SHARD_SENT,
	QRY_SHARD_GONE, /* has the snapshot no longer; waits for a newer one */
	QRY_SHARD_OK,
	QRY_SHARD_LOST /* given up; why says the reason */
};

struct qry_shard {
	enum qry_shard_state state;
	enum qry_degraded why;
	uint64_t attempt;
	uint32_t vm; /* owner that it was sent to */
	gb_time due;
	bool may_have_run; /* some attempt may have reached an upstream */
	uint64_t docs;
	struct gb_str body; /* owned */
};

struct qry_query;

struct qry_ops {
	/*
	 * Sends the shards listed; sets attempt and vm of each. Returns with a
	 * shard's vm 0 when its unit has no live owner.
	 */
	void (*send)(void *ctx, struct qry_query *query, const uint32_t *shards,
		     uint32_t len, bool canary);
	/* Cancels all that owners still run for the query. */
	void (*cancel)(void *ctx, struct qry_query *query);
	void (*done)(void *ctx, struct qry_query *query, enum gb_code code);
};

struct qry_query {
	uint64_t number; /* unique to VM and incarnation */
	uint64_t caller;
	struct gb_str id; /* owned */
	struct gb_str body; /* owned */
	uint64_t fingerprint;
	struct cfg *cfg; /* referenced: the pinned configuration */
	uint32_t service;
	const struct pol_ops *policy;
	const struct cfg_snapshot *snapshot;
	gb_time begin;
	gb_time deadline;
	double min_coverage;
	bool canary; /* the canary is still to succeed */
	uint32_t canary_shard;
	bool restarted;
	bool ended;
	uint32_t shards_len;
	uint32_t open; /* shards without a final state */
	uint32_t due; /* shards in state QRY_SHARD_DUE */
	uint64_t docs; /* searched so far */
	uint64_t docs_total; /* of the pinned snapshot */
	uint32_t sends; /* sub-requests sent, re-sends included */
	gb_time wait_max; /* longest wait in an owner's queue */
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
	gb_time deadline; /* duration; 0 takes the service's */
	double min_coverage;
	bool known_good;
};

/* Fingerprint of a request, for the suspicion of crashes. */
uint64_t qry_fingerprint(struct gb_str service, struct gb_str body);

/* The service must have a snapshot; cfg is referenced until the end. */
struct qry_query *qry_new(gb_time now, struct cfg *cfg,
			  const struct qry_request *request,
			  const struct pol_ops *policy,
			  const struct qry_ops *ops, void *ctx);
void qry_free(struct qry_query *query);

/* Sends the first sub-requests. */
void qry_start(struct qry_query *query, gb_time now);

/* Takes the result of one sub-request; current is the newest configuration. */
void qry_result(struct qry_query *query, gb_time now, struct cfg *current,
		const struct msg_sub_result *result);

/* Follows a new configuration if a shard waits for a newer snapshot. */
void qry_follow(struct qry_query *query, gb_time now, struct cfg *current);

/* Sends again what was sent to a VM that is dead. */
void qry_vm_lost(struct qry_query *query, gb_time now, uint32_t vm);
void qry_tick(struct qry_query *query, gb_time now);

/* Ends the query early; no answer is given. */
void qry_abandon(struct qry_query *query);

uint64_t qry_docs_searched(const struct qry_query *query);
uint64_t qry_docs_total(const struct qry_query *query);
double qry_coverage(const struct qry_query *query);
enum qry_degraded qry_degraded(const struct qry_query *query);

/*
 * ADMISSION
 *	Bounds the queries of one service that run at once on this VM. The
 *	bound grows while owners report short queues and shrinks when a query
 *	waited for longer than a share of its deadline or was refused by an
 *	owner, so that whole queries are refused at once rather than parts of
 *	many late.
 */
struct qry_admission {
	double limit;
	uint32_t running;
	gb_time last_cut;
};

void qry_admission_init(struct qry_admission *admission);
bool qry_admission_enter(struct qry_admission *admission);
void qry_admission_leave(struct qry_admission *admission, gb_time now,
			 gb_time wait, gb_time deadline, bool overloaded);

#endif
