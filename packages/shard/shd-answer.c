#include "shard/shd-internal.h"

static bool is_crossed(const struct shd_shard *shard,
		       const struct shd_call *call,
		       const struct shd_answer *answer);
static enum pol_failure failure_of(enum shd_status status);
static enum msg_status final_status(const struct shd_entry *entry,
				    enum shd_status status);
static bool take_retry(struct shd_shard *shard, struct shd_entry *entry,
		       enum pol_failure failure);
static void fail(struct shd_shard *shard, struct shd_entry *entry,
		 const struct shd_replica *replica, enum shd_status status,
		 const struct shd_answer *answer);
static void settle(struct shd_shard *shard, struct shd_call *call,
		   enum shd_status status, const struct shd_answer *answer);

/* Tells whether an answer is for another shard or from another snapshot. */
static bool is_crossed(const struct shd_shard *shard,
		       const struct shd_call *call,
		       const struct shd_answer *answer)
{
	uint64_t asked = call->entry->req.snapshot;

	if (answer->status != SHD_OK)
		return false;
	/* An order may run without a snapshot. */
	return answer->shard != shard->index ||
	       (asked && answer->snapshot != asked);
}

static enum pol_failure failure_of(enum shd_status status)
{
	switch (status) {
	case SHD_REFUSED:
	case SHD_NOT_SENT:
		return POL_REFUSED;
	case SHD_RESET:
		return POL_RESET;
	case SHD_TIMEOUT:
		return POL_TIMEOUT;
	case SHD_GONE:
		return POL_SNAPSHOT_GONE;
	default:
		return POL_ERROR;
	}
}

/* The result of an entry whose last attempt ended this way. */
static enum msg_status final_status(const struct shd_entry *entry,
				    enum shd_status status)
{
	switch (status) {
	case SHD_REFUSED:
		return MSG_STATUS_OVERLOAD;
	case SHD_NOT_SENT:
		return MSG_STATUS_NOT_RUN;
	case SHD_RESET:
		return MSG_STATUS_UNKNOWN;
	case SHD_TIMEOUT:
		return entry->req.order ? MSG_STATUS_UNKNOWN
					: MSG_STATUS_DEADLINE;
	case SHD_GONE:
		return MSG_STATUS_SNAPSHOT_GONE;
	case SHD_MISMATCH:
		return entry->req.order ? MSG_STATUS_UNKNOWN
					: MSG_STATUS_FAILED;
	default:
		return MSG_STATUS_FAILED;
	}
}

/* Asks the policy and the budget for another attempt. */
static bool take_retry(struct shd_shard *shard, struct shd_entry *entry,
		       enum pol_failure failure)
{
	struct shd_service *service = shard->shared;
	const struct pol_view view = {
		.times = &service->times,
		.budget_level = pol_budget_level(&service->budget),
		.time_left = entry->req.deadline - shard->now,
		.attempts = entry->attempts,
		.order = entry->req.order,
	};

	if (!service->policy->retry(&view, failure))
		return false;
	/* The first attempt that certainly did not run cost its upstream no
	 * work, so the one in its place is not extra load. */
	if ((failure == POL_REFUSED || failure == POL_SNAPSHOT_GONE) &&
	    !entry->free_retry) {
		entry->free_retry = true;
		return true;
	}
	return pol_budget_take(&service->budget);
}

/* Retries an entry after its last running attempt failed, or ends it. */
static void fail(struct shd_shard *shard, struct shd_entry *entry,
		 const struct shd_replica *replica, enum shd_status status,
		 const struct shd_answer *answer)
{
	enum pol_failure failure = failure_of(status);

	entry->hedge_at = GB_NEVER;
	if (sus_state(shard->suspects, shard->now, entry->req.fingerprint) ==
		    SUS_QUARANTINED &&
	    !entry->req.order) {
		shd_finish(shard, entry, MSG_STATUS_QUARANTINED, NULL);
		return;
	}
	if (!take_retry(shard, entry, failure)) {
		shd_finish(shard, entry, final_status(entry, status), answer);
		return;
	}
	if (!shd_lease_held(shard)) {
		shd_finish(shard, entry, MSG_STATUS_NOT_OWNER, NULL);
		return;
	}
	entry->refused = failure == POL_REFUSED;
	met_add(shard->metrics, MET_SUB_RETRIES, 1);
	shd_emit(shard, EV_SUB_RETRIED, entry->query, replica, shard->index,
		 status);
	shd_enqueue(entry, shard, SHD_CLASS_RETRY, false);
	shd_arm(shard, entry);
}

/* Ends a call and decides what becomes of its entry. */
static void settle(struct shd_shard *shard, struct shd_call *call,
		   enum shd_status status, const struct shd_answer *answer)
{
	struct shd_entry *entry = call->entry;
	struct shd_replica *replica = call->replica;
	uint64_t bit = replica->bit;
	uint64_t instance = 0;

	/* Held since shd_ops functions are called below. */
	entry->hold++;
	if (status == SHD_OK)
		replica->up.reported_load = answer->load;
	else if (status == SHD_GONE)
		entry->gone |= bit;
	else
		entry->avoid |= bit;
	/* A crossed answer may name the instance of another upstream. */
	if (answer && status != SHD_MISMATCH)
		instance = answer->instance;
	shd_end_call(shard, call, status, instance);
	if (entry->state == SHD_RUNNING) {
		if (status == SHD_OK)
			shd_finish(shard, entry, MSG_STATUS_OK, answer);
		else if (!entry->calls_len)
			fail(shard, entry, replica, status, answer);
	}
	entry->hold--;
	shd_release(shard, entry);
	if (shard->removed->len)
		shd_forget_removed(shard);
	shd_place(shard);
}

bool shd_answer(struct shd_shard *shard, gb_time now,
		const struct shd_answer *answer)
{
	uint64_t *id = g_hash_table_lookup(shard->calls, &answer->call);
	enum shd_status status = answer->status;
	struct shd_call *call;

	if (!id)
		return false;
	call = (struct shd_call *)((char *)id - offsetof(struct shd_call, id));
	shd_set_now(shard, now);
	if (is_crossed(shard, call, answer))
		status = SHD_MISMATCH;
	if (status == SHD_MISMATCH) {
		met_add(shard->metrics, MET_ANSWERS_DROPPED, 1);
		shd_emit(shard, EV_UPSTREAM_MISMATCH, call->entry->query,
			 call->replica, shard->index, (int64_t)call->id);
	}
	settle(shard, call, status, answer);
	return true;
}

/* Ends a call whose answer was lost. */
void shd_lost_call(struct shd_shard *shard, struct shd_call *call)
{
	settle(shard, call, SHD_TIMEOUT, NULL);
}
