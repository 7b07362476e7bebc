#include "plan/pln-row.h"

static struct cfg_replica *find_replica(const struct cfg_service *service,
					struct gb_str name);
static int set_draining(struct cfg *next, struct gb_str target, bool draining,
			struct gb_error *err);

static struct cfg_replica *find_replica(const struct cfg_service *service,
					struct gb_str name)
{
	for (guint i = 0; i < service->shards->len; i++) {
		GArray *replicas = cfg_shard(service, i)->replicas;

		for (guint k = 0; k < replicas->len; k++) {
			struct cfg_replica *replica =
				&g_array_index(replicas, struct cfg_replica, k);

			if (gb_str_eq(replica->name, name))
				return replica;
		}
	}
	return NULL;
}

/* The target is SERVICE/REPLICA; no name contains a slash. */
static int set_draining(struct cfg *next, struct gb_str target, bool draining,
			struct gb_error *err)
{
	struct gb_str name = target;
	struct cfg_replica *replica;
	struct gb_str service;
	int index;

	if (!gb_str_cut(&name, '/', &service))
		return gb_fail(err, GB_ERR_SYNTAX, target, 0);
	index = cfg_find_service(next, service);
	if (index < 0)
		return gb_fail(err, GB_ERR_NOT_FOUND, service, 0);
	replica = find_replica(cfg_service(next, index), name);
	if (!replica)
		return gb_fail(err, GB_ERR_NOT_FOUND, target, 0);
	if (replica->draining == draining)
		return gb_fail(err, GB_ERR_DUPLICATE, target, 0);
	replica->draining = draining;
	return 0;
}

int pln_upstream_drain(struct cfg *next, const struct pln_intent *intent,
		       int64_t wall_ms, struct gb_error *err)
{
	(void)wall_ms;
	return set_draining(next, intent->target, true, err);
}

int pln_upstream_restore(struct cfg *next, const struct pln_intent *intent,
			 int64_t wall_ms, struct gb_error *err)
{
	(void)wall_ms;
	return set_draining(next, intent->target, false, err);
}
