#include "json/js-text.h"

#include <glib.h>
#include <string.h>

/* Bounds the recursion: hostile input could exhaust the stack. */
#define DEPTH_MAX 100

struct scan {
	const char *at;
	const char *end;
	bool non_ascii; /* a byte of 0x80 or above was seen */
};

static bool accept_char(struct scan *scan, char c);
static void skip_space(struct scan *scan);
static bool scan_digits(struct scan *scan);
static bool scan_number(struct scan *scan);
static bool scan_escape(struct scan *scan);
static bool scan_string(struct scan *scan);
static bool scan_literal(struct scan *scan, struct gb_str literal);
static bool scan_member(struct scan *scan, int depth);
static bool scan_items(struct scan *scan, char close, int depth,
		       bool (*item)(struct scan *scan, int depth));
static bool scan_value(struct scan *scan, int depth);

/* Consumes the next byte if it is c. */
static bool accept_char(struct scan *scan, char c)
{
	if (scan->at == scan->end || *scan->at != c)
		return false;
	scan->at++;
	return true;
}

static void skip_space(struct scan *scan)
{
	while (scan->at < scan->end && (*scan->at == ' ' || *scan->at == '\n' ||
					*scan->at == '\t' || *scan->at == '\r'))
		scan->at++;
}

static bool scan_digits(struct scan *scan)
{
	const char *start = scan->at;

	while (scan->at < scan->end && g_ascii_isdigit(*scan->at))
		scan->at++;
	return scan->at > start;
}

static bool scan_number(struct scan *scan)
{
	accept_char(scan, '-');
	if (!accept_char(scan, '0') && !scan_digits(scan))
		return false;
	if (accept_char(scan, '.') && !scan_digits(scan))
		return false;
	if (!accept_char(scan, 'e') && !accept_char(scan, 'E'))
		return true;
	if (!accept_char(scan, '+'))
		accept_char(scan, '-');
	return scan_digits(scan);
}

/* Scans an escape sequence after its backslash. */
static bool scan_escape(struct scan *scan)
{
	char c;

	if (scan->at == scan->end)
		return false;
	c = *scan->at++;
	if (c != 'u')
		return c && strchr("\"\\/bfnrt", c);
	for (int i = 0; i < 4; i++, scan->at++)
		if (scan->at == scan->end || !g_ascii_isxdigit(*scan->at))
			return false;
	return true;
}

static bool scan_string(struct scan *scan)
{
	if (!accept_char(scan, '"'))
		return false;
	while (scan->at < scan->end) {
		unsigned char byte = *scan->at++;

		if (byte == '"')
			return true;
		if (byte < 0x20 || (byte == '\\' && !scan_escape(scan)))
			return false;
		scan->non_ascii |= byte >= 0x80;
	}
	return false;
}

static bool scan_literal(struct scan *scan, struct gb_str literal)
{
	struct gb_str rest = { .ptr = scan->at, .len = scan->end - scan->at };

	if (!gb_str_starts_with(rest, literal))
		return false;
	scan->at += literal.len;
	return true;
}

static bool scan_member(struct scan *scan, int depth)
{
	skip_space(scan);
	if (!scan_string(scan))
		return false;
	skip_space(scan);
	return accept_char(scan, ':') && scan_value(scan, depth);
}

/* Scans items separated by commas up to the closing bracket. */
static bool scan_items(struct scan *scan, char close, int depth,
		       bool (*item)(struct scan *scan, int depth))
{
	if (depth > DEPTH_MAX)
		return false;
	skip_space(scan);
	if (accept_char(scan, close))
		return true;
	do {
		if (!item(scan, depth))
			return false;
		skip_space(scan);
	} while (accept_char(scan, ','));
	return accept_char(scan, close);
}

static bool scan_value(struct scan *scan, int depth)
{
	skip_space(scan);
	if (scan->at == scan->end)
		return false;
	switch (*scan->at) {
	case '{':
		scan->at++;
		return scan_items(scan, '}', depth + 1, scan_member);
	case '[':
		scan->at++;
		return scan_items(scan, ']', depth + 1, scan_value);
	case '"':
		return scan_string(scan);
	case 't':
		return scan_literal(scan, GB_STR("true"));
	case 'f':
		return scan_literal(scan, GB_STR("false"));
	case 'n':
		return scan_literal(scan, GB_STR("null"));
	default:
		return scan_number(scan);
	}
}

bool js_validate(struct gb_str text)
{
	struct scan scan = { .at = text.ptr, .end = text.ptr + text.len };

	if (!text.len || !scan_value(&scan, 0))
		return false;
	skip_space(&scan);
	if (scan.at != scan.end)
		return false;
	return !scan.non_ascii || g_utf8_validate_len(text.ptr, text.len, NULL);
}
