#include "shard/shd-internal.h"

static struct shd_replica *hedge_replica(const struct shd_shard *shard,
					 uint64_t not );

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
		const struct shd_call *call = shd_only_call(entry);
		struct shd_replica *replica;

		link = link->next;
		if (!shd_may_hedge(entry) ||
		    !shd_meets_deadline(shard, entry)) {
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
