#include "config/cfg.h"

static const struct gb_str policy_names[] = {
	{ .ptr = "latency", .len = 7 },
	{ .ptr = "coverage", .len = 8 },
};

static int check_name(struct gb_str name, struct gb_error *err);
static int check_dcs(const struct cfg *cfg, struct gb_error *err);
static int check_vms(const struct cfg *cfg, struct gb_error *err);
static int check_limits(const struct cfg_service *service,
			struct gb_error *err);
static int check_policy(const struct cfg_service *service,
			struct gb_error *err);
static int check_replicas(const struct cfg *cfg,
			  const struct cfg_service *service,
			  struct gb_error *err);
static int check_snapshots(const struct cfg_service *service,
			   struct gb_error *err);
static int check_service(const struct cfg *cfg, uint32_t index,
			 struct gb_error *err);
static uint32_t count_missing_vms(const struct cfg *from,
				  const struct cfg *other);

/* A name is 1 to 64 printable ASCII bytes without space, quote and slash. */
static int check_name(struct gb_str name, struct gb_error *err)
{
	if (!name.len)
		return gb_fail(err, GB_ERR_MISSING, GB_STR("name"), 0);
	if (name.len > 64)
		return gb_fail(err, GB_ERR_TOO_LARGE, name, name.len);
	for (size_t i = 0; i < name.len; i++)
		if (!g_ascii_isgraph(name.ptr[i]) || name.ptr[i] == '"' ||
		    name.ptr[i] == '/')
			return gb_fail(err, GB_ERR_SYNTAX, name, 0);
	return 0;
}

static int check_dcs(const struct cfg *cfg, struct gb_error *err)
{
	for (guint i = 0; i < cfg->dcs->len; i++) {
		struct gb_str name = cfg_dc(cfg, i)->name;

		if (check_name(name, err))
			return -1;
		if (cfg_find_dc(cfg, name) != (int)i)
			return gb_fail(err, GB_ERR_DUPLICATE, name, 0);
	}
	return 0;
}

static int check_vms(const struct cfg *cfg, struct gb_error *err)
{
	if (cfg->vms->len > CFG_VMS_MAX)
		return gb_fail(err, GB_ERR_TOO_LARGE, GB_STR("vms"),
			       cfg->vms->len);
	for (guint i = 0; i < cfg->vms->len; i++) {
		const struct cfg_vm *vm = cfg_vm(cfg, i);

		if (check_name(vm->name, err))
			return -1;
		if (vm->dc >= cfg->dcs->len)
			return gb_fail(err, GB_ERR_REFERENCE, vm->name, vm->dc);
		if (i && cfg_vm(cfg, i - 1)->id >= vm->id)
			return gb_fail(err, GB_ERR_DUPLICATE, vm->name, vm->id);
	}
	return 0;
}

static int check_limits(const struct cfg_service *service, struct gb_error *err)
{
	const struct cfg_limits *limits = &service->limits;

	if (!limits->slots || limits->slots > 1024)
		return gb_fail(err, GB_ERR_OUT_OF_RANGE, GB_STR("slots"),
			       limits->slots);
	if (limits->queue > 1024)
		return gb_fail(err, GB_ERR_OUT_OF_RANGE, GB_STR("queue"),
			       limits->queue);
	if (!limits->cold_slots || limits->cold_slots > limits->slots)
		return gb_fail(err, GB_ERR_OUT_OF_RANGE, GB_STR("cold_slots"),
			       limits->cold_slots);
	if (!limits->connections || limits->connections > 65536)
		return gb_fail(err, GB_ERR_OUT_OF_RANGE, GB_STR("connections"),
			       limits->connections);
	if (limits->ramp < 0 || limits->ramp > 600 * GB_SEC)
		return gb_fail(err, GB_ERR_OUT_OF_RANGE, GB_STR("ramp"),
			       limits->ramp);
	if (service->hedge_permille > 1000)
		return gb_fail(err, GB_ERR_OUT_OF_RANGE,
			       GB_STR("hedge_permille"),
			       service->hedge_permille);
	if (service->deadline < GB_MSEC || service->deadline > 60 * GB_SEC)
		return gb_fail(err, GB_ERR_OUT_OF_RANGE, GB_STR("deadline"),
			       service->deadline);
	return 0;
}

