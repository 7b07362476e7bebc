#include "base/gb.h"

#include <glib.h>
#include <string.h>

/* Wraps a NUL-terminated string without copying it. */
struct gb_str gb_str_from_c(const char *text)
{
	return (struct gb_str){ .ptr = text, .len = text ? strlen(text) : 0 };
}

/* Returns the part of s that starts at from, clipped to the end of s. */
struct gb_str gb_str_sub(struct gb_str s, size_t from, size_t len)
{
	if (from > s.len)
		from = s.len;
	if (len > s.len - from)
		len = s.len - from;
	return (struct gb_str){ .ptr = s.ptr + from, .len = len };
}

/* Removes white space at both ends. */
struct gb_str gb_str_trim(struct gb_str s)
{
	while (s.len && g_ascii_isspace(s.ptr[0])) {
		s.ptr++;
		s.len--;
	}
	while (s.len && g_ascii_isspace(s.ptr[s.len - 1]))
		s.len--;
	return s;
}

/* Orders two strings bytewise, the shorter one first on a common prefix. */
int gb_str_cmp(struct gb_str a, struct gb_str b)
{
	size_t len = a.len < b.len ? a.len : b.len;
	int order = len ? memcmp(a.ptr, b.ptr, len) : 0;

	if (order)
		return order;
	return a.len < b.len ? -1 : a.len > b.len;
}

bool gb_str_eq(struct gb_str a, struct gb_str b)
{
	return a.len == b.len && (!a.len || !memcmp(a.ptr, b.ptr, a.len));
}

bool gb_str_starts_with(struct gb_str s, struct gb_str prefix)
{
	return s.len >= prefix.len &&
	       gb_str_eq(gb_str_sub(s, 0, prefix.len), prefix);
}

/* Tells whether s holds a byte below 0x20 or 0x7f. */
bool gb_str_has_control(struct gb_str s)
{
	for (size_t i = 0; i < s.len; i++)
		if (g_ascii_iscntrl(s.ptr[i]))
			return true;
	return false;
}

char *gb_str_to_c(struct gb_str s)
{
	return g_strndup(s.ptr ? s.ptr : "", s.len);
}

struct gb_str gb_str_dup(struct gb_str s)
{
	char *copy = g_malloc(s.len + 1);

	if (s.len)
		memcpy(copy, s.ptr, s.len);
	copy[s.len] = '\0';
	return (struct gb_str){ .ptr = copy, .len = s.len };
}

void gb_str_free(struct gb_str *s)
{
	g_free((char *)s->ptr);
	*s = (struct gb_str){ 0 };
}

bool gb_str_cut(struct gb_str *s, char sep, struct gb_str *head)
{
	const char *at = s->len ? memchr(s->ptr, sep, s->len) : NULL;

	if (!at) {
		*head = *s;
		*s = gb_str_sub(*s, s->len, 0);
		return false;
	}
	*head = gb_str_sub(*s, 0, at - s->ptr);
	*s = gb_str_sub(*s, head->len + 1, s->len);
	return true;
}

bool gb_str_cut_last(struct gb_str s, char sep, struct gb_str *head,
		     struct gb_str *tail)
{
	size_t at = s.len;

	while (at && s.ptr[at - 1] != sep)
		at--;
	if (!at)
		return false;
	*head = gb_str_sub(s, 0, at - 1);
	*tail = gb_str_sub(s, at, s.len);
	return true;
}

int gb_str_to_int(struct gb_str s, int64_t min, int64_t max, int64_t *out)
{
	char text[24];
	gint64 value;

	if (!s.len || s.len >= sizeof(text))
		return -1;
	memcpy(text, s.ptr, s.len);
	text[s.len] = '\0';
	if (strlen(text) != s.len ||
	    !g_ascii_string_to_signed(text, 10, min, max, &value, NULL))
		return -1;
	*out = value;
	return 0;
}

int gb_str_to_double(struct gb_str s, double min, double max, double *out)
{
	char text[48];
	char *end;
	double value;

	if (!s.len || s.len >= sizeof(text) || g_ascii_isspace(s.ptr[0]))
		return -1;
	memcpy(text, s.ptr, s.len);
	text[s.len] = '\0';
	value = g_ascii_strtod(text, &end);
	if (end != text + s.len || !(value >= min && value <= max))
		return -1;
	*out = value;
	return 0;
}
