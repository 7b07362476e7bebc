#include "node/nd-internal.h"

static void on_send(void *ctx, struct shd_shard *shard,
		    const struct shd_call_request *send);
static void on_cancel_call(void *ctx, struct shd_shard *shard, uint64_t call);
static void on_done(void *ctx, struct shd_shard *shard, uint32_t vm,
		    uint64_t query, const struct msg_sub_result *result);
static void on_crashed(void *ctx, struct shd_shard *shard, uint64_t fingerprint,
		       uint32_t crashes);
static void on_event(void *ctx, struct shd_shard *shard, enum ev_code code,
		     uint64_t query, int replica, int64_t a, int64_t b);
static uint64_t on_next_call(void *ctx);
static void on_warm(void *ctx, struct shd_shard *shard, uint32_t replica,
		    uint64_t instance);
static void shard_free(struct nd_shard *owned);
static const struct cfg_replica *find_replica(const struct node *node,
					      const struct nd_shard *owned,
					      uint32_t index);

static const struct shd_ops shard_ops = {
	.send_call = on_send,
	.cancel_call = on_cancel_call,
	.deliver_result = on_done,
	.report_crash = on_crashed,
	.emit_event = on_event,
	.report_warm = on_warm,
	.new_call_id = on_next_call,
};

static const struct cfg_replica *find_replica(const struct node *node,
					      const struct nd_shard *owned,
					      uint32_t index)
{
	const struct cfg *cfg = node->store.current;
	int service = cfg_find_service(cfg, owned->service->name);
	const struct cfg_shard *shard;

	if (service < 0)
		return NULL;
	if (owned->index >= cfg_service(cfg, service)->shards->len)
		return NULL;
	shard = cfg_shard(cfg_service(cfg, service), owned->index);
	return index < shard->replicas->len ? cfg_replica(shard, index) : NULL;
}

/* Passes an attempt on to the I/O layer with the upstream's address. */
static void on_send(void *ctx, struct shd_shard *shard,
		    const struct shd_call_request *send)
{
	struct nd_shard *owned = ctx;
	struct node *node = owned->node;
	const struct cfg *cfg = node->store.current;
	const struct cfg_replica *replica =
		find_replica(node, owned, send->replica);
	int service = cfg_find_service(cfg, owned->service->name);
	struct nd_upstream_call call = {
		.call = send->call_id,
		.service = owned->service->name,
		.shard = owned->index,
		.replica = replica->name,
		.host = replica->host,
		.port = replica->port,
		.connections_max =
			cfg_connection_share(cfg, cfg_service(cfg, service)),
		.snapshot = send->snapshot,
		.timeout = send->timeout,
		.expires = send->lease_expires,
		.order = send->order,
		.key = send->key,
		.body = send->body,
	};
	uint64_t *key = g_memdup2(&send->call_id, sizeof(send->call_id));

	(void)shard;
	g_hash_table_insert(node->calls, key, owned);
	node->ops->upstream_send(node->ctx, &call);
}

static void on_cancel_call(void *ctx, struct shd_shard *shard, uint64_t call)
{
	struct nd_shard *owned = ctx;
	struct node *node = owned->node;

	(void)shard;
	node->ops->upstream_cancel(node->ctx, call);
}

/* Collects a result; all results of one input are sent together. */
static void on_done(void *ctx, struct shd_shard *shard, uint32_t vm,
		    uint64_t query, const struct msg_sub_result *result)
{
	struct nd_shard *owned = ctx;
	struct node *node = owned->node;
	struct nd_work *work = nd_work_find(node, query);

	(void)shard;
	if (work && work->vm == vm)
		nd_work_add_result(node, work, result);
}

