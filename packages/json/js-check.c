#include "json/js.h"

#include <jansson.h>

int js_check(struct gb_str text, struct gb_error *err)
{
	json_error_t error;
	json_t *value;

	value = text.len ? json_loadb(text.ptr, text.len,
				      JSON_DECODE_ANY | JSON_ALLOW_NUL, &error)
			 : NULL;
	if (!value)
		return gb_fail(err, GB_ERR_SYNTAX, GB_STR("json"),
			       text.len ? error.position : 0);
	json_decref(value);
	return 0;
}
