#include "shard/shd-internal.h"

static guint query_hash(gconstpointer key);
static gboolean query_equal(gconstpointer a, gconstpointer b);

static guint query_hash(gconstpointer key)
{
	const struct shd_entry *entry = key;

	return (guint)gb_hash_u64(entry->vm, entry->query);
}

static gboolean query_equal(gconstpointer a, gconstpointer b)
{
	const struct shd_entry *x = a;
	const struct shd_entry *y = b;

	return x->query == y->query && x->vm == y->vm;
}

void shd_service_init(struct shd_service *service,
		      const struct cfg_service *cfg)
{
	size_t len;

	*service = (struct shd_service){ .policy = pol_find(cfg->policy) };
	if (!service->policy)
		service->policy = pol_all(&len)[0];
	pol_budget_init(&service->budget, cfg->hedge_permille);
}

struct shd_shard *shd_new(uint32_t service, uint32_t index,
			  struct shd_service *shared,
			  struct sus_table *suspects,
			  struct met_registry *metrics,
			  const struct shd_ops *ops, void *ctx)
{
	struct shd_shard *shard = g_new0(struct shd_shard, 1);

	shard->service = service;
	shard->index = index;
	shard->shared = shared;
	shard->suspects = suspects;
	shard->metrics = metrics;
	shard->ops = ops;
	shard->ctx = ctx;
	shard->replicas = g_ptr_array_new();
	shard->removed_replicas = g_ptr_array_new();
	shard->timer_heap = g_ptr_array_new();
	shard->calls = g_hash_table_new(g_int64_hash, g_int64_equal);
	shard->queries = g_hash_table_new(query_hash, query_equal);
	for (int i = 0; i < SHD_CLASSES; i++)
		g_queue_init(&shard->queues[i]);
	g_queue_init(&shard->parked);
	return shard;
}

void shd_free(struct shd_shard *shard)
{
	if (!shard)
		return;
	/* Each live entry has a timer, so the heap holds all of them. */
	g_ptr_array_set_free_func(shard->timer_heap, g_free);
	g_ptr_array_free(shard->timer_heap, TRUE);
	shd_free_replicas(shard);
	g_hash_table_destroy(shard->calls);
	g_hash_table_destroy(shard->queries);
	g_free(shard);
}

void shd_apply_config(struct shd_shard *shard, gb_time now,
		      const struct cfg *cfg)
{
	const struct cfg_service *service = NULL;

	shd_set_now(shard, now);
	if (shard->service < cfg->services->len)
		service = cfg_service(cfg, shard->service);
	shard->canary_enabled = service && service->canary;
	shd_apply_replicas(shard, cfg, service);
	if (shard->isolation_entry && shard->isolation_replica->up.disabled) {
		shd_unreserve_replica(shard);
		shd_free_removed_replicas(shard);
	}
	if (!shd_has_open_replica(shard))
		shd_finish_waiting(shard, MSG_STATUS_NOT_RUN);
	shd_place_entries(shard);
}

void shd_set_lease(struct shd_shard *shard, gb_time expires)
{
	shard->lease_expires = expires;
	if (!expires) {
		shard->lease_lapsed = true;
		shd_finish_waiting(shard, MSG_STATUS_NOT_OWNER);
		return;
	}
	if (!shard->lease_lapsed)
		return;
	/*
	 * Another owner may have used the upstreams in between, or they may
	 * have restarted, so they may no longer be warm.
	 */
	shard->lease_lapsed = false;
	for (guint i = 0; i < shard->replicas->len; i++) {
		struct shd_replica *replica = shard->replicas->pdata[i];

		up_set_cold(&replica->up);
	}
}

uint32_t shd_queue_length(const struct shd_shard *shard)
{
	return shd_waiting_entries(shard) + shard->parked.length;
}

uint32_t shd_calls_in_flight(const struct shd_shard *shard)
{
	return shard->calls_in_flight;
}

const struct up_upstream *shd_upstream(const struct shd_shard *shard,
				       uint32_t replica)
{
	const struct shd_replica *found;

	if (replica >= shard->replicas->len)
		return NULL;
	found = shard->replicas->pdata[replica];
	return &found->up;
}

void shd_set_known_warm(struct shd_shard *shard, uint32_t replica,
			uint64_t instance)
{
	struct shd_replica *found;

	if (replica >= shard->replicas->len)
		return;
	found = shard->replicas->pdata[replica];
	if (!found->up.warm_instance)
		found->up.warm_instance = instance;
}
