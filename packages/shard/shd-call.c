#include "shard/shd-internal.h"

static struct shd_call *free_call(struct shd_entry *entry);
static void note_first(struct shd_shard *shard, struct shd_entry *entry);
static enum up_outcome outcome_of(const struct shd_call *call,
				  enum shd_status status);
static void note_time(struct shd_shard *shard, enum up_outcome outcome,
		      gb_time taken);
static void emit_change(struct shd_shard *shard,
			const struct shd_replica *replica,
			const struct up_upstream *before, bool cold);

static const enum up_outcome outcomes[] = {
	[SHD_OK] = UP_OK,
	[SHD_REFUSED] = UP_REFUSED,
	[SHD_NOT_SENT] = UP_NOT_SENT,
	[SHD_RESET] = UP_RESET,
	[SHD_TIMEOUT] = UP_TIMEOUT,
	[SHD_GONE] = UP_CANCELLED, /* says nothing about load or time */
	[SHD_MISMATCH] = UP_ERROR,
	[SHD_ERROR] = UP_ERROR,
};

static struct shd_call *free_call(struct shd_entry *entry)
{
	for (int i = 0; i < SHD_CALLS; i++) {
		if (!entry->calls[i].active)
			return &entry->calls[i];
	}
	return NULL;
}

static void note_first(struct shd_shard *shard, struct shd_entry *entry)
{
	entry->wait = shard->now - entry->submitted;
	met_hist_add(&shard->metrics->histogram[MET_QUEUE_WAIT], entry->wait);
	met_add(shard->metrics, MET_SUB_REQUESTS, 1);
	pol_budget_request(&shard->shared->budget);
}

/* Sends one attempt; the lease and the deadline must lie ahead. */
void shd_send_call(struct shd_shard *shard, struct shd_entry *entry,
		   struct shd_replica *replica, enum shd_trial trial,
		   bool hedge)
{
	struct shd_call *call = free_call(entry);
	gb_time end = MIN(entry->req.deadline, shard->lease);
	const struct shd_send send = {
		.call = shard->ops->next_call(shard->ctx),
		.shard = shard->index,
		.replica = replica->index,
		.snapshot = entry->req.snapshot,
		.timeout = end - shard->now,
		.expires = shard->lease,
		.order = entry->req.order,
		.key = entry->req.key,
		.body = entry->req.body,
	};

	*call = (struct shd_call){
		.id = send.call,
		.entry = entry,
		.replica = replica,
		.sent = shard->now,
		.expires = end + SHD_GRACE,
		.life = replica->crashes,
		.trial = trial,
		.active = true,
	};
	shd_unlink(shard, entry);
	entry->state = SHD_RUNNING;
	entry->calls_len++;
	entry->refused = false;
	if (!hedge && !entry->attempts++)
		note_first(shard, entry);
	if (trial != SHD_TRIAL_NONE)
		sus_begin(shard->suspects, shard->now, entry->req.fingerprint);
	up_sent(&replica->up, shard->now);
	g_hash_table_add(shard->calls, &call->id);
	shard->running++;
	shd_set_hedge(shard, entry);
	shd_emit(shard, hedge ? EV_SUB_HEDGED : EV_SUB_SENT, entry->query,
		 replica, shard->index, (int64_t)send.call);
	/* The entry is held since an answer may arrive within send(). */
	entry->hold++;
	shard->ops->send(shard->ctx, shard, &send);
	entry->hold--;
	shd_release(shard, entry);
}

/*
 * Cancels the calls of an entry that is done. They count in flight until the
 * answer. A trial runs on, so that its verdict becomes known.
 */
void shd_cancel_calls(struct shd_shard *shard, struct shd_entry *entry)
{
	for (int i = 0; i < SHD_CALLS; i++) {
		struct shd_call *call = &entry->calls[i];

		if (!call->active || call->cancelled ||
		    call->trial != SHD_TRIAL_NONE)
			continue;
		call->cancelled = MAX(shard->now, 1);
		met_add(shard->metrics, MET_SUB_CANCELLED, 1);
		shard->ops->cancel(shard->ctx, shard, call->id);
	}
}

/* A cancelled call may be ended by any status; only success counts. */
static enum up_outcome outcome_of(const struct shd_call *call,
				  enum shd_status status)
{
	if (call->cancelled && status != SHD_OK)
		return UP_CANCELLED;
	return outcomes[status];
}

/* Adds to the service's times. A cancelled call's is a lower bound. */
static void note_time(struct shd_shard *shard, enum up_outcome outcome,
		      gb_time taken)
{
	struct shd_service *service = shard->shared;

	if (outcome != UP_OK && outcome != UP_TIMEOUT &&
	    outcome != UP_CANCELLED)
		return;
	met_hist_add(&service->times, taken);
	if (++service->finished % SHD_DECAY == 0)
		met_hist_decay(&service->times);
	if (outcome != UP_OK)
		return;
	if (shard->time_mean <= 0)
		shard->time_mean = (double)taken;
	shard->time_mean += ((double)taken - shard->time_mean) / 16;
}

static void emit_change(struct shd_shard *shard,
			const struct shd_replica *replica,
			const struct up_upstream *before, bool cold)
{
	const struct up_upstream *up = &replica->up;

	if (cold) {
		met_add(shard->metrics, MET_UPSTREAM_COLD, 1);
		shd_emit(shard, EV_UPSTREAM_COLD, 0, replica, shard->index, 0);
	}
	if (up->state == UP_WARM && before->state != UP_WARM) {
		shd_emit(shard, EV_UPSTREAM_WARM, 0, replica, shard->index, 0);
		shard->ops->warm(shard->ctx, shard, replica->index,
				 up->instance);
	}
	if (up->open_until > before->open_until)
		shd_emit(shard, EV_UPSTREAM_OPENED, 0, replica, shard->index,
			 up->pause);
	if (!up->open_until && before->open_until)
		shd_emit(shard, EV_UPSTREAM_CLOSED, 0, replica, shard->index,
			 0);
}

/* Ends a call: frees its slot and notes what it tells. */
void shd_end_call(struct shd_shard *shard, struct shd_call *call,
		  enum shd_status status, uint64_t instance)
{
	struct shd_entry *entry = call->entry;
	struct shd_replica *replica = call->replica;
	const struct up_upstream before = replica->up;
	enum up_outcome outcome = outcome_of(call, status);
	gb_time end = outcome == UP_CANCELLED && call->cancelled
			      ? call->cancelled
			      : shard->now;
	bool cold;

	g_hash_table_remove(shard->calls, &call->id);
	call->active = false;
	entry->calls_len--;
	shard->running--;
	if (status != SHD_REFUSED && status != SHD_NOT_SENT &&
	    status != SHD_GONE)
		entry->may_have_run = true;
	/* A replica without the snapshot gives no sample of its times. */
	if (status != SHD_GONE)
		note_time(shard, outcome, end - call->sent);
	cold = up_done(&replica->up, shard->now, outcome, instance,
		       status == SHD_GONE ? 0 : end - call->sent);
	emit_change(shard, replica, &before, cold);
	shd_judge(shard, call, status);
	if (call->trial == SHD_TRIAL_ALONE)
		shd_unreserve(shard);
}
