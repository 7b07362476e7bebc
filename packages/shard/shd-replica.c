#include "shard/shd-internal.h"

static void replica_free(gpointer data);
static struct shd_replica *take_replica(GPtrArray *from, struct gb_str name);
static uint64_t find_unused_bit(const struct shd_shard *shard);
static struct shd_replica *new_replica(const struct shd_shard *shard,
				       const struct cfg_limits *limits,
				       struct gb_str name);
static void set_closed(struct shd_replica *replica, bool closed);
static void configure_replicas(struct shd_shard *shard, const struct cfg *cfg,
			       const struct cfg_service *service);
static void close_removed(struct shd_shard *shard);

static void replica_free(gpointer data)
{
	struct shd_replica *replica = data;

	gb_str_free(&replica->name);
	g_free(replica);
}

/* Removes the replica with the name from the array; NULL if not found. */
static struct shd_replica *take_replica(GPtrArray *from, struct gb_str name)
{
	for (guint i = 0; i < from->len; i++) {
		struct shd_replica *replica = from->pdata[i];

		if (gb_str_eq(replica->name, name))
			return g_ptr_array_remove_index_fast(from, i);
	}
	return NULL;
}

/* Finds a bit that no replica uses; 0 if all are used. */
static uint64_t find_unused_bit(const struct shd_shard *shard)
{
	const GPtrArray *arrays[] = { shard->replicas,
				      shard->removed_replicas };
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
	replica->bit = find_unused_bit(shard);
	replica->up.disabled = true;
	return replica;
}

/* A reopened upstream starts cold, because it may have been restarted. */
static void set_closed(struct shd_replica *replica, bool closed)
{
	if (replica->up.disabled && !closed)
		up_reset(&replica->up);
	replica->up.disabled = closed;
}

static void configure_replicas(struct shd_shard *shard, const struct cfg *cfg,
			       const struct cfg_service *service)
{
	const struct cfg_shard *conf = cfg_shard(service, shard->index);
	struct cfg_limits limits = service->limits;

	limits.connections = cfg_connection_share(cfg, service);
	for (guint i = 0; i < conf->replicas->len; i++) {
		const struct cfg_replica *from = cfg_replica(conf, i);
		struct shd_replica *replica =
			take_replica(shard->removed_replicas, from->name);

		if (!replica)
			replica = new_replica(shard, &limits, from->name);
		replica->index = i;
		replica->configured = true;
		up_set_limits(&replica->up, &limits);
		set_closed(replica, !cfg_replica_accepts_work(cfg, from));
		g_ptr_array_add(shard->replicas, replica);
	}
}

/* Closes replicas that were removed and frees those without calls. */
static void close_removed(struct shd_shard *shard)
{
	for (guint i = 0; i < shard->removed_replicas->len; i++) {
		struct shd_replica *replica = shard->removed_replicas->pdata[i];

		replica->configured = false;
		set_closed(replica, true);
	}
	shd_free_removed_replicas(shard);
}

/* Frees removed replicas that have no call and are not reserved. */
void shd_free_removed_replicas(struct shd_shard *shard)
{
	for (guint i = shard->removed_replicas->len; i-- > 0;) {
		struct shd_replica *replica = shard->removed_replicas->pdata[i];

		if (replica->up.in_flight ||
		    replica == shard->isolation_replica)
			continue;
		g_ptr_array_remove_index_fast(shard->removed_replicas, i);
		for (int b = 0; b < SHD_CRASH_RECORDS_MAX; b++) {
			if (shard->crash_records[b].replica == replica)
				shard->crash_records[b].replica = NULL;
		}
		replica_free(replica);
	}
}

void shd_apply_replicas(struct shd_shard *shard, const struct cfg *cfg,
			const struct cfg_service *service)
{
	GPtrArray *old = shard->replicas;

	shard->replicas = shard->removed_replicas;
	shard->removed_replicas = old;
	/* All are now in removed_replicas; configured ones are moved back. */
	g_ptr_array_extend(shard->removed_replicas, shard->replicas, NULL,
			   NULL);
	g_ptr_array_set_size(shard->replicas, 0);
	if (service && shard->index < service->shards->len)
		configure_replicas(shard, cfg, service);
	close_removed(shard);
}

void shd_free_replicas(struct shd_shard *shard)
{
	g_ptr_array_set_free_func(shard->replicas, replica_free);
	g_ptr_array_set_free_func(shard->removed_replicas, replica_free);
	g_ptr_array_free(shard->replicas, TRUE);
	g_ptr_array_free(shard->removed_replicas, TRUE);
}
