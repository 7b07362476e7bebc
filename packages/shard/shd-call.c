#include "shard/shd-internal.h"

static struct shd_call *find_idle_call(struct shd_entry *entry);
static void record_first_attempt(struct shd_shard *shard,
				 struct shd_entry *entry);
static enum up_outcome upstream_outcome(const struct shd_call *call,
					enum shd_call_status status);
static void record_time(struct shd_shard *shard, enum up_outcome outcome,
			gb_time elapsed);
static void emit_upstream_events(struct shd_shard *shard,
				 const struct shd_replica *replica,
				 const struct up_upstream *before, bool cold);

static const enum up_outcome outcomes[] = {
	[SHD_OK] = UP_OK,
	[SHD_REFUSED] = UP_REFUSED,
	[SHD_NOT_SENT] = UP_NOT_SENT,
	[SHD_RESET] = UP_RESET,
	[SHD_TIMEOUT] = UP_TIMEOUT,
	[SHD_SNAPSHOT_GONE] = UP_CANCELLED, /* no sample of load or time */
	[SHD_MISMATCH] = UP_ERROR,
	[SHD_ERROR] = UP_ERROR,
};

static struct shd_call *find_idle_call(struct shd_entry *entry)
{
	for (int i = 0; i < SHD_CALLS_MAX; i++) {
		if (!entry->calls[i].active)
			return &entry->calls[i];
	}
	return NULL;
}

static void record_first_attempt(struct shd_shard *shard,
				 struct shd_entry *entry)
{
	entry->queue_wait = shard->now - entry->submitted_at;
	met_hist_add(&shard->metrics->histogram[MET_QUEUE_WAIT],
		     entry->queue_wait);
	met_add(shard->metrics, MET_SUB_REQUESTS, 1);
	pol_budget_refill(&shard->shared->budget);
}

/* Sends an entry to a replica; lease and deadline must not have passed. */
void shd_send_call(struct shd_shard *shard, struct shd_entry *entry,
		   struct shd_replica *replica, enum shd_trial_kind trial,
		   bool hedge)
{
	struct shd_call *call = find_idle_call(entry);
	gb_time end = MIN(entry->request.deadline, shard->lease_expires);
	const struct shd_call_request request = {
		.call_id = shard->ops->new_call_id(shard->ctx),
		.shard = shard->index,
		.replica = replica->index,
		.snapshot = entry->request.snapshot,
		.timeout = end - shard->now,
		.lease_expires = shard->lease_expires,
		.order = entry->request.order,
		.key = entry->request.key,
		.body = entry->request.body,
	};

	*call = (struct shd_call){
		.id = request.call_id,
		.entry = entry,
		.replica = replica,
		.sent_at = shard->now,
		.expires = end + SHD_CALL_GRACE,
		.generation = replica->generation,
		.trial = trial,
		.active = true,
	};
	shd_remove_from_queue(shard, entry);
	entry->state = SHD_RUNNING;
	entry->calls_active++;
	entry->last_refused = false;
	if (!hedge && !entry->attempts++)
		record_first_attempt(shard, entry);
	if (trial != SHD_TRIAL_NONE)
		sus_run_begin(shard->suspects, shard->now,
			      entry->request.fingerprint);
	up_attempt_sent(&replica->up, shard->now);
	g_hash_table_add(shard->calls, &call->id);
	shard->calls_in_flight++;
	shd_schedule_hedge(shard, entry);
	shd_emit_event(shard, hedge ? EV_SUB_HEDGED : EV_SUB_SENT, entry->query,
		       replica, shard->index, (int64_t)request.call_id);
	/* Holds a reference, because the call may end within send_call(). */
	entry->ref_count++;
	shard->ops->send_call(shard->ctx, shard, &request);
	entry->ref_count--;
	shd_free_or_arm_entry(shard, entry);
}

/*
 * Cancels the calls of an entry that is done. They count as in flight until
 * their answer. A trial is not cancelled, so that its result becomes known.
 */