/* Tells all VMs how often a request crashed upstreams. */
static void on_crashed(void *ctx, struct shd_shard *shard, uint64_t fingerprint,
		       uint32_t crashes)
{
	struct nd_shard *owned = ctx;
	struct node *node = owned->node;
	struct msg msg = {
		.kind = MSG_QUARANTINE,
		.quarantine = { .fingerprint = fingerprint,
				.crashes = crashes },
	};

	(void)shard;
	nd_event_emit_plain(node,
			    crashes >= ND_CRASHES_MAX ? EV_SUSPECT_QUARANTINED
						      : EV_SUSPECT_CRASH,
			    (int64_t)fingerprint, crashes);
	nd_send_all(node, &msg);
}

static void on_event(void *ctx, struct shd_shard *shard, enum ev_code code,
		     uint64_t query, int replica, int64_t a, int64_t b)
{
	struct nd_shard *owned = ctx;
	struct node *node = owned->node;
	const struct nd_work *work = nd_work_find(node, query);
	const struct cfg_replica *target = NULL;
	struct gb_str dc = GB_STR("");

	(void)shard;
	if (replica >= 0)
		target = find_replica(node, owned, replica);
	if (target)
		dc = cfg_dc(node->store.current, target->dc)->name;
	nd_event_emit(node, code, work ? work->request_id : GB_STR(""),
		      target ? target->name : GB_STR(""), dc, a, b);
}

static void on_warm(void *ctx, struct shd_shard *shard, uint32_t replica,
		    uint64_t instance)
{
	struct nd_shard *owned = ctx;

	(void)shard;
	nd_warm_record(owned->node, owned, replica, instance);
}

static uint64_t on_next_call(void *ctx)
{
	struct nd_shard *owned = ctx;

	return nd_new_id(owned->node);
}

struct nd_service *nd_service_find_or_add(struct node *node,
					  const struct cfg_service *cfg)
{
	struct nd_service *service;

	for (guint i = 0; i < node->services->len; i++) {
		service = g_ptr_array_index(node->services, i);
		if (gb_str_eq(service->name, cfg->name))
			return service;
	}
	service = g_new0(struct nd_service, 1);
	service->name = gb_str_dup(cfg->name);
	shd_service_init(&service->shared, cfg);
	qry_admission_init(&service->admission);
	service->shards = g_ptr_array_new();
	g_ptr_array_add(node->services, service);
	return service;
}

/* Finds the shard, or adds it with its upstreams at the cold limit. */
struct nd_shard *nd_shard_find_or_add(struct node *node, int service,
				      uint32_t index)
{
	const struct cfg *cfg = node->store.current;
	struct nd_service *owner =
		nd_service_find_or_add(node, cfg_service(cfg, service));
	struct nd_shard *owned;

	if (index >= owner->shards->len)
		g_ptr_array_set_size(owner->shards, index + 1);
	owned = g_ptr_array_index(owner->shards, index);
	if (owned)
		return owned;
	owned = g_new0(struct nd_shard, 1);
	owned->node = node;
	owned->service = owner;
	owned->index = index;
	owned->unit = cfg_shard_unit(cfg_service(cfg, service), index);
	owned->shard = shd_new(service, index, &owner->shared, node->suspects,
			       node->metrics, &shard_ops, owned);
	g_ptr_array_add(node->shards, owned);
	g_ptr_array_index(owner->shards, index) = owned;
	shd_apply_config(owned->shard, node->clock.now, node->effective_cfg);
	nd_warm_update_shard(node, owned);
	return owned;
}

static void shard_free(struct nd_shard *owned)
{
	shd_free(owned->shard);
	g_free(owned);
}

/* Sets the lease expiry of each shard from that of its unit. */
void nd_owner_update_leases(struct node *node)
{
	for (guint i = 0; i < node->shards->len; i++) {
		struct nd_shard *owned = g_ptr_array_index(node->shards, i);

		shd_set_lease(
			owned->shard,
			quo_holder_lease_expiry(&node->holder, owned->unit));
	}
}

void nd_owner_tick(struct node *node)
{
	nd_dedup_expire_orders(node);
	nd_owner_update_leases(node);
	for (guint i = 0; i < node->shards->len; i++) {
		struct nd_shard *owned = g_ptr_array_index(node->shards, i);

		if (shd_next_tick(owned->shard) <= node->clock.now)
			shd_tick(owned->shard, node->clock.now);
	}
}

