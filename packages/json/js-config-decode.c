#include "json/js.h"
#include "json/js-config.h"
#include "json/js-field.h"

struct decoder {
	struct cfg *cfg;
	bool partial;
	struct gb_error *err;
};

struct config_members {
	int64_t epoch;
	json_t *dcs;
	json_t *vms;
	json_t *services;
	json_t *excluded;
	json_t *changes;
};

struct vm_members {
	struct cfg_vm vm;
	struct gb_str dc;
};

struct service_members {
	struct cfg_service service; /* only numbers and booleans are set */
	struct gb_str name;
	struct gb_str policy;
	json_t *limits;
	json_t *shards;
	json_t *snapshots;
};

struct replica_members {
	struct cfg_replica replica;
	struct gb_str dc;
};

struct snapshot_members {
	int64_t id;
	json_t *docs;
};

static int read_members(struct decoder *d, json_t *json, struct gb_str name,
			const struct js_field *fields, size_t len,
			void *members);
static int read_each(struct decoder *d, json_t *array,
		     int (*read)(struct decoder *d, json_t *json));
static int find_dc(struct decoder *d, struct gb_str name, uint32_t *index);
static int read_dc(struct decoder *d, json_t *json);
static int read_vm(struct decoder *d, json_t *json);
static int read_replica(struct decoder *d, struct cfg_shard *shard,
			json_t *json);
static int read_shard(struct decoder *d, struct cfg_service *service,
		      json_t *json);
static int read_snapshot(struct decoder *d, struct cfg_service *service,
			 json_t *json);
static int read_service(struct decoder *d, json_t *json);
static int read_change(struct decoder *d, json_t *json);
static int read_config(struct decoder *d, json_t *json);

#define FIELD(type, member, k, reader, lo, hi, p)                              \
	{                                                                      \
		.key = GB_STR_INIT(k), .read = reader,                         \
		.offset = offsetof(struct type, member), .min = lo, .max = hi, \
		.presence = p                                                  \
	}

static const struct js_field config_fields[] = {
	FIELD(config_members, epoch, "epoch", js_read_i64, 0, INT64_MAX,
	      JS_REQUIRED_UNLESS_PARTIAL),
	FIELD(config_members, dcs, "dcs", js_read_array, 0, 0,
	      JS_REQUIRED_UNLESS_PARTIAL),
	FIELD(config_members, vms, "vms", js_read_array, 0, 0,
	      JS_REQUIRED_UNLESS_PARTIAL),
	FIELD(config_members, services, "services", js_read_array, 0, 0,
	      JS_REQUIRED_UNLESS_PARTIAL),
	FIELD(config_members, excluded, "excluded", js_read_array, 0, 0,
	      JS_OPTIONAL),
	FIELD(config_members, changes, "changes", js_read_array, 0, 0,
	      JS_OPTIONAL),
};

static const struct js_field dc_fields[] = {
	FIELD(cfg_dc, name, "name", js_read_str, 0, 0, JS_REQUIRED),
	FIELD(cfg_dc, region, "region", js_read_str, 0, 0, JS_OPTIONAL),
	FIELD(cfg_dc, excluded, "out", js_read_bool, 0, 0, JS_OPTIONAL),
	FIELD(cfg_dc, returned_ms, "returned_ms", js_read_i64, 0, INT64_MAX,
	      JS_OPTIONAL),
};

static const struct js_field vm_fields[] = {
	FIELD(vm_members, vm.id, "id", js_read_u32, 1, UINT32_MAX, JS_REQUIRED),
	FIELD(vm_members, vm.name, "name", js_read_str, 0, 0, JS_REQUIRED),
	FIELD(vm_members, vm.host, "host", js_read_str, 0, 0, JS_REQUIRED),
	FIELD(vm_members, vm.peer_port, "peer_port", js_read_u16, 1, UINT16_MAX,
	      JS_REQUIRED),
	FIELD(vm_members, vm.http_port, "http_port", js_read_u16, 1, UINT16_MAX,
	      JS_REQUIRED),
	FIELD(vm_members, dc, "dc", js_read_str, 0, 0, JS_REQUIRED),
};

static const struct js_field service_fields[] = {
	FIELD(service_members, name, "name", js_read_str, 0, 0, JS_REQUIRED),
	FIELD(service_members, policy, "policy", js_read_str, 0, 0,
	      JS_REQUIRED_UNLESS_PARTIAL),
	FIELD(service_members, service.priority, "priority", js_read_u32, 0,
	      UINT32_MAX, JS_OPTIONAL),
	FIELD(service_members, service.hedge_permille, "hedge_permille",
	      js_read_u32, 0, 1000, JS_OPTIONAL),
	FIELD(service_members, service.deadline, "deadline_ms", js_read_ms, 1,
	      60000, JS_OPTIONAL),
	FIELD(service_members, service.canary, "canary", js_read_bool, 0, 0,
	      JS_OPTIONAL),
	FIELD(service_members, limits, "limits", js_read_child, 0, 0,
	      JS_OPTIONAL),
	FIELD(service_members, shards, "shards", js_read_array, 0, 0,
	      JS_REQUIRED_UNLESS_PARTIAL),
	FIELD(service_members, snapshots, "snapshots", js_read_array, 0, 0,
	      JS_REQUIRED_UNLESS_PARTIAL),
};

