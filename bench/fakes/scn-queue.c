#include "bench/fakes/scn.h"

static bool before(const struct scn_entry *a, const struct scn_entry *b);

static bool before(const struct scn_entry *a, const struct scn_entry *b)
{
	if (a->at != b->at)
		return a->at < b->at;
	return a->order < b->order;
}

/* A binary heap; the entry that runs next is at the front. */
void scn_queue_push(struct scn_queue *queue, gb_time at, scn_action run,
		    void *data)
{
	struct scn_entry entry = {
		.at = at, .order = queue->next_order++, .run = run, .data = data
	};
	size_t i = queue->len++;

	if (queue->len > queue->cap) {
		queue->cap = MAX(queue->cap * 2, 1024);
		queue->heap =
			g_renew(struct scn_entry, queue->heap, queue->cap);
	}
	while (i && before(&entry, &queue->heap[(i - 1) / 2])) {
		queue->heap[i] = queue->heap[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	queue->heap[i] = entry;
}

bool scn_queue_pop(struct scn_queue *queue, struct scn_entry *entry)
{
	struct scn_entry last;
	size_t i = 0, child;

	if (!queue->len)
		return false;
	*entry = queue->heap[0];
	last = queue->heap[--queue->len];
	while ((child = 2 * i + 1) < queue->len) {
		if (child + 1 < queue->len &&
		    before(&queue->heap[child + 1], &queue->heap[child]))
			child++;
		if (!before(&queue->heap[child], &last))
			break;
		queue->heap[i] = queue->heap[child];
		i = child;
	}
	queue->heap[i] = last;
	return true;
}

gb_time scn_queue_next(const struct scn_queue *queue)
{
	return queue->len ? queue->heap[0].at : GB_NEVER;
}
