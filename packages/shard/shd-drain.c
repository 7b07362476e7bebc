#include "shard/shd-internal.h"

static bool may_move(const struct shd_entry *entry);
static void move(struct shd_shard *shard, struct shd_entry *entry);

/* A trial must come to its verdict, and an order is never sent twice. */
static bool may_move(const struct shd_entry *entry)
{
	if (entry->state != SHD_RUNNING || entry->req.order)
		return false;
	for (int i = 0; i < SHD_CALLS; i++)
		if (entry->calls[i].active &&
		    entry->calls[i].trial != SHD_TRIAL_NONE)
			return false;
	return true;
}

static void move(struct shd_shard *shard, struct shd_entry *entry)
{
	shd_finish(shard, entry, MSG_STATUS_MOVED, NULL);
	shd_cancel_calls(shard, entry);
	entry->hold--;
	shd_release(shard, entry);
}

void shd_drain(struct shd_shard *shard, gb_time now)
{
	GPtrArray *entries = g_ptr_array_new();

	shd_set_now(shard, now);
	shd_flush(shard, MSG_STATUS_NOT_OWNER);
	/* Each live entry has a timer; a hold keeps it while others end. */
	for (guint i = 0; i < shard->heap->len; i++) {
		struct shd_entry *entry = shard->heap->pdata[i];

		if (!may_move(entry))
			continue;
		entry->hold++;
		g_ptr_array_add(entries, entry);
	}
	for (guint i = 0; i < entries->len; i++)
		move(shard, entries->pdata[i]);
	g_ptr_array_free(entries, TRUE);
}
