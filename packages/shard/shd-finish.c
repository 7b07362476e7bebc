#include "shard/shd-internal.h"

static enum msg_status true_status(const struct shd_entry *entry,
				   enum msg_status status);

/* Ends all entries that wait. */
void shd_flush(struct shd_shard *shard, enum msg_status status)
{
	GQueue *queues[] = { &shard->queue[SHD_CLASS_RETRY],
			     &shard->queue[SHD_CLASS_FIRST], &shard->parked };

	for (size_t i = 0; i < G_N_ELEMENTS(queues); i++) {
		while (queues[i]->head)
			shd_finish(shard, queues[i]->head->data, status, NULL);
	}
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
	shd_leave(shard, entry);
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
	shd_leave(shard, entry);
	entry->hold++;
	shd_cancel_calls(shard, entry);
	entry->hold--;
	shd_release(shard, entry);
}
