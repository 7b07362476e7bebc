#include "shard/shd-internal.h"

static bool passed_canary(const struct shd_shard *shard,
			  const struct shd_entry *entry);
static bool add_crash_record(struct shd_shard *shard,
			     const struct shd_call *call);
static bool is_crash_unrelated(const struct shd_shard *shard,
			       const struct shd_call *call);
static void record_crash(struct shd_shard *shard, const struct shd_call *call);
static void record_success(struct shd_shard *shard,
			   const struct shd_call *call);
static void requeue_parked(struct shd_shard *shard, uint64_t fingerprint);

/*
 * Tells whether the request is known to have succeeded as a canary: with
 * canaries enabled, an entry VM clears the canary flag only after a success.
 */
static bool passed_canary(const struct shd_shard *shard,
			  const struct shd_entry *entry)
{
	return shard->canary_enabled && !entry->request.canary;
}

/*
 * Records that a request ran on an upstream when it crashed. Returns false if
 * that is recorded already: several runs of a request that end with one crash
 * count once.
 */
static bool add_crash_record(struct shd_shard *shard,
			     const struct shd_call *call)
{
	const struct shd_crash_record record = {
		.fingerprint = call->entry->request.fingerprint,
		.replica = call->replica,
		.generation = call->generation,
	};

	for (int i = 0; i < SHD_CRASH_RECORDS_MAX; i++) {
		const struct shd_crash_record *known = &shard->crash_records[i];

		if (known->replica == record.replica &&
		    known->generation == record.generation &&
		    known->fingerprint == record.fingerprint)
			return false;
	}
	shard->crash_records[shard->crash_records_next++ %
			     SHD_CRASH_RECORDS_MAX] = record;
	return true;
}

/* Tells whether a crash during the call is unrelated to its request. */
static bool is_crash_unrelated(const struct shd_shard *shard,
			       const struct shd_call *call)
{
	enum sus_state state;

	if (call->trial != SHD_TRIAL_NONE)
		return false;
	state = sus_state(shard->suspects, shard->now,
			  call->entry->request.fingerprint);
	if (state == SUS_UNKNOWN || state == SUS_CANARY)
		return passed_canary(shard, call->entry);
	return state == SUS_GOOD || state == SUS_QUARANTINED;
}

static void record_crash(struct shd_shard *shard, const struct shd_call *call)
{
	uint64_t fingerprint = call->entry->request.fingerprint;
	enum sus_state state;
	uint32_t crashes;

	if (call->generation == call->replica->generation)
		call->replica->generation++;
	if (is_crash_unrelated(shard, call))
		return;
	if (!add_crash_record(shard, call)) {
		if (call->trial != SHD_TRIAL_NONE)
			sus_run_abandoned(shard->suspects, fingerprint);
		requeue_parked(shard, fingerprint);
		return;
	}
	state = sus_run_crashed(shard->suspects, shard->now, fingerprint);
	crashes = sus_crashes(shard->suspects, fingerprint);
	requeue_parked(shard, fingerprint);
	shd_emit_event(shard,
		       state == SUS_QUARANTINED ? EV_SUSPECT_QUARANTINED
						: EV_SUSPECT_CRASH,
		       call->entry->query, call->replica, (int64_t)fingerprint,
		       crashes);
	shard->ops->report_crash(shard->ctx, shard, fingerprint, crashes);
}

static void record_success(struct shd_shard *shard, const struct shd_call *call)
{
	uint64_t fingerprint = call->entry->request.fingerprint;
	enum sus_state before =
		sus_state(shard->suspects, shard->now, fingerprint);

	/* A success next to other requests does not clear a suspect. */
	if (call->trial == SHD_TRIAL_NONE && before != SUS_UNKNOWN)
		return;
	sus_run_succeeded(shard->suspects, shard->now, fingerprint);
	if (call->trial == SHD_TRIAL_NONE)
		return;
	if (before == SUS_ISOLATED)
		shd_emit_event(shard, EV_SUSPECT_CLEARED, call->entry->query,
			       call->replica, (int64_t)fingerprint, 0);
	requeue_parked(shard, fingerprint);
}

/* Updates the suspect state of a call's request when the call ends. */
void shd_update_suspect(struct shd_shard *shard, const struct shd_call *call,
			enum shd_call_status status)
{
	if (status == SHD_OK) {
		record_success(shard, call);
		return;
	}
	/* The cancellation itself may reset the connection of a call. */
	if (status == SHD_RESET && !call->cancelled_at) {
		record_crash(shard, call);
		return;
	}
	if (call->trial == SHD_TRIAL_NONE)
		return;
	sus_run_abandoned(shard->suspects, call->entry->request.fingerprint);
	requeue_parked(shard, call->entry->request.fingerprint);
}

/* Moves parked entries of the request back to their queues, in order. */
static void requeue_parked(struct shd_shard *shard, uint64_t fingerprint)
{
	GList *link = shard->parked.tail;

	while (link) {
		struct shd_entry *entry = link->data;

		link = link->prev;
		if (entry->request.fingerprint != fingerprint)
			continue;
		shd_remove_from_queue(shard, entry);
		shd_enqueue(entry, shard, entry->class, true);
		shd_arm_timer(shard, entry);
	}
}

/* Reserves the least busy replica; the suspect runs there once it is idle. */
void shd_reserve_replica(struct shd_shard *shard, struct shd_entry *entry)
{
	struct shd_replica *found = NULL;

	/* One replica at a time, so that the others keep serving requests. */
	if (shard->isolation_replica)
		return;
	for (guint i = 0; i < shard->replicas->len; i++) {
		struct shd_replica *replica = shard->replicas->pdata[i];

		if (!up_limit(&replica->up, shard->now) ||
		    replica->bit & (entry->failed_replicas |
				    entry->no_snapshot_replicas))
			continue;
		if (!found || replica->up.in_flight < found->up.in_flight)
			found = replica;
	}
	if (!found)
		return;
	found->up.isolated = true;
	shard->isolation_replica = found;
	shard->isolation_entry = entry;
}
