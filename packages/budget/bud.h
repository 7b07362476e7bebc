#ifndef BUD_H
#define BUD_H

/*
 * NAME
 *	bud - this VM's share of a service's budget of repeated requests
 *
 * DESCRIPTION
 *	Over any span of the window, all VMs together may send a service at
 *	most ratio * requests + extra repeats (retries, hedges). Requests that
 *	this VM counted earn repeats to this VM alone; the constant extra part
 *	is divided by the number of live VMs. The sum over the VMs then stays
 *	within the budget whatever their loads are.
 *
 *	The window consists of slots of one second, one more than the window
 *	has, so that any span of its length lies within the slots.
 */

#include "base/gb.h"

#define BUD_SLOTS_MAX 64

struct bud_limits {
	double ratio;
	double extra; /* of all VMs */
	gb_time window;
	uint32_t vms; /* live VMs that share the extra part */
	bool settled; /* vms is certain enough to spend the extra part */
};

struct bud_slot {
	int64_t second; /* that the counts belong to */
	uint32_t requests;
	uint32_t repeats;
};

struct bud {
	struct bud_slot slot[BUD_SLOTS_MAX];
};

/* Counts a first request to the service. */
void bud_request(struct bud *bud, gb_time now);

/* Takes one repeat; false if the share is used up. */
bool bud_take(struct bud *bud, const struct bud_limits *limits, gb_time now);

/* The part of the share that is left, 0 to 1. */
double bud_level(const struct bud *bud, const struct bud_limits *limits,
		 gb_time now);

#endif
