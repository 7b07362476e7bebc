#include "plan/pln-row.h"

/*
 * Older snapshots are removed, since the configuration object may not grow
 * without bound. A running query keeps the configuration that it began with.
 */
#define SNAPSHOTS_KEPT 4

static const struct cfg_service *only_service(const struct pln_intent *intent,
					      struct gb_error *err);
static int map_replicas(const struct cfg *next, const struct cfg *part,
			struct cfg_service *service, struct gb_error *err);

/* Returns the one service of the part; it must agree with the target. */
static const struct cfg_service *only_service(const struct pln_intent *intent,
					      struct gb_error *err)
{
	const struct cfg *part = intent->part;
	const struct cfg_service *service;

	if (part->services->len != 1 || part->vms->len) {
		gb_fail(err, GB_ERR_BAD_REQUEST, GB_STR("part"),
			part->services->len);
		return NULL;
	}
	service = cfg_service(part, 0);
	if (intent->target.len && !gb_str_eq(intent->target, service->name)) {
		gb_fail(err, GB_ERR_REFERENCE, intent->target, 0);
		return NULL;
	}
	return service;
}

/* Lets the replicas of a new service refer to the real data centres. */
static int map_replicas(const struct cfg *next, const struct cfg *part,
			struct cfg_service *service, struct gb_error *err)
{
	for (guint i = 0; i < service->shards->len; i++) {
		GArray *replicas = cfg_shard(service, i)->replicas;

		for (guint k = 0; k < replicas->len; k++) {
			struct cfg_replica *replica =
				&g_array_index(replicas, struct cfg_replica, k);

			if (pln_map_dc(next, part, &replica->dc, err))
				return -1;
		}
	}
	return 0;
}

int pln_service_create(struct cfg *next, const struct pln_intent *intent,
		       int64_t wall_ms, struct gb_error *err)
{
	const struct cfg_service *from = only_service(intent, err);

	(void)wall_ms;
	if (!from)
		return -1;
	if (cfg_find_service(next, from->name) >= 0)
		return gb_fail(err, GB_ERR_DUPLICATE, from->name, 0);
	return map_replicas(next, intent->part,
			    cfg_add_service_copy(next, from), err);
}

/*
 * Replaces the shards of a service together with its snapshots, since a
 * snapshot's documents are counted by shard. Running queries that pinned an
 * older snapshot start over on the new one.
 */
int pln_service_repartition(struct cfg *next, const struct pln_intent *intent,
			    int64_t wall_ms, struct gb_error *err)
{
	const struct cfg_service *from = only_service(intent, err);
	const struct cfg_snapshot *newest;
	struct cfg_service *to;
	int index;

	(void)wall_ms;
	if (!from)
		return -1;
	if (!from->shards->len || from->snapshots->len != 1)
		return gb_fail(err, GB_ERR_BAD_REQUEST, from->name,
			       from->snapshots->len);
	index = cfg_find_service(next, from->name);
	if (index < 0)
		return gb_fail(err, GB_ERR_NOT_FOUND, from->name, 0);
	to = &g_array_index(next->services, struct cfg_service, index);
	newest = cfg_newest_snapshot(to);
	if (newest && cfg_newest_snapshot(from)->id <= newest->id)
		return gb_fail(err, GB_ERR_STALE_VERSION, from->name,
			       newest->id);
	cfg_set_partition(to, from);
	return map_replicas(next, intent->part, to, err);
}

int pln_snapshot_publish(struct cfg *next, const struct pln_intent *intent,
			 int64_t wall_ms, struct gb_error *err)
{
	const struct cfg_service *from = only_service(intent, err);
	const struct cfg_snapshot *snapshot;
	struct cfg_service *to;
	struct cfg_snapshot *copy;
	int index;

	(void)wall_ms;
	if (!from)
		return -1;
	if (from->snapshots->len != 1 || from->shards->len)
		return gb_fail(err, GB_ERR_BAD_REQUEST, from->name,
			       from->snapshots->len);
	snapshot = cfg_newest_snapshot(from);
	index = cfg_find_service(next, from->name);
	if (index < 0)
		return gb_fail(err, GB_ERR_NOT_FOUND, from->name, 0);
	to = &g_array_index(next->services, struct cfg_service, index);
	if (cfg_snapshot(to, snapshot->id))
		return gb_fail(err, GB_ERR_DUPLICATE, from->name, snapshot->id);
	if (to->snapshots->len && snapshot->id < cfg_newest_snapshot(to)->id)
		return gb_fail(err, GB_ERR_STALE_VERSION, from->name,
			       snapshot->id);
	copy = cfg_add_snapshot(to, snapshot->id);
	g_array_append_vals(copy->docs, snapshot->docs->data,
			    snapshot->docs->len);
	cfg_keep_snapshots(to, SNAPSHOTS_KEPT);
	return 0;
}
