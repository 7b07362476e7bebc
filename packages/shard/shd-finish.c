#include "shard/shd-internal.h"

static enum msg_status status_if_may_have_run(const struct shd_entry *entry,
					      enum msg_status status);

/* Finishes all queued and parked entries with the status. */
void shd_finish_waiting(struct shd_shard *shard, enum msg_status status)
{
	GQueue *queues[] = { &shard->queues[SHD_CLASS_RETRY],
			     &shard->queues[SHD_CLASS_FIRST], &shard->parked };

	for (size_t i = 0; i < G_N_ELEMENTS(queues); i++) {
		while (queues[i]->head)
			shd_finish_entry(shard, queues[i]->head->data, status,
					 NULL);
	}
}

/*
 * Turns a status that says "not run" into UNKNOWN if any attempt of the entry
 * may have run.
 */
static enum msg_status status_if_may_have_run(const struct shd_entry *entry,
					      enum msg_status status)
{
	if (!entry->may_have_run && !entry->calls_active)
		return status;
	if (status == MSG_STATUS_NOT_RUN || status == MSG_STATUS_NOT_OWNER ||
	    status == MSG_STATUS_OVERLOAD || status == MSG_STATUS_UNAVAILABLE)
		return MSG_STATUS_UNKNOWN;
	return status;
}

/* Finishes an entry and delivers its result; answer may be NULL. */
void shd_finish_entry(struct shd_shard *shard, struct shd_entry *entry,
		      enum msg_status status, const struct shd_answer *answer)
{
	struct msg_sub_result result = {
		.attempt = entry->request.attempt,
		.shard = shard->index,
		.status = status_if_may_have_run(entry, status),
		.snapshot = entry->request.snapshot,
		.queue_wait = entry->queue_wait,
	};

	if (!entry->attempts)
		result.queue_wait = shard->now - entry->submitted_at;
	if (answer) {
		result.snapshot = answer->snapshot;
		result.docs_searched = answer->docs;
		result.body = answer->body;
	}
	shd_detach_entry(shard, entry);
	entry->ref_count++;
	if (status == MSG_STATUS_OK) {
		shd_cancel_calls(shard, entry);
		met_hist_add(&shard->metrics->histogram[MET_SUB_TIME],
			     shard->now - entry->submitted_at);
	} else if (!entry->attempts) {
		met_add(shard->metrics, MET_SUB_REFUSED, 1);
	}
	shd_emit_event(shard, EV_SUB_DONE, entry->query, NULL, shard->index,
		       result.status);
	shard->ops->deliver_result(shard->ctx, shard, entry->vm, entry->query,
				   &result);
	entry->ref_count--;
	shd_free_or_arm_entry(shard, entry);
}

/* Finishes an entry whose deadline has passed. */
void shd_expire_entry(struct shd_shard *shard, struct shd_entry *entry)
{
	/* shd_finish_entry() turns NOT_RUN into UNKNOWN if it may have run. */
	shd_finish_entry(shard, entry,
			 entry->request.order ? MSG_STATUS_NOT_RUN
					      : MSG_STATUS_DEADLINE,
			 NULL);
}

/* Ends an entry whose caller is gone, without a result. */
void shd_drop_entry(struct shd_shard *shard, struct shd_entry *entry)
{
	shd_detach_entry(shard, entry);
	entry->ref_count++;
	shd_cancel_calls(shard, entry);
	entry->ref_count--;
	shd_free_or_arm_entry(shard, entry);
}
