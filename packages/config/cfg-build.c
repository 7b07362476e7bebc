#include "config/cfg.h"

#include <string.h>

static void clear_dc(gpointer data);
static void clear_vm(gpointer data);
static void clear_replica(gpointer data);
static void clear_shard(gpointer data);
static void clear_snapshot(gpointer data);
static void clear_service(gpointer data);
static GArray *array_new(guint size, GDestroyNotify clear);
static void *append(GArray *array, const void *element);
static void copy_shards(struct cfg_service *to, const struct cfg_service *from);

static void clear_dc(gpointer data)
{
	struct cfg_dc *dc = data;

	gb_str_free(&dc->name);
	gb_str_free(&dc->region);
}

static void clear_vm(gpointer data)
{
	struct cfg_vm *vm = data;

	gb_str_free(&vm->name);
	gb_str_free(&vm->host);
}

static void clear_replica(gpointer data)
{
	struct cfg_replica *replica = data;

	gb_str_free(&replica->name);
	gb_str_free(&replica->host);
}

static void clear_shard(gpointer data)
{
	struct cfg_shard *shard = data;

	g_array_unref(shard->replicas);
}

static void clear_snapshot(gpointer data)
{
	struct cfg_snapshot *snapshot = data;

	g_array_unref(snapshot->docs);
}

static void clear_service(gpointer data)
{
	struct cfg_service *service = data;

	gb_str_free(&service->name);
	gb_str_free(&service->policy);
	g_array_unref(service->shards);
	g_array_unref(service->snapshots);
}

static GArray *array_new(guint size, GDestroyNotify clear)
{
	GArray *array = g_array_new(FALSE, TRUE, size);

	if (clear)
		g_array_set_clear_func(array, clear);
	return array;
}

/* Appends an element and returns its address in the array. */
static void *append(GArray *array, const void *element)
{
	g_array_append_vals(array, element, 1);
	return array->data +
	       (size_t)(array->len - 1) * g_array_get_element_size(array);
}

struct cfg *cfg_new(void)
{
	struct cfg *cfg = g_new0(struct cfg, 1);

	cfg->refs = 1;
	cfg->dcs = array_new(sizeof(struct cfg_dc), clear_dc);
	cfg->vms = array_new(sizeof(struct cfg_vm), clear_vm);
	cfg->services = array_new(sizeof(struct cfg_service), clear_service);
	cfg->excluded_vms = array_new(sizeof(uint32_t), NULL);
	cfg->change_ids = array_new(sizeof(uint64_t), NULL);
	return cfg;
}

struct cfg *cfg_ref(struct cfg *cfg)
{
	cfg->refs++;
	return cfg;
}

void cfg_unref(struct cfg *cfg)
{
	if (!cfg || --cfg->refs)
		return;
	g_array_unref(cfg->dcs);
	g_array_unref(cfg->vms);
	g_array_unref(cfg->services);
	g_array_unref(cfg->excluded_vms);
	g_array_unref(cfg->change_ids);
	g_free(cfg);
}

struct cfg_dc *cfg_add_dc(struct cfg *cfg, struct gb_str name)
{
	struct cfg_dc dc = { .name = gb_str_dup(name) };

	return append(cfg->dcs, &dc);
}

struct cfg_vm *cfg_add_vm(struct cfg *cfg, uint32_t id, struct gb_str name,
			  struct gb_str host)
{
	struct cfg_vm vm = { .id = id,
			     .name = gb_str_dup(name),
			     .host = gb_str_dup(host) };
	guint at = 0;

	while (at < cfg->vms->len && cfg_vm(cfg, at)->id < id)
		at++;
	g_array_insert_val(cfg->vms, at, vm);
	return &g_array_index(cfg->vms, struct cfg_vm, at);
}

void cfg_remove_vm(struct cfg *cfg, uint32_t index)
{
	g_array_remove_index(cfg->vms, index);
}

struct cfg_service *cfg_add_service(struct cfg *cfg, struct gb_str name)
{
	struct cfg_service service = {
		.name = gb_str_dup(name),
		.policy = gb_str_dup(GB_STR("latency")),
		.hedge_permille = 30,
		.deadline = 200 * GB_MSEC,
		.canary = true,
		.limits = { .slots = 2,
			    .queue = 1,
			    .connections = 25,
			    .cold_slots = 1,
			    .ramp = 2 * GB_SEC },
		.shards = array_new(sizeof(struct cfg_shard), clear_shard),
		.snapshots =
			array_new(sizeof(struct cfg_snapshot), clear_snapshot),
	};

	return append(cfg->services, &service);
}

void cfg_set_policy(struct cfg_service *service, struct gb_str policy)
{
	gb_str_free(&service->policy);
	service->policy = gb_str_dup(policy);
}

struct cfg_shard *cfg_add_shard(struct cfg_service *service)
{
	struct cfg_shard shard = {
		.replicas =
			array_new(sizeof(struct cfg_replica), clear_replica),
	};

