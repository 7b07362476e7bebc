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

/* Makes an entry with its own copy of the request in one allocation. */
struct shd_entry *shd_entry_new(const struct shd_request *req)
{
	size_t len = req->key.len + req->body.len;
	struct shd_entry *entry = g_malloc(sizeof(*entry) + len);
	char *to = entry->bytes;

	memset(entry, 0, sizeof(*entry));
	entry->req = *req;
	entry->req.key = copy_bytes(&to, req->key);
	entry->req.body = copy_bytes(&to, req->body);
	entry->vm = req->vm;
	entry->query = req->query;
	entry->link.data = entry;
	entry->hedge_link.data = entry;
	entry->hedge_at = GB_NEVER;
	entry->timer = GB_NEVER;
	entry->heap_pos = SIZE_MAX;
	return entry;
}

void shd_add_query(struct shd_shard *shard, struct shd_entry *entry)
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

/* Takes the entry out of everything that decides about it. */
void shd_leave(struct shd_shard *shard, struct shd_entry *entry)
{
	shd_unlink(shard, entry);
	shd_drop_hedge(shard, entry);
	remove_query(shard, entry);
	if (shard->alone_entry == entry)
		shd_unreserve(shard);
	entry->state = SHD_DONE;
	entry->hedge_at = GB_NEVER;
}

/* Frees an entry that is done and has no call, else sets its timer. */
void shd_release(struct shd_shard *shard, struct shd_entry *entry)
{
	if (entry->hold)
		return;
	if (entry->state != SHD_DONE || entry->calls_len) {
		shd_arm(shard, entry);
		return;
	}
	shd_disarm(shard, entry);
	g_free(entry);
}
