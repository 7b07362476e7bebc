#include "node/nd-internal.h"

static enum msg_status check_sub_request(struct node *node,
					 const struct msg *msg, int service,
					 const struct msg_sub *sub);
static void submit_sub_request(struct node *node, const struct msg *msg,
			       int service, struct nd_work *work,
			       const struct msg_sub *sub);

/* Returns MSG_STATUS_OK if this VM may run the sub-request, else the reason. */
static enum msg_status check_sub_request(struct node *node,
					 const struct msg *msg, int service,
					 const struct msg_sub *sub)
{
	const struct cfg *cfg = node->store.current;
	const struct cfg_service *service_cfg;
	uint32_t unit;

	if (service < 0)
		return MSG_STATUS_NOT_OWNER;
	service_cfg = cfg_service(cfg, service);
	if (!msg->batch.order &&
	    !cfg_snapshot(service_cfg, msg->batch.snapshot))
		return cfg->version < msg->batch.config_version
			       ? MSG_STATUS_NOT_OWNER
			       : MSG_STATUS_SNAPSHOT_GONE;
	if (sub->shard >= service_cfg->shards->len)
		return MSG_STATUS_NOT_OWNER;
	unit = cfg_shard_unit(service_cfg, sub->shard);
	/* A unit to be released finishes its work and accepts no more. */
	if (node->unit_owner[unit] != node->self_index)
		return MSG_STATUS_NOT_OWNER;
	if (quo_holder_lease_expiry(&node->holder, unit) <= node->clock.now)
		return MSG_STATUS_NOT_OWNER;
	return MSG_STATUS_OK;
}

/* Queues the sub-request at its shard, or answers it with the refusal. */
static void submit_sub_request(struct node *node, const struct msg *msg,
			       int service, struct nd_work *work,
			       const struct msg_sub *sub)
{
	const struct msg_batch *batch = &msg->batch;
	struct msg_sub_result refusal = { .attempt = sub->attempt,
					  .shard = sub->shard };
	struct nd_shard *owned;
	struct shd_request request = {
		.vm = msg->from,
		.query = batch->query,
		.attempt = sub->attempt,
		.snapshot = batch->snapshot,
		.fingerprint = batch->fingerprint,
		.deadline = node->clock.now + batch->time_left,
		.order = batch->order,
		.canary = batch->canary,
		.key = batch->key,
		.body = batch->body,
	};

	work->pending++;
	refusal.status = check_sub_request(node, msg, service, sub);
	if (refusal.status != MSG_STATUS_OK) {
		met_add(node->metrics, MET_SUB_REFUSED, 1);
		nd_work_add_result(node, work, &refusal);
		return;
	}
	owned = nd_shard_find_or_add(node, service, sub->shard);
	shd_set_lease(owned->shard,
		      quo_holder_lease_expiry(&node->holder, owned->unit));
	g_array_append_val(work->shards, owned);
	shd_submit(owned->shard, node->clock.now, &request);
}

void nd_on_batch(struct node *node, const struct msg *msg)
{
	const struct msg_batch *batch = &msg->batch;
	const struct cfg *cfg = node->store.current;
	struct nd_work *work;
	int service = cfg ? cfg_find_service(cfg, batch->service) : -1;

	nd_config_fetch_if_newer(node, msg->from, batch->config_version);
	if (batch->order &&
	    (!batch->subs_len ||
	     !nd_dedup_accept_order(node, msg, batch->subs[0].attempt)))
		return;
	work = nd_work_find_or_add(node, msg);
	for (uint32_t i = 0; i < batch->subs_len; i++)
		submit_sub_request(node, msg, service, work, &batch->subs[i]);
}

void nd_on_cancel(struct node *node, const struct msg *msg)
{
	struct nd_work *work = nd_work_find(node, msg->cancel.query);

	if (!work)
		return;
	for (guint i = 0; i < work->shards->len; i++) {
		struct nd_shard *owned =
			g_array_index(work->shards, struct nd_shard *, i);

		shd_cancel_query(owned->shard, node->clock.now, work->vm,
				 work->query);
	}
	work->pending = 0;
	if (!work->results_queued)
		nd_work_free(node, work);
}