/* Applies a new configuration to each shard. */
void nd_owner_apply_config(struct node *node)
{
	for (guint i = 0; i < node->shards->len; i++) {
		struct nd_shard *owned = g_ptr_array_index(node->shards, i);

		shd_apply_config(owned->shard, node->clock.now,
				 node->effective_cfg);
	}
}

/* Tells whether no sub-request of the unit's shards runs or waits. */
bool nd_owner_is_unit_idle(const struct node *node, uint32_t unit)
{
	for (guint i = 0; i < node->shards->len; i++) {
		const struct nd_shard *owned =
			g_ptr_array_index(node->shards, i);

		if (owned->unit == unit && (shd_calls_in_flight(owned->shard) ||
					    shd_queue_length(owned->shard)))
			return false;
	}
	return true;
}

void nd_owner_drain_unit(struct node *node, uint32_t unit)
{
	for (guint i = 0; i < node->shards->len; i++) {
		struct nd_shard *owned = g_ptr_array_index(node->shards, i);

		if (owned->unit == unit)
			shd_drain(owned->shard, node->clock.now);
	}
}

/* Counts the calls in flight and the sub-requests that wait on this VM. */
uint32_t nd_owner_count_running(const struct node *node)
{
	uint32_t sum = 0;

	for (guint i = 0; i < node->shards->len; i++) {
		const struct nd_shard *owned =
			g_ptr_array_index(node->shards, i);

		sum += shd_calls_in_flight(owned->shard) +
		       shd_queue_length(owned->shard);
	}
	return sum;
}

void nd_owner_free(struct node *node)
{
	for (guint i = 0; i < node->shards->len; i++)
		shard_free(g_ptr_array_index(node->shards, i));
	g_ptr_array_free(node->shards, TRUE);
	for (guint i = 0; i < node->services->len; i++) {
		struct nd_service *service =
			g_ptr_array_index(node->services, i);

		gb_str_free(&service->name);
		g_ptr_array_free(service->shards, TRUE);
		g_free(service);
	}
	g_ptr_array_free(node->services, TRUE);
	g_hash_table_destroy(node->calls);
}

void nd_on_quarantine(struct node *node, const struct msg *msg)
{
	const struct sus_record record = {
		.fingerprint = msg->quarantine.fingerprint,
		.crashes = msg->quarantine.crashes,
	};

	sus_merge(node->suspects, node->clock.now, &record);
}

void nd_owner_upstream_done(struct node *node,
			    const struct nd_upstream_result *result)
{
	static const enum shd_call_status statuses[] = {
		[ND_UPSTREAM_OK] = SHD_OK,
		[ND_UPSTREAM_REFUSED] = SHD_REFUSED,
		[ND_UPSTREAM_NOT_SENT] = SHD_NOT_SENT,
		[ND_UPSTREAM_RESET] = SHD_RESET,
		[ND_UPSTREAM_TIMEOUT] = SHD_TIMEOUT,
		[ND_UPSTREAM_SNAPSHOT_GONE] = SHD_SNAPSHOT_GONE,
		[ND_UPSTREAM_MISMATCH] = SHD_MISMATCH,
		[ND_UPSTREAM_ERROR] = SHD_ERROR,
	};
	struct nd_shard *owned;
	struct shd_answer answer = {
		.call_id = result->call,
		.status = statuses[result->status],
		.instance = result->instance,
		.snapshot = result->snapshot,
		.shard = result->shard,
		.docs = result->docs,
		.reported_load = result->load,
		.body = result->body,
	};

	owned = g_hash_table_lookup(node->calls, &result->call);
	if (!owned) {
		met_add(node->metrics, MET_ANSWERS_DROPPED, 1);
		return;
	}
	g_hash_table_remove(node->calls, &result->call);
	if (!shd_handle_answer(owned->shard, node->clock.now, &answer))
		met_add(node->metrics, MET_ANSWERS_DROPPED, 1);
}
