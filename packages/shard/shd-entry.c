#include "shard/shd-internal.h"

#include <string.h>

static struct gb_str copy_bytes(char **to, struct gb_str s);
static void remove_query(struct shd_shard *shard, struct shd_entry *entry);

static struct gb_str copy_bytes(char **to, struct gb_str s)
{
	struct gb_str copy = { .ptr = *to, .len = s.len };

	if (s.len)
		memcpy(*to, s.ptr, s.len);
	*to += s.len;
	return copy;
}

/* Allocates an entry together with a copy of the request and its strings. */
struct shd_entry *shd_entry_new(const struct shd_request *req)
{
	size_t len = req->key.len + req->body.len;
	struct shd_entry *entry = g_malloc(sizeof(*entry) + len);
	char *to = entry->strings;

	memset(entry, 0, sizeof(*entry));
	entry->request = *req;
	entry->request.key = copy_bytes(&to, req->key);
	entry->request.body = copy_bytes(&to, req->body);
	entry->vm = req->vm;
	entry->query = req->query;
	entry->link.data = entry;
	entry->hedge_link.data = entry;
	entry->hedge_at = GB_NEVER;
	entry->timer_at = GB_NEVER;
	entry->heap_pos = SIZE_MAX;
	return entry;
}

void shd_add_to_query(struct shd_shard *shard, struct shd_entry *entry)
{
	struct shd_entry *first = g_hash_table_lookup(shard->queries, entry);

	if (!first) {
		g_hash_table_add(shard->queries, entry);
		return;
	}
	entry->prev = first;
	entry->next = first->next;
	if (first->next)
		first->next->prev = entry;
	first->next = entry;
}

static void remove_query(struct shd_shard *shard, struct shd_entry *entry)
{
	if (entry->next)
		entry->next->prev = entry->prev;
	if (entry->prev)
		entry->prev->next = entry->next;
	else if (entry->next)
		g_hash_table_add(shard->queries, entry->next);
	else
		g_hash_table_remove(shard->queries, entry);
	entry->next = NULL;
	entry->prev = NULL;
}

/* Marks the entry as done; removes it from its queues and its query. */
void shd_detach_entry(struct shd_shard *shard, struct shd_entry *entry)
{
	shd_remove_from_queue(shard, entry);
	shd_unqueue_hedge(shard, entry);
	remove_query(shard, entry);
	if (shard->isolation_entry == entry)
		shd_unreserve_replica(shard);
	entry->state = SHD_DONE;
	entry->hedge_at = GB_NEVER;
}

/*
 * Frees an entry that is done and has no active call, else sets its timer. An
 * entry with references is left to the holder of the last one.
 */
void shd_free_or_arm_entry(struct shd_shard *shard, struct shd_entry *entry)
{
	if (entry->ref_count)
		return;
	if (entry->state != SHD_DONE || entry->calls_active) {
		shd_arm_timer(shard, entry);
		return;
	}
	shd_disarm_timer(shard, entry);
	g_free(entry);
}