/* The bounds only keep values in their type; cfg_check() checks the rest. */
static const struct js_field limit_fields[] = {
	FIELD(cfg_limits, slots, "slots", js_read_u32, 0, UINT32_MAX,
	      JS_OPTIONAL),
	FIELD(cfg_limits, queue, "queue", js_read_u32, 0, UINT32_MAX,
	      JS_OPTIONAL),
	FIELD(cfg_limits, connections, "connections", js_read_u32, 0,
	      UINT32_MAX, JS_OPTIONAL),
	FIELD(cfg_limits, cold_slots, "cold_slots", js_read_u32, 0, UINT32_MAX,
	      JS_OPTIONAL),
	FIELD(cfg_limits, ramp, "ramp_ms", js_read_ms, 0, 600000, JS_OPTIONAL),
};

static const struct js_field shard_fields[] = {
	{ .key = GB_STR_INIT("replicas"),
	  .read = js_read_array,
	  .presence = JS_REQUIRED },
};

static const struct js_field replica_fields[] = {
	FIELD(replica_members, replica.name, "name", js_read_str, 0, 0,
	      JS_REQUIRED),
	FIELD(replica_members, replica.host, "host", js_read_str, 0, 0,
	      JS_REQUIRED),
	FIELD(replica_members, replica.port, "port", js_read_u16, 1, UINT16_MAX,
	      JS_REQUIRED),
	FIELD(replica_members, dc, "dc", js_read_str, 0, 0, JS_REQUIRED),
	FIELD(replica_members, replica.draining, "draining", js_read_bool, 0, 0,
	      JS_OPTIONAL),
};

static const struct js_field snapshot_fields[] = {
	FIELD(snapshot_members, id, "id", js_read_i64, 1, INT64_MAX,
	      JS_REQUIRED),
	FIELD(snapshot_members, docs, "docs", js_read_array, 0, 0, JS_REQUIRED),
};

static const struct js_field docs_field = {
	.key = GB_STR_INIT("docs"),
	/* The sum over all shards stays in range. */
	.max = INT64_MAX / CFG_SHARDS_MAX,
};

static int read_members(struct decoder *d, json_t *json, struct gb_str name,
			const struct js_field *fields, size_t len,
			void *members)
{
	return js_read_object(json, name, fields, len, d->partial, members,
			      d->err);
}

static int read_each(struct decoder *d, json_t *array,
		     int (*read)(struct decoder *d, json_t *json))
{
	json_t *value;
	size_t i;

	json_array_foreach(array, i, value)
	{
		if (read(d, value))
			return -1;
	}
	return 0;
}

/* A partial configuration gets a data centre that it only refers to. */
static int find_dc(struct decoder *d, struct gb_str name, uint32_t *index)
{
	int dc = cfg_find_dc(d->cfg, name);

	if (dc < 0 && d->partial) {
		dc = d->cfg->dcs->len;
		cfg_add_dc(d->cfg, name);
	}
	if (dc < 0)
		return gb_fail(d->err, GB_ERR_REFERENCE, name, 0);
	*index = dc;
	return 0;
}

static int read_dc(struct decoder *d, json_t *json)
{
	struct cfg_dc members = { 0 };
	struct cfg_dc *dc;

	if (read_members(d, json, GB_STR("dcs"), dc_fields,
			 G_N_ELEMENTS(dc_fields), &members))
		return -1;
	dc = cfg_add_dc(d->cfg, members.name);
	dc->region = gb_str_dup(members.region);
	dc->excluded = members.excluded;
	dc->returned_ms = members.returned_ms;
	return 0;
}

static int read_vm(struct decoder *d, json_t *json)
{
	struct vm_members members = { 0 };
	struct cfg_vm *vm;

	if (read_members(d, json, GB_STR("vms"), vm_fields,
			 G_N_ELEMENTS(vm_fields), &members) ||
	    find_dc(d, members.dc, &members.vm.dc))
		return -1;
	vm = cfg_add_vm(d->cfg, members.vm.id, members.vm.name,
			members.vm.host);
	vm->peer_port = members.vm.peer_port;
	vm->http_port = members.vm.http_port;
	vm->dc = members.vm.dc;
	return 0;
}

static int read_replica(struct decoder *d, struct cfg_shard *shard,
			json_t *json)
{
	struct replica_members members = { 0 };
	struct cfg_replica *replica;

	if (read_members(d, json, GB_STR("replicas"), replica_fields,
			 G_N_ELEMENTS(replica_fields), &members) ||
	    find_dc(d, members.dc, &members.replica.dc))
		return -1;
	replica = cfg_add_replica(shard, members.replica.name,
				  members.replica.host);
	replica->port = members.replica.port;
	replica->dc = members.replica.dc;
	replica->draining = members.replica.draining;
	return 0;
}