static int check_policy(const struct cfg_service *service, struct gb_error *err)
{
	for (size_t i = 0; i < G_N_ELEMENTS(policy_names); i++)
		if (gb_str_eq(policy_names[i], service->policy))
			return 0;
	return gb_fail(err, GB_ERR_REFERENCE, service->policy, 0);
}

/* Replica names identify the state kept of replicas, so they must be unique. */
static int check_replicas(const struct cfg *cfg,
			  const struct cfg_service *service,
			  struct gb_error *err)
{
	GHashTable *names =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	int ret = 0;

	for (guint i = 0; !ret && i < service->shards->len; i++) {
		const struct cfg_shard *shard = cfg_shard(service, i);

		if (shard->replicas->len > CFG_REPLICAS_MAX)
			ret = gb_fail(err, GB_ERR_TOO_LARGE, service->name, i);
		for (guint k = 0; !ret && k < shard->replicas->len; k++) {
			const struct cfg_replica *r = cfg_replica(shard, k);

			if (check_name(r->name, err))
				ret = -1;
			else if (r->dc >= cfg->dcs->len)
				ret = gb_fail(err, GB_ERR_REFERENCE, r->name,
					      r->dc);
			else if (!g_hash_table_add(names, gb_str_to_c(r->name)))
				ret = gb_fail(err, GB_ERR_DUPLICATE, r->name,
					      0);
		}
	}
	g_hash_table_destroy(names);
	return ret;
}

static int check_snapshots(const struct cfg_service *service,
			   struct gb_error *err)
{
	uint64_t last = 0;

	for (guint i = 0; i < service->snapshots->len; i++) {
		const struct cfg_snapshot *snapshot = &g_array_index(
			service->snapshots, struct cfg_snapshot, i);

		if (snapshot->id <= last)
			return gb_fail(err, GB_ERR_OUT_OF_RANGE, service->name,
				       snapshot->id);
		if (snapshot->docs->len != service->shards->len)
			return gb_fail(err, GB_ERR_MISSING, service->name,
				       snapshot->id);
		last = snapshot->id;
	}
	return 0;
}

static int check_service(const struct cfg *cfg, uint32_t index,
			 struct gb_error *err)
{
	const struct cfg_service *service = cfg_service(cfg, index);

	if (check_name(service->name, err))
		return -1;
	if (cfg_find_service(cfg, service->name) != (int)index)
		return gb_fail(err, GB_ERR_DUPLICATE, service->name, 0);
	if (service->shards->len > CFG_SHARDS_MAX)
		return gb_fail(err, GB_ERR_TOO_LARGE, service->name,
			       service->shards->len);
	if (check_limits(service, err) || check_policy(service, err) ||
	    check_replicas(cfg, service, err))
		return -1;
	return check_snapshots(service, err);
}

int cfg_check(const struct cfg *cfg, struct gb_error *err)
{
	if (check_dcs(cfg, err) || check_vms(cfg, err))
		return -1;
	for (guint i = 0; i < cfg->services->len; i++)
		if (check_service(cfg, i, err))
			return -1;
	return 0;
}

/* Counts the VMs of one roster that are not in the other. */
static uint32_t count_missing_vms(const struct cfg *from,
				  const struct cfg *other)
{
	uint32_t missing = 0;

	for (guint i = 0; i < from->vms->len; i++)
		missing += cfg_find_vm(other, cfg_vm(from, i)->id) < 0;
	return missing;
}

int cfg_check_successor(const struct cfg *prev, const struct cfg *next,
			struct gb_error *err)
{
	uint32_t differ =
		count_missing_vms(prev, next) + count_missing_vms(next, prev);

	if (differ > 1)
		return gb_fail(err, GB_ERR_ROSTER_STEP, GB_STR(""), differ);
	if (next->epoch != prev->epoch + differ)
		return gb_fail(err, GB_ERR_OUT_OF_RANGE, GB_STR("epoch"),
			       next->epoch);
	return 0;
}
