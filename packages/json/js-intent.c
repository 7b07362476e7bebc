#include "json/js.h"
#include "json/js-config.h"
#include "json/js-dump.h"
#include "json/js-field.h"
#include "json/js-intent.h"

struct intent_members {
	struct gb_str kind;
	struct gb_str target;
	struct gb_str field;
	int64_t value; /* -1 if absent */
	json_t *part;
};

static const struct js_field fields[] = {
	{ .key = GB_STR_INIT("intent"),
	  .read = js_read_str,
	  .offset = offsetof(struct intent_members, kind),
	  .presence = JS_REQUIRED },
	{ .key = GB_STR_INIT("target"),
	  .read = js_read_str,
	  .offset = offsetof(struct intent_members, target) },
	{ .key = GB_STR_INIT("field"),
	  .read = js_read_str,
	  .offset = offsetof(struct intent_members, field) },
	{ .key = GB_STR_INIT("value"),
	  .read = js_read_i64,
	  .offset = offsetof(struct intent_members, value),
	  .max = INT64_MAX },
	{ .key = GB_STR_INIT("part"),
	  .read = js_read_child,
	  .offset = offsetof(struct intent_members, part) },
};

json_t *js_intent_to_json(const struct pln_intent *intent)
{
	json_t *json = json_object();

	js_set_str(json, "intent", pln_kind_name(intent->kind));
	if (intent->target.len)
		js_set_str(json, "target", intent->target);
	if (intent->field.len)
		js_set_str(json, "field", intent->field);
	if (intent->value || intent->kind == PLN_LIMIT_SET)
		js_set_int(json, "value", intent->value);
	if (intent->fragment)
		js_set(json, "part", js_config_to_json(intent->fragment, true));
	return json;
}

/*
 * Checks only that a limit has a value; pln_apply() checks what else a kind
 * requires.
 */
int js_intent_from_json(json_t *json, struct pln_intent *intent,
			struct gb_error *err)
{
	struct intent_members members = { .value = -1 };
	struct cfg *part = NULL;
	enum pln_kind kind;

	if (js_read_object(json, GB_STR("intent"), fields, G_N_ELEMENTS(fields),
			   false, &members, err))
		return -1;
	kind = pln_kind_from_name(members.kind);
	if (kind == PLN_KINDS)
		return gb_fail(err, GB_ERR_REFERENCE, members.kind, 0);
	if (kind == PLN_LIMIT_SET && members.value < 0)
		return gb_fail(err, GB_ERR_MISSING, GB_STR("value"), 0);
	if (members.part) {
		part = js_config_from_json(members.part, true, err);
		if (!part)
			return -1;
	}
	*intent = (struct pln_intent){
		.kind = kind,
		.target = gb_str_dup(members.target),
		.field = gb_str_dup(members.field),
		.value = MAX(members.value, 0),
		.fragment = part,
	};
	return 0;
}

int js_intent_decode(struct gb_str text, struct pln_intent *intent,
		     struct gb_error *err)
{
	json_t *json = js_parse(text, err);
	int ret;

	if (!json)
		return -1;
	ret = js_intent_from_json(json, intent, err);
	json_decref(json);
	return ret;
}

void js_intent_encode(const struct pln_intent *intent, struct gb_buf *out)
{
	js_dump(js_intent_to_json(intent), out);
}

void js_intent_free(struct pln_intent *intent)
{
	gb_str_free(&intent->target);
	gb_str_free(&intent->field);
	cfg_unref(intent->fragment);
	intent->fragment = NULL;
}
