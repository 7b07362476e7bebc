#include "http/ht-memory.h"

/* Holders of fewer bytes are not evicted: ordinary messages are shorter. */
#define EVICTED_BYTES_MIN (64 * 1024)

static struct ht_memory_holder *find_largest(struct ht_memory *memory)
{
	struct ht_memory_holder *largest = NULL;

	for (GList *at = memory->holders.head; at; at = at->next) {
		struct ht_memory_holder *holder = at->data;

		if (holder->bytes >= EVICTED_BYTES_MIN &&
		    (!largest || holder->bytes > largest->bytes))
			largest = holder;
	}
	return largest;
}

void ht_memory_relieve(struct ht_memory *memory)
{
	while (memory->limit && memory->used > memory->limit) {
		struct ht_memory_holder *holder = find_largest(memory);

		if (!holder)
			return;
		if (memory->evicted)
			memory->evicted(memory->ctx, holder->bytes);
		holder->evict(holder);
	}
}

void ht_memory_hold(struct ht_memory_holder *holder, size_t bytes)
{
	struct ht_memory *memory = holder->memory;

	if (!memory || bytes == holder->bytes)
		return;
	if (holder->evict && !holder->bytes) {
		holder->link.data = holder;
		g_queue_push_tail_link(&memory->holders, &holder->link);
	}
	memory->used += bytes - holder->bytes;
	holder->bytes = bytes;
	if (holder->evict && !bytes)
		g_queue_unlink(&memory->holders, &holder->link);
}
