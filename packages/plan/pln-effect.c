#include "plan/pln.h"

#include <math.h>

static void clear_shard_effect(gpointer data);
static uint32_t open_replicas(const struct cfg *cfg,
			      const struct cfg_shard *shard);
static uint32_t service_open(const struct cfg *cfg,
			     const struct cfg_service *service);
static void count_open(const struct cfg *cfg, uint32_t *upstreams,
		       uint32_t *slots);
static double load_factor(const struct cfg *before, const struct cfg *after);
static void find_low(const struct cfg *next, struct pln_plan *plan);

static void clear_shard_effect(gpointer data)
{
	struct pln_shard_effect *effect = data;

	gb_str_free(&effect->service);
}

static uint32_t open_replicas(const struct cfg *cfg,
			      const struct cfg_shard *shard)
{
	uint32_t open = 0;

	for (guint i = 0; i < shard->replicas->len; i++)
		open += cfg_replica_open(cfg, cfg_replica(shard, i));
	return open;
}

static uint32_t service_open(const struct cfg *cfg,
			     const struct cfg_service *service)
{
	uint32_t open = 0;

	for (guint i = 0; i < service->shards->len; i++)
		open += open_replicas(cfg, cfg_shard(service, i));
	return open;
}

static void count_open(const struct cfg *cfg, uint32_t *upstreams,
		       uint32_t *slots)
{
	for (guint i = 0; i < cfg->services->len; i++) {
		const struct cfg_service *service = cfg_service(cfg, i);
		uint32_t open = service_open(cfg, service);

		*upstreams += open;
		*slots += open * service->limits.slots;
	}
}

/*
 * Compares the slots of the services that exist already, since a new service
 * takes no load from them. Infinite when load is left without any slot.
 */
static double load_factor(const struct cfg *before, const struct cfg *after)
{
	uint64_t had = 0, left = 0;

	for (guint i = 0; i < before->services->len; i++) {
		const struct cfg_service *service = cfg_service(before, i);
		int index = cfg_find_service(after, service->name);

		had += (uint64_t)service_open(before, service) *
		       service->limits.slots;
		if (index < 0)
			continue;
		service = cfg_service(after, index);
		left += (uint64_t)service_open(after, service) *
			service->limits.slots;
	}
	if (had == left)
		return 1;
	return left ? (double)had / (double)left : INFINITY;
}

static void find_low(const struct cfg *next, struct pln_plan *plan)
{
	for (guint i = 0; i < next->services->len; i++) {
		const struct cfg_service *service = cfg_service(next, i);

		for (guint k = 0; k < service->shards->len; k++) {
			struct pln_shard_effect effect = { .shard = k };

			effect.replicas_left =
				open_replicas(next, cfg_shard(service, k));
			if (effect.replicas_left > 1)
				continue;
			plan->shards_unserved += !effect.replicas_left;
			effect.service = gb_str_dup(service->name);
			g_array_append_val(plan->low_shards, effect);
		}
	}
}

int pln_make(const struct cfg *cfg, const struct pln_intent *intent,
	     uint64_t id, struct pln_plan **plan, struct gb_error *err)
{
	struct pln_plan *made;
	struct cfg *next;

	if (pln_apply(cfg, intent, id, cfg->version, 0, &next, err))
		return -1;
	made = g_new0(struct pln_plan, 1);
	made->id = id;
	made->base_version = cfg->version;
	made->kind = intent->kind;
	made->load_factor = load_factor(cfg, next);
	made->low_shards =
		g_array_new(FALSE, TRUE, sizeof(struct pln_shard_effect));
	g_array_set_clear_func(made->low_shards, clear_shard_effect);
	count_open(cfg, &made->upstreams_before, &made->slots_before);
	count_open(next, &made->upstreams_after, &made->slots_after);
	find_low(next, made);
	cfg_unref(next);
	*plan = made;
	return 0;
}

void pln_free(struct pln_plan *plan)
{
	if (!plan)
		return;
	g_array_unref(plan->low_shards);
	g_free(plan);
}
