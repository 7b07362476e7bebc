#include "shard/shd-internal.h"

static bool can_move(const struct shd_entry *entry);
static void move_entry(struct shd_shard *shard, struct shd_entry *entry);

/* A trial must get its result, and an order must not run at two owners. */
static bool can_move(const struct shd_entry *entry)
{
	if (entry->state != SHD_RUNNING || entry->request.order)
		return false;
	for (int i = 0; i < SHD_CALLS_MAX; i++)
		if (entry->calls[i].active &&
		    entry->calls[i].trial != SHD_TRIAL_NONE)
			return false;
	return true;
}

static void move_entry(struct shd_shard *shard, struct shd_entry *entry)
{
	shd_finish_entry(shard, entry, MSG_STATUS_MOVED, NULL);
	shd_cancel_calls(shard, entry);
	entry->ref_count--;
	shd_free_or_arm_entry(shard, entry);
}

void shd_drain(struct shd_shard *shard, gb_time now)
{
	GPtrArray *entries = g_ptr_array_new();

	shd_set_now(shard, now);
	shd_finish_waiting(shard, MSG_STATUS_NOT_OWNER);
	/*
	 * Each live entry has a timer. References keep the entries allocated
	 * while others are finished.
	 */
	for (guint i = 0; i < shard->timer_heap->len; i++) {
		struct shd_entry *entry = shard->timer_heap->pdata[i];

		if (!can_move(entry))
			continue;
		entry->ref_count++;
		g_ptr_array_add(entries, entry);
	}
	for (guint i = 0; i < entries->len; i++)
		move_entry(shard, entries->pdata[i]);
	g_ptr_array_free(entries, TRUE);
}
