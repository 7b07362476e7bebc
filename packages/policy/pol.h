#ifndef POL_H
#define POL_H

/*
 * NAME
 *	pol - hedging and retry policies, and the retry budget they share
 *
 * DESCRIPTION
 *	A policy is a table of function pointers, chosen by name per service.
 *	It is stateless and decides from a view of one sub-request and its
 *	service. Extra sub-requests (hedges, retries, re-sends) take tokens
 *	from one bucket per service, which each first attempt refills by the
 *	fraction that the service is configured with.
 */

#include "base/gb.h"
#include "metric/met.h"

struct pol_budget {
	double tokens;
	double per_request; /* tokens that each first attempt adds */
	double capacity;
};

void pol_budget_init(struct pol_budget *budget, uint32_t permille);
void pol_budget_refill(struct pol_budget *budget); /* for a first attempt */
bool pol_budget_take(struct pol_budget *budget); /* for an extra attempt */
double pol_budget_level(const struct pol_budget *budget); /* 0 to 1 */

struct pol_view {
	const struct met_hist *latencies; /* of completed attempts */
	double budget_level;
	gb_time time_left; /* until the caller's deadline */
	uint32_t attempts; /* of this sub-request so far */
	bool is_order;
};

enum pol_failure {
	POL_REFUSED, /* the request certainly did not run */
	POL_RESET,
	POL_TIMEOUT,
	POL_ERROR,
	POL_SNAPSHOT_GONE
};

struct pol_ops {
	struct gb_str name;
	/* Returns the hedge delay after sending; GB_NEVER for no hedge. */
	gb_time (*hedge_delay)(const struct pol_view *view);
	/* Tells whether to retry on another upstream after a failure. */
	bool (*may_retry)(const struct pol_view *view,
			  enum pol_failure failure);
	/*
	 * Fraction of the deadline, 0 to 1, after which missing shards are no
	 * longer waited for; the rest is left for sending the answer.
	 */
	double give_up_fraction;
};

/* Returns the policy of that name, or NULL. */
const struct pol_ops *pol_find(struct gb_str name);
const struct pol_ops *const *pol_all(size_t *len);

#endif
