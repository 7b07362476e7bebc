#include "json/js-text.h"

#include <glib.h>
#include <string.h>

static bool is_unescaped(char c);
static size_t put_escaped(struct gb_buf *out, struct gb_str s);

static bool is_unescaped(char c)
{
	unsigned char byte = c;

	return byte >= 0x20 && byte < 0x80 && byte != '"' && byte != '\\';
}

/* Appends the first character of s, escaped if needed; returns its length. */
static size_t put_escaped(struct gb_buf *out, struct gb_str s)
{
	unsigned char byte = s.ptr[0];
	gunichar c;

	if (byte < 0x20) {
		gb_buf_addf(out, "\\u%04x", byte);
		return 1;
	}
	if (byte < 0x80) {
		gb_buf_addc(out, '\\');
		gb_buf_addc(out, s.ptr[0]);
		return 1;
	}
	c = g_utf8_get_char_validated(s.ptr, s.len);
	if (c == (gunichar)-1 || c == (gunichar)-2) {
		gb_buf_add(out, GB_STR("\xef\xbf\xbd"));
		return 1;
	}
	gb_buf_add(out, gb_str_sub(s, 0, g_utf8_skip[byte]));
	return g_utf8_skip[byte];
}

void js_put_str(struct gb_buf *out, struct gb_str s)
{
	size_t at = 0;

	gb_buf_addc(out, '"');
	while (at < s.len) {
		size_t from = at;

		while (at < s.len && is_unescaped(s.ptr[at]))
			at++;
		gb_buf_add(out, gb_str_sub(s, from, at - from));
		if (at < s.len)
			at += put_escaped(out, gb_str_sub(s, at, s.len));
	}
	gb_buf_addc(out, '"');
}

void js_put_u64(struct gb_buf *out, uint64_t number)
{
	char text[20];
	size_t at = sizeof(text);

	do {
		text[--at] = '0' + number % 10;
		number /= 10;
	} while (number);
	gb_buf_add(out, (struct gb_str){ .ptr = text + at,
					 .len = sizeof(text) - at });
}
