#include "json/js.h"
#include "json/js-config.h"
#include "json/js-field.h"

struct decoder {
	struct cfg *cfg;
	bool partial;
	struct gb_error *err;
};

struct config_form {
	int64_t epoch;
	json_t *dcs;
	json_t *vms;
	json_t *services;
	json_t *excluded;
	json_t *changes;
};

struct vm_form {
	struct cfg_vm vm;
	struct gb_str dc;
};

struct service_form {
	struct cfg_service service; /* numbers only */
	struct gb_str name;
	struct gb_str policy;
	json_t *limits;
	json_t *shards;
	json_t *snapshots;
};

struct replica_form {
	struct cfg_replica replica;
	struct gb_str dc;
};

struct snapshot_form {
	int64_t id;
	json_t *docs;
};

static int read_form(struct decoder *d, json_t *json, struct gb_str name,
		     const struct js_field *fields, size_t len, void *form);
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

#define FIELD(form, member, k, reader, lo, hi, n)                              \
	{                                                                      \
		.key = GB_STR_INIT(k), .read = reader,                         \
		.offset = offsetof(struct form, member), .min = lo, .max = hi, \
		.need = n                                                      \
	}

static const struct js_field config_fields[] = {
	FIELD(config_form, epoch, "epoch", js_read_i64, 0, INT64_MAX, JS_FULL),
	FIELD(config_form, dcs, "dcs", js_read_array, 0, 0, JS_FULL),
	FIELD(config_form, vms, "vms", js_read_array, 0, 0, JS_FULL),
	FIELD(config_form, services, "services", js_read_array, 0, 0, JS_FULL),
	FIELD(config_form, excluded, "excluded", js_read_array, 0, 0,
	      JS_OPTIONAL),
	FIELD(config_form, changes, "changes", js_read_array, 0, 0,
	      JS_OPTIONAL),
};

static const struct js_field dc_fields[] = {
	FIELD(cfg_dc, name, "name", js_read_str, 0, 0, JS_REQUIRED),
	FIELD(cfg_dc, region, "region", js_read_str, 0, 0, JS_OPTIONAL),
	FIELD(cfg_dc, out, "out", js_read_bool, 0, 0, JS_OPTIONAL),
	FIELD(cfg_dc, returned_ms, "returned_ms", js_read_i64, 0, INT64_MAX,
	      JS_OPTIONAL),
};

static const struct js_field vm_fields[] = {
	FIELD(vm_form, vm.id, "id", js_read_u32, 1, UINT32_MAX, JS_REQUIRED),
	FIELD(vm_form, vm.name, "name", js_read_str, 0, 0, JS_REQUIRED),
	FIELD(vm_form, vm.host, "host", js_read_str, 0, 0, JS_REQUIRED),
	FIELD(vm_form, vm.peer_port, "peer_port", js_read_u16, 1, UINT16_MAX,
	      JS_REQUIRED),
	FIELD(vm_form, vm.http_port, "http_port", js_read_u16, 1, UINT16_MAX,
	      JS_REQUIRED),
	FIELD(vm_form, dc, "dc", js_read_str, 0, 0, JS_REQUIRED),
};

static const struct js_field service_fields[] = {
	FIELD(service_form, name, "name", js_read_str, 0, 0, JS_REQUIRED),
	FIELD(service_form, policy, "policy", js_read_str, 0, 0, JS_FULL),
	FIELD(service_form, service.priority, "priority", js_read_u32, 0,
	      UINT32_MAX, JS_OPTIONAL),
	FIELD(service_form, service.hedge_permille, "hedge_permille",
	      js_read_u32, 0, 1000, JS_OPTIONAL),
	FIELD(service_form, service.deadline, "deadline_ms", js_read_ms, 1,
	      60000, JS_OPTIONAL),
	FIELD(service_form, service.canary, "canary", js_read_bool, 0, 0,
	      JS_OPTIONAL),
	FIELD(service_form, limits, "limits", js_read_child, 0, 0, JS_OPTIONAL),
	FIELD(service_form, shards, "shards", js_read_array, 0, 0, JS_FULL),
	FIELD(service_form, snapshots, "snapshots", js_read_array, 0, 0,
	      JS_FULL),
};

/* The bounds only keep values in their type; cfg_check() has the rules. */
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
	  .need = JS_REQUIRED },
};

static const struct js_field replica_fields[] = {
	FIELD(replica_form, replica.name, "name", js_read_str, 0, 0,
	      JS_REQUIRED),
	FIELD(replica_form, replica.host, "host", js_read_str, 0, 0,
	      JS_REQUIRED),
	FIELD(replica_form, replica.port, "port", js_read_u16, 1, UINT16_MAX,
	      JS_REQUIRED),
	FIELD(replica_form, dc, "dc", js_read_str, 0, 0, JS_REQUIRED),
	FIELD(replica_form, replica.draining, "draining", js_read_bool, 0, 0,
	      JS_OPTIONAL),
};

static const struct js_field snapshot_fields[] = {
	FIELD(snapshot_form, id, "id", js_read_i64, 1, INT64_MAX, JS_REQUIRED),
	FIELD(snapshot_form, docs, "docs", js_read_array, 0, 0, JS_REQUIRED),
};

