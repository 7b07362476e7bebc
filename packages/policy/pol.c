#include "policy/pol.h"

#include <glib.h>

/* The bucket holds the tokens that this many first attempts add. */
#define BUDGET_REQUESTS 1000

#define HEDGE_SAMPLES_MIN 50
#define HEDGE_DELAY_MIN GB_MSEC

static gb_time hedge_delay_at_level(const struct pol_view *view,
				    double full_quantile,
				    double empty_quantile);
static bool is_retry_allowed(const struct pol_view *view,
			     enum pol_failure failure, uint32_t attempts_max);
static gb_time latency_hedge_delay(const struct pol_view *view);
static bool latency_retry(const struct pol_view *view,
			  enum pol_failure failure);
static gb_time coverage_hedge_delay(const struct pol_view *view);
static bool coverage_retry(const struct pol_view *view,
			   enum pol_failure failure);

static const struct pol_ops latency = {
	.name = GB_STR_INIT("latency"),
	.hedge_delay = latency_hedge_delay,
	.may_retry = latency_retry,
	.give_up_fraction = 0.9,
};

static const struct pol_ops coverage_first = {
	.name = GB_STR_INIT("coverage"),
	.hedge_delay = coverage_hedge_delay,
	.may_retry = coverage_retry,
	.give_up_fraction = 0.98,
};

static const struct pol_ops *const policies[] = { &latency, &coverage_first };

void pol_budget_init(struct pol_budget *budget, uint32_t permille)
{
	budget->per_request = permille / 1000.0;
	budget->capacity = budget->per_request * BUDGET_REQUESTS;
	/* Full, so that failures right after a takeover can be retried. */
	budget->tokens = budget->capacity;
}

void pol_budget_refill(struct pol_budget *budget)
{
	budget->tokens =
		MIN(budget->tokens + budget->per_request, budget->capacity);
}

bool pol_budget_take(struct pol_budget *budget)
{
	if (budget->tokens < 1)
		return false;
	budget->tokens -= 1;
	return true;
}

double pol_budget_level(const struct pol_budget *budget)
{
	if (budget->capacity <= 0)
		return 0;
	return CLAMP(budget->tokens / budget->capacity, 0, 1);
}

/*
 * Returns the latency quantile that the budget level selects, as the delay. The
 * quantile rises as the bucket empties, so that the rate of hedges settles at
 * the refill rate of the bucket.
 */
static gb_time hedge_delay_at_level(const struct pol_view *view,
				    double full_quantile, double empty_quantile)
{
	double quantile = empty_quantile +
			  (full_quantile - empty_quantile) * view->budget_level;
	gb_time delay;

	if (view->is_order || view->budget_level <= 0 ||
	    view->latencies->count < HEDGE_SAMPLES_MIN)
		return GB_NEVER;
	delay = met_hist_quantile(view->latencies, quantile);
	delay = MAX(delay, HEDGE_DELAY_MIN);
	return delay < view->time_left ? delay : GB_NEVER;
}

/* Tells whether a failure may be retried, by the rules of all policies. */
static bool is_retry_allowed(const struct pol_view *view,
			     enum pol_failure failure, uint32_t attempts_max)
{
	if (view->time_left <= 0)
		return false;
	/* Needs no limit: a replica without the snapshot is not tried again. */
	if (failure == POL_SNAPSHOT_GONE)
		return !view->is_order;
	if (view->attempts >= attempts_max)
		return false;
	/* Only a refused order has certainly not run. */
	return !view->is_order || failure == POL_REFUSED;
}

static gb_time latency_hedge_delay(const struct pol_view *view)
{
	return hedge_delay_at_level(view, 0.95, 0.99);
}

static bool latency_retry(const struct pol_view *view, enum pol_failure failure)
{
	return is_retry_allowed(view, failure, 2);
}

static gb_time coverage_hedge_delay(const struct pol_view *view)
{
	return hedge_delay_at_level(view, 0.98, 0.999);
}

static bool coverage_retry(const struct pol_view *view,
			   enum pol_failure failure)
{
	return is_retry_allowed(view, failure, 4);
}

const struct pol_ops *pol_find(struct gb_str name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(policies); i++) {
		if (gb_str_eq(policies[i]->name, name))
			return policies[i];
	}
	return NULL;
}

const struct pol_ops *const *pol_all(size_t *len)
{
	*len = G_N_ELEMENTS(policies);
	return policies;
}
