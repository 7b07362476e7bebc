#include "shard/shd-internal.h"

#include <string.h>

static struct gb_str copy_bytes(char **to, struct gb_str s);
static enum msg_status true_status(const struct shd_entry *entry,
				   enum msg_status status);
static void remove_query(struct shd_shard *shard, struct shd_entry *entry);
static void end(struct shd_shard *shard, struct shd_entry *entry);

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

/* A status that says "not run" must be true for each attempt. */
static enum msg_status true_status(const struct shd_entry *entry,
				   enum msg_status status)
{
	if (!entry->may_have_run && !entry->calls_len)
		return status;
	if (status == MSG_STATUS_NOT_RUN || status == MSG_STATUS_NOT_OWNER ||
	    status == MSG_STATUS_OVERLOAD || status == MSG_STATUS_UNAVAILABLE)
		return MSG_STATUS_UNKNOWN;
	return status;
}

/* Takes the entry out of everything that decides about it. */
static void end(struct shd_shard *shard, struct shd_entry *entry)
{
	shd_unlink(shard, entry);
	shd_drop_hedge(shard, entry);
	remove_query(shard, entry);
	if (shard->alone_entry == entry)
		shd_unreserve(shard);
	entry->state = SHD_DONE;
	entry->hedge_at = GB_NEVER;
}

/* Ends an entry with its one result; answer is NULL without one. */
void shd_finish(struct shd_shard *shard, struct shd_entry *entry,
		enum msg_status status, const struct shd_answer *answer)
{
	struct msg_sub_result result = {
		.attempt = entry->req.attempt,
		.shard = shard->index,
		.status = true_status(entry, status),
		.snapshot = entry->req.snapshot,
		.wait = entry->wait,
	};

	if (!entry->attempts)
		result.wait = shard->now - entry->submitted;
	if (answer) {
		result.snapshot = answer->snapshot;
		result.docs = answer->docs;
		result.body = answer->body;
	}
	end(shard, entry);
	entry->hold++;
	if (status == MSG_STATUS_OK) {
		shd_cancel_calls(shard, entry);
		met_hist_add(&shard->metrics->histogram[MET_SUB_TIME],
			     shard->now - entry->submitted);
	} else if (!entry->attempts) {
		met_add(shard->metrics, MET_SUB_REFUSED, 1);
	}
	shd_emit(shard, EV_SUB_DONE, entry->query, NULL, shard->index,
		 result.status);
	shard->ops->done(shard->ctx, shard, entry->vm, entry->query, &result);
	entry->hold--;
	shd_release(shard, entry);
}

/* Ends an entry whose deadline has passed. */
void shd_expire(struct shd_shard *shard, struct shd_entry *entry)
{
	/* NOT_RUN becomes UNKNOWN if the order may have run. */
	shd_finish(shard, entry,
		   entry->req.order ? MSG_STATUS_NOT_RUN : MSG_STATUS_DEADLINE,
		   NULL);
}

/* Ends an entry without a result, for a caller that is gone. */
void shd_drop(struct shd_shard *shard, struct shd_entry *entry)
{
	end(shard, entry);
	entry->hold++;
	shd_cancel_calls(shard, entry);
	entry->hold--;
	shd_release(shard, entry);
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
