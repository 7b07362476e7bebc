#include "shard/shd-internal.h"

/* Time kept for a retry that waits, as a multiple of the mean service time. */
#define RETRY_RESERVE 2.0

/* Counts the entries that wait for an upstream, without the parked ones. */
size_t shd_waiting_entries(const struct shd_shard *shard)
{
	size_t len = 0;

	for (int i = 0; i < SHD_CLASSES; i++)
		len += shard->queues[i].length;
	return len;
}

void shd_enqueue(struct shd_entry *entry, struct shd_shard *shard,
		 enum shd_queue_class class, bool at_head)
{
	entry->state = SHD_QUEUED;
	entry->class = class;
	if (at_head)
		g_queue_push_head_link(&shard->queues[class], &entry->link);
	else
		g_queue_push_tail_link(&shard->queues[class], &entry->link);
}

/* Moves an entry to the parked list until its request's trial has ended. */
void shd_park_entry(struct shd_shard *shard, struct shd_entry *entry)
{
	shd_remove_from_queue(shard, entry);
	entry->state = SHD_PARKED;
	g_queue_push_tail_link(&shard->parked, &entry->link);
	shd_arm_timer(shard, entry);
}

/* Removes an entry from the queue or the parked list, if it is in one. */
void shd_remove_from_queue(struct shd_shard *shard, struct shd_entry *entry)
{
	if (entry->state == SHD_QUEUED)
		g_queue_unlink(&shard->queues[entry->class], &entry->link);
	else if (entry->state == SHD_PARKED)
		g_queue_unlink(&shard->parked, &entry->link);
}

/*
 * Tells whether an entry that is sent now is expected to meet its deadline.
 * Without any active call it is always sent, because otherwise a mean time
 * above the deadlines would never be corrected by a new sample.
 */
bool shd_meets_deadline(const struct shd_shard *shard,
			const struct shd_entry *entry)
{
	if (!shard->calls_in_flight)
		return true;
	return (double)shard->now + shard->mean_time <=
	       (double)entry->request.deadline;
}

/* Until then a retry may wait for a better replica than the free ones. */
gb_time shd_retry_wait_end(const struct shd_shard *shard,
			   const struct shd_entry *entry)
{
	return entry->request.deadline -
	       (gb_time)(shard->mean_time * RETRY_RESERVE);
}

/*
 * The status of an entry that is not expected to meet its deadline. It is not
 * OVERLOAD when no upstream takes work: that is no sign of load, and OVERLOAD
 * would make entry VMs admit fewer queries for the whole service.
 */
enum msg_status shd_late_status(const struct shd_shard *shard)
{
	return shd_usable_replicas(shard) ? MSG_STATUS_OVERLOAD
					  : MSG_STATUS_UNAVAILABLE;
}
