#include "shard/shd-internal.h"

static double expected_wait(const struct shd_shard *shard);
static enum msg_status admit(const struct shd_shard *shard,
			     const struct shd_request *req);
static void refuse(struct shd_shard *shard, const struct shd_request *req,
		   enum msg_status status);
static struct shd_entry *next_lookup(struct shd_shard *shard, uint32_t vm,
				     uint64_t query);

/* Expected wait of a new entry at the end of the queue. */
static double expected_wait(const struct shd_shard *shard)
{
	double waiting = (double)shd_waiting(shard);
	gb_time opens = GB_NEVER;
	uint64_t limit = 0;

	for (guint i = 0; i < shard->replicas->len; i++) {
		const struct shd_replica *replica = shard->replicas->pdata[i];

		limit += up_limit(&replica->up, shard->now);
		if (!replica->up.closed)
			opens = MIN(opens, replica->up.open_until);
	}
	if (limit)
		return waiting * shard->time_mean / (double)limit;
	return waiting * shard->time_mean + (double)(opens - shard->now);
}

/* Decides on a new request; MSG_STATUS_OK admits it. */
static enum msg_status admit(const struct shd_shard *shard,
			     const struct shd_request *req)
{
	if (!shd_lease_held(shard))
		return MSG_STATUS_NOT_OWNER;
	if (shard->now >= req->deadline)
		return req->order ? MSG_STATUS_NOT_RUN : MSG_STATUS_DEADLINE;
	if (sus_state(shard->suspects, shard->now, req->fingerprint) ==
	    SUS_QUARANTINED)
		return MSG_STATUS_QUARANTINED;
	if (!shd_any_open(shard))
		return MSG_STATUS_NOT_RUN;
	if (shd_queued(shard) >= SHD_QUEUE_MAX)
		return MSG_STATUS_OVERLOAD;
	/* As in shd_meets_deadline(): an idle shard takes a sample. */
	if ((shard->running || !shd_usable(shard)) &&
	    (double)shard->now + expected_wait(shard) + shard->time_mean >
		    (double)req->deadline)
		return shd_late_status(shard);
	return MSG_STATUS_OK;
}

static void refuse(struct shd_shard *shard, const struct shd_request *req,
		   enum msg_status status)
{
	const struct msg_sub_result result = {
		.attempt = req->attempt,
		.shard = shard->index,
		.status = status,
		.snapshot = req->snapshot,
	};

	met_add(shard->metrics, MET_SUB_REFUSED, 1);
	shd_emit(shard, EV_SUB_REFUSED, req->query, NULL, shard->index, status);
	shard->ops->done(shard->ctx, shard, req->vm, req->query, &result);
}

void shd_submit(struct shd_shard *shard, gb_time now,
		const struct shd_request *req)
{
	struct shd_entry *entry;
	enum msg_status status;

	shd_set_now(shard, now);
	status = admit(shard, req);
	if (status != MSG_STATUS_OK) {
		refuse(shard, req, status);
		return;
	}
	entry = shd_entry_new(req);
	entry->submitted = shard->now;
	shd_add_query(shard, entry);
	shd_enqueue(entry, shard, SHD_CLASS_FIRST, false);
	shd_arm(shard, entry);
	shd_place(shard);
}

/* Finds a lookup of the query; orders run to their end. */
static struct shd_entry *next_lookup(struct shd_shard *shard, uint32_t vm,
				     uint64_t query)
{
	const struct shd_entry key = { .vm = vm, .query = query };
	struct shd_entry *entry = g_hash_table_lookup(shard->queries, &key);

	while (entry && entry->req.order)
		entry = entry->next;
	return entry;
}

void shd_cancel(struct shd_shard *shard, gb_time now, uint32_t vm,
		uint64_t query)
{
	struct shd_entry *entry;

	shd_set_now(shard, now);
	while ((entry = next_lookup(shard, vm, query)))
		shd_drop(shard, entry);
	shd_place(shard);
}
