#include "base/gb.h"

#include <inttypes.h>
#include <string.h>

struct code_row {
	struct gb_str name;
	struct gb_str text;
};

#define INIT_ROW(n, t)                                         \
	{                                                      \
		.name = GB_STR_INIT(n), .text = GB_STR_INIT(t) \
	}

static const struct code_row codes[GB_ERR_CODES] = {
	[GB_OK] = INIT_ROW("ok", "no error"),
	[GB_ERR_BAD_REQUEST] = INIT_ROW("bad_request", "bad request"),
	[GB_ERR_BODY_TOO_LARGE] = INIT_ROW("body_too_large", "body too large"),
	[GB_ERR_UNKNOWN_SERVICE] =
		INIT_ROW("unknown_service", "unknown service"),
	[GB_ERR_NOT_RUN] = INIT_ROW("not_run", "request was not run"),
	[GB_ERR_UNKNOWN_OUTCOME] =
		INIT_ROW("unknown_outcome",
			 "request may have run; its outcome is unknown"),
	[GB_ERR_OVER_LIMIT] = INIT_ROW(
		"over_limit", "request was not run: service is at its limit"),
	[GB_ERR_DEADLINE] = INIT_ROW("deadline", "deadline exceeded"),
	[GB_ERR_COVERAGE] =
		INIT_ROW("coverage", "coverage is below the asked minimum"),
	[GB_ERR_QUARANTINED] =
		INIT_ROW("quarantined",
			 "request was not run: it crashed upstreams before"),
	[GB_ERR_KEY_EXPIRED] =
		INIT_ROW("key_expired", "issue time of the idempotency key is "
					"outside the retention time"),
	[GB_ERR_IN_PROGRESS] =
		INIT_ROW("in_progress", "an order with this key is running"),
	[GB_ERR_CONFLICT] =
		INIT_ROW("conflict", "version conflict with another change"),
	[GB_ERR_NOT_FOUND] = INIT_ROW("not_found", "not found"),
	[GB_ERR_STORE_UNAVAILABLE] =
		INIT_ROW("store_unavailable", "the platform does not answer"),
	[GB_ERR_STALE_VERSION] =
		INIT_ROW("stale_version", "version is not newer"),
	[GB_ERR_SYNTAX] = INIT_ROW("syntax", "syntax error"),
	[GB_ERR_UNKNOWN_KEY] = INIT_ROW("unknown_key", "unknown key"),
	[GB_ERR_OUT_OF_RANGE] = INIT_ROW("out_of_range", "value out of range"),
	[GB_ERR_WRONG_TYPE] = INIT_ROW("wrong_type", "value of the wrong type"),
	[GB_ERR_MISSING] = INIT_ROW("missing", "missing value"),
	[GB_ERR_DUPLICATE] = INIT_ROW("duplicate", "duplicate name"),
	[GB_ERR_REFERENCE] =
		INIT_ROW("reference", "name refers to nothing that exists"),
	[GB_ERR_ROSTER_STEP] = INIT_ROW(
		"roster_step", "a roster change may differ by one VM only"),
	[GB_ERR_TOO_LARGE] = INIT_ROW("too_large", "value too large"),
	[GB_ERR_TRUNCATED] = INIT_ROW("truncated", "data ends too early"),
	[GB_ERR_IO] = INIT_ROW("io", "input or output error"),
};

int gb_fail(struct gb_error *err, enum gb_code code, struct gb_str subject,
	    int64_t number)
{
	if (!err)
		return -1;
	err->code = code;
	err->number = number;
	err->subject_len = subject.len < sizeof(err->subject)
				   ? subject.len
				   : sizeof(err->subject);
	if (err->subject_len)
		memcpy(err->subject, subject.ptr, err->subject_len);
	return -1;
}

struct gb_str gb_code_name(enum gb_code code)
{
	return code < GB_ERR_CODES ? codes[code].name : GB_STR("unknown");
}

enum gb_code gb_code_from_name(struct gb_str name)
{
	for (int i = 0; i < GB_ERR_CODES; i++)
		if (gb_str_eq(codes[i].name, name))
			return i;
	return GB_ERR_CODES;
}

void gb_error_text(const struct gb_error *err, struct gb_buf *out)
{
	if (err->code >= GB_ERR_CODES)
		return;
	gb_buf_add(out, codes[err->code].text);
	if (err->subject_len)
		gb_buf_addf(out, ": \"%.*s\"", (int)err->subject_len,
			    err->subject);
	if (err->number)
		gb_buf_addf(out, " (%" PRId64 ")", err->number);
}
