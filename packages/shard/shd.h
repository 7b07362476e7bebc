#ifndef SHD_H
#define SHD_H

/*
 * NAME
 *	shd - one shard at its owner: queueing, placement, hedges, retries
 *
 * DESCRIPTION
 *	The VM that owns a shard's unit queues the sub-requests of all entry
 *	VMs and sends each to the upstream with the best score that is open
 *	and has a free slot. Within a class (retries, first attempts) the
 *	queue is ordered by arrival. A sub-request that is not expected to end
 *	by its deadline is refused at once, as MSG_STATUS_OVERLOAD or, without
 *	an upstream that takes work, as MSG_STATUS_UNAVAILABLE.
 *
 *	A lookup that has run longer than its policy's hedge delay is sent to
 *	a second upstream that is warm and has a free slot, if the budget of
 *	hedges and retries has a token. The first successful answer is used
 *	and the other attempt is cancelled. An order is sent once; it is sent
 *	again only after it is certain that the upstream did not run it.
 *
 *	Every attempt must be sent before the lease of the unit expires, and
 *	the upstream's deadline is not later than that expiry.
 *
 * RESULTS
 *	Each submitted sub-request gets exactly one call of
 *	shd_ops.deliver_result, unless it was cancelled.
 */

#include "base/gb.h"
#include "config/cfg.h"
#include "event/ev.h"
#include "metric/met.h"
#include "msg/msg.h"
#include "policy/pol.h"
#include "suspect/sus.h"
#include "upstream/up.h"

/* State shared by the shards of one service on one VM. */
struct shd_service {
	const struct pol_ops *policy;
	struct pol_budget budget;
	struct met_hist attempt_times; /* durations of ended attempts */
	uint64_t finished_attempts; /* samples in attempt_times so far */
};

void shd_service_init(struct shd_service *service,
		      const struct cfg_service *cfg);

/* A sub-request of an entry VM. */
struct shd_request {
	uint32_t vm; /* entry VM */
	uint64_t query;
	uint64_t attempt; /* id at the entry VM; returned in the result */
	uint64_t snapshot;
	uint64_t fingerprint;
	gb_time deadline;
	bool order; /* otherwise a lookup */
	bool canary; /* the entry VM knows of no successful run */
	struct gb_str key;
	struct gb_str body;
};

/* A call to one upstream: the first attempt, a retry or a hedge. */
struct shd_call_request {
	uint64_t call_id;
	uint32_t shard;
	uint32_t replica; /* index within the shard's configuration */
	uint64_t snapshot;
	gb_time timeout; /* from now; ends by the lease expiry */
	gb_time lease_expires; /* not to be sent at or after this time */
	bool order;
	struct gb_str key;
	struct gb_str body;
};

/* How a call to an upstream ended. */
enum shd_call_status {
	SHD_OK,
	SHD_REFUSED, /* shed by the upstream, not run */
	SHD_NOT_SENT,
	SHD_RESET, /* connection refused or lost */
	SHD_TIMEOUT,
	SHD_SNAPSHOT_GONE, /* the upstream does not have the snapshot */
	SHD_MISMATCH, /* answer for another call, shard or snapshot */
	SHD_ERROR
};

/* The end of a call, with the answer of the upstream if there is one. */
struct shd_answer {
	uint64_t call_id;
	enum shd_call_status status;
	uint64_t instance; /* identity of the upstream process */
	uint64_t snapshot;
	uint32_t shard;
	uint64_t docs; /* documents searched */
	uint32_t reported_load;
	struct gb_str body;
};

struct shd_shard;

/* Functions of the node that the shard calls. */
struct shd_ops {
	void (*send_call)(void *ctx, struct shd_shard *shard,
			  const struct shd_call_request *request);
	void (*cancel_call)(void *ctx, struct shd_shard *shard, uint64_t call);
	void (*deliver_result)(void *ctx, struct shd_shard *shard, uint32_t vm,
			       uint64_t query,
			       const struct msg_sub_result *result);
	/* Tells other VMs the new crash count of a request fingerprint. */
	void (*report_crash)(void *ctx, struct shd_shard *shard,
			     uint64_t fingerprint, uint32_t crashes);
	void (*emit_event)(void *ctx, struct shd_shard *shard,
			   enum ev_code code, uint64_t query, int replica,
			   int64_t a, int64_t b);
	/* Reports that an upstream process has become warm on this VM. */
	void (*report_warm)(void *ctx, struct shd_shard *shard,
			    uint32_t replica, uint64_t instance);
	/* Returns a call id that is unique across VMs and their restarts. */
	uint64_t (*new_call_id)(void *ctx);
};

struct shd_shard *shd_new(uint32_t service, uint32_t shard,
			  struct shd_service *shared,
			  struct sus_table *suspects,
			  struct met_registry *metrics,
			  const struct shd_ops *ops, void *ctx);
void shd_free(struct shd_shard *shard);

/* Applies a configuration; upstreams of the same name keep their state. */
void shd_apply_config(struct shd_shard *shard, gb_time now,
		      const struct cfg *cfg);

/* Sets the lease expiry; 0 when this VM holds no lease on the unit. */
void shd_set_lease(struct shd_shard *shard, gb_time expires);

/*
 * Prepares the shard for another owner: waiting entries end as NOT_OWNER,
 * running lookups are cancelled and end as MOVED. Orders, canaries and isolated
 * runs of suspects continue.
 */
void shd_drain(struct shd_shard *shard, gb_time now);

/* Queues or refuses a sub-request; copies its strings. */
void shd_submit(struct shd_shard *shard, gb_time now,
		const struct shd_request *request);

/* Cancels the lookups of a query of an entry VM; its orders continue. */
void shd_cancel_query(struct shd_shard *shard, gb_time now, uint32_t vm,
		      uint64_t query);

/* Handles the end of a call; returns false if the shard has no such call. */
bool shd_handle_answer(struct shd_shard *shard, gb_time now,
		       const struct shd_answer *answer);

/* Runs the timers that are due. */
void shd_tick(struct shd_shard *shard, gb_time now);

/* The time of the next tick that is needed; GB_NEVER if none is. */
gb_time shd_next_tick(const struct shd_shard *shard);

/* Entries that wait for an upstream, with the parked ones. */
uint32_t shd_queue_length(const struct shd_shard *shard);
uint32_t shd_calls_in_flight(const struct shd_shard *shard);

/* Sets the instance of an upstream that a former owner found to be warm. */
void shd_set_known_warm(struct shd_shard *shard, uint32_t replica,
			uint64_t instance);

/* An upstream by its index in the configuration; NULL if there is none. */
const struct up_upstream *shd_upstream(const struct shd_shard *shard,
				       uint32_t replica);

#endif
