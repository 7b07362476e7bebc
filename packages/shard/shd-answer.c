#include "shard/shd-internal.h"

static bool is_mismatched(const struct shd_shard *shard,
			  const struct shd_call *call,
			  const struct shd_answer *answer);
static enum pol_failure policy_failure(enum shd_call_status status);
static enum msg_status final_status(const struct shd_entry *entry,
				    enum shd_call_status status);
static bool claim_retry(struct shd_shard *shard, struct shd_entry *entry,
			enum pol_failure failure);
static void retry_or_finish(struct shd_shard *shard, struct shd_entry *entry,
			    const struct shd_replica *replica,
			    enum shd_call_status status,
			    const struct shd_answer *answer);
static void complete_call(struct shd_shard *shard, struct shd_call *call,
			  enum shd_call_status status,
			  const struct shd_answer *answer);

/* Tells whether an answer is of another shard or another snapshot. */
static bool is_mismatched(const struct shd_shard *shard,
			  const struct shd_call *call,
			  const struct shd_answer *answer)
{
	uint64_t requested = call->entry->request.snapshot;

	if (answer->status != SHD_OK)
		return false;
	/* An order may run without a snapshot. */
	return answer->shard != shard->index ||
	       (requested && answer->snapshot != requested);
}

static enum pol_failure policy_failure(enum shd_call_status status)
{
	switch (status) {
	case SHD_REFUSED:
	case SHD_NOT_SENT:
		return POL_REFUSED;
	case SHD_RESET:
		return POL_RESET;
	case SHD_TIMEOUT:
		return POL_TIMEOUT;
	case SHD_SNAPSHOT_GONE:
		return POL_SNAPSHOT_GONE;
	default:
		return POL_ERROR;
	}
}

/* The result of an entry whose last attempt ended with the status. */
static enum msg_status final_status(const struct shd_entry *entry,
				    enum shd_call_status status)
{
	switch (status) {
	case SHD_REFUSED:
		return MSG_STATUS_OVERLOAD;
	case SHD_NOT_SENT:
		return MSG_STATUS_NOT_RUN;
	case SHD_RESET:
		return MSG_STATUS_UNKNOWN;
	case SHD_TIMEOUT:
		return entry->request.order ? MSG_STATUS_UNKNOWN
					    : MSG_STATUS_DEADLINE;
	case SHD_SNAPSHOT_GONE:
		return MSG_STATUS_SNAPSHOT_GONE;
	case SHD_MISMATCH:
		return entry->request.order ? MSG_STATUS_UNKNOWN
					    : MSG_STATUS_FAILED;
	default:
		return MSG_STATUS_FAILED;
	}
}

/* Asks the policy for a retry and takes its token from the budget. */
static bool claim_retry(struct shd_shard *shard, struct shd_entry *entry,
			enum pol_failure failure)
{
	struct shd_service *service = shard->shared;
	const struct pol_view view = {
		.latencies = &service->attempt_times,
		.budget_level = pol_budget_level(&service->budget),
		.time_left = entry->request.deadline - shard->now,
		.attempts = entry->attempts,
		.is_order = entry->request.order,
	};

	if (!service->policy->may_retry(&view, failure))
		return false;
	/*
	 * The first attempt that certainly did not run cost its upstream no
	 * work, so its replacement is no extra load and needs no token.
	 */
	if ((failure == POL_REFUSED || failure == POL_SNAPSHOT_GONE) &&
	    !entry->free_retry_used) {
		entry->free_retry_used = true;
		return true;
	}
	return pol_budget_take(&service->budget);
}

/* Retries or finishes an entry whose last active call failed. */
static void retry_or_finish(struct shd_shard *shard, struct shd_entry *entry,
			    const struct shd_replica *replica,
			    enum shd_call_status status,
			    const struct shd_answer *answer)
{
	enum pol_failure failure = policy_failure(status);

	entry->hedge_at = GB_NEVER;
	if (sus_state(shard->suspects, shard->now,
		      entry->request.fingerprint) == SUS_QUARANTINED &&
	    !entry->request.order) {
		shd_finish_entry(shard, entry, MSG_STATUS_QUARANTINED, NULL);
		return;
	}
	if (!claim_retry(shard, entry, failure)) {
		shd_finish_entry(shard, entry, final_status(entry, status),
				 answer);
		return;
	}
	if (!shd_lease_held(shard)) {
		shd_finish_entry(shard, entry, MSG_STATUS_NOT_OWNER, NULL);
		return;
	}
	entry->last_refused = failure == POL_REFUSED;
	met_add(shard->metrics, MET_SUB_RETRIES, 1);
	shd_emit_event(shard, EV_SUB_RETRIED, entry->query, replica,
		       shard->index, status);
	shd_enqueue(entry, shard, SHD_CLASS_RETRY, false);
	shd_arm_timer(shard, entry);
}

/* Ends a call and finishes or retries its entry. */
static void complete_call(struct shd_shard *shard, struct shd_call *call,
			  enum shd_call_status status,
			  const struct shd_answer *answer)
{
	struct shd_entry *entry = call->entry;
	struct shd_replica *replica = call->replica;
	uint64_t bit = replica->bit;
	uint64_t instance = 0;

	/* Holds a reference, because shd_ops functions are called below. */
	entry->ref_count++;
	if (status == SHD_OK)
		replica->up.reported_load = answer->reported_load;
	else if (status == SHD_SNAPSHOT_GONE)
		entry->no_snapshot_replicas |= bit;
	else
		entry->failed_replicas |= bit;
	/* A mismatched answer may name the instance of another upstream. */
	if (answer && status != SHD_MISMATCH)
		instance = answer->instance;
	shd_end_call(shard, call, status, instance);
	if (entry->state == SHD_RUNNING) {
		if (status == SHD_OK)
			shd_finish_entry(shard, entry, MSG_STATUS_OK, answer);
		else if (!entry->calls_active)
			retry_or_finish(shard, entry, replica, status, answer);
	}
	entry->ref_count--;
	shd_free_or_arm_entry(shard, entry);
	if (shard->removed_replicas->len)
		shd_free_removed_replicas(shard);
	shd_place_entries(shard);
}

bool shd_handle_answer(struct shd_shard *shard, gb_time now,
		       const struct shd_answer *answer)
{
	uint64_t *id = g_hash_table_lookup(shard->calls, &answer->call_id);
	enum shd_call_status status = answer->status;
	struct shd_call *call;

	if (!id)
		return false;
	call = (struct shd_call *)((char *)id - offsetof(struct shd_call, id));
	shd_set_now(shard, now);
	if (is_mismatched(shard, call, answer))
		status = SHD_MISMATCH;
	if (status == SHD_MISMATCH) {
		met_add(shard->metrics, MET_ANSWERS_DROPPED, 1);
		shd_emit_event(shard, EV_UPSTREAM_MISMATCH, call->entry->query,
			       call->replica, shard->index, (int64_t)call->id);
	}
	complete_call(shard, call, status, answer);
	return true;
}

/* Ends a call that got no answer. */
void shd_time_out_call(struct shd_shard *shard, struct shd_call *call)
{
	complete_call(shard, call, SHD_TIMEOUT, NULL);
}
