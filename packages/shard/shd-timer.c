#include "shard/shd-internal.h"

/* How often a parked entry checks for results of other shards and VMs. */
#define PARKED_CHECK_INTERVAL (20 * GB_MSEC)

/* Shortest interval between two deadline checks of a queued entry. */
#define QUEUED_CHECK_INTERVAL GB_MSEC

static struct shd_entry *heap_at(const struct shd_shard *shard, size_t pos);
static void heap_put(struct shd_shard *shard, size_t pos,
		     struct shd_entry *entry);
static void sift_up(struct shd_shard *shard, size_t pos);
static void sift_down(struct shd_shard *shard, size_t pos);
static gb_time drop_time(const struct shd_shard *shard,
			 const struct shd_entry *entry);
static gb_time compute_timer(const struct shd_shard *shard,
			     const struct shd_entry *entry);

static struct shd_entry *heap_at(const struct shd_shard *shard, size_t pos)
{
	return shard->timer_heap->pdata[pos];
}

static void heap_put(struct shd_shard *shard, size_t pos,
		     struct shd_entry *entry)
{
	shard->timer_heap->pdata[pos] = entry;
	entry->heap_pos = pos;
}

static void sift_up(struct shd_shard *shard, size_t pos)
{
	struct shd_entry *entry = heap_at(shard, pos);

	while (pos &&
	       heap_at(shard, (pos - 1) / 2)->timer_at > entry->timer_at) {
		heap_put(shard, pos, heap_at(shard, (pos - 1) / 2));
		pos = (pos - 1) / 2;
	}
	heap_put(shard, pos, entry);
}

static void sift_down(struct shd_shard *shard, size_t pos)
{
	struct shd_entry *entry = heap_at(shard, pos);
	size_t len = shard->timer_heap->len;

	for (size_t child = 2 * pos + 1; child < len; child = 2 * pos + 1) {
		if (child + 1 < len && heap_at(shard, child + 1)->timer_at <
					       heap_at(shard, child)->timer_at)
			child++;
		if (heap_at(shard, child)->timer_at >= entry->timer_at)
			break;
		heap_put(shard, pos, heap_at(shard, child));
		pos = child;
	}
	heap_put(shard, pos, entry);
}

/* The time from which a queued entry is not expected to meet its deadline. */
static gb_time drop_time(const struct shd_shard *shard,
			 const struct shd_entry *entry)
{
	gb_time drop = entry->request.deadline - (gb_time)shard->mean_time + 1;

	return MAX(drop, shard->now + QUEUED_CHECK_INTERVAL);
}

/* The earliest time at which an entry needs a tick. */
static gb_time compute_timer(const struct shd_shard *shard,
			     const struct shd_entry *entry)
{
	gb_time timer = GB_NEVER;

	for (int i = 0; i < SHD_CALLS_MAX; i++) {
		if (entry->calls[i].active)
			timer = MIN(timer, entry->calls[i].expires);
	}
	if (entry->state == SHD_DONE)
		return timer;
	timer = MIN(timer, entry->request.deadline);
	timer = MIN(timer, entry->hedge_at);
	if (entry->state == SHD_PARKED)
		timer = MIN(timer, shard->now + PARKED_CHECK_INTERVAL);
	if (entry->state == SHD_QUEUED)
		timer = MIN(timer, drop_time(shard, entry));
	if (entry->state == SHD_QUEUED && entry->attempts &&
	    shd_retry_wait_end(shard, entry) > shard->now)
		timer = MIN(timer, shd_retry_wait_end(shard, entry));
	return timer;
}

/* Sets or moves the timer of an entry. */
void shd_arm_timer(struct shd_shard *shard, struct shd_entry *entry)
{
	entry->timer_at = compute_timer(shard, entry);
	if (entry->heap_pos == SIZE_MAX) {
		g_ptr_array_add(shard->timer_heap, entry);
		entry->heap_pos = shard->timer_heap->len - 1;
	}
	sift_up(shard, entry->heap_pos);
	sift_down(shard, entry->heap_pos);
}

void shd_disarm_timer(struct shd_shard *shard, struct shd_entry *entry)
{
	size_t pos = entry->heap_pos;
	struct shd_entry *last;

	if (pos == SIZE_MAX)
		return;
	last = heap_at(shard, shard->timer_heap->len - 1);
	g_ptr_array_set_size(shard->timer_heap,
			     (gint)shard->timer_heap->len - 1);
	entry->heap_pos = SIZE_MAX;
	if (last == entry)
		return;
	heap_put(shard, pos, last);
	sift_up(shard, pos);
	sift_down(shard, last->heap_pos);
}

/* The entry with the earliest timer; NULL if there is none. */
struct shd_entry *shd_earliest_entry(const struct shd_shard *shard)
{
	return shard->timer_heap->len ? heap_at(shard, 0) : NULL;
}
