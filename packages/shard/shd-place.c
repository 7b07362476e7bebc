#include "shard/shd-internal.h"

/* Entries at the head of a queue that are tried, as the first may not start. */
#define QUEUE_SCAN_MAX 16

static int failure_rank(const struct shd_replica *replica);
static bool is_better_replica(const struct shd_replica *replica,
			      const struct shd_replica *other, bool retry,
			      gb_time now);
static struct shd_replica *find_best_replica(const struct shd_shard *shard,
					     uint64_t excluded, bool retry);
static bool has_free_replica(const struct shd_shard *shard);
static bool is_reachable_replica_busy(const struct shd_shard *shard,
				      uint64_t excluded);
static bool waits_for_reachable(const struct shd_shard *shard,
				const struct shd_entry *entry,
				const struct shd_replica *replica);
static bool start_isolated(struct shd_shard *shard);
static bool finish_if_no_replica(struct shd_shard *shard,
				 struct shd_entry *entry);
static bool start_entry(struct shd_shard *shard, struct shd_entry *entry);
static bool start_next_entry(struct shd_shard *shard);

/* Orders replicas by their last outcomes; 0 is the best. */
static int failure_rank(const struct shd_replica *replica)
{
	if (replica->up.unreachable)
		return 2;
	return replica->up.failures ? 1 : 0;
}

/*
 * Compares two replicas for an attempt. A retry prefers one that has not failed
 * since its last success: a policy allows few retries, and after a crash the
 * replicas that failed last are often the ones with the best times.
 */
static bool is_better_replica(const struct shd_replica *replica,
			      const struct shd_replica *other, bool retry,
			      gb_time now)
{
	int rank = failure_rank(replica), other_rank = failure_rank(other);

	if (retry && rank != other_rank)
		return rank < other_rank;
	return up_score(&replica->up, now) < up_score(&other->up, now);
}

/* Finds the replica with a free slot that is expected to answer first. */
static struct shd_replica *find_best_replica(const struct shd_shard *shard,
					     uint64_t excluded, bool retry)
{
	struct shd_replica *found = NULL;

	for (guint i = 0; i < shard->replicas->len; i++) {
		struct shd_replica *replica = shard->replicas->pdata[i];

		if (replica->bit & excluded ||
		    !up_can_send(&replica->up, shard->now))
			continue;
		if (!found ||
		    is_better_replica(replica, found, retry, shard->now))
			found = replica;
	}
	return found;
}

static bool has_free_replica(const struct shd_shard *shard)
{
	for (guint i = 0; i < shard->replicas->len; i++) {
		const struct shd_replica *replica = shard->replicas->pdata[i];

		if (up_can_send(&replica->up, shard->now))
			return true;
	}
	return false;
}

/* Tells whether a replica that answers takes work but has no free slot. */
static bool is_reachable_replica_busy(const struct shd_shard *shard,
				      uint64_t excluded)
{
	for (guint i = 0; i < shard->replicas->len; i++) {
		const struct shd_replica *replica = shard->replicas->pdata[i];

		if (!(replica->bit & excluded) && !replica->up.unreachable &&
		    up_limit(&replica->up, shard->now))
			return true;
	}
	return false;
}

/*
 * Tells whether a retry leaves the replica alone and waits for another one: it
 * may be the last attempt, and a replica that reset its last connection has
 * probably ended.
 */
static bool waits_for_reachable(const struct shd_shard *shard,
				const struct shd_entry *entry,
				const struct shd_replica *replica)
{
	if (!entry->attempts || !replica->up.unreachable)
		return false;
	if (shard->now >= shd_retry_wait_end(shard, entry))
		return false;
	return is_reachable_replica_busy(
		shard, entry->failed_replicas | entry->no_snapshot_replicas);
}

