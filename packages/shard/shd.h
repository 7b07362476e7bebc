#ifndef SHD_H
#define SHD_H

/*
 * NAME
 *	shd - the owner's side of one shard: queue, placement, hedges, retries
 *
 * DESCRIPTION
 *	The owner of a shard's unit queues the sub-requests of all entry VMs
 *	and places each on the open upstream with the best score that may be
 *	sent to. The queue is ordered by arrival within a request class; a
 *	sub-request whose expected start passes its deadline is refused at
 *	once as MSG_STATUS_OVERLOAD.
 *
 *	A lookup that has run longer than its policy's hedge delay is sent to
 *	a second, warm and idle upstream if the budget has a token; the first
 *	good answer wins and the other attempt is cancelled. An order is sent
 *	once; it is sent again only after an upstream said that it did not run
 *	it.
 *
 *	Every send must begin before the lease of the unit expires, and the
 *	upstream's deadline is not later than that.
 *
 * RESULTS
 *	Each submitted sub-request gets exactly one shd_ops.done call, unless
 *	it was cancelled.
 */

#include "base/gb.h"
#include "config/cfg.h"
#include "event/ev.h"
#include "metric/met.h"
#include "msg/msg.h"
#include "policy/pol.h"
#include "suspect/sus.h"
#include "upstream/up.h"

/* Shared by the shards of one service on one VM. */
struct shd_service {
	const struct pol_ops *policy;
	struct pol_budget budget;
	struct met_hist times; /* of finished attempts */
	uint64_t finished;
};

void shd_service_init(struct shd_service *service,
		      const struct cfg_service *cfg);

struct shd_request {
	uint32_t vm; /* entry VM */
	uint64_t query;
	uint64_t attempt; /* of the entry VM; returned in the result */
	uint64_t snapshot;
	uint64_t fingerprint;
	gb_time deadline;
	bool order;
	bool canary;
	struct gb_str key;
	struct gb_str body;
};

/* One attempt on one upstream. */
struct shd_send {
	uint64_t call;
	uint32_t shard;
	uint32_t replica; /* index within the shard's configuration */
	uint64_t snapshot;
	gb_time timeout; /* from now; never past the lease */
	gb_time expires; /* lease expiry: not to be sent at or after it */
	bool order;
	struct gb_str key;
	struct gb_str body;
};

enum shd_status {
	SHD_OK,
	SHD_REFUSED,
	SHD_NOT_SENT,
	SHD_RESET,
	SHD_TIMEOUT,
	SHD_GONE,
	SHD_MISMATCH,
	SHD_ERROR
};

struct shd_answer {
	uint64_t call;
	enum shd_status status;
	uint64_t instance;
	uint64_t snapshot;
	uint32_t shard;
	uint64_t docs;
	uint32_t load;
	struct gb_str body;
};

struct shd_shard;

struct shd_ops {
	void (*send)(void *ctx, struct shd_shard *shard,
		     const struct shd_send *send);
	void (*cancel)(void *ctx, struct shd_shard *shard, uint64_t call);
	void (*done)(void *ctx, struct shd_shard *shard, uint32_t vm,
		     uint64_t query, const struct msg_sub_result *result);
	/* A fingerprint reached a new crash count, to be told to other VMs. */
	void (*crashed)(void *ctx, struct shd_shard *shard,
			uint64_t fingerprint, uint32_t crashes);
	void (*event)(void *ctx, struct shd_shard *shard, enum ev_code code,
		      uint64_t query, int replica, int64_t a, int64_t b);
	/* An upstream process has become warm here. */
	void (*warm)(void *ctx, struct shd_shard *shard, uint32_t replica,
		     uint64_t instance);
	/* Returns a new call identity, unique to VM and incarnation. */
	uint64_t (*next_call)(void *ctx);
};

struct shd_shard *shd_new(uint32_t service, uint32_t shard,
			  struct shd_service *shared,
			  struct sus_table *suspects,
			  struct met_registry *metrics,
			  const struct shd_ops *ops, void *ctx);
void shd_free(struct shd_shard *shard);

/* Follows a configuration; upstreams of the same name keep their state. */
void shd_follow(struct shd_shard *shard, gb_time now, const struct cfg *cfg);

/* Sets the lease expiry; 0 when the unit is not held. */
void shd_set_lease(struct shd_shard *shard, gb_time expires);

/*
 * Prepares the shard for another owner: what waits ends as NOT_OWNER, lookups
 * that run are cancelled and end as MOVED. Orders and trials run on.
 */
void shd_drain(struct shd_shard *shard, gb_time now);
void shd_submit(struct shd_shard *shard, gb_time now,
		const struct shd_request *request);

/* Cancels what a query of an entry VM has here; orders run to their end. */
void shd_cancel(struct shd_shard *shard, gb_time now, uint32_t vm,
		uint64_t query);

/* Returns false if the call is not one of this shard's. */
bool shd_answer(struct shd_shard *shard, gb_time now,
		const struct shd_answer *answer);
void shd_tick(struct shd_shard *shard, gb_time now);
gb_time shd_next_tick(const struct shd_shard *shard);

uint32_t shd_queued(const struct shd_shard *shard);
uint32_t shd_running(const struct shd_shard *shard); /* calls in flight */
/* Tells which process of an upstream a former owner found to be warm. */
void shd_set_known_warm(struct shd_shard *shard, uint32_t replica,
			uint64_t instance);
const struct up_upstream *shd_upstream(const struct shd_shard *shard,
				       uint32_t replica);

#endif
