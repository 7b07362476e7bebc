#include "shard/shd-internal.h"

static gb_time delay_of(const struct shd_shard *shard,
			const struct shd_entry *entry, gb_time sent);

static gb_time delay_of(const struct shd_shard *shard,
			const struct shd_entry *entry, gb_time sent)
{
	const struct shd_service *service = shard->shared;
	const struct pol_view view = {
		.times = &service->times,
		.budget_level = pol_budget_level(&service->budget),
		.time_left = entry->req.deadline - sent,
		.attempts = entry->attempts,
		.order = entry->req.order,
	};

	return service->policy->hedge_delay(&view);
}

/* The attempt to hedge; NULL if there is none or it has a hedge. */
const struct shd_call *shd_only_call(const struct shd_entry *entry)
{
	if (entry->calls_len != 1)
		return NULL;
	return entry->calls[0].active ? &entry->calls[0] : &entry->calls[1];
}

/* A request under trial runs on one upstream only. */
bool shd_may_hedge(const struct shd_entry *entry)
{
	const struct shd_call *call = shd_only_call(entry);

	return entry->state == SHD_RUNNING && !entry->req.order && call &&
	       call->trial == SHD_TRIAL_NONE;
}

/* Sets the time of the hedge after a send. */
void shd_set_hedge(struct shd_shard *shard, struct shd_entry *entry)
{
	gb_time delay = GB_NEVER;

	if (shd_may_hedge(entry))
		delay = delay_of(shard, entry, shard->now);
	entry->hedge_at = delay == GB_NEVER ? GB_NEVER : shard->now + delay;
}

/* Takes an entry off the list of hedges that wait for room. */
void shd_drop_hedge(struct shd_shard *shard, struct shd_entry *entry)
{
	if (!entry->hedge_due)
		return;
	g_queue_unlink(&shard->hedges, &entry->hedge_link);
	entry->hedge_due = false;
}

/* Makes a hedge due, or looks again later if its delay has risen. */
void shd_hedge(struct shd_shard *shard, struct shd_entry *entry)
{
	const struct shd_call *call = shd_only_call(entry);
	gb_time delay;

	entry->hedge_at = GB_NEVER;
	if (shd_may_hedge(entry) && shd_lease_held(shard)) {
		/* The delay may have risen since, as the budget fell. */
		delay = delay_of(shard, entry, call->sent);
		if (delay != GB_NEVER && shard->now < call->sent + delay) {
			entry->hedge_at = call->sent + delay;
		} else if (!entry->hedge_due) {
			entry->hedge_due = true;
			g_queue_push_tail_link(&shard->hedges,
					       &entry->hedge_link);
		}
	}
	shd_arm(shard, entry);
}
