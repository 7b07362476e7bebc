#include "shard/shd-internal.h"

static void fire(struct shd_shard *shard, struct shd_entry *entry);

/* Does what is due for an entry and sets its next timer. */
static void fire(struct shd_shard *shard, struct shd_entry *entry)
{
	for (int i = 0; i < SHD_CALLS; i++) {
		struct shd_call *call = &entry->calls[i];

		if (call->active && shard->now >= call->expires) {
			shd_lost_call(shard, call);
			return;
		}
	}
	if (entry->state == SHD_DONE) {
		shd_release(shard, entry);
		return;
	}
	if (shard->now >= entry->req.deadline) {
		shd_expire(shard, entry);
		return;
	}
	if (entry->state == SHD_RUNNING && shard->now >= entry->hedge_at) {
		shd_hedge(shard, entry);
		return;
	}
	if (entry->state == SHD_PARKED) {
		shd_unlink(shard, entry);
		shd_enqueue(entry, shard, entry->class, true);
	} else if (entry->state == SHD_QUEUED &&
		   !shd_meets_deadline(shard, entry)) {
		shd_finish(shard, entry, shd_late_status(shard), NULL);
		return;
	}
	shd_arm(shard, entry);
}

void shd_tick(struct shd_shard *shard, gb_time now)
{
	struct shd_entry *entry;

	shd_set_now(shard, now);
	if (!shd_lease_held(shard))
		shd_flush(shard, MSG_STATUS_NOT_OWNER);
	while ((entry = shd_first_due(shard)) && entry->timer <= shard->now)
		fire(shard, entry);
	shd_place(shard);
}

gb_time shd_next_tick(const struct shd_shard *shard)
{
	const struct shd_entry *first = shd_first_due(shard);
	gb_time next = first ? first->timer : GB_NEVER;

	if (!shd_queued(shard))
		return next;
	if (shard->lease)
		next = MIN(next, shard->lease);
	/* An upstream may be tried again when its breaker's pause ends. */
	for (guint i = 0; i < shard->replicas->len; i++) {
		const struct shd_replica *replica = shard->replicas->pdata[i];

		if (!replica->up.closed && replica->up.open_until > shard->now)
			next = MIN(next, replica->up.open_until);
	}
	return next;
}