void shd_cancel_calls(struct shd_shard *shard, struct shd_entry *entry)
{
	for (int i = 0; i < SHD_CALLS_MAX; i++) {
		struct shd_call *call = &entry->calls[i];

		if (!call->active || call->cancelled_at ||
		    call->trial != SHD_TRIAL_NONE)
			continue;
		call->cancelled_at = MAX(shard->now, 1);
		met_add(shard->metrics, MET_SUB_CANCELLED, 1);
		shard->ops->cancel_call(shard->ctx, shard, call->id);
	}
}

/* A cancelled call may end with any status; all but success are ignored. */
static enum up_outcome upstream_outcome(const struct shd_call *call,
					enum shd_call_status status)
{
	if (call->cancelled_at && status != SHD_OK)
		return UP_CANCELLED;
	return outcomes[status];
}

/*
 * Adds a sample to the service's attempt times. The time of a cancelled call
 * is a lower bound.
 */
static void record_time(struct shd_shard *shard, enum up_outcome outcome,
			gb_time elapsed)
{
	struct shd_service *service = shard->shared;

	if (outcome != UP_OK && outcome != UP_TIMEOUT &&
	    outcome != UP_CANCELLED)
		return;
	met_hist_add(&service->attempt_times, elapsed);
	if (++service->finished_attempts % SHD_DECAY_ATTEMPTS == 0)
		met_hist_decay(&service->attempt_times);
	if (outcome != UP_OK)
		return;
	if (shard->mean_time <= 0)
		shard->mean_time = (double)elapsed;
	shard->mean_time += ((double)elapsed - shard->mean_time) / 16;
}

static void emit_upstream_events(struct shd_shard *shard,
				 const struct shd_replica *replica,
				 const struct up_upstream *before, bool cold)
{
	const struct up_upstream *up = &replica->up;

	if (cold) {
		met_add(shard->metrics, MET_UPSTREAM_COLD, 1);
		shd_emit_event(shard, EV_UPSTREAM_COLD, 0, replica,
			       shard->index, 0);
	}
	if (up->state == UP_WARM && before->state != UP_WARM) {
		shd_emit_event(shard, EV_UPSTREAM_WARM, 0, replica,
			       shard->index, 0);
		shard->ops->report_warm(shard->ctx, shard, replica->index,
					up->instance);
	}
	if (up->breaker_open_until > before->breaker_open_until)
		shd_emit_event(shard, EV_UPSTREAM_OPENED, 0, replica,
			       shard->index, up->breaker_pause);
	if (!up->breaker_open_until && before->breaker_open_until)
		shd_emit_event(shard, EV_UPSTREAM_CLOSED, 0, replica,
			       shard->index, 0);
}

/* Ends a call: frees its slot, updates statistics, upstream and suspects. */
void shd_end_call(struct shd_shard *shard, struct shd_call *call,
		  enum shd_call_status status, uint64_t instance)
{
	struct shd_entry *entry = call->entry;
	struct shd_replica *replica = call->replica;
	const struct up_upstream before = replica->up;
	enum up_outcome outcome = upstream_outcome(call, status);
	gb_time end = outcome == UP_CANCELLED && call->cancelled_at
			      ? call->cancelled_at
			      : shard->now;
	bool cold;

	g_hash_table_remove(shard->calls, &call->id);
	call->active = false;
	entry->calls_active--;
	shard->calls_in_flight--;
	if (status != SHD_REFUSED && status != SHD_NOT_SENT &&
	    status != SHD_SNAPSHOT_GONE)
		entry->may_have_run = true;
	/* A replica without the snapshot did no work: no time sample. */
	if (status != SHD_SNAPSHOT_GONE)
		record_time(shard, outcome, end - call->sent_at);
	cold = up_attempt_done(
		&replica->up, shard->now, outcome, instance,
		status == SHD_SNAPSHOT_GONE ? 0 : end - call->sent_at);
	emit_upstream_events(shard, replica, &before, cold);
	shd_update_suspect(shard, call, status);
	if (call->trial == SHD_TRIAL_ISOLATED)
		shd_unreserve_replica(shard);
}