	return append(service->shards, &shard);
}

struct cfg_replica *cfg_add_replica(struct cfg_shard *shard, struct gb_str name,
				    struct gb_str host)
{
	struct cfg_replica replica = { .name = gb_str_dup(name),
				       .host = gb_str_dup(host) };

	return append(shard->replicas, &replica);
}

struct cfg_snapshot *cfg_add_snapshot(struct cfg_service *service, uint64_t id)
{
	struct cfg_snapshot snapshot = {
		.id = id,
		.docs = array_new(sizeof(uint64_t), NULL),
	};

	return append(service->snapshots, &snapshot);
}

void cfg_prune_snapshots(struct cfg_service *service, uint32_t max)
{
	if (service->snapshots->len > max)
		g_array_remove_range(service->snapshots, 0,
				     service->snapshots->len - max);
}

/* Past CFG_EXCLUDED_VMS_MAX exclusions the oldest one is removed. */
void cfg_exclude_vm(struct cfg *cfg, uint32_t id)
{
	cfg_include_vm(cfg, id);
	g_array_append_val(cfg->excluded_vms, id);
	if (cfg->excluded_vms->len > CFG_EXCLUDED_VMS_MAX)
		g_array_remove_index(cfg->excluded_vms, 0);
}

void cfg_include_vm(struct cfg *cfg, uint32_t id)
{
	for (guint i = cfg->excluded_vms->len; i-- > 0;)
		if (g_array_index(cfg->excluded_vms, uint32_t, i) == id)
			g_array_remove_index(cfg->excluded_vms, i);
}

/* Adds the id of a change; past CFG_CHANGES_MAX the oldest one is removed. */
void cfg_add_change(struct cfg *cfg, uint64_t change)
{
	g_array_append_val(cfg->change_ids, change);
	if (cfg->change_ids->len > CFG_CHANGES_MAX)
		g_array_remove_index(cfg->change_ids, 0);
}

static void copy_shards(struct cfg_service *to, const struct cfg_service *from)
{
	for (guint i = 0; i < from->shards->len; i++) {
		const struct cfg_shard *shard = cfg_shard(from, i);
		struct cfg_shard *copy = cfg_add_shard(to);

		for (guint k = 0; k < shard->replicas->len; k++) {
			const struct cfg_replica *r = cfg_replica(shard, k);
			struct cfg_replica *c =
				cfg_add_replica(copy, r->name, r->host);

			c->port = r->port;
			c->dc = r->dc;
			c->draining = r->draining;
		}
	}
}

struct cfg_service *cfg_add_service_copy(struct cfg *cfg,
					 const struct cfg_service *from)
{
	struct cfg_service *to = cfg_add_service(cfg, from->name);

	cfg_set_policy(to, from->policy);
	to->priority = from->priority;
	to->hedge_permille = from->hedge_permille;
	to->deadline = from->deadline;
	to->canary = from->canary;
	to->limits = from->limits;
	cfg_set_partition(to, from);
	return to;
}

void cfg_set_partition(struct cfg_service *to, const struct cfg_service *from)
{
	g_array_set_size(to->shards, 0);
	g_array_set_size(to->snapshots, 0);
	copy_shards(to, from);
	for (guint i = 0; i < from->snapshots->len; i++) {
		const struct cfg_snapshot *s =
			&g_array_index(from->snapshots, struct cfg_snapshot, i);
		struct cfg_snapshot *copy = cfg_add_snapshot(to, s->id);

		g_array_append_vals(copy->docs, s->docs->data, s->docs->len);
	}
}

struct cfg *cfg_copy(const struct cfg *cfg)
{
	struct cfg *copy = cfg_new();

	copy->version = cfg->version;
	copy->epoch = cfg->epoch;
	for (guint i = 0; i < cfg->dcs->len; i++) {
		const struct cfg_dc *from = cfg_dc(cfg, i);
		struct cfg_dc *to = cfg_add_dc(copy, from->name);

		to->region = gb_str_dup(from->region);
		to->excluded = from->excluded;
		to->returned_ms = from->returned_ms;
	}
	for (guint i = 0; i < cfg->vms->len; i++) {
		const struct cfg_vm *from = cfg_vm(cfg, i);
		struct cfg_vm *to =
			cfg_add_vm(copy, from->id, from->name, from->host);

		to->peer_port = from->peer_port;
		to->http_port = from->http_port;
		to->dc = from->dc;
	}
	for (guint i = 0; i < cfg->services->len; i++)
		cfg_add_service_copy(copy, cfg_service(cfg, i));
	g_array_append_vals(copy->excluded_vms, cfg->excluded_vms->data,
			    cfg->excluded_vms->len);
	g_array_append_vals(copy->change_ids, cfg->change_ids->data,
			    cfg->change_ids->len);
	return copy;
}
