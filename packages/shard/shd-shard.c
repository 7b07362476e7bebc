#include "shard/shd-internal.h"

static guint query_hash(gconstpointer key);
static gboolean query_equal(gconstpointer a, gconstpointer b);
static void replica_free(gpointer data);
static struct shd_replica *take_replica(GPtrArray *from, struct gb_str name);
static uint64_t free_bit(const struct shd_shard *shard);
static struct shd_replica *new_replica(const struct shd_shard *shard,
				       const struct cfg_limits *limits,
				       struct gb_str name);
static void set_closed(struct shd_replica *replica, bool closed);
static void follow_replicas(struct shd_shard *shard, const struct cfg *cfg,
			    const struct cfg_service *service);
static void remove_replicas(struct shd_shard *shard, GPtrArray *old);

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

static void replica_free(gpointer data)
{
	struct shd_replica *replica = data;

	gb_str_free(&replica->name);
	g_free(replica);
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
	shard->removed = g_ptr_array_new();
	shard->heap = g_ptr_array_new();
	shard->calls = g_hash_table_new(g_int64_hash, g_int64_equal);
	shard->queries = g_hash_table_new(query_hash, query_equal);
	for (int i = 0; i < SHD_CLASSES; i++)
		g_queue_init(&shard->queue[i]);
	g_queue_init(&shard->parked);
	return shard;
}

void shd_free(struct shd_shard *shard)
{
	if (!shard)
		return;
	/* Each live entry has a timer, so the heap holds them all. */
	g_ptr_array_set_free_func(shard->heap, g_free);
	g_ptr_array_set_free_func(shard->replicas, replica_free);
	g_ptr_array_set_free_func(shard->removed, replica_free);
	g_ptr_array_free(shard->heap, TRUE);
	g_ptr_array_free(shard->replicas, TRUE);
	g_ptr_array_free(shard->removed, TRUE);
	g_hash_table_destroy(shard->calls);
	g_hash_table_destroy(shard->queries);
	g_free(shard);
}

void shd_emit(struct shd_shard *shard, enum ev_code code, uint64_t query,
	      const struct shd_replica *replica, int64_t a, int64_t b)
{
	shard->ops->event(shard->ctx, shard, code, query,
			  replica ? (int)replica->index : -1, a, b);
}

/* Takes over the time of an input and notes an expiry of the lease. */
void shd_set_now(struct shd_shard *shard, gb_time now)
{
	shard->now = MAX(shard->now, now);
	if (shard->lease && !shd_lease_held(shard))
		shard->lease_lapsed = true;
}

/* Tells whether any upstream may receive new work at all. */
bool shd_any_open(const struct shd_shard *shard)
{
	for (guint i = 0; i < shard->replicas->len; i++) {
		const struct shd_replica *replica = shard->replicas->pdata[i];

		if (!replica->up.closed)
			return true;
	}
	return false;
}

bool shd_lease_held(const struct shd_shard *shard)
{
	return shard->now < shard->lease;
}

/* Takes the replica of a name out of the array. */
static struct shd_replica *take_replica(GPtrArray *from, struct gb_str name)
{
	for (guint i = 0; i < from->len; i++) {
		struct shd_replica *replica = from->pdata[i];

		if (gb_str_eq(replica->name, name))
			return g_ptr_array_remove_index_fast(from, i);
	}
	return NULL;
}

/* Finds a bit that no replica uses; 0 when there is none. */
static uint64_t free_bit(const struct shd_shard *shard)
{
	const GPtrArray *arrays[] = { shard->replicas, shard->removed };
	uint64_t used = 0;

	for (size_t a = 0; a < G_N_ELEMENTS(arrays); a++) {
		for (guint i = 0; i < arrays[a]->len; i++) {
			const struct shd_replica *r = arrays[a]->pdata[i];

			used |= r->bit;
		}
	}
	return ~used & (used + 1);
}

static struct shd_replica *new_replica(const struct shd_shard *shard,
				       const struct cfg_limits *limits,
				       struct gb_str name)
{
	struct shd_replica *replica = g_new0(struct shd_replica, 1);

