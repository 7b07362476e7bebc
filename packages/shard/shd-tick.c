#include "shard/shd-internal.h"

static void run_timer(struct shd_shard *shard, struct shd_entry *entry);

/* Runs the action for which an entry's timer is due and sets the next one. */
static void run_timer(struct shd_shard *shard, struct shd_entry *entry)
{
	for (int i = 0; i < SHD_CALLS_MAX; i++) {
		struct shd_call *call = &entry->calls[i];

		if (call->active && shard->now >= call->expires) {
			shd_time_out_call(shard, call);
			return;
		}
	}
	if (entry->state == SHD_DONE) {
		shd_free_or_arm_entry(shard, entry);
		return;
	}
	if (shard->now >= entry->request.deadline) {
		shd_expire_entry(shard, entry);
		return;
	}
	if (entry->state == SHD_RUNNING && shard->now >= entry->hedge_at) {
		shd_queue_or_delay_hedge(shard, entry);
		return;
	}
	if (entry->state == SHD_PARKED) {
		shd_remove_from_queue(shard, entry);
		shd_enqueue(entry, shard, entry->class, true);
	} else if (entry->state == SHD_QUEUED &&
		   !shd_meets_deadline(shard, entry)) {
		shd_finish_entry(shard, entry, shd_late_status(shard), NULL);
		return;
	}
	shd_arm_timer(shard, entry);
}

void shd_tick(struct shd_shard *shard, gb_time now)
{
	struct shd_entry *entry;

	shd_set_now(shard, now);
	if (!shd_lease_held(shard))
		shd_finish_waiting(shard, MSG_STATUS_NOT_OWNER);
	while ((entry = shd_earliest_entry(shard)) &&
	       entry->timer_at <= shard->now)
		run_timer(shard, entry);
	shd_place_entries(shard);
}

gb_time shd_next_tick(const struct shd_shard *shard)
{
	const struct shd_entry *first = shd_earliest_entry(shard);
	gb_time next = first ? first->timer_at : GB_NEVER;

	if (!shd_queue_length(shard))
		return next;
	if (shard->lease_expires)
		next = MIN(next, shard->lease_expires);
	/* A circuit breaker lets one trial call pass when its pause ends. */
	for (guint i = 0; i < shard->replicas->len; i++) {
		const struct shd_replica *replica = shard->replicas->pdata[i];

		if (!replica->up.disabled &&
		    replica->up.breaker_open_until > shard->now)
			next = MIN(next, replica->up.breaker_open_until);
	}
	return next;
}
