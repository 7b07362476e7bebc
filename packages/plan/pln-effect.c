#include "plan/pln.h"

#include <math.h>

static void free_shard_effect(gpointer data);
static uint32_t count_usable_replicas(const struct cfg *cfg,
				      const struct cfg_shard *shard);
static uint32_t
count_usable_service_replicas(const struct cfg *cfg,
			      const struct cfg_service *service);
static void count_capacity(const struct cfg *cfg, uint32_t *upstreams,
			   uint32_t *slots);
static double load_factor(const struct cfg *before, const struct cfg *after);
static void add_low_shards(const struct cfg *next, struct pln_plan *plan);

static void free_shard_effect(gpointer data)
{
	struct pln_shard_effect *effect = data;

	gb_str_free(&effect->service);
}

static uint32_t count_usable_replicas(const struct cfg *cfg,
				      const struct cfg_shard *shard)
{
	uint32_t usable = 0;

	for (guint i = 0; i < shard->replicas->len; i++)
		usable += cfg_replica_accepts_work(cfg, cfg_replica(shard, i));
	return usable;
}

static uint32_t count_usable_service_replicas(const struct cfg *cfg,
					      const struct cfg_service *service)
{
	uint32_t usable = 0;

	for (guint i = 0; i < service->shards->len; i++)
		usable += count_usable_replicas(cfg, cfg_shard(service, i));
	return usable;
}

static void count_capacity(const struct cfg *cfg, uint32_t *upstreams,
			   uint32_t *slots)
{
	for (guint i = 0; i < cfg->services->len; i++) {
		const struct cfg_service *service = cfg_service(cfg, i);
		uint32_t usable = count_usable_service_replicas(cfg, service);

		*upstreams += usable;
		*slots += usable * service->limits.slots;
	}
}

/*
 * Returns the ratio of the slots before and after the change. A new service is
 * not counted, since it takes no load from the existing ones. The factor is
 * infinite if no slot is left.
 */
static double load_factor(const struct cfg *before, const struct cfg *after)
{
	uint64_t slots_before = 0, slots_after = 0;

	for (guint i = 0; i < before->services->len; i++) {
		const struct cfg_service *service = cfg_service(before, i);
		int index = cfg_find_service(after, service->name);

		slots_before += (uint64_t)count_usable_service_replicas(
					before, service) *
				service->limits.slots;
		if (index < 0)
			continue;
		service = cfg_service(after, index);
		slots_after += (uint64_t)count_usable_service_replicas(
				       after, service) *
			       service->limits.slots;
	}
	if (slots_before == slots_after)
		return 1;
	return slots_after ? (double)slots_before / (double)slots_after
			   : INFINITY;
}

static void add_low_shards(const struct cfg *next, struct pln_plan *plan)
{
	for (guint i = 0; i < next->services->len; i++) {
		const struct cfg_service *service = cfg_service(next, i);

		for (guint k = 0; k < service->shards->len; k++) {
			struct pln_shard_effect effect = { .shard = k };

			effect.replicas_left = count_usable_replicas(
				next, cfg_shard(service, k));
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
	struct pln_plan *new_plan;
	struct cfg *next;

	if (pln_apply(cfg, intent, id, cfg->version, 0, &next, err))
		return -1;
	new_plan = g_new0(struct pln_plan, 1);
	new_plan->id = id;
	new_plan->base_version = cfg->version;
	new_plan->kind = intent->kind;
	new_plan->load_factor = load_factor(cfg, next);
	new_plan->low_shards =
		g_array_new(FALSE, TRUE, sizeof(struct pln_shard_effect));
	g_array_set_clear_func(new_plan->low_shards, free_shard_effect);
	count_capacity(cfg, &new_plan->upstreams_before,
		       &new_plan->slots_before);
	count_capacity(next, &new_plan->upstreams_after,
		       &new_plan->slots_after);
	add_low_shards(next, new_plan);
	cfg_unref(next);
	*plan = new_plan;
	return 0;
}

void pln_free(struct pln_plan *plan)
{
	if (!plan)
		return;
	g_array_unref(plan->low_shards);
	g_free(plan);
}