static const struct js_field docs_field = {
	.key = GB_STR_INIT("docs"),
	.max = INT64_MAX / CFG_SHARDS_MAX, /* the sum stays in range */
};

static int read_form(struct decoder *d, json_t *json, struct gb_str name,
		     const struct js_field *fields, size_t len, void *form)
{
	return js_read_object(json, name, fields, len, d->partial, form,
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

static int find_dc(struct decoder *d, struct gb_str name, uint32_t *index)
{
	int at = cfg_find_dc(d->cfg, name);

	if (at < 0 && d->partial) {
		at = d->cfg->dcs->len;
		cfg_add_dc(d->cfg, name);
	}
	if (at < 0)
		return gb_fail(d->err, GB_ERR_REFERENCE, name, 0);
	*index = at;
	return 0;
}

static int read_dc(struct decoder *d, json_t *json)
{
	struct cfg_dc form = { 0 };
	struct cfg_dc *dc;

	if (read_form(d, json, GB_STR("dcs"), dc_fields,
		      G_N_ELEMENTS(dc_fields), &form))
		return -1;
	dc = cfg_add_dc(d->cfg, form.name);
	dc->region = gb_str_dup(form.region);
	dc->out = form.out;
	dc->returned_ms = form.returned_ms;
	return 0;
}

static int read_vm(struct decoder *d, json_t *json)
{
	struct vm_form form = { 0 };
	struct cfg_vm *vm;

	if (read_form(d, json, GB_STR("vms"), vm_fields,
		      G_N_ELEMENTS(vm_fields), &form) ||
	    find_dc(d, form.dc, &form.vm.dc))
		return -1;
	vm = cfg_add_vm(d->cfg, form.vm.id, form.vm.name, form.vm.host);
	vm->peer_port = form.vm.peer_port;
	vm->http_port = form.vm.http_port;
	vm->dc = form.vm.dc;
	return 0;
}

static int read_replica(struct decoder *d, struct cfg_shard *shard,
			json_t *json)
{
	struct replica_form form = { 0 };
	struct cfg_replica *replica;

	if (read_form(d, json, GB_STR("replicas"), replica_fields,
		      G_N_ELEMENTS(replica_fields), &form) ||
	    find_dc(d, form.dc, &form.replica.dc))
		return -1;
	replica = cfg_add_replica(shard, form.replica.name, form.replica.host);
	replica->port = form.replica.port;
	replica->dc = form.replica.dc;
	replica->draining = form.replica.draining;
	return 0;
}

static int read_shard(struct decoder *d, struct cfg_service *service,
		      json_t *json)
{
	struct cfg_shard *shard = cfg_add_shard(service);
	json_t *replicas = NULL;
	json_t *value;
	size_t i;

	if (read_form(d, json, GB_STR("shards"), shard_fields,
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
	struct snapshot_form form = { 0 };
	struct cfg_snapshot *snapshot;
	json_t *value;
	size_t i;

	if (read_form(d, json, GB_STR("snapshots"), snapshot_fields,
		      G_N_ELEMENTS(snapshot_fields), &form))
		return -1;
	snapshot = cfg_add_snapshot(service, form.id);
	json_array_foreach(form.docs, i, value)
	{
		uint64_t docs;

		if (js_read_i64(&docs_field, value, &docs, d->err))
			return -1;
		g_array_append_val(snapshot->docs, docs);
	}
	return 0;
}

/* The service is added first, since its defaults come with it. */
static int read_service(struct decoder *d, json_t *json)
{
	struct cfg_service *service =
		cfg_add_service(d->cfg, js_str(json_object_get(json, "name")));
	struct service_form form = { .service = *service,
				     .policy = GB_STR("latency") };
	json_t *value;
	size_t i;

	if (read_form(d, json, GB_STR("services"), service_fields,
		      G_N_ELEMENTS(service_fields), &form))
		return -1;
	cfg_set_policy(service, form.policy);
	service->priority = form.service.priority;
	service->hedge_permille = form.service.hedge_permille;
	service->deadline = form.service.deadline;
	service->canary = form.service.canary;
	if (form.limits &&
	    read_form(d, form.limits, GB_STR("limits"), limit_fields,
		      G_N_ELEMENTS(limit_fields), &service->limits))
		return -1;
	json_array_foreach(form.shards, i, value)
	{
		if (read_shard(d, service, value))
			return -1;
	}
	json_array_foreach(form.snapshots, i, value)
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
	struct config_form form = { 0 };

	if (read_form(d, json, GB_STR("configuration"), config_fields,
		      G_N_ELEMENTS(config_fields), &form))
		return -1;
	d->cfg->epoch = form.epoch;
	if (json_array_size(form.changes) > CFG_CHANGES_MAX)
		return gb_fail(d->err, GB_ERR_TOO_LARGE, GB_STR("changes"),
			       json_array_size(form.changes));
	if (read_each(d, form.dcs, read_dc) ||
	    read_each(d, form.vms, read_vm) ||
	    read_each(d, form.services, read_service) ||
	    read_each(d, form.excluded, read_excluded) ||
	    read_each(d, form.changes, read_change))
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

	if (text.len > CFG_OBJECT_MAX) {
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
