#ifndef BUD_H
#define BUD_H

/*
 * NAME
 *	bud - this VM's share of the retry budget of a service
 *
 * DESCRIPTION
 *	In any time span as long as the window, all VMs together may send a
 *	service at most ratio * requests + extra_total repeats (retries and
 *	hedges). The requests that this VM has sent raise its own share only;
 *	the constant extra_total is divided by the number of live VMs. The sum
 *	over the VMs then stays within the budget whatever their loads are.
 *
 *	Requests and repeats are counted in slots of one second. There is one
 *	slot more than the window has seconds, so that any span of the length
 *	of the window lies within the slots.
 */

#include "base/gb.h"

#define BUD_SLOTS_MAX 64

struct bud_limits {
	double ratio; /* repeats for each request */
	double extra_total; /* repeats of all VMs, whatever the load is */
	gb_time window;
	uint32_t vms; /* live VMs that share extra_total */
	bool vms_confirmed; /* vms is certain enough to use extra_total */
};

struct bud_slot {
	int64_t second; /* of the clock, to which the counts belong */
	uint32_t requests;
	uint32_t repeats;
};

struct bud {
	struct bud_slot slot[BUD_SLOTS_MAX];
};

/* Counts a request to the service that is neither a retry nor a hedge. */
void bud_count_request(struct bud *bud, gb_time now);

/* Takes one repeat from the share; returns false if the share is used up. */
bool bud_take_repeat(struct bud *bud, const struct bud_limits *limits,
		     gb_time now);

/* Returns the fraction of the share that is left, 0 to 1. */
double bud_remaining(const struct bud *bud, const struct bud_limits *limits,
		     gb_time now);

#endif
