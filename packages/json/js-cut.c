#include "json/js-cut.h"

#include <glib.h>
#include <string.h>

static void skip_space(struct gb_str *s)
{
	while (s->len && strchr(" \t\r\n", s->ptr[0]) && s->ptr[0])
		*s = gb_str_sub(*s, 1, s->len);
}

/* Length of the string at the start of s with its quotes; 0 if it has no end.
 */
static size_t string_len(struct gb_str s)
{
	for (size_t i = 1; i < s.len; i++) {
		if (s.ptr[i] == '"')
			return i + 1;
		if (s.ptr[i] == '\\')
			i++;
	}
	return 0;
}

/* Length of the object or array at the start of s; 0 if it has no end. */
static size_t nested_len(struct gb_str s)
{
	size_t depth = 0, i = 0;

	while (i < s.len) {
		char c = s.ptr[i];

		if (c == '"') {
			size_t len = string_len(gb_str_sub(s, i, s.len));

			if (!len)
				return 0;
			i += len;
			continue;
		}
		i++;
		if (c == '{' || c == '[')
			depth++;
		else if ((c == '}' || c == ']') && !--depth)
			return i;
	}
	return 0;
}

bool js_is_nested_deeper(struct gb_str text, size_t depth_max)
{
	size_t depth = 0;

	for (size_t i = 0; i < text.len; i++) {
		char c = text.ptr[i];

		if (c == '"') {
			size_t len = string_len(gb_str_sub(text, i, text.len));

			if (!len)
				return false;
			i += len - 1;
		} else if (c == '{' || c == '[') {
			if (++depth > depth_max)
				return true;
		} else if ((c == '}' || c == ']') && depth) {
			depth--;
		}
	}
	return false;
}

/* Length of a number or literal: up to the next separator. */
static size_t scalar_len(struct gb_str s)
{
	size_t i = 0;

	while (i < s.len && s.ptr[i] && !strchr(",]} \t\r\n", s.ptr[i]))
		i++;
	return i;
}

static size_t value_len(struct gb_str s)
{
	if (!s.len)
		return 0;
	if (s.ptr[0] == '"')
		return string_len(s);
	if (s.ptr[0] == '{' || s.ptr[0] == '[')
		return nested_len(s);
	return scalar_len(s);
}

static bool cut_char(struct gb_str *s, char c)
{
	skip_space(s);
	if (!s->len || s->ptr[0] != c)
		return false;
	*s = gb_str_sub(*s, 1, s->len);
	return true;
}

/* Cuts a value and the comma behind it; the last one has a bracket behind it.
 */
static bool cut_value(struct gb_str *rest, char close, struct gb_str *value)
{
	size_t len;

	skip_space(rest);
	len = value_len(*rest);
	*value = gb_str_sub(*rest, 0, len);
	*rest = gb_str_sub(*rest, len, rest->len);
	skip_space(rest);
	return len &&
	       (cut_char(rest, ',') || (rest->len && rest->ptr[0] == close));
}

bool js_cut_open(struct gb_str text, char bracket, struct gb_str *rest)
{
	*rest = text;
	return cut_char(rest, bracket);
}

enum js_cut js_cut_item(struct gb_str *rest, struct gb_str *item)
{
	if (cut_char(rest, ']'))
		return JS_CUT_END;
	return cut_value(rest, ']', item) ? JS_CUT_FOUND : JS_CUT_MALFORMED;
}

enum js_cut js_cut_member(struct gb_str *rest, struct gb_str *name,
			  struct gb_str *value)
{
	size_t len;

	if (cut_char(rest, '}'))
		return JS_CUT_END;
	len = rest->len && rest->ptr[0] == '"' ? string_len(*rest) : 0;
	if (!len)
		return JS_CUT_MALFORMED;
	*name = gb_str_sub(*rest, 1, len - 2);
	*rest = gb_str_sub(*rest, len, rest->len);
	return cut_char(rest, ':') && cut_value(rest, '}', value)
		       ? JS_CUT_FOUND
		       : JS_CUT_MALFORMED;
}

bool js_cut_find(struct gb_str object, struct gb_str name, struct gb_str *value)
{
	struct gb_str rest, found;

	if (!js_cut_open(object, '{', &rest))
		return false;
	while (js_cut_member(&rest, &found, value) == JS_CUT_FOUND)
		if (gb_str_eq(found, name))
			return true;
	return false;
}
