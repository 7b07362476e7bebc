#ifndef POLICY_H
#define POLICY_H

/*
 * NAME
 *	bpl - measures of the product's policies beside two baselines
 *
 * DESCRIPTION
 *	Each run drives whole queries over the fakes of the scenario runner on
 *	its virtual clock, so the figures depend on the seed only and not on
 *	the machine. The product runs its own decision code. The baselines are
 *	(a) a random replica with a fixed timeout and one retry, and (b) the
 *	replica with the fewest requests in flight from the same VM; neither
 *	shares anything between VMs.
 */

#include "scenario/scn.h"

struct bpl_run {
	struct gb_str name;
	double load; /* share of capacity */
	gb_time deadline;
	uint32_t slow_permille; /* of sub-requests, ten times slower */
	uint32_t bodies; /* distinct requests */
	gb_time duration;
	/* Called at the start of the measured time. */
	void (*fault)(struct scn_world *world);
};

struct bpl_policy {
	struct gb_str name;
	bool product;
	/* Index of the replica for a sub-request of a VM. */
	uint32_t (*choose)(struct scn_world *world, uint32_t vm,
			   uint32_t service, uint32_t shard, int32_t avoid);
	gb_time timeout; /* 0 for none; then one retry */
};

extern const struct bpl_policy bpl_policies[];
extern const size_t bpl_policies_len;

/* Takes over the requests of a world for a baseline. */
void bpl_baseline_start(struct scn_world *world,
			const struct bpl_policy *policy);
void bpl_baseline_free(struct scn_world *world);

#endif
