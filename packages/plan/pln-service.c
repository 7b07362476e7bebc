#include "plan/pln-row.h"

/*
 * Publishing removes older snapshots, so that the configuration object does not
 * grow without bound. A running query keeps the configuration it started with.
 */
#define SNAPSHOTS_KEPT 4

static const struct cfg_service *
get_single_service(const struct pln_intent *intent, struct gb_error *err);
static int map_replicas(const struct cfg *next, const struct cfg *fragment,
			struct cfg_service *service, struct gb_error *err);

/* Returns the fragment's single service, which must match the target. */
static const struct cfg_service *
get_single_service(const struct pln_intent *intent, struct gb_error *err)
{
	const struct cfg *fragment = intent->fragment;
	const struct cfg_service *service;

	if (fragment->services->len != 1 || fragment->vms->len) {
		gb_fail(err, GB_ERR_BAD_REQUEST, GB_STR("part"),
			fragment->services->len);
		return NULL;
	}
	service = cfg_service(fragment, 0);
	if (intent->target.len && !gb_str_eq(intent->target, service->name)) {
		gb_fail(err, GB_ERR_REFERENCE, intent->target, 0);
		return NULL;
	}
	return service;
}

/* Maps the data centre indices of the replicas from the fragment to next. */
static int map_replicas(const struct cfg *next, const struct cfg *fragment,
			struct cfg_service *service, struct gb_error *err)
{
	for (guint i = 0; i < service->shards->len; i++) {
		GArray *replicas = cfg_shard(service, i)->replicas;

		for (guint k = 0; k < replicas->len; k++) {
			struct cfg_replica *replica =
				&g_array_index(replicas, struct cfg_replica, k);

			if (pln_map_dc(next, fragment, &replica->dc, err))
				return -1;
		}
	}
	return 0;
}

int pln_service_create(struct cfg *next, const struct pln_intent *intent,
		       int64_t wall_ms, struct gb_error *err)
{
	const struct cfg_service *from = get_single_service(intent, err);

	(void)wall_ms;
	if (!from)
		return -1;
	if (cfg_find_service(next, from->name) >= 0)
		return gb_fail(err, GB_ERR_DUPLICATE, from->name, 0);
	return map_replicas(next, intent->fragment,
			    cfg_add_service_copy(next, from), err);
}

/*
 * Replaces the shards of a service together with its snapshots, since a
 * snapshot has a document count for each shard. Running queries that are pinned
 * to an older snapshot restart on the new one.
 */
int pln_service_repartition(struct cfg *next, const struct pln_intent *intent,
			    int64_t wall_ms, struct gb_error *err)
{
	const struct cfg_service *from = get_single_service(intent, err);
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
	return map_replicas(next, intent->fragment, to, err);
}

int pln_snapshot_publish(struct cfg *next, const struct pln_intent *intent,
			 int64_t wall_ms, struct gb_error *err)
{
	const struct cfg_service *from = get_single_service(intent, err);
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
	cfg_prune_snapshots(to, SNAPSHOTS_KEPT);
	return 0;
}