	up_init(&replica->up, limits);
	replica->name = gb_str_dup(name);
	replica->bit = free_bit(shard);
	replica->up.closed = true;
	return replica;
}

/* An upstream that returns may have been restarted and starts cold. */
static void set_closed(struct shd_replica *replica, bool closed)
{
	if (replica->up.closed && !closed)
		up_set_idle(&replica->up);
	replica->up.closed = closed;
}

static void follow_replicas(struct shd_shard *shard, const struct cfg *cfg,
			    const struct cfg_service *service)
{
	const struct cfg_shard *conf = cfg_shard(service, shard->index);
	struct cfg_limits limits = service->limits;

	limits.connections = cfg_connection_share(cfg, service);
	for (guint i = 0; i < conf->replicas->len; i++) {
		const struct cfg_replica *from = cfg_replica(conf, i);
		struct shd_replica *replica =
			take_replica(shard->removed, from->name);

		if (!replica)
			replica = new_replica(shard, &limits, from->name);
		replica->index = i;
		replica->present = true;
		up_set_limits(&replica->up, &limits);
		set_closed(replica, !cfg_replica_open(cfg, from));
		g_ptr_array_add(shard->replicas, replica);
	}
}

/* Closes replicas that left; those without calls are freed. */
static void remove_replicas(struct shd_shard *shard, GPtrArray *old)
{
	for (guint i = 0; i < old->len; i++) {
		struct shd_replica *replica = old->pdata[i];

		replica->present = false;
		set_closed(replica, true);
	}
	shd_forget_removed(shard);
}

void shd_forget_removed(struct shd_shard *shard)
{
	for (guint i = shard->removed->len; i-- > 0;) {
		struct shd_replica *replica = shard->removed->pdata[i];

		if (replica->up.in_flight || replica == shard->alone)
			continue;
		g_ptr_array_remove_index_fast(shard->removed, i);
		for (int b = 0; b < SHD_BLAMES; b++) {
			if (shard->blames[b].replica == replica)
				shard->blames[b].replica = NULL;
		}
		replica_free(replica);
	}
}

void shd_follow(struct shd_shard *shard, gb_time now, const struct cfg *cfg)
{
	const struct cfg_service *service = NULL;
	GPtrArray *old = shard->replicas;

	shd_set_now(shard, now);
	shard->replicas = shard->removed;
	shard->removed = old;
	/* All replicas are in "removed" now; configured ones are taken out. */
	g_ptr_array_extend(shard->removed, shard->replicas, NULL, NULL);
	g_ptr_array_set_size(shard->replicas, 0);
	if (shard->service < cfg->services->len)
		service = cfg_service(cfg, shard->service);
	shard->canary = service && service->canary;
	if (service && shard->index < service->shards->len)
		follow_replicas(shard, cfg, service);
	remove_replicas(shard, shard->removed);
	if (shard->alone_entry && shard->alone->up.closed) {
		shd_unreserve(shard);
		shd_forget_removed(shard);
	}
	if (!shd_any_open(shard))
		shd_flush(shard, MSG_STATUS_NOT_RUN);
	shd_place(shard);
}

void shd_set_lease(struct shd_shard *shard, gb_time expires)
{
	shard->lease = expires;
	if (!expires) {
		shard->lease_lapsed = true;
		shd_flush(shard, MSG_STATUS_NOT_OWNER);
		return;
	}
	if (!shard->lease_lapsed)
		return;
	/* Another owner may have used the upstreams in between, or they may
	 * have restarted, so what is known of their warmth is void. */
	shard->lease_lapsed = false;
	for (guint i = 0; i < shard->replicas->len; i++) {
		struct shd_replica *replica = shard->replicas->pdata[i];

		up_set_cold(&replica->up);
	}
}

uint32_t shd_queued(const struct shd_shard *shard)
{
	return shd_waiting(shard) + shard->parked.length;
}

uint32_t shd_running(const struct shd_shard *shard)
{
	return shard->running;
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
	if (!found->up.known_warm)
		found->up.known_warm = instance;
}
