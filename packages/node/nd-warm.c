#include "node/nd-internal.h"

/*
 * Which process of each upstream has completed its slow start. All VMs share
 * this, so that a new owner does not start the upstreams of a dead VM at the
 * cold limit again.
 */

static uint64_t upstream_hash(struct gb_str service, struct gb_str replica);
static uint64_t replica_hash(const struct node *node,
			     const struct nd_shard *owned, uint32_t replica);
static void set_warm_instance(struct node *node, uint64_t upstream,
			      uint64_t instance);
static uint64_t find_warm_instance(const struct node *node, uint64_t upstream);
static void remove_if_closed(void *ctx, const struct cfg *cfg,
			     const struct cfg_service *service,
			     const struct cfg_replica *replica);

static uint64_t upstream_hash(struct gb_str service, struct gb_str replica)
{
	return gb_hash(replica, gb_hash(service, 0));
}

/* Returns 0 for a replica that is not in the configuration. */
static uint64_t replica_hash(const struct node *node,
			     const struct nd_shard *owned, uint32_t replica)
{
	const struct cfg *cfg = node->store.current;
	int service = cfg_find_service(cfg, owned->service->name);
	const struct cfg_shard *shard;

	if (service < 0 ||
	    owned->index >= cfg_service(cfg, service)->shards->len)
		return 0;
	shard = cfg_shard(cfg_service(cfg, service), owned->index);
	if (replica >= shard->replicas->len)
		return 0;
	return upstream_hash(owned->service->name,
			     cfg_replica(shard, replica)->name);
}

static void set_warm_instance(struct node *node, uint64_t upstream,
			      uint64_t instance)
{
	g_hash_table_replace(node->warm_instances,
			     g_memdup2(&upstream, sizeof(upstream)),
			     g_memdup2(&instance, sizeof(instance)));
}

static uint64_t find_warm_instance(const struct node *node, uint64_t upstream)
{
	const uint64_t *instance =
		g_hash_table_lookup(node->warm_instances, &upstream);

	return instance ? *instance : 0;
}

/* Records that an upstream became warm on this VM and tells the other VMs. */
void nd_warm_record(struct node *node, struct nd_shard *owned, uint32_t replica,
		    uint64_t instance)
{
	struct msg_warm_upstream item = { .upstream_hash = replica_hash(
						  node, owned, replica),
					  .instance = instance };
	struct msg msg = { .kind = MSG_WARM,
			   .warm = { .upstreams = &item, .upstreams_len = 1 } };

	if (!item.upstream_hash || !instance ||
	    find_warm_instance(node, item.upstream_hash) == instance)
		return;
	set_warm_instance(node, item.upstream_hash, instance);
	nd_send_all(node, &msg);
}

/* Tells a shard which processes of its upstreams are known to be warm. */
void nd_warm_update_shard(struct node *node, struct nd_shard *owned)
{
	for (uint32_t i = 0; shd_upstream(owned->shard, i); i++) {
		uint64_t instance =
			find_warm_instance(node, replica_hash(node, owned, i));

		if (instance)
			shd_set_known_warm(owned->shard, i, instance);
	}
}

static void remove_if_closed(void *ctx, const struct cfg *cfg,
			     const struct cfg_service *service,
			     const struct cfg_replica *replica)
{
	struct node *node = ctx;
	uint64_t hash = upstream_hash(service->name, replica->name);

	if (!cfg_replica_accepts_work(cfg, replica))
		g_hash_table_remove(node->warm_instances, &hash);
}

/* Forgets closed upstreams, which are cold when they return. */
void nd_warm_apply_config(struct node *node)
{
	cfg_each_replica(node->effective_cfg, remove_if_closed, node);
}

/* Sends all known warm upstreams to a member. */
void nd_warm_send(struct node *node, uint32_t vm)
{
	struct msg msg = { .kind = MSG_WARM };
	GHashTableIter iter;
	gpointer key, value;
	uint32_t len = 0;

	if (!g_hash_table_size(node->warm_instances))
		return;
	msg.warm.upstreams = g_new(struct msg_warm_upstream,
				   g_hash_table_size(node->warm_instances));
	g_hash_table_iter_init(&iter, node->warm_instances);
	while (g_hash_table_iter_next(&iter, &key, &value))
		msg.warm.upstreams[len++] = (struct msg_warm_upstream){
			.upstream_hash = *(uint64_t *)key,
			.instance = *(uint64_t *)value,
		};
	msg.warm.upstreams_len = len;
	nd_send(node, vm, &msg);
	g_free(msg.warm.upstreams);
}

void nd_on_warm(struct node *node, const struct msg *msg)
{
	for (uint32_t i = 0; i < msg->warm.upstreams_len; i++)
		set_warm_instance(node, msg->warm.upstreams[i].upstream_hash,
				  msg->warm.upstreams[i].instance);
	for (guint i = 0; i < node->shards->len; i++)
		nd_warm_update_shard(node, g_ptr_array_index(node->shards, i));
}
