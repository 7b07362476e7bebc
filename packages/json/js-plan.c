#include "json/js.h"
#include "json/js-dump.h"
#include "json/js-field.h"
#include "json/js-intent.h"

#include <math.h>

struct confirm_members {
	uint64_t plan;
	uint64_t base_version;
	json_t *intent;
	json_t *effects; /* accepted but ignored: only shown to operators */
};

static json_t *change_json(uint32_t before, uint32_t after);
static json_t *effects_json(const struct pln_plan *plan);

static const struct js_field fields[] = {
	{ .key = GB_STR_INIT("plan"),
	  .read = js_read_hex,
	  .offset = offsetof(struct confirm_members, plan),
	  .presence = JS_REQUIRED },
	{ .key = GB_STR_INIT("base_version"),
	  .read = js_read_i64,
	  .offset = offsetof(struct confirm_members, base_version),
	  .max = INT64_MAX,
	  .presence = JS_REQUIRED },
	{ .key = GB_STR_INIT("intent"),
	  .read = js_read_child,
	  .offset = offsetof(struct confirm_members, intent),
	  .presence = JS_REQUIRED },
	{ .key = GB_STR_INIT("effects"),
	  .read = js_read_child,
	  .offset = offsetof(struct confirm_members, effects) },
};

static json_t *change_json(uint32_t before, uint32_t after)
{
	json_t *json = json_object();

	js_set_int(json, "before", before);
	js_set_int(json, "after", after);
	return json;
}

/* JSON has no infinity: the load factor is null if no slot is left. */
static json_t *effects_json(const struct pln_plan *plan)
{
	json_t *json = json_object();
	json_t *low = json_array();

	for (guint i = 0; i < plan->low_shards->len; i++) {
		const struct pln_shard_effect *effect = &g_array_index(
			plan->low_shards, struct pln_shard_effect, i);
		json_t *item = json_object();

		js_set_str(item, "service", effect->service);
		js_set_int(item, "shard", effect->shard);
		js_set_int(item, "replicas_left", effect->replicas_left);
		json_array_append_new(low, item);
	}
	js_set(json, "upstreams",
	       change_json(plan->upstreams_before, plan->upstreams_after));
	js_set(json, "slots",
	       change_json(plan->slots_before, plan->slots_after));
	js_set(json, "load_factor",
	       isfinite(plan->load_factor) ? json_real(plan->load_factor)
					   : json_null());
	js_set_int(json, "shards_unserved", plan->shards_unserved);
	js_set(json, "low_shards", low);
	return json;
}

void js_plan_encode(const struct pln_plan *plan,
		    const struct pln_intent *intent, struct gb_buf *out)
{
	json_t *json = json_object();

	js_set(json, "plan", js_hex_string(plan->id));
	js_set_int(json, "base_version", plan->base_version);
	js_set(json, "intent", js_intent_to_json(intent));
	js_set(json, "effects", effects_json(plan));
	js_dump(json, out);
}

int js_confirm_decode(struct gb_str text, uint64_t *plan,
		      uint64_t *base_version, struct pln_intent *intent,
		      struct gb_error *err)
{
	struct confirm_members members = { 0 };
	json_t *json = js_parse(text, err);
	int ret = -1;

	if (!json)
		return -1;
	if (js_read_object(json, GB_STR("confirm"), fields,
			   G_N_ELEMENTS(fields), false, &members, err) ||
	    js_intent_from_json(members.intent, intent, err))
		goto out;
	*plan = members.plan;
	*base_version = members.base_version;
	ret = 0;

out:
	json_decref(json);
	return ret;
}
