#include "node/nd-internal.h"

/*
 * Which process of each upstream is warm, shared by all VMs, so that a new
 * owner need not start all upstreams of a dead VM at the cold limit.
 */

static uint64_t upstream_hash(struct gb_str service, struct gb_str replica);
static uint64_t hash_of(const struct node *node, const struct nd_shard *entry,
			uint32_t replica);
static void store(struct node *node, uint64_t upstream, uint64_t instance);
static uint64_t find(const struct node *node, uint64_t upstream);
static void forget_closed(void *ctx, const struct cfg *cfg,
			  const struct cfg_service *service,
			  const struct cfg_replica *replica);

static uint64_t upstream_hash(struct gb_str service, struct gb_str replica)
{
	return gb_hash(replica, gb_hash(service, 0));
}

/* Returns 0 for a replica that the configuration does not have. */
static uint64_t hash_of(const struct node *node, const struct nd_shard *entry,
			uint32_t replica)
{
	const struct cfg *cfg = node->store.current;
	int service = cfg_find_service(cfg, entry->service->name);
	const struct cfg_shard *shard;

	if (service < 0 ||
	    entry->index >= cfg_service(cfg, service)->shards->len)
		return 0;
	shard = cfg_shard(cfg_service(cfg, service), entry->index);
	if (replica >= shard->replicas->len)
		return 0;
	return upstream_hash(entry->service->name,
			     cfg_replica(shard, replica)->name);
}

static void store(struct node *node, uint64_t upstream, uint64_t instance)
{
	g_hash_table_replace(node->warm, g_memdup2(&upstream, sizeof(upstream)),
			     g_memdup2(&instance, sizeof(instance)));
}

static uint64_t find(const struct node *node, uint64_t upstream)
{
	const uint64_t *instance = g_hash_table_lookup(node->warm, &upstream);

	return instance ? *instance : 0;
}

/* Notes that an upstream became warm here and tells the other VMs. */
void nd_warm_note(struct node *node, struct nd_shard *entry, uint32_t replica,
		  uint64_t instance)
{
	struct msg_warm_item item = { .upstream = hash_of(node, entry, replica),
				      .instance = instance };
	struct msg msg = { .kind = MSG_WARM,
			   .warm = { .items = &item, .items_len = 1 } };

	if (!item.upstream || !instance ||
	    find(node, item.upstream) == instance)
		return;
	store(node, item.upstream, instance);
	nd_send_all(node, &msg);
}

/* Tells a shard that is new here what is known of its upstreams. */
void nd_warm_apply(struct node *node, struct nd_shard *entry)
{
	for (uint32_t i = 0; shd_upstream(entry->shard, i); i++) {
		uint64_t instance = find(node, hash_of(node, entry, i));

		if (instance)
			shd_set_known_warm(entry->shard, i, instance);
	}
}

static void forget_closed(void *ctx, const struct cfg *cfg,
			  const struct cfg_service *service,
			  const struct cfg_replica *replica)
{
	struct node *node = ctx;
	uint64_t hash = upstream_hash(service->name, replica->name);

	if (!cfg_replica_open(cfg, replica))
		g_hash_table_remove(node->warm, &hash);
}

/* Forgets the upstreams that are closed: they return cold. */
void nd_warm_follow(struct node *node)
{
	cfg_each_replica(node->view, forget_closed, node);
}

/* Sends a member that came what this VM knows. */
void nd_warm_send(struct node *node, uint32_t vm)
{
	struct msg msg = { .kind = MSG_WARM };
	GHashTableIter iter;
	gpointer key, value;
	uint32_t len = 0;

	if (!g_hash_table_size(node->warm))
		return;
	msg.warm.items =
		g_new(struct msg_warm_item, g_hash_table_size(node->warm));
	g_hash_table_iter_init(&iter, node->warm);
	while (g_hash_table_iter_next(&iter, &key, &value))
		msg.warm.items[len++] = (struct msg_warm_item){
			.upstream = *(uint64_t *)key,
			.instance = *(uint64_t *)value,
		};
	msg.warm.items_len = len;
	nd_send(node, vm, &msg);
	g_free(msg.warm.items);
}

void nd_on_warm(struct node *node, const struct msg *msg)
{
	for (uint32_t i = 0; i < msg->warm.items_len; i++)
		store(node, msg->warm.items[i].upstream,
		      msg->warm.items[i].instance);
	for (guint i = 0; i < node->shards->len; i++)
		nd_warm_apply(node, g_ptr_array_index(node->shards, i));
}
