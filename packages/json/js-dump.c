#include "json/js-dump.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>

static int add_text(const char *text, size_t len, void *out);

json_t *js_string(struct gb_str s)
{
	json_t *json = json_stringn(s.len ? s.ptr : "", s.len);
	gchar *valid;

	if (json)
		return json;
	valid = g_utf8_make_valid(s.ptr, s.len);
	json = json_string(valid);
	g_free(valid);
	return json;
}

json_t *js_hex_string(uint64_t number)
{
	char text[17];

	snprintf(text, sizeof(text), "%016" PRIx64, number);
	return json_string(text);
}

void js_set(json_t *object, const char *key, json_t *value)
{
	json_object_set_new_nocheck(object, key, value);
}

void js_set_int(json_t *object, const char *key, uint64_t value)
{
	js_set(object, key, json_integer(value));
}

void js_set_str(json_t *object, const char *key, struct gb_str value)
{
	js_set(object, key, js_string(value));
}

static int add_text(const char *text, size_t len, void *out)
{
	gb_buf_add(out, (struct gb_str){ .ptr = text, .len = len });
	return 0;
}

void js_dump(json_t *json, struct gb_buf *out)
{
	json_dump_callback(json, add_text, out,
			   JSON_COMPACT | JSON_REAL_PRECISION(6));
	json_decref(json);
}
