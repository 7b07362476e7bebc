#include "json/js.h"
#include "json/js-dump.h"

static json_t *vms_json(const struct nd_status *status, const struct cfg *cfg);
static json_t *dcs_json(const struct cfg *cfg);

static json_t *vms_json(const struct nd_status *status, const struct cfg *cfg)
{
	json_t *array = json_array();

	for (guint i = 0; i < cfg->vms->len; i++) {
		const struct cfg_vm *vm = cfg_vm(cfg, i);
		json_t *json = json_object();

		js_set_int(json, "id", vm->id);
		js_set_str(json, "name", vm->name);
		js_set_str(json, "dc", cfg_dc(cfg, vm->dc)->name);
		js_set(json, "live", json_boolean(status->live_vms >> i & 1));
		json_array_append_new(array, json);
	}
	return array;
}

static json_t *dcs_json(const struct cfg *cfg)
{
	json_t *array = json_array();

	for (guint i = 0; i < cfg->dcs->len; i++) {
		const struct cfg_dc *dc = cfg_dc(cfg, i);
		json_t *json = json_object();

		js_set_str(json, "name", dc->name);
		js_set(json, "out", json_boolean(dc->excluded));
		json_array_append_new(array, json);
	}
	return array;
}

void js_status_encode(const struct nd_status *status, const struct cfg *cfg,
		      struct gb_buf *out)
{
	json_t *json = json_object();

	js_set_int(json, "vm", status->vm);
	js_set(json, "incarnation", js_hex_string(status->incarnation));
	js_set_int(json, "config_version", status->config_version);
	js_set_int(json, "epoch", status->epoch);
	js_set(json, "ready", json_boolean(status->ready));
	js_set(json, "stopping", json_boolean(status->stopping));
	js_set_int(json, "units_held", status->units_held);
	js_set_int(json, "queries_running", status->queries_running);
	js_set_int(json, "calls_running", status->calls_running);
	if (cfg) {
		js_set(json, "vms", vms_json(status, cfg));
		js_set(json, "dcs", dcs_json(cfg));
	}
	js_dump(json, out);
}
