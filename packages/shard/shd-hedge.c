#include "shard/shd-internal.h"

static gb_time delay_of(const struct shd_shard *shard,
			const struct shd_entry *entry, gb_time sent);
static const struct shd_call *only_call(const struct shd_entry *entry);
static struct shd_replica *idle_replica(const struct shd_shard *shard,
					uint64_t not );
static bool may_hedge(const struct shd_entry *entry);

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
static const struct shd_call *only_call(const struct shd_entry *entry)
{
	if (entry->calls_len != 1)
		return NULL;
	return entry->calls[0].active ? &entry->calls[0] : &entry->calls[1];
}

/* A request under trial runs on one upstream only. */
static bool may_hedge(const struct shd_entry *entry)
{
	const struct shd_call *call = only_call(entry);

	return entry->state == SHD_RUNNING && !entry->req.order && call &&
	       call->trial == SHD_TRIAL_NONE;
}

/* Sets the time of the hedge after a send. */
void shd_set_hedge(struct shd_shard *shard, struct shd_entry *entry)
{
	gb_time delay = GB_NEVER;

	if (may_hedge(entry))
		delay = delay_of(shard, entry, shard->now);
	entry->hedge_at = delay == GB_NEVER ? GB_NEVER : shard->now + delay;
}

/* Finds the best warm replica with a free slot. */
static struct shd_replica *idle_replica(const struct shd_shard *shard,
					uint64_t not )
{
	struct shd_replica *found = NULL;

	for (guint i = 0; i < shard->replicas->len; i++) {
		struct shd_replica *replica = shard->replicas->pdata[i];
		const struct up_upstream *up = &replica->up;

		if (replica->bit & not || up->state != UP_WARM ||
		    up->in_flight >= up->limits.slots ||
		    !up_can_send(up, shard->now))
			continue;
		if (!found ||
		    up_score(up, shard->now) < up_score(&found->up, shard->now))
			found = replica;
	}
	return found;
}

/* Sends a hedge, or looks again later if none can go now. */
void shd_hedge(struct shd_shard *shard, struct shd_entry *entry)
{
	const struct shd_call *call = only_call(entry);
	struct shd_replica *replica;
	gb_time delay;

	entry->hedge_at = GB_NEVER;
	if (!may_hedge(entry) || !shd_lease_held(shard) ||
	    !shd_meets_deadline(shard, entry)) {
		shd_arm(shard, entry);
		return;
	}
	/* The delay may have risen since the send, as the budget fell. */
	delay = delay_of(shard, entry, call->sent);
	if (delay == GB_NEVER) {
		shd_arm(shard, entry);
		return;
	}
	replica = idle_replica(shard,
			       call->replica->bit | entry->avoid | entry->gone);
	if (shard->now < call->sent + delay) {
		entry->hedge_at = call->sent + delay;
	} else if (replica && pol_budget_take(&shard->shared->budget)) {
		met_add(shard->metrics, MET_SUB_HEDGES, 1);
		shd_send_call(shard, entry, replica, SHD_TRIAL_NONE, true);
		return;
	} else {
		entry->hedge_at = shard->now + MAX(delay / 2, GB_MSEC);
	}
	shd_arm(shard, entry);
}
