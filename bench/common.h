#ifndef COMMON_H
#define COMMON_H

/*
 * NAME
 *	bpl - measured runs of the product and of baselines
 *
 * DESCRIPTION
 *	Each run drives whole queries over the fakes of the scenario runner on
 *	its virtual clock, so the figures depend on the seed only and not on
 *	the machine. The product runs its own decision code; a row may replace
 *	its policy table or its limits. Baselines place sub-requests from the
 *	entry VM by a function of their row and share nothing between VMs
 *	unless the row says so.
 */

#include "policy/pol.h"
#include "bench/fakes/scn.h"

/* One service of the users; service times are exponential with 5 ms. */
struct bpl_shape {
	struct gb_str name;
	uint32_t shards;
	uint32_t replicas;
	uint32_t slots;
	uint32_t connections;
	uint32_t connect_us;
	struct gb_str policy;
};

extern const struct bpl_shape bpl_shapes[];
extern const size_t bpl_shapes_len;

struct bpl_run {
	struct gb_str name;
	const struct bpl_shape *shape; /* NULL for the first one */
	double load; /* share of capacity */
	gb_time deadline;
	uint32_t slow_permille; /* of sub-requests, ten times slower */
	uint32_t bodies; /* distinct requests */
	bool strict; /* upstreams shed above slots and accepted queue */
	gb_time duration;
	/* Called at the start of the measured time. */
	void (*fault)(struct scn_world *world);
};

struct bpl_policy {
	struct gb_str name;
	bool product;

	/* PRODUCT, each optional */
	const struct pol_ops *ops; /* in place of the service's policy */
	uint32_t permille; /* of the budget; 0 for the service's */
	void (*configure)(struct scn_world *world); /* before the start */
	void (*adjust)(struct scn_world *world); /* before the load */

	/* BASELINES */
	/* Index of the replica for a sub-request of a VM. */
	uint32_t (*choose)(struct scn_world *world, uint32_t vm,
			   uint32_t service, uint32_t shard, int32_t avoid);
	gb_time timeout; /* 0 for none; then one retry */
	uint32_t limit; /* calls in flight at one upstream; 0 for none */
	bool shared; /* the limit and its queue are those of all VMs */
	gb_time look; /* until the choice */
	gb_time travel; /* from the choice to the send */
};

struct bpl_result {
	double p50, p99, p999; /* ms, of complete answers */
	double p99_all; /* ms, others that were not refused at the deadline */
	double back; /* ms until the last query that ended incomplete was sent
		      */
	struct scn_tally tally; /* without its times */
	double goodput; /* complete answers per second */
	double coverage;
	double extra; /* sub-requests beyond those wanted, in percent */
	uint32_t peak; /* most work at one upstream */
	uint32_t connections;
	uint64_t shed;
	double refusal; /* slowest, in ms */
	double messages; /* between VMs per query, without heartbeats */
	uint32_t violations;
};

extern const struct bpl_policy bpl_policies[];
extern const size_t bpl_policies_len;
extern const struct bpl_policy bpl_shares[];
extern const size_t bpl_shares_len;

/* Takes over the requests of a world for a baseline. */
void bpl_baseline_start(struct scn_world *world,
			const struct bpl_policy *policy);
void bpl_baseline_free(struct scn_world *world);

/* Faults for the start of a measured time. */
void bpl_lose_replica(struct scn_world *world);
void bpl_take_out(struct scn_world *world); /* a data centre, by a plan */
void bpl_out_and_back(struct scn_world *world);
void bpl_restart_dc(struct scn_world *world); /* without warning */
void bpl_kill_vm(struct scn_world *world);

const struct bpl_shape *bpl_shape(const struct bpl_run *run);

/* Whole queries per second that keep all slots of the shape busy. */
double bpl_capacity(const struct bpl_shape *shape, uint32_t slow_permille);

/* Four VMs in three data centres and one service, not yet started. */
struct scn_world *bpl_world(const struct bpl_run *run, uint64_t seed);
void bpl_measure(const struct bpl_run *run, const struct bpl_policy *policy,
		 uint64_t seed, struct bpl_result *result);

#endif
