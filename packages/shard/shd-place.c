#include "shard/shd-internal.h"

/* Entries of a queue that are tried when those before them cannot start. */
#define SCAN_MAX 16

static struct shd_replica *best(const struct shd_shard *shard, uint64_t not );
static bool any_free(const struct shd_shard *shard);
static bool start_alone(struct shd_shard *shard);
static bool exclude(struct shd_shard *shard, struct shd_entry *entry);
static bool start(struct shd_shard *shard, struct shd_entry *entry);
static bool start_one(struct shd_shard *shard);

/* Finds the replica with room that is likely to answer first. */
static struct shd_replica *best(const struct shd_shard *shard, uint64_t not )
{
	struct shd_replica *found = NULL;
	double score = 0;

	for (guint i = 0; i < shard->replicas->len; i++) {
		struct shd_replica *replica = shard->replicas->pdata[i];
		double candidate;

		if (replica->bit & not ||
		    !up_can_send(&replica->up, shard->now))
			continue;
		candidate = up_score(&replica->up, shard->now);
		if (found && candidate >= score)
			continue;
		found = replica;
		score = candidate;
	}
	return found;
}

static bool any_free(const struct shd_shard *shard)
{
	for (guint i = 0; i < shard->replicas->len; i++) {
		const struct shd_replica *replica = shard->replicas->pdata[i];

		if (up_can_send(&replica->up, shard->now))
			return true;
	}
	return false;
}

/* Starts the suspect for which a replica is reserved, once that is idle. */
static bool start_alone(struct shd_shard *shard)
{
	struct shd_entry *entry = shard->alone_entry;

	if (!entry || shard->now >= entry->req.deadline)
		return false;
	if (!up_limit(&shard->alone->up, shard->now)) {
		shd_unreserve(shard);
		return false;
	}
	if (shard->alone->up.in_flight)
		return false;
	if (sus_state(shard->suspects, shard->now, entry->req.fingerprint) !=
	    SUS_SUSPECT) {
		shd_unreserve(shard);
		return start(shard, entry);
	}
	shard->alone_entry = NULL;
	shd_send_call(shard, entry, shard->alone, SHD_TRIAL_ALONE, false);
	return true;
}

/*
 * Settles which replicas the entry may use. Returns true if none is left and
 * the entry was ended.
 */
static bool exclude(struct shd_shard *shard, struct shd_entry *entry)
{
	uint64_t usable = shd_usable(shard);

	if (!usable || usable & ~(entry->avoid | entry->gone))
		return false;
	if (!(usable & ~entry->gone)) {
		shd_finish(shard, entry, MSG_STATUS_SNAPSHOT_GONE, NULL);
		return true;
	}
	if (entry->refused || entry->req.order) {
		shd_finish(shard, entry, MSG_STATUS_OVERLOAD, NULL);
		return true;
	}
	/* A lookup may go back to the only upstream there is. */
	entry->avoid = 0;
	return false;
}

/* Sends, parks or ends a queued entry; returns false if it has to wait. */
static bool start(struct shd_shard *shard, struct shd_entry *entry)
{
	enum sus_state state =
		sus_state(shard->suspects, shard->now, entry->req.fingerprint);
	enum shd_trial trial = SHD_TRIAL_NONE;
	struct shd_replica *replica;

	if (shard->now >= entry->req.deadline) {
		shd_expire(shard, entry);
		return true;
	}
	if (state == SUS_QUARANTINED) {
		shd_finish(shard, entry, MSG_STATUS_QUARANTINED, NULL);
		return true;
	}
	if (state == SUS_ALONE || (state == SUS_CANARY && entry->req.canary)) {
		shd_park(shard, entry);
		return true;
	}
	if (exclude(shard, entry))
		return true;
	if (state == SUS_SUSPECT) {
		shd_reserve(shard, entry);
		return start_alone(shard);
	}
	if (!shd_meets_deadline(shard, entry)) {
		shd_finish(shard, entry, shd_late_status(shard), NULL);
		return true;
	}
	replica = best(shard, entry->avoid | entry->gone);
	if (!replica)
		return false;
	if (state == SUS_UNKNOWN && entry->req.canary)
		trial = SHD_TRIAL_CANARY;
	shd_send_call(shard, entry, replica, trial, false);
	return true;
}

/* Starts the first entry that can start; returns false if none can. */
static bool start_one(struct shd_shard *shard)
{
	for (int class = 0; class < SHD_CLASSES; class ++) {
		GList *link = shard->queue[class].head;

		for (int i = 0; link && i < SCAN_MAX; i++) {
			struct shd_entry *entry = link->data;

			link = link->next;
			if (entry != shard->alone_entry && start(shard, entry))
				return true;
		}
	}
	return false;
}

/* Starts as many queued entries as the upstreams have room for. */
void shd_place(struct shd_shard *shard)
{
	/* A table function called back: the loop below goes round again. */
	if (shard->placing) {
		shard->place_again = true;
		return;
	}
	shard->placing = true;
	do {
		shard->place_again = false;
		while (shd_lease_held(shard) && start_alone(shard))
			;
		if (shd_lease_held(shard))
			shd_send_hedges(shard);
		while (shd_lease_held(shard) && shd_waiting(shard) &&
		       any_free(shard) && start_one(shard))
			;
	} while (shard->place_again);
	shard->placing = false;
}
