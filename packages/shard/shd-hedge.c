#include "shard/shd-internal.h"

static struct shd_replica *find_hedge_replica(const struct shd_shard *shard,
					      uint64_t excluded);

/*
 * Finds the best warm replica with a free slot. If the only usable replicas are
 * excluded they are allowed: a second attempt on the same replica may still be
 * faster than a straggling first one.
 */
static struct shd_replica *find_hedge_replica(const struct shd_shard *shard,
					      uint64_t excluded)
{
	struct shd_replica *found = NULL;
	uint64_t usable = shd_usable_replicas(shard);

	if (!(usable & ~excluded))
		excluded = 0;
	for (guint i = 0; i < shard->replicas->len; i++) {
		struct shd_replica *replica = shard->replicas->pdata[i];
		const struct up_upstream *up = &replica->up;

		if (replica->bit & excluded || up->state != UP_WARM ||
		    !up_can_send(up, shard->now))
			continue;
		if (!found ||
		    up_score(up, shard->now) < up_score(&found->up, shard->now))
			found = replica;
	}
	return found;
}

/*
 * Sends the hedges that are due, before any queued entry. Otherwise, at high
 * load, the queue would take all slots and hedges would never be sent. The
 * budget bounds their number.
 */
void shd_send_hedges(struct shd_shard *shard)
{
	GList *link = shard->hedge_queue.head;

	while (link) {
		struct shd_entry *entry = link->data;
		const struct shd_call *call = shd_unhedged_call(entry);
		struct shd_replica *replica;

		link = link->next;
		if (!shd_can_hedge(entry) ||
		    !shd_meets_deadline(shard, entry)) {
			shd_unqueue_hedge(shard, entry);
			continue;
		}
		replica = find_hedge_replica(
			shard, call->replica->bit | entry->failed_replicas |
				       entry->no_snapshot_replicas);
		if (!replica)
			continue;
		if (!pol_budget_take(&shard->shared->budget))
			return;
		shd_unqueue_hedge(shard, entry);
		met_add(shard->metrics, MET_SUB_HEDGES, 1);
		shd_send_call(shard, entry, replica, SHD_TRIAL_NONE, true);
		/* send_call() may have called back and changed the queue. */
		link = shard->hedge_queue.head;
	}
}