/* Sends the suspect for which a replica is reserved once that is idle. */
static bool start_isolated(struct shd_shard *shard)
{
	struct shd_entry *entry = shard->isolation_entry;

	if (!entry || shard->now >= entry->request.deadline)
		return false;
	if (!up_limit(&shard->isolation_replica->up, shard->now)) {
		shd_unreserve_replica(shard);
		return false;
	}
	if (shard->isolation_replica->up.in_flight)
		return false;
	if (sus_state(shard->suspects, shard->now,
		      entry->request.fingerprint) != SUS_SUSPECT) {
		shd_unreserve_replica(shard);
		return start_entry(shard, entry);
	}
	shard->isolation_entry = NULL;
	shd_send_call(shard, entry, shard->isolation_replica,
		      SHD_TRIAL_ISOLATED, false);
	return true;
}

/*
 * Finishes an entry if each usable replica failed it or lacks its snapshot.
 * Returns true if the entry was finished. A lookup that was not refused is
 * instead allowed to use its failed replicas again, as there is no other.
 */
static bool finish_if_no_replica(struct shd_shard *shard,
				 struct shd_entry *entry)
{
	uint64_t usable = shd_usable_replicas(shard);

	if (!usable ||
	    usable & ~(entry->failed_replicas | entry->no_snapshot_replicas))
		return false;
	if (!(usable & ~entry->no_snapshot_replicas)) {
		shd_finish_entry(shard, entry, MSG_STATUS_SNAPSHOT_GONE, NULL);
		return true;
	}
	if (entry->last_refused || entry->request.order) {
		shd_finish_entry(shard, entry, MSG_STATUS_OVERLOAD, NULL);
		return true;
	}
	entry->failed_replicas = 0;
	return false;
}

/* Sends, parks or finishes a queued entry; returns false if it must wait. */
static bool start_entry(struct shd_shard *shard, struct shd_entry *entry)
{
	enum sus_state state = sus_state(shard->suspects, shard->now,
					 entry->request.fingerprint);
	enum shd_trial_kind trial = SHD_TRIAL_NONE;
	struct shd_replica *replica;

	if (shard->now >= entry->request.deadline) {
		shd_expire_entry(shard, entry);
		return true;
	}
	if (state == SUS_QUARANTINED) {
		shd_finish_entry(shard, entry, MSG_STATUS_QUARANTINED, NULL);
		return true;
	}
	if (state == SUS_ISOLATED ||
	    (state == SUS_CANARY && entry->request.canary)) {
		shd_park_entry(shard, entry);
		return true;
	}
	if (finish_if_no_replica(shard, entry))
		return true;
	if (state == SUS_SUSPECT) {
		shd_reserve_replica(shard, entry);
		return start_isolated(shard);
	}
	if (!shd_meets_deadline(shard, entry)) {
		shd_finish_entry(shard, entry, shd_late_status(shard), NULL);
		return true;
	}
	replica = find_best_replica(
		shard, entry->failed_replicas | entry->no_snapshot_replicas,
		entry->attempts > 0);
	if (!replica || waits_for_reachable(shard, entry, replica))
		return false;
	if (state == SUS_UNKNOWN && entry->request.canary)
		trial = SHD_TRIAL_CANARY;
	shd_send_call(shard, entry, replica, trial, false);
	return true;
}

/* Starts the first entry that can be started; returns false if none can. */
static bool start_next_entry(struct shd_shard *shard)
{
	for (int class = 0; class < SHD_CLASSES; class ++) {
		GList *link = shard->queues[class].head;

		for (int i = 0; link && i < QUEUE_SCAN_MAX; i++) {
			struct shd_entry *entry = link->data;

			link = link->next;
			if (entry != shard->isolation_entry &&
			    start_entry(shard, entry))
				return true;
		}
	}
	return false;
}

/* Sends hedges and queued entries while upstreams have free slots. */
void shd_place_entries(struct shd_shard *shard)
{
	/* An shd_ops function called back: the outer call repeats its loop. */
	if (shard->placing) {
		shard->place_again = true;
		return;
	}
	shard->placing = true;
	do {
		shard->place_again = false;
		while (shd_lease_held(shard) && start_isolated(shard))
			;
		if (shd_lease_held(shard))
			shd_send_hedges(shard);
		while (shd_lease_held(shard) && shd_waiting_entries(shard) &&
		       has_free_replica(shard) && start_next_entry(shard))
			;
	} while (shard->place_again);
	shard->placing = false;
}
