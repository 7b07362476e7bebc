#include "event/ev.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>

static bool is_unquoted(struct gb_str s);
static void add_text(struct gb_buf *out, struct gb_str key,
		     struct gb_str value);
static void add_number(struct gb_buf *out, struct gb_str key, int64_t value);
static bool condition_matches(struct gb_str condition, struct gb_str value);

bool ev_filter_match(const struct ev_filter *filter,
		     const struct ev_event *event)
{
	return condition_matches(filter->request, event->request) &&
	       condition_matches(filter->upstream, event->upstream) &&
	       condition_matches(filter->dc, event->dc) &&
	       (filter->vm == -1 || filter->vm == event->vm);
}

static bool condition_matches(struct gb_str condition, struct gb_str value)
{
	return !condition.len || gb_str_eq(condition, value);
}

int ev_cmp(const struct ev_event *a, const struct ev_event *b)
{
	if (a->hlc != b->hlc)
		return a->hlc < b->hlc ? -1 : 1;
	return a->vm < b->vm ? -1 : a->vm > b->vm;
}

/* Tells whether ev_text() may print s without quotes. */
static bool is_unquoted(struct gb_str s)
{
	for (size_t i = 0; i < s.len; i++)
		if (!g_ascii_isalnum(s.ptr[i]) &&
		    (!s.ptr[i] || !strchr("._:/@+-", s.ptr[i])))
			return false;
	return s.len > 0;
}

void ev_quote(struct gb_str value, struct gb_buf *out)
{
	gb_buf_addc(out, '"');
	for (size_t i = 0; i < value.len; i++) {
		unsigned char c = value.ptr[i];

		if (c == '"' || c == '\\')
			gb_buf_addf(out, "\\%c", c);
		else if (g_ascii_isprint(c))
			gb_buf_addc(out, c);
		else
			gb_buf_addf(out, "\\x%02x", c);
	}
	gb_buf_addc(out, '"');
}

static void add_text(struct gb_buf *out, struct gb_str key, struct gb_str value)
{
	if (!value.len)
		return;
	gb_buf_addf(out, " %.*s=", (int)key.len, key.ptr);
	if (is_unquoted(value))
		gb_buf_add(out, value);
	else
		ev_quote(value, out);
}

/* Appends a number: errors by name, ids in hex as plans show them. */
static void add_number(struct gb_buf *out, struct gb_str key, int64_t value)
{
	if (!key.len)
		return;
	gb_buf_addf(out, " %.*s=", (int)key.len, key.ptr);
	if (gb_str_eq(key, GB_STR("error")))
		gb_buf_add(out, gb_code_name(CLAMP(value, 0, GB_ERR_CODES)));
	else if (gb_str_eq(key, GB_STR("plan")) ||
		 gb_str_eq(key, GB_STR("call")) ||
		 gb_str_eq(key, GB_STR("fingerprint")))
		gb_buf_addf(out, "%016" PRIx64, (uint64_t)value);
	else
		gb_buf_addf(out, "%" PRId64, value);
}

void ev_text(const struct ev_event *event, struct gb_buf *out)
{
	const struct ev_row *row = ev_row(event->code);
	struct gb_str severity = ev_severity_name(row ? row->severity : 0);

	gb_buf_add(out, row ? row->name : GB_STR("unknown"));
	gb_buf_addf(out, " event=%d", event->code);
	add_text(out, GB_STR("severity"), severity);
	/* A VM of role front has no number, and sends no stamps to others. */
	if (event->hlc)
		gb_buf_addf(out, " hlc=%" PRIu64 ".%u vm=%" PRIu32,
			    event->hlc >> 16,
			    (unsigned int)(event->hlc & 0xffff), event->vm);
	add_text(out, GB_STR("request"), event->request);
	add_text(out, GB_STR("upstream"), event->upstream);
	add_text(out, GB_STR("dc"), event->dc);
	add_number(out, row ? row->num1_key : GB_STR("a"), event->num1);
	add_number(out, row ? row->num2_key : GB_STR("b"), event->num2);
	if (event->detail.len) {
		gb_buf_addc(out, ' ');
		gb_buf_add(out, event->detail);
	}
}
