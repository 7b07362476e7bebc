#include "daemon/gd.h"

#define ID_LEN_MAX 64
#define KEY_LEN_MAX 128
#define DEADLINE_MAX_MS 60000

/* A request being parsed, and the first error in it. */
struct request_parser {
	struct gd *gd;
	h2o_req_t *req;
	struct nd_request request;
	bool order;
	struct gb_error err;
};

struct header_row {
	struct gb_str name;
	bool orders_only; /* ignored in lookups */
	int (*parse)(struct request_parser *parser, struct gb_str value);
};

static int parse_id(struct request_parser *parser, struct gb_str value);
static int parse_deadline(struct request_parser *parser, struct gb_str value);
static int parse_coverage(struct request_parser *parser, struct gb_str value);
static int parse_key(struct request_parser *parser, struct gb_str value);
static int parse_header(struct request_parser *parser,
			const struct header_row *row);
static int parse_path(struct request_parser *parser, struct gb_str subpath);
static int parse_body(struct request_parser *parser);
static bool is_printable(struct gb_str s);
static void on_disconnect(struct gd *gd, uint64_t handle);
static void add_retry_after(h2o_req_t *req, const struct nd_answer *answer,
			    int status);

static const struct header_row header_rows[] = {
	{ GB_STR("request-id"), false, parse_id },
	{ GB_STR("deadline-ms"), false, parse_deadline },
	{ GB_STR("min-coverage"), false, parse_coverage },
	{ GB_STR("idempotency-key"), true, parse_key },
};

static bool is_printable(struct gb_str s)
{
	for (size_t i = 0; i < s.len; i++)
		if (!g_ascii_isprint(s.ptr[i]))
			return false;
	return true;
}

/* Generates a request id if the caller sends none. */
static int parse_id(struct request_parser *parser, struct gb_str value)
{
	char *generated;

	if (!value.len) {
		generated = h2o_mem_alloc_pool(&parser->req->pool, 17);
		snprintf(generated, 17, "%016" PRIx64,
			 gb_rng_next(&parser->gd->rng));
		value = (struct gb_str){ .ptr = generated, .len = 16 };
	}
	if (value.len > ID_LEN_MAX || !is_printable(value))
		return gb_fail(&parser->err, GB_ERR_BAD_REQUEST,
			       GB_STR("Request-Id"), value.len);
	parser->request.id = value;
	return 0;
}

static int parse_deadline(struct request_parser *parser, struct gb_str value)
{
	int64_t ms = 0;

	if (value.len && gb_str_to_int(value, 1, DEADLINE_MAX_MS, &ms))
		return gb_fail(&parser->err, GB_ERR_BAD_REQUEST,
			       GB_STR("Deadline-Ms"), 0);
	parser->request.timeout = ms * GB_MSEC;
	return 0;
}

static int parse_coverage(struct request_parser *parser, struct gb_str value)
{
	if (value.len &&
	    gb_str_to_double(value, 0, 1, &parser->request.min_coverage))
		return gb_fail(&parser->err, GB_ERR_BAD_REQUEST,
			       GB_STR("Min-Coverage"), 0);
	return 0;
}

static int parse_key(struct request_parser *parser, struct gb_str value)
{
	if (!value.len || value.len > KEY_LEN_MAX || gb_str_has_control(value))
		return gb_fail(&parser->err, GB_ERR_BAD_REQUEST,
			       GB_STR("Idempotency-Key"), value.len);
	parser->request.key = value;
	return 0;
}

/* Splits SERVICE/lookup or SERVICE/order. */
static int parse_path(struct request_parser *parser, struct gb_str subpath)
{
	struct gb_str service;

	gb_str_cut(&subpath, '/', &service);
	parser->order = gb_str_eq(subpath, GB_STR("order"));
	parser->request.service = service;
	if (!service.len ||
	    (!parser->order && !gb_str_eq(subpath, GB_STR("lookup"))))
		return gb_fail(&parser->err, GB_ERR_NOT_FOUND, subpath, 0);
	return 0;
}

static int parse_body(struct request_parser *parser)
{
	struct gb_str body = { parser->req->entity.base,
			       parser->req->entity.len };

	if (body.len > parser->gd->settings.body_bytes_max)
		return gb_fail(&parser->err, GB_ERR_BODY_TOO_LARGE,
			       GB_STR("body"), body.len);
	if (!body.len || !js_validate_body(body, true))
		return gb_fail(&parser->err, GB_ERR_BAD_REQUEST, GB_STR("body"),
			       body.len);
	parser->request.body = body;
	return 0;
}

/* A header that occurs twice is rejected, since it would be ambiguous. */
static int parse_header(struct request_parser *parser,
			const struct header_row *row)
{
	struct gb_str value;

	if (gd_http_header(parser->req, row->name, &value) > 1)
		return gb_fail(&parser->err, GB_ERR_BAD_REQUEST, row->name, 0);
	return row->parse(parser, value);
}

void gd_caller_request(struct gd *gd, h2o_req_t *req, struct gb_str subpath)
{
	struct request_parser parser = { .gd = gd, .req = req };
	uint64_t handle;

	if (parse_path(&parser, subpath))
		goto bad;
	for (size_t i = 0; i < G_N_ELEMENTS(header_rows); i++) {
		const struct header_row *row = &header_rows[i];

		if (row->orders_only && !parser.order)
			continue;
		if (parse_header(&parser, row))
			goto bad;
	}
	if (parse_body(&parser))
		goto bad;
	handle = gd_http_add_pending(gd, req, on_disconnect)->handle;
	parser.request.caller = handle;
	if (parser.order)
		nd_order(gd->node, gd_clock(), &parser.request);
	else
		nd_lookup(gd->node, gd_clock(), &parser.request);
	gd_http_watch_disconnect(gd, handle);
	return;
bad:
	gd_http_error(gd, req, &parser.err);
}

static void on_disconnect(struct gd *gd, uint64_t handle)
{
	nd_caller_gone(gd->node, gd_clock(), handle);
}

static void add_retry_after(h2o_req_t *req, const struct nd_answer *answer,
			    int status)
{
	int64_t seconds = (answer->retry_after + GB_SEC - 1) / GB_SEC;

	if (status == 429 || status == 503)
		gd_http_add_header(req, GB_STR("retry-after"), "%" PRId64,
				   MAX(seconds, 1));
}

void gd_caller_answer(struct gd *gd, const struct nd_answer *answer)
{
	struct gd_pending_request *pending =
		gd_http_find_pending(gd, answer->caller);
	int status = gd_http_status(answer->code);
	struct gb_buf body = GB_BUF_INIT;
	h2o_req_t *req;

	if (!pending)
		return;
	req = gd_http_remove_pending(gd, pending);
	/* A body that cannot be encoded turns the answer into an error. */
	if (js_answer_encode(answer, &body))
		status = gd_http_status(answer->order ? GB_ERR_UNKNOWN_OUTCOME
						      : GB_ERR_IO);
	add_retry_after(req, answer, status);
	gd_http_add_header(req, GB_STR("request-id"), "%.*s",
			   (int)answer->id.len, answer->id.ptr);
	gd_http_reply(gd, req, status, GB_STR("application/json"),
		      gb_buf_str(&body));
	gb_buf_free(&body);
}
