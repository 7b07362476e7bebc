#include "json/js-part.h"
#include "json/js-config.h"
#include "json/js-field.h"

struct cfg *js_part_decode(struct gb_str text, struct gb_error *err)
{
	json_t *json = js_parse(text, err);
	struct cfg *part;

	if (!json)
		return NULL;
	part = js_config_from_json(json, true, err);
	json_decref(json);
	return part;
}
