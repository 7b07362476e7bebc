#include "shard/shd-internal.h"

static gb_time delay_of(const struct shd_shard *shard,
			const struct shd_entry *entry, gb_time sent);
static const struct shd_call *only_call(const struct shd_entry *entry);
static struct shd_replica *hedge_replica(const struct shd_shard *shard,
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

/*
 * Finds the best warm replica with room. With one open replica only, a second
 * attempt on it may still be faster than a straggling first one.
 */
static struct shd_replica *hedge_replica(const struct shd_shard *shard,
					 uint64_t not )
{
	struct shd_replica *found = NULL;
	uint64_t usable = shd_usable(shard);

	if (!(usable & ~not ))
		not = 0;
	for (guint i = 0; i < shard->replicas->len; i++) {
		struct shd_replica *replica = shard->replicas->pdata[i];
		const struct up_upstream *up = &replica->up;

		if (replica->bit & not || up->state != UP_WARM ||
		    !up_can_send(up, shard->now))
			continue;
		if (!found ||
		    up_score(up, shard->now) < up_score(&found->up, shard->now))
			found = replica;
	}
	return found;
}

/* Takes an entry off the list of hedges that wait for room. */
void shd_drop_hedge(struct shd_shard *shard, struct shd_entry *entry)
{
	if (!entry->hedge_due)
		return;
	g_queue_unlink(&shard->hedges, &entry->hedge_link);
	entry->hedge_due = false;
}

/*
 * Sends the hedges that are due. They go before queued first attempts: at
 * high load an upstream has room only for what is served first, and the
 * budget bounds how many there can be.
 */
void shd_send_hedges(struct shd_shard *shard)
{
	GList *link = shard->hedges.head;

	while (link) {
		struct shd_entry *entry = link->data;
		const struct shd_call *call = only_call(entry);
		struct shd_replica *replica;

		link = link->next;
		if (!may_hedge(entry) || !shd_meets_deadline(shard, entry)) {
			shd_drop_hedge(shard, entry);
			continue;
		}
		replica = hedge_replica(
			shard, call->replica->bit | entry->avoid | entry->gone);
		if (!replica)
			continue;
		if (!pol_budget_take(&shard->shared->budget))
			return;
		shd_drop_hedge(shard, entry);
		met_add(shard->metrics, MET_SUB_HEDGES, 1);
		shd_send_call(shard, entry, replica, SHD_TRIAL_NONE, true);
		/* The send may have called back and changed the list. */
		link = shard->hedges.head;
	}
}

/* Makes a hedge due, or looks again later if its delay has risen. */
void shd_hedge(struct shd_shard *shard, struct shd_entry *entry)
{
	const struct shd_call *call = only_call(entry);
	gb_time delay;

	entry->hedge_at = GB_NEVER;
	if (may_hedge(entry) && shd_lease_held(shard)) {
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
