#include "daemon/gd.h"

#include <stdarg.h>

/* HTTP status of each error that is returned to callers or operators. */
static const int http_statuses[GB_ERR_CODES] = {
	[GB_OK] = 200,
	[GB_ERR_BAD_REQUEST] = 400,
	[GB_ERR_BODY_TOO_LARGE] = 413,
	[GB_ERR_UNKNOWN_SERVICE] = 404,
	[GB_ERR_NOT_RUN] = 503,
	[GB_ERR_UNKNOWN_OUTCOME] = 504,
	[GB_ERR_OVER_LIMIT] = 429,
	[GB_ERR_DEADLINE] = 504,
	[GB_ERR_COVERAGE] = 503,
	[GB_ERR_QUARANTINED] = 503,
	[GB_ERR_KEY_EXPIRED] = 400,
	[GB_ERR_IN_PROGRESS] = 409,
	[GB_ERR_CONFLICT] = 409,
	[GB_ERR_NOT_FOUND] = 404,
	[GB_ERR_STORE_UNAVAILABLE] = 503,
	[GB_ERR_STALE_VERSION] = 409,
	[GB_ERR_SYNTAX] = 400,
	[GB_ERR_UNKNOWN_KEY] = 400,
	[GB_ERR_OUT_OF_RANGE] = 400,
	[GB_ERR_WRONG_TYPE] = 400,
	[GB_ERR_MISSING] = 400,
	[GB_ERR_DUPLICATE] = 400,
	[GB_ERR_REFERENCE] = 400,
	[GB_ERR_ROSTER_STEP] = 409,
	[GB_ERR_TOO_LARGE] = 413,
	[GB_ERR_TRUNCATED] = 400,
	[GB_ERR_IO] = 500,
};

static int hex_digit(char c);
static struct gb_str percent_decode(h2o_req_t *req, struct gb_str text);

int gd_http_status(enum gb_code code)
{
	return code < GB_ERR_CODES && http_statuses[code] ? http_statuses[code]
							  : 500;
}

int gd_http_header(const h2o_req_t *req, struct gb_str name,
		   struct gb_str *value)
{
	int found = 0;

	*value = GB_STR("");
	for (size_t i = 0; i < req->headers.size; i++) {
		const h2o_header_t *header = &req->headers.entries[i];

		if (!h2o_lcstris(header->name->base, header->name->len,
				 name.ptr, name.len))
			continue;
		*value = (struct gb_str){ .ptr = header->value.base,
					  .len = header->value.len };
		found++;
	}
	return found;
}

static int hex_digit(char c)
{
	return g_ascii_isxdigit(c) ? g_ascii_xdigit_value(c) : -1;
}

/* Decodes the percent encoding of a query parameter. */
static struct gb_str percent_decode(h2o_req_t *req, struct gb_str text)
{
	char *out = h2o_mem_alloc_pool(&req->pool, text.len + 1);
	size_t len = 0;

	for (size_t i = 0; i < text.len; i++) {
		if (text.ptr[i] == '%' && i + 2 < text.len &&
		    hex_digit(text.ptr[i + 1]) >= 0 &&
		    hex_digit(text.ptr[i + 2]) >= 0) {
			out[len++] = hex_digit(text.ptr[i + 1]) << 4 |
				     hex_digit(text.ptr[i + 2]);
			i += 2;
		} else {
			out[len++] = text.ptr[i];
		}
	}
	return (struct gb_str){ .ptr = out, .len = len };
}

struct gb_str gd_http_query_param(h2o_req_t *req, struct gb_str name)
{
	struct gb_str query = { req->path.base, req->path.len };
	struct gb_str value, key;

	if (req->query_at == SIZE_MAX)
		return GB_STR("");
	query = gb_str_sub(query, req->query_at + 1, query.len);
	while (query.len) {
		gb_str_cut(&query, '&', &value);
		gb_str_cut(&value, '=', &key);
		if (gb_str_eq(key, name))
			return percent_decode(req, value);
	}
	return GB_STR("");
}

void gd_http_add_header(h2o_req_t *req, struct gb_str name, const char *fmt,
			...)
{
	char text[256];
	h2o_iovec_t value;
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	value = h2o_strdup(&req->pool, text, SIZE_MAX);
	h2o_add_header_by_str(&req->pool, &req->res.headers, name.ptr, name.len,
			      0, NULL, value.base, value.len);
}

void gd_http_reply(struct gd *gd, h2o_req_t *req, int status,
		   struct gb_str type, struct gb_str body)
{
	/* A stopping daemon asks callers to reconnect, by Connection: close. */
	if (gd->phase != GD_RUNNING)
		req->http1_is_persistent = 0;
	gd_http_mark_answered(req);
	req->res.status = status;
	req->res.reason = status < 400 ? "OK" : "Error";
	req->res.content_length = body.len;
	gd_http_add_header(req, GB_STR("content-type"), "%s", type.ptr);
	h2o_send_inline(req, body.len ? body.ptr : "", body.len);
}

void gd_http_error(struct gd *gd, h2o_req_t *req, const struct gb_error *err)
{
	int status = gd_http_status(err->code);
	struct gb_buf body = GB_BUF_INIT;

	if (status == 400 || status == 413) {
		met_add(&gd->metrics, MET_HTTP_BAD, 1);
		gd_event(gd, EV_HTTP_BAD_REQUEST, GB_STR(""), GB_STR(""),
			 status, err->code);
	}
	if (status == 429 || status == 503)
		gd_http_add_header(req, GB_STR("retry-after"), "1");
	js_error_encode(err, &body);
	gd_http_reply(gd, req, status, GB_STR("application/json"),
		      gb_buf_str(&body));
	gb_buf_free(&body);
}
