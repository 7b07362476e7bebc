#ifndef POL_H
#define POL_H

/*
 * NAME
 *	pol - hedging and retry policies, and the budget they share
 *
 * DESCRIPTION
 *	A policy is a table of function pointers, chosen by name per service.
 *	It decides from a view of one sub-request and of its service; it keeps
 *	no state. Extra sub-requests (hedges, retries, re-sends) draw on one
 *	token bucket per service that each first attempt refills by the
 *	service's share.
 */

#include "base/gb.h"
#include "metric/met.h"

struct pol_budget {
	double tokens;
	double per_request; /* refill by each first attempt */
	double capacity;
};

void pol_budget_init(struct pol_budget *budget, uint32_t permille);
void pol_budget_request(struct pol_budget *budget); /* a first attempt */
bool pol_budget_take(struct pol_budget *budget); /* an extra attempt */
double pol_budget_level(const struct pol_budget *budget); /* 0 to 1 */

struct pol_view {
	const struct met_hist *times; /* of finished attempts */
	double budget_level;
	gb_time time_left; /* until the caller's deadline */
	uint32_t attempts; /* of this sub-request so far */
	bool order;
};

enum pol_failure {
	POL_REFUSED, /* certain: not run */
	POL_RESET,
	POL_TIMEOUT,
	POL_ERROR,
	POL_SNAPSHOT_GONE
};

struct pol_ops {
	struct gb_str name;
	/* Time after sending at which to hedge; GB_NEVER for no hedge. */
	gb_time (*hedge_delay)(const struct pol_view *view);
	/* Tells whether to try another upstream after a failure. */
	bool (*retry)(const struct pol_view *view, enum pol_failure failure);
	/* Part of the deadline after which missing shards are given up,
	 * 0 to 1; the rest is left for the answer's way back. */
	double patience;
};

/* Finds a policy; NULL if there is none of that name. */
const struct pol_ops *pol_find(struct gb_str name);
const struct pol_ops *const *pol_all(size_t *len);

#endif