static int read_shard(struct decoder *d, struct cfg_service *service,
		      json_t *json)
{
	struct cfg_shard *shard = cfg_add_shard(service);
	json_t *replicas = NULL;
	json_t *value;
	size_t i;

	if (read_members(d, json, GB_STR("shards"), shard_fields,
			 G_N_ELEMENTS(shard_fields), &replicas))
		return -1;
	json_array_foreach(replicas, i, value)
	{
		if (read_replica(d, shard, value))
			return -1;
	}
	return 0;
}

static int read_snapshot(struct decoder *d, struct cfg_service *service,
			 json_t *json)
{
	struct snapshot_members members = { 0 };
	struct cfg_snapshot *snapshot;
	json_t *value;
	size_t i;

	if (read_members(d, json, GB_STR("snapshots"), snapshot_fields,
			 G_N_ELEMENTS(snapshot_fields), &members))
		return -1;
	snapshot = cfg_add_snapshot(service, members.id);
	json_array_foreach(members.docs, i, value)
	{
		uint64_t docs;

		if (js_read_i64(&docs_field, value, &docs, d->err))
			return -1;
		g_array_append_val(snapshot->docs, docs);
	}
	return 0;
}

/* cfg_add_service() sets the defaults, so it precedes reading the members. */
static int read_service(struct decoder *d, json_t *json)
{
	struct cfg_service *service = cfg_add_service(
		d->cfg, js_string_value(json_object_get(json, "name")));
	struct service_members members = { .service = *service,
					   .policy = GB_STR("latency") };
	json_t *value;
	size_t i;

	if (read_members(d, json, GB_STR("services"), service_fields,
			 G_N_ELEMENTS(service_fields), &members))
		return -1;
	cfg_set_policy(service, members.policy);
	service->priority = members.service.priority;
	service->hedge_permille = members.service.hedge_permille;
	service->deadline = members.service.deadline;
	service->canary = members.service.canary;
	if (members.limits &&
	    read_members(d, members.limits, GB_STR("limits"), limit_fields,
			 G_N_ELEMENTS(limit_fields), &service->limits))
		return -1;
	json_array_foreach(members.shards, i, value)
	{
		if (read_shard(d, service, value))
			return -1;
	}
	json_array_foreach(members.snapshots, i, value)
	{
		if (read_snapshot(d, service, value))
			return -1;
	}
	return 0;
}

static int read_excluded(struct decoder *d, json_t *json)
{
	struct js_field field = { .key = GB_STR_INIT("excluded"),
				  .min = 1,
				  .max = UINT32_MAX };
	uint32_t id;

	if (js_read_u32(&field, json, &id, d->err))
		return -1;
	cfg_exclude_vm(d->cfg, id);
	return 0;
}

static int read_change(struct decoder *d, json_t *json)
{
	struct js_field field = { .key = GB_STR_INIT("changes") };
	uint64_t change;

	if (js_read_hex(&field, json, &change, d->err))
		return -1;
	cfg_add_change(d->cfg, change);
	return 0;
}

static int read_config(struct decoder *d, json_t *json)
{
	struct config_members members = { 0 };

	if (read_members(d, json, GB_STR("configuration"), config_fields,
			 G_N_ELEMENTS(config_fields), &members))
		return -1;
	d->cfg->epoch = members.epoch;
	if (json_array_size(members.changes) > CFG_CHANGES_MAX)
		return gb_fail(d->err, GB_ERR_TOO_LARGE, GB_STR("changes"),
			       json_array_size(members.changes));
	if (read_each(d, members.dcs, read_dc) ||
	    read_each(d, members.vms, read_vm) ||
	    read_each(d, members.services, read_service) ||
	    read_each(d, members.excluded, read_excluded) ||
	    read_each(d, members.changes, read_change))
		return -1;
	return d->partial ? 0 : cfg_check(d->cfg, d->err);
}

struct cfg *js_config_from_json(json_t *json, bool partial,
				struct gb_error *err)
{
	struct decoder d = { .cfg = cfg_new(), .partial = partial, .err = err };

	if (!read_config(&d, json))
		return d.cfg;
	cfg_unref(d.cfg);
	return NULL;
}

struct cfg *js_config_decode(struct gb_str text, struct gb_error *err)
{
	struct cfg *cfg;
	json_t *json;

	if (text.len > CFG_OBJECT_MAX_BYTES) {
		gb_fail(err, GB_ERR_TOO_LARGE, GB_STR("configuration"),
			text.len);
		return NULL;
	}
	json = js_parse(text, err);
	if (!json)
		return NULL;
	cfg = js_config_from_json(json, false, err);
	json_decref(json);
	return cfg;
}
