#include "shard/shd-internal.h"

static double expected_wait(const struct shd_shard *shard);
static enum msg_status admit(const struct shd_shard *shard,
			     const struct shd_request *req);
static void refuse_request(struct shd_shard *shard,
			   const struct shd_request *req,
			   enum msg_status status);
static struct shd_entry *find_lookup(struct shd_shard *shard, uint32_t vm,
				     uint64_t query);

/* Estimates the wait of a new entry at the end of the queue. */
static double expected_wait(const struct shd_shard *shard)
{
	double waiting = (double)shd_waiting_entries(shard);
	gb_time reopens = GB_NEVER;
	uint64_t limit = 0;

	for (guint i = 0; i < shard->replicas->len; i++) {
		const struct shd_replica *replica = shard->replicas->pdata[i];

		limit += up_limit(&replica->up, shard->now);
		if (!replica->up.disabled)
			reopens = MIN(reopens, replica->up.breaker_open_until);
	}
	if (limit)
		return waiting * shard->mean_time / (double)limit;
	return waiting * shard->mean_time + (double)(reopens - shard->now);
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
	if (!shd_has_open_replica(shard))
		return MSG_STATUS_NOT_RUN;
	if (shd_queue_length(shard) >= SHD_QUEUE_MAX)
		return MSG_STATUS_OVERLOAD;
	/*
	 * As in shd_meets_deadline(), an idle shard admits the request, so
	 * that a new sample can correct the mean time.
	 */
	if ((shard->calls_in_flight || !shd_usable_replicas(shard)) &&
	    (double)shard->now + expected_wait(shard) + shard->mean_time >
		    (double)req->deadline)
		return shd_late_status(shard);
	return MSG_STATUS_OK;
}

static void refuse_request(struct shd_shard *shard,
			   const struct shd_request *req,
			   enum msg_status status)
{
	const struct msg_sub_result result = {
		.attempt = req->attempt,
		.shard = shard->index,
		.status = status,
		.snapshot = req->snapshot,
	};

	met_add(shard->metrics, MET_SUB_REFUSED, 1);
	shd_emit_event(shard, EV_SUB_REFUSED, req->query, NULL, shard->index,
		       status);
	shard->ops->deliver_result(shard->ctx, shard, req->vm, req->query,
				   &result);
}

void shd_submit(struct shd_shard *shard, gb_time now,
		const struct shd_request *req)
{
	struct shd_entry *entry;
	enum msg_status status;

	shd_set_now(shard, now);
	status = admit(shard, req);
	if (status != MSG_STATUS_OK) {
		refuse_request(shard, req, status);
		return;
	}
	entry = shd_entry_new(req);
	entry->submitted_at = shard->now;
	shd_add_to_query(shard, entry);
	shd_enqueue(entry, shard, SHD_CLASS_FIRST, false);
	shd_arm_timer(shard, entry);
	shd_place_entries(shard);
}

/* Finds a lookup of the query. Orders are skipped: they are not cancelled. */
static struct shd_entry *find_lookup(struct shd_shard *shard, uint32_t vm,
				     uint64_t query)
{
	const struct shd_entry key = { .vm = vm, .query = query };
	struct shd_entry *entry = g_hash_table_lookup(shard->queries, &key);

	while (entry && entry->request.order)
		entry = entry->next;
	return entry;
}

void shd_cancel_query(struct shd_shard *shard, gb_time now, uint32_t vm,
		      uint64_t query)
{
	struct shd_entry *entry;

	shd_set_now(shard, now);
	while ((entry = find_lookup(shard, vm, query)))
		shd_drop_entry(shard, entry);
	shd_place_entries(shard);
}
