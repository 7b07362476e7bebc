#include "json/js-field.h"

#include <glib.h>

static void *member_ptr(const struct js_field *field, void *members);
static const struct js_field *find_field(const struct js_field *fields,
					 size_t len, struct gb_str key);
static int fail_wrong_type(const struct js_field *field, struct gb_error *err);
static int read_int(const struct js_field *field, const json_t *value,
		    int64_t *out, struct gb_error *err);

json_t *js_parse(struct gb_str text, struct gb_error *err)
{
	json_error_t parse_error;
	json_t *json = json_loadb(text.len ? text.ptr : "", text.len,
				  JSON_REJECT_DUPLICATES, &parse_error);

	if (!json)
		gb_fail(err, GB_ERR_SYNTAX, gb_str_from_c(parse_error.text),
			parse_error.position);
	return json;
}

static void *member_ptr(const struct js_field *field, void *members)
{
	return (char *)members + field->offset;
}

static const struct js_field *find_field(const struct js_field *fields,
					 size_t len, struct gb_str key)
{
	for (size_t i = 0; i < len; i++)
		if (gb_str_eq(fields[i].key, key))
			return &fields[i];
	return NULL;
}

int js_read_object(json_t *json, struct gb_str name,
		   const struct js_field *fields, size_t len, bool partial,
		   void *members, struct gb_error *err)
{
	enum js_presence min_presence =
		partial ? JS_REQUIRED : JS_REQUIRED_UNLESS_PARTIAL;
	const char *key;
	size_t key_len;
	json_t *value;

	if (!json_is_object(json))
		return gb_fail(err, GB_ERR_WRONG_TYPE, name, 0);
	json_object_keylen_foreach(json, key, key_len, value)
	{
		struct gb_str key_str = { .ptr = key, .len = key_len };
		const struct js_field *field = find_field(fields, len, key_str);

		if (!field)
			return gb_fail(err, GB_ERR_UNKNOWN_KEY, key_str, 0);
		if (field->read(field, value, members, err))
			return -1;
	}
	for (size_t i = 0; i < len; i++) {
		struct gb_str key_str = fields[i].key;

		if (fields[i].presence >= min_presence &&
		    !json_object_getn(json, key_str.ptr, key_str.len))
			return gb_fail(err, GB_ERR_MISSING, key_str, 0);
	}
	return 0;
}

static int fail_wrong_type(const struct js_field *field, struct gb_error *err)
{
	return gb_fail(err, GB_ERR_WRONG_TYPE, field->key, 0);
}

/* Reads an integer within the bounds of the field. */
static int read_int(const struct js_field *field, const json_t *value,
		    int64_t *out, struct gb_error *err)
{
	if (!json_is_integer(value))
		return fail_wrong_type(field, err);
	*out = json_integer_value(value);
	if (*out < field->min || *out > field->max)
		return gb_fail(err, GB_ERR_OUT_OF_RANGE, field->key, *out);
	return 0;
}

int js_read_str(const struct js_field *field, json_t *value, void *members,
		struct gb_error *err)
{
	if (!json_is_string(value))
		return fail_wrong_type(field, err);
	*(struct gb_str *)member_ptr(field, members) = js_string_value(value);
	return 0;
}

int js_read_bool(const struct js_field *field, json_t *value, void *members,
		 struct gb_error *err)
{
	if (!json_is_boolean(value))
		return fail_wrong_type(field, err);
	*(bool *)member_ptr(field, members) = json_is_true(value);
	return 0;
}

int js_read_u16(const struct js_field *field, json_t *value, void *members,
		struct gb_error *err)
{
	int64_t number = 0;

	if (read_int(field, value, &number, err))
		return -1;
	*(uint16_t *)member_ptr(field, members) = number;
	return 0;
}

int js_read_u32(const struct js_field *field, json_t *value, void *members,
		struct gb_error *err)
{
	int64_t number = 0;

	if (read_int(field, value, &number, err))
		return -1;
	*(uint32_t *)member_ptr(field, members) = number;
	return 0;
}

int js_read_i64(const struct js_field *field, json_t *value, void *members,
		struct gb_error *err)
{
	return read_int(field, value, member_ptr(field, members), err);
}

int js_read_ms(const struct js_field *field, json_t *value, void *members,
	       struct gb_error *err)
{
	int64_t number = 0;

	if (read_int(field, value, &number, err))
		return -1;
	*(gb_time *)member_ptr(field, members) = number * GB_MSEC;
	return 0;
}

int js_read_hex(const struct js_field *field, json_t *value, void *members,
		struct gb_error *err)
{
	if (!json_is_string(value))
		return fail_wrong_type(field, err);
	if (js_parse_hex(js_string_value(value), member_ptr(field, members)))
		return gb_fail(err, GB_ERR_SYNTAX, field->key, 0);
	return 0;
}

int js_read_array(const struct js_field *field, json_t *value, void *members,
		  struct gb_error *err)
{
	if (!json_is_array(value))
		return fail_wrong_type(field, err);
	*(json_t **)member_ptr(field, members) = value;
	return 0;
}

int js_read_child(const struct js_field *field, json_t *value, void *members,
		  struct gb_error *err)
{
	if (!json_is_object(value))
		return fail_wrong_type(field, err);
	*(json_t **)member_ptr(field, members) = value;
	return 0;
}

struct gb_str js_string_value(const json_t *value)
{
	return (struct gb_str){ .ptr = json_string_value(value),
				.len = json_string_length(value) };
}

int js_parse_hex(struct gb_str text, uint64_t *out)
{
	uint64_t number = 0;

	if (text.len != 16)
		return -1;
	for (size_t i = 0; i < text.len; i++) {
		int digit = g_ascii_xdigit_value(text.ptr[i]);

		if (digit < 0)
			return -1;
		number = number << 4 | digit;
	}
	*out = number;
	return 0;
}
