#include "json/js-view.h"

#include "event/ev.h"
#include "json/js-field.h"

#include <inttypes.h>

struct view {
	js_view_row row;
	void *ctx;
	struct gb_buf name;
	struct gb_buf value;
};

struct search {
	struct gb_str name;
	struct gb_buf *value;
	bool found;
};

static bool is_scalar(const json_t *json);
static bool has_only_scalars(const json_t *json);
static void add_string(struct gb_str s, struct gb_buf *out);
static void add_scalar(const json_t *json, struct gb_buf *out);
static void add_words(json_t *json, struct gb_buf *out);
static void emit_row(struct view *view);
static void emit_member(struct view *view, const char *name, json_t *json,
			bool in_array);
static void emit_value(struct view *view, json_t *json, bool in_array);
static void match_row(void *ctx, struct gb_str name, struct gb_str value);

static bool is_scalar(const json_t *json)
{
	return !json_is_object(json) && !json_is_array(json);
}

/* Tells whether no element or member is an object or an array. */
static bool has_only_scalars(const json_t *json)
{
	const char *key;
	json_t *value;
	size_t index;

	if (json_is_array(json)) {
		json_array_foreach(json, index,
				   value) if (!is_scalar(value)) return false;
		return true;
	}
	json_object_foreach((json_t *)json, key,
			    value) if (!is_scalar(value)) return false;
	return true;
}

/* Escapes text with control bytes, which a terminal would interpret. */
static void add_string(struct gb_str s, struct gb_buf *out)
{
	for (size_t i = 0; i < s.len; i++) {
		unsigned char c = s.ptr[i];

		if (c >= 0x20 && c < 0x7f)
			continue;
		ev_quote(s, out);
		return;
	}
	gb_buf_add(out, s);
}

static void add_scalar(const json_t *json, struct gb_buf *out)
{
	if (json_is_string(json))
		add_string((struct gb_str){ .ptr = json_string_value(json),
					    .len = json_string_length(json) },
			   out);
	else if (json_is_integer(json))
		gb_buf_addf(out, "%" JSON_INTEGER_FORMAT,
			    json_integer_value(json));
	else if (json_is_real(json))
		gb_buf_addf(out, "%g", json_real_value(json));
	else if (json_is_boolean(json))
		gb_buf_addf(out, "%s", json_is_true(json) ? "yes" : "no");
	else
		gb_buf_add(out, GB_STR("none"));
}

/* Appends the elements or members, separated by spaces. */
static void add_words(json_t *json, struct gb_buf *out)
{
	size_t start = out->len;
	const char *key;
	json_t *value;
	size_t index;

	if (json_is_array(json)) {
		json_array_foreach(json, index, value)
		{
			if (out->len > start)
				gb_buf_addc(out, ' ');
			add_scalar(value, out);
		}
		return;
	}
	json_object_foreach(json, key, value)
	{
		if (out->len > start)
			gb_buf_addc(out, ' ');
		add_string(gb_str_from_c(key), out);
		gb_buf_addc(out, '=');
		add_scalar(value, out);
	}
}

static void emit_row(struct view *view)
{
	view->row(view->ctx, gb_buf_str(&view->name), gb_buf_str(&view->value));
	gb_buf_reset(&view->value);
}

/* Emits the rows of a member, its name appended to that of its parent. */
static void emit_member(struct view *view, const char *name, json_t *json,
			bool in_array)
{
	size_t len = view->name.len;

	if (len)
		gb_buf_addc(&view->name, '.');
	add_string(gb_str_from_c(name), &view->name);
	emit_value(view, json, in_array);
	view->name.len = len;
}

/* Emits the rows of a value. */
static void emit_value(struct view *view, json_t *json, bool in_array)
{
	const char *key;
	json_t *value;
	size_t index;
	char number[24];

	if (is_scalar(json)) {
		add_scalar(json, &view->value);
		emit_row(view);
		return;
	}
	if ((in_array || json_is_array(json)) && has_only_scalars(json)) {
		add_words(json, &view->value);
		emit_row(view);
		return;
	}
	if (json_is_object(json)) {
		json_object_foreach(json, key, value)
			emit_member(view, key, value, false);
		return;
	}
	json_array_foreach(json, index, value)
	{
		snprintf(number, sizeof(number), "%zu", index);
		emit_member(view, number, value, true);
	}
}

int js_view_rows(struct gb_str text, js_view_row row, void *ctx,
		 struct gb_error *err)
{
	struct view view = { .row = row, .ctx = ctx };
	json_t *json = js_parse(text, err);

	if (!json)
		return -1;
	emit_value(&view, json, false);
	json_decref(json);
	gb_buf_free(&view.name);
	gb_buf_free(&view.value);
	return 0;
}

static void match_row(void *ctx, struct gb_str name, struct gb_str value)
{
	struct search *search = ctx;

	if (search->found || !gb_str_eq(name, search->name))
		return;
	search->found = true;
	gb_buf_add(search->value, value);
}

int js_view_find(struct gb_str text, struct gb_str name, struct gb_buf *value)
{
	struct search search = { .name = name, .value = value };

	if (js_view_rows(text, match_row, &search, NULL) || !search.found)
		return -1;
	return 0;
}
