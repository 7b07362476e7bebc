#include "config/cfg.h"

int cfg_find_dc(const struct cfg *cfg, struct gb_str name)
{
	for (guint i = 0; i < cfg->dcs->len; i++)
		if (gb_str_eq(cfg_dc(cfg, i)->name, name))
			return i;
	return -1;
}

int cfg_find_vm(const struct cfg *cfg, uint32_t id)
{
	for (guint i = 0; i < cfg->vms->len; i++)
		if (cfg_vm(cfg, i)->id == id)
			return i;
	return -1;
}

int cfg_find_service(const struct cfg *cfg, struct gb_str name)
{
	for (guint i = 0; i < cfg->services->len; i++)
		if (gb_str_eq(cfg_service(cfg, i)->name, name))
			return i;
	return -1;
}

bool cfg_is_vm_excluded(const struct cfg *cfg, uint32_t id)
{
	for (guint i = 0; i < cfg->excluded_vms->len; i++)
		if (g_array_index(cfg->excluded_vms, uint32_t, i) == id)
			return true;
	return false;
}

bool cfg_has_change(const struct cfg *cfg, uint64_t change)
{
	for (guint i = 0; i < cfg->change_ids->len; i++)
		if (g_array_index(cfg->change_ids, uint64_t, i) == change)
			return true;
	return false;
}

const struct cfg_dc *cfg_dc(const struct cfg *cfg, uint32_t index)
{
	return &g_array_index(cfg->dcs, struct cfg_dc, index);
}

const struct cfg_vm *cfg_vm(const struct cfg *cfg, uint32_t index)
{
	return &g_array_index(cfg->vms, struct cfg_vm, index);
}

const struct cfg_service *cfg_service(const struct cfg *cfg, uint32_t index)
{
	return &g_array_index(cfg->services, struct cfg_service, index);
}

const struct cfg_shard *cfg_shard(const struct cfg_service *service,
				  uint32_t index)
{
	return &g_array_index(service->shards, struct cfg_shard, index);
}

const struct cfg_replica *cfg_replica(const struct cfg_shard *shard,
				      uint32_t index)
{
	return &g_array_index(shard->replicas, struct cfg_replica, index);
}

const struct cfg_snapshot *cfg_snapshot(const struct cfg_service *service,
					uint64_t id)
{
	for (guint i = 0; i < service->snapshots->len; i++) {
		const struct cfg_snapshot *snapshot = &g_array_index(
			service->snapshots, struct cfg_snapshot, i);

		if (snapshot->id == id)
			return snapshot;
	}
	return NULL;
}

const struct cfg_snapshot *
cfg_newest_snapshot(const struct cfg_service *service)
{
	if (!service->snapshots->len)
		return NULL;
	return &g_array_index(service->snapshots, struct cfg_snapshot,
			      service->snapshots->len - 1);
}

uint64_t cfg_snapshot_docs(const struct cfg_snapshot *snapshot)
{
	uint64_t sum = 0;

	for (guint i = 0; i < snapshot->docs->len; i++)
		sum += cfg_shard_docs(snapshot, i);
	return sum;
}

uint64_t cfg_shard_docs(const struct cfg_snapshot *snapshot, uint32_t shard)
{
	if (shard >= snapshot->docs->len)
		return 0;
	return g_array_index(snapshot->docs, uint64_t, shard);
}

void cfg_each_replica(const struct cfg *cfg, cfg_replica_fn fn, void *ctx)
{
	for (guint i = 0; i < cfg->services->len; i++) {
		const struct cfg_service *service = cfg_service(cfg, i);

		for (guint k = 0; k < service->shards->len; k++) {
			const struct cfg_shard *shard = cfg_shard(service, k);

			for (guint r = 0; r < shard->replicas->len; r++)
				fn(ctx, cfg, service, cfg_replica(shard, r));
		}
	}
}

uint32_t cfg_granter_count(const struct cfg *cfg)
{
	return MIN(cfg->vms->len, CFG_GRANTERS_MAX);
}

uint32_t cfg_majority(const struct cfg *cfg)
{
	return cfg_granter_count(cfg) / 2 + 1;
}

uint32_t cfg_shard_unit(const struct cfg_service *service, uint32_t shard)
{
	return gb_hash_u64(gb_hash(service->name, 0), shard) % CFG_UNITS;
}

bool cfg_replica_accepts_work(const struct cfg *cfg,
			      const struct cfg_replica *replica)
{
	return !replica->draining && !cfg_dc(cfg, replica->dc)->excluded;
}

uint32_t cfg_connection_share(const struct cfg *cfg,
			      const struct cfg_service *service)
{
	uint32_t vms = MAX(cfg->vms->len, 1);

	return MAX(service->limits.connections / vms, 1);
}
