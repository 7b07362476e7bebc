#include "shard/shd-internal.h"

/* Entries that wait for an upstream, without the parked ones. */
size_t shd_waiting(const struct shd_shard *shard)
{
	size_t len = 0;

	for (int i = 0; i < SHD_CLASSES; i++)
		len += shard->queue[i].length;
	return len;
}

void shd_enqueue(struct shd_entry *entry, struct shd_shard *shard,
		 enum shd_class class, bool first)
{
	entry->state = SHD_QUEUED;
	entry->class = class;
	if (first)
		g_queue_push_head_link(&shard->queue[class], &entry->link);
	else
		g_queue_push_tail_link(&shard->queue[class], &entry->link);
}

/* Sets an entry aside until its request's trial has ended. */
void shd_park(struct shd_shard *shard, struct shd_entry *entry)
{
	shd_unlink(shard, entry);
	entry->state = SHD_PARKED;
	g_queue_push_tail_link(&shard->parked, &entry->link);
	shd_arm(shard, entry);
}

/* Takes an entry out of the queue that it is in, if any. */
void shd_unlink(struct shd_shard *shard, struct shd_entry *entry)
{
	if (entry->state == SHD_QUEUED)
		g_queue_unlink(&shard->queue[entry->class], &entry->link);
	else if (entry->state == SHD_PARKED)
		g_queue_unlink(&shard->parked, &entry->link);
}

/*
 * Tells whether an entry that starts now is likely to end in time. Without
 * any running call it is always tried: else a mean above the deadlines could
 * never be corrected by a new sample.
 */
bool shd_meets_deadline(const struct shd_shard *shard,
			const struct shd_entry *entry)
{
	if (!shard->running)
		return true;
	return (double)shard->now + shard->time_mean <=
	       (double)entry->req.deadline;
}

/*
 * The reason for which an entry cannot end in time. Without any upstream that
 * takes work it is not load: the service's other shards need no less of it.
 */
enum msg_status shd_late_status(const struct shd_shard *shard)
{
	return shd_usable(shard) ? MSG_STATUS_OVERLOAD : MSG_STATUS_UNAVAILABLE;
}
