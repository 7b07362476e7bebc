#include "json/js.h"
#include "json/js-config.h"
#include "json/js-dump.h"

static json_t *dcs_json(const struct cfg *cfg);
static json_t *vms_json(const struct cfg *cfg);
static json_t *limits_json(const struct cfg_limits *limits);
static json_t *shard_json(const struct cfg *cfg, const struct cfg_shard *shard);
static json_t *snapshot_json(const struct cfg_snapshot *snapshot);
static json_t *service_json(const struct cfg *cfg,
			    const struct cfg_service *service);
static void set_array(json_t *object, const char *key, json_t *array,
		      bool partial);

static json_t *dcs_json(const struct cfg *cfg)
{
	json_t *array = json_array();

	for (guint i = 0; i < cfg->dcs->len; i++) {
		const struct cfg_dc *dc = cfg_dc(cfg, i);
		json_t *json = json_object();

		js_set_str(json, "name", dc->name);
		js_set_str(json, "region", dc->region);
		js_set(json, "out", json_boolean(dc->excluded));
		js_set_int(json, "returned_ms", dc->returned_ms);
		json_array_append_new(array, json);
	}
	return array;
}

static json_t *vms_json(const struct cfg *cfg)
{
	json_t *array = json_array();

	for (guint i = 0; i < cfg->vms->len; i++) {
		const struct cfg_vm *vm = cfg_vm(cfg, i);
		json_t *json = json_object();

		js_set_int(json, "id", vm->id);
		js_set_str(json, "name", vm->name);
		js_set_str(json, "host", vm->host);
		js_set_int(json, "peer_port", vm->peer_port);
		js_set_int(json, "http_port", vm->http_port);
		js_set_str(json, "dc", cfg_dc(cfg, vm->dc)->name);
		json_array_append_new(array, json);
	}
	return array;
}

static json_t *limits_json(const struct cfg_limits *limits)
{
	json_t *json = json_object();

	js_set_int(json, "slots", limits->slots);
	js_set_int(json, "queue", limits->queue);
	js_set_int(json, "connections", limits->connections);
	js_set_int(json, "cold_slots", limits->cold_slots);
	js_set_int(json, "ramp_ms", limits->ramp / GB_MSEC);
	return json;
}

static json_t *shard_json(const struct cfg *cfg, const struct cfg_shard *shard)
{
	json_t *replicas = json_array();
	json_t *object = json_object();

	for (guint i = 0; i < shard->replicas->len; i++) {
		const struct cfg_replica *replica = cfg_replica(shard, i);
		json_t *json = json_object();

		js_set_str(json, "name", replica->name);
		js_set_str(json, "host", replica->host);
		js_set_int(json, "port", replica->port);
		js_set_str(json, "dc", cfg_dc(cfg, replica->dc)->name);
		js_set(json, "draining", json_boolean(replica->draining));
		json_array_append_new(replicas, json);
	}
	js_set(object, "replicas", replicas);
	return object;
}

static json_t *snapshot_json(const struct cfg_snapshot *snapshot)
{
	json_t *json = json_object();
	json_t *docs = json_array();

	for (guint i = 0; i < snapshot->docs->len; i++)
		json_array_append_new(
			docs, json_integer(cfg_shard_docs(snapshot, i)));
	js_set_int(json, "id", snapshot->id);
	js_set(json, "docs", docs);
	return json;
}

static json_t *service_json(const struct cfg *cfg,
			    const struct cfg_service *service)
{
	json_t *json = json_object();
	json_t *shards = json_array();
	json_t *snapshots = json_array();

	for (guint i = 0; i < service->shards->len; i++)
		json_array_append_new(shards,
				      shard_json(cfg, cfg_shard(service, i)));
	for (guint i = 0; i < service->snapshots->len; i++)
		json_array_append_new(
			snapshots,
			snapshot_json(&g_array_index(service->snapshots,
						     struct cfg_snapshot, i)));
	js_set_str(json, "name", service->name);
	js_set_str(json, "policy", service->policy);
	js_set_int(json, "priority", service->priority);
	js_set_int(json, "hedge_permille", service->hedge_permille);
	js_set_int(json, "deadline_ms", service->deadline / GB_MSEC);
	js_set(json, "canary", json_boolean(service->canary));
	js_set(json, "limits", limits_json(&service->limits));
	js_set(json, "shards", shards);
	js_set(json, "snapshots", snapshots);
	return json;
}

static void set_array(json_t *object, const char *key, json_t *array,
		      bool partial)
{
	if (partial && !json_array_size(array))
		json_decref(array);
	else
		js_set(object, key, array);
}

json_t *js_config_to_json(const struct cfg *cfg, bool partial)
{
	json_t *services = json_array();
	json_t *excluded = json_array();
	json_t *changes = json_array();
	json_t *json = json_object();

	for (guint i = 0; i < cfg->services->len; i++)
		json_array_append_new(services,
				      service_json(cfg, cfg_service(cfg, i)));
	for (guint i = 0; i < cfg->excluded_vms->len; i++)
		json_array_append_new(
			excluded, json_integer(g_array_index(cfg->excluded_vms,
							     uint32_t, i)));
	for (guint i = 0; i < cfg->change_ids->len; i++)
		json_array_append_new(
			changes, js_hex_string(g_array_index(cfg->change_ids,
							     uint64_t, i)));
	if (!partial)
		js_set_int(json, "epoch", cfg->epoch);
	set_array(json, "dcs", dcs_json(cfg), partial);
	set_array(json, "vms", vms_json(cfg), partial);
	set_array(json, "services", services, partial);
	set_array(json, "excluded", excluded, true);
	set_array(json, "changes", changes, partial);
	return json;
}

void js_config_encode(const struct cfg *cfg, struct gb_buf *out)
{
	js_dump(js_config_to_json(cfg, false), out);
}
