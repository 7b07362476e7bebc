#include "shard/shd-internal.h"

static gb_time entry_hedge_delay(const struct shd_shard *shard,
				 const struct shd_entry *entry, gb_time sent);

static gb_time entry_hedge_delay(const struct shd_shard *shard,
				 const struct shd_entry *entry, gb_time sent)
{
	const struct shd_service *service = shard->shared;
	const struct pol_view view = {
		.latencies = &service->attempt_times,
		.budget_level = pol_budget_level(&service->budget),
		.time_left = entry->request.deadline - sent,
		.attempts = entry->attempts,
		.is_order = entry->request.order,
	};

	return service->policy->hedge_delay(&view);
}

/* The only active call; NULL if there is none or it has a hedge. */
const struct shd_call *shd_unhedged_call(const struct shd_entry *entry)
{
	if (entry->calls_active != 1)
		return NULL;
	return entry->calls[0].active ? &entry->calls[0] : &entry->calls[1];
}

/* Orders are never hedged, and a trial runs on one upstream only. */
bool shd_can_hedge(const struct shd_entry *entry)
{
	const struct shd_call *call = shd_unhedged_call(entry);

	return entry->state == SHD_RUNNING && !entry->request.order && call &&
	       call->trial == SHD_TRIAL_NONE;
}

/* Sets the hedge time of an entry that was just sent. */
void shd_schedule_hedge(struct shd_shard *shard, struct shd_entry *entry)
{
	gb_time delay = GB_NEVER;

	if (shd_can_hedge(entry))
		delay = entry_hedge_delay(shard, entry, shard->now);
	entry->hedge_at = delay == GB_NEVER ? GB_NEVER : shard->now + delay;
}

/* Removes an entry from the queue of hedges that wait for a free slot. */
void shd_unqueue_hedge(struct shd_shard *shard, struct shd_entry *entry)
{
	if (!entry->hedge_queued)
		return;
	g_queue_unlink(&shard->hedge_queue, &entry->hedge_link);
	entry->hedge_queued = false;
}

/* Queues a hedge, or postpones it if its delay has risen. */
void shd_queue_or_delay_hedge(struct shd_shard *shard, struct shd_entry *entry)
{
	const struct shd_call *call = shd_unhedged_call(entry);
	gb_time delay;

	entry->hedge_at = GB_NEVER;
	if (shd_can_hedge(entry) && shd_lease_held(shard)) {
		/* The delay rises while the budget falls. */
		delay = entry_hedge_delay(shard, entry, call->sent_at);
		if (delay != GB_NEVER && shard->now < call->sent_at + delay) {
			entry->hedge_at = call->sent_at + delay;
		} else if (!entry->hedge_queued) {
			entry->hedge_queued = true;
			g_queue_push_tail_link(&shard->hedge_queue,
					       &entry->hedge_link);
		}
	}
	shd_arm_timer(shard, entry);
}
