#include "shard/shd-internal.h"

/* A parked entry looks again for a verdict that came from elsewhere. */
#define PARKED_CHECK (20 * GB_MSEC)

/* Shortest time between two checks of a queued entry. */
#define DROP_CHECK GB_MSEC

static struct shd_entry *at(const struct shd_shard *shard, size_t pos);
static void put(struct shd_shard *shard, size_t pos, struct shd_entry *entry);
static void sift_up(struct shd_shard *shard, size_t pos);
static void sift_down(struct shd_shard *shard, size_t pos);
static gb_time drop_time(const struct shd_shard *shard,
			 const struct shd_entry *entry);
static gb_time timer_of(const struct shd_shard *shard,
			const struct shd_entry *entry);

static struct shd_entry *at(const struct shd_shard *shard, size_t pos)
{
	return shard->heap->pdata[pos];
}

static void put(struct shd_shard *shard, size_t pos, struct shd_entry *entry)
{
	shard->heap->pdata[pos] = entry;
	entry->heap_pos = pos;
}

static void sift_up(struct shd_shard *shard, size_t pos)
{
	struct shd_entry *entry = at(shard, pos);

	while (pos && at(shard, (pos - 1) / 2)->timer > entry->timer) {
		put(shard, pos, at(shard, (pos - 1) / 2));
		pos = (pos - 1) / 2;
	}
	put(shard, pos, entry);
}

static void sift_down(struct shd_shard *shard, size_t pos)
{
	struct shd_entry *entry = at(shard, pos);
	size_t len = shard->heap->len;

	for (size_t child = 2 * pos + 1; child < len; child = 2 * pos + 1) {
		if (child + 1 < len &&
		    at(shard, child + 1)->timer < at(shard, child)->timer)
			child++;
		if (at(shard, child)->timer >= entry->timer)
			break;
		put(shard, pos, at(shard, child));
		pos = child;
	}
	put(shard, pos, entry);
}

/* The time at which a queued entry can no longer end in time. */
static gb_time drop_time(const struct shd_shard *shard,
			 const struct shd_entry *entry)
{
	gb_time drop = entry->req.deadline - (gb_time)shard->time_mean + 1;

	return MAX(drop, shard->now + DROP_CHECK);
}

/* The time at which something about the entry is due. */
static gb_time timer_of(const struct shd_shard *shard,
			const struct shd_entry *entry)
{
	gb_time timer = GB_NEVER;

	for (int i = 0; i < SHD_CALLS; i++) {
		if (entry->calls[i].active)
			timer = MIN(timer, entry->calls[i].expires);
	}
	if (entry->state == SHD_DONE)
		return timer;
	timer = MIN(timer, entry->req.deadline);
	timer = MIN(timer, entry->hedge_at);
	if (entry->state == SHD_PARKED)
		timer = MIN(timer, shard->now + PARKED_CHECK);
	if (entry->state == SHD_QUEUED)
		timer = MIN(timer, drop_time(shard, entry));
	return timer;
}

/* Sets or moves the timer of an entry. */
void shd_arm(struct shd_shard *shard, struct shd_entry *entry)
{
	entry->timer = timer_of(shard, entry);
	if (entry->heap_pos == SIZE_MAX) {
		g_ptr_array_add(shard->heap, entry);
		entry->heap_pos = shard->heap->len - 1;
	}
	sift_up(shard, entry->heap_pos);
	sift_down(shard, entry->heap_pos);
}

void shd_disarm(struct shd_shard *shard, struct shd_entry *entry)
{
	size_t pos = entry->heap_pos;
	struct shd_entry *last;

	if (pos == SIZE_MAX)
		return;
	last = at(shard, shard->heap->len - 1);
	g_ptr_array_set_size(shard->heap, (gint)shard->heap->len - 1);
	entry->heap_pos = SIZE_MAX;
	if (last == entry)
		return;
	put(shard, pos, last);
	sift_up(shard, pos);
	sift_down(shard, last->heap_pos);
}

struct shd_entry *shd_first_due(const struct shd_shard *shard)
{
	return shard->heap->len ? at(shard, 0) : NULL;
}
