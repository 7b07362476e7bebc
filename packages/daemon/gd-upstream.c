#include "daemon/gd.h"

#include <string.h>

/* A cancellation that arrives later would save little work. */
#define CANCEL_TIMEOUT GB_SEC

struct gd_upstream_call {
	struct gd_exchange x; /* must be first: it is cast to the call */
	struct gd *gd;
	struct nd_upstream_call request; /* its strings point into strings */
	char *strings;
	struct nd_upstream_result result;
	struct gd_upstream_cancel *cancel; /* in flight, else NULL */
	gb_time deadline;
	bool not_run; /* the upstream reports that it did not run it */
	bool attempt_echoed; /* the answer names this attempt */
	bool shard_echoed;
};

struct gd_upstream_cancel {
	struct gd_exchange x;
	struct gd_upstream_call *call; /* NULL once the call has ended */
};

struct header_row {
	struct gb_str name;
	void (*parse)(struct gd_upstream_call *call, struct gb_str value);
};

static void append_decimal(struct gb_buf *out, uint64_t value);
static void append_hex(struct gb_buf *out, uint64_t value);
static void copy_strings(struct gd_upstream_call *call);
static bool call_encode(struct gd_exchange *x, struct gb_buf *out);
static void call_on_header(struct gd_exchange *x, struct gb_str name,
			   struct gb_str value);
static bool call_accept(struct gd_exchange *x);
static void call_done(struct gd_exchange *x, enum gd_outcome outcome);
static void call_release(struct gd_exchange *x);
static void call_deliver(struct gd *gd, void *arg);
static void detach_cancel(struct gd_upstream_call *call);
static enum nd_upstream_status map_outcome(const struct gd_upstream_call *call,
					   enum gd_outcome outcome);
static bool cancel_encode(struct gd_exchange *x, struct gb_buf *out);
static void cancel_done(struct gd_exchange *x, enum gd_outcome outcome);
static void cancel_release(struct gd_exchange *x);
static uint64_t parse_hex(struct gb_str text);
static uint64_t parse_decimal(struct gb_str text);
static void parse_attempt(struct gd_upstream_call *call, struct gb_str value);
static void parse_instance(struct gd_upstream_call *call, struct gb_str value);
static void parse_snapshot(struct gd_upstream_call *call, struct gb_str value);
static void parse_shard(struct gd_upstream_call *call, struct gb_str value);
static void parse_docs(struct gd_upstream_call *call, struct gb_str value);
static void parse_load(struct gd_upstream_call *call, struct gb_str value);
static void parse_not_run(struct gd_upstream_call *call, struct gb_str value);

static const struct header_row header_rows[] = {
	{ GB_STR("attempt-id"), parse_attempt },
	{ GB_STR("instance"), parse_instance },
	{ GB_STR("snapshot"), parse_snapshot },
	{ GB_STR("shard"), parse_shard },
	{ GB_STR("documents"), parse_docs },
	{ GB_STR("load"), parse_load },
	{ GB_STR("not-run"), parse_not_run },
};

/* Returns 0 for a text that is not a hexadecimal number of 64 bits. */
static uint64_t parse_hex(struct gb_str text)
{
	uint64_t value = 0;

	if (text.len > 16)
		return 0;
	for (size_t i = 0; i < text.len; i++) {
		int digit = g_ascii_xdigit_value(text.ptr[i]);

		if (digit < 0)
			return 0;
		value = value << 4 | (unsigned int)digit;
	}
	return value;
}

/* Returns 0 for a text that is not a decimal number up to INT64_MAX. */
static uint64_t parse_decimal(struct gb_str text)
{
	uint64_t value = 0;

	if (text.len > 19)
		return 0;
	for (size_t i = 0; i < text.len; i++) {
		if (!g_ascii_isdigit(text.ptr[i]))
			return 0;
		value = value * 10 + (uint64_t)(text.ptr[i] - '0');
	}
	return value > INT64_MAX ? 0 : value;
}

static void parse_attempt(struct gd_upstream_call *call, struct gb_str value)
{
	call->attempt_echoed =
		value.len == 16 && parse_hex(value) == call->request.call;
}

static void parse_instance(struct gd_upstream_call *call, struct gb_str value)
{
	call->result.instance = parse_hex(value);
}

static void parse_snapshot(struct gd_upstream_call *call, struct gb_str value)
{
	call->result.snapshot = parse_decimal(value);
}

static void parse_shard(struct gd_upstream_call *call, struct gb_str value)
{
	call->result.shard = parse_decimal(value);
	call->shard_echoed = true;
}

static void parse_docs(struct gd_upstream_call *call, struct gb_str value)
{
	call->result.docs = parse_decimal(value);
}

static void parse_load(struct gd_upstream_call *call, struct gb_str value)
{
	call->result.load = parse_decimal(value);
}

static void parse_not_run(struct gd_upstream_call *call, struct gb_str value)
{
	call->not_run = gb_str_eq(value, GB_STR("1"));
}

/* Copies the strings of the request into one block owned by the call. */
static void copy_strings(struct gd_upstream_call *call)
{
	struct nd_upstream_call *request = &call->request;
	struct gb_str *strings[] = { &request->service, &request->replica,
				     &request->host, &request->key,
				     &request->body };
	size_t size = 0, used = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(strings); i++)
		size += strings[i]->len;
	call->strings = g_malloc(size);
	for (size_t i = 0; i < G_N_ELEMENTS(strings); i++) {
		if (strings[i]->len)
			memcpy(call->strings + used, strings[i]->ptr,
			       strings[i]->len);
		strings[i]->ptr = call->strings + used;
		used += strings[i]->len;
	}
}

void gd_upstream_send(struct gd *gd, const struct nd_upstream_call *request)
{
	struct gd_upstream_call *call = g_new0(struct gd_upstream_call, 1);
	struct gd_endpoint *endpoint;

	call->gd = gd;
	call->request = *request;
	copy_strings(call);
	call->deadline = ht_now() + request->timeout;
	call->result.call = request->call;
	call->result.shard = request->shard;
	endpoint = gd_endpoint_get(gd, request->host, request->port,
				   request->connections_max);
	if (!endpoint || gd_endpoint_take_idle_closed(endpoint)) {
		call->result.status = ND_UPSTREAM_NOT_SENT;
		gd_defer(gd, call_deliver, call);
		return;
	}
	call->x.encode = call_encode;
	call->x.on_header = call_on_header;
	call->x.accept = call_accept;
	call->x.done = call_done;
	call->x.release = call_release;
	g_hash_table_insert(gd->upstream_calls, &call->request.call, call);
	gd_exchange_start(gd, &call->x, endpoint,
			  request->timeout + ND_ANSWER_GRACE, false);
}

/* Appends a decimal number; printf() would dominate a request's CPU time. */
static void append_decimal(struct gb_buf *out, uint64_t value)
{
	char digits[20];
	size_t at = sizeof(digits);

	do {
		digits[--at] = '0' + value % 10;
		value /= 10;
	} while (value);
	gb_buf_add(out, (struct gb_str){ .ptr = digits + at,
					 .len = sizeof(digits) - at });
}

/* Appends an attempt id as 16 hexadecimal digits. */
static void append_hex(struct gb_buf *out, uint64_t value)
{
	char digits[16];

	for (size_t at = sizeof(digits); at-- > 0; value >>= 4)
		digits[at] = "0123456789abcdef"[value & 0xf];
	gb_buf_add(out,
		   (struct gb_str){ .ptr = digits, .len = sizeof(digits) });
}

/* Encodes the request unless its lease or its deadline has expired. */
static bool call_encode(struct gd_exchange *x, struct gb_buf *out)
{
	struct gd_upstream_call *call = (struct gd_upstream_call *)x;
	const struct nd_upstream_call *request = &call->request;
	gb_time now = ht_now();

	if (now >= request->expires || now >= call->deadline)
		return false;
	gb_buf_add(out, GB_STR("POST /shard/"));
	append_decimal(out, request->shard);
	gb_buf_add(out, request->order ? GB_STR("/order") : GB_STR("/lookup"));
	gb_buf_add(out, GB_STR(" HTTP/1.1\r\nHost: "));
	gb_buf_add(out, request->host);
	gb_buf_addc(out, ':');
	append_decimal(out, request->port);
	gb_buf_add(out, GB_STR("\r\nService: "));
	gb_buf_add(out, request->service);
	gb_buf_add(out, GB_STR("\r\nAttempt-Id: "));
	append_hex(out, request->call);
	gb_buf_add(out, GB_STR("\r\nSnapshot: "));
	append_decimal(out, request->snapshot);
	gb_buf_add(out, GB_STR("\r\nTimeout-Us: "));
	append_decimal(out, MIN(call->deadline, request->expires) - now);
	if (request->order) {
		gb_buf_add(out, GB_STR("\r\nIdempotency-Key: "));
		gb_buf_add(out, request->key);
	}
	gb_buf_add(out, GB_STR("\r\nContent-Type: application/json\r\n"
			       "Content-Length: "));
	append_decimal(out, request->body.len);
	gb_buf_add(out, GB_STR("\r\n\r\n"));
	gb_buf_add(out, request->body);
	return true;
}

static void call_on_header(struct gd_exchange *x, struct gb_str name,
			   struct gb_str value)
{
	struct gd_upstream_call *call = (struct gd_upstream_call *)x;

	for (size_t i = 0; i < G_N_ELEMENTS(header_rows); i++)
		if (gb_str_eq(header_rows[i].name, name))
			header_rows[i].parse(call, value);
}

/* Accepts an answer to this attempt and, if it succeeded, for this shard. */
static bool call_accept(struct gd_exchange *x)
{
	struct gd_upstream_call *call = (struct gd_upstream_call *)x;

	if (!call->attempt_echoed)
		return false;
	return x->status != 200 || (call->shard_echoed &&
				    call->result.shard == call->request.shard);
}

static enum nd_upstream_status map_outcome(const struct gd_upstream_call *call,
					   enum gd_outcome outcome)
{
	switch (outcome) {
	case GD_NOT_SENT:
		return ND_UPSTREAM_NOT_SENT;
	case GD_LOST:
		return ND_UPSTREAM_RESET;
	case GD_TIMEOUT:
		return ND_UPSTREAM_TIMEOUT;
	case GD_REJECTED:
		return ND_UPSTREAM_MISMATCH;
	case GD_ANSWERED:
		break;
	}
	if (call->not_run && call->x.status == 503)
		return ND_UPSTREAM_REFUSED;
	switch (call->x.status) {
	case 200:
		return ND_UPSTREAM_OK;
	case 410:
		return ND_UPSTREAM_SNAPSHOT_GONE;
	case 504:
		return ND_UPSTREAM_TIMEOUT;
	default:
		return ND_UPSTREAM_ERROR;
	}
}

/* Detaches the cancellation of a call that has ended; ends it if unsent. */
static void detach_cancel(struct gd_upstream_call *call)
{
	struct gd_upstream_cancel *cancel = call->cancel;

	if (!cancel)
		return;
	call->cancel = NULL;
	cancel->call = NULL;
	gd_exchange_cancel_unsent(&cancel->x);
}

static void call_done(struct gd_exchange *x, enum gd_outcome outcome)
{
	struct gd_upstream_call *call = (struct gd_upstream_call *)x;

	g_hash_table_remove(call->gd->upstream_calls, &call->request.call);
	call->result.status = map_outcome(call, outcome);
	detach_cancel(call);
}

static void call_release(struct gd_exchange *x)
{
	struct gd_upstream_call *call = (struct gd_upstream_call *)x;

	call_deliver(call->gd, call);
}

/* Reports the result to the node and frees the call. */
static void call_deliver(struct gd *gd, void *arg)
{
	struct gd_upstream_call *call = arg;

	call->result.body = gb_buf_str(&call->x.call.body);
	if (call->result.status == ND_UPSTREAM_OK &&
	    !js_validate_body(call->result.body, call->request.order))
		call->result.status = ND_UPSTREAM_ERROR;
	nd_upstream_done(gd->node, gd_clock(), &call->result);
	gd_exchange_clear(&call->x);
	g_free(call->strings);
	g_free(call);
}

/*
 * Cancels a call. If it was sent, a request tells the upstream to end it; the
 * connection stays in use until the answer to the call arrives.
 */
void gd_upstream_cancel(struct gd *gd, uint64_t id)
{
	struct gd_upstream_call *call =
		g_hash_table_lookup(gd->upstream_calls, &id);
	struct gd_upstream_cancel *cancel;

	if (!call || call->cancel || gd_exchange_cancel_unsent(&call->x))
		return;
	cancel = g_new0(struct gd_upstream_cancel, 1);
	cancel->call = call;
	cancel->x.encode = cancel_encode;
	cancel->x.done = cancel_done;
	cancel->x.release = cancel_release;
	call->cancel = cancel;
	gd_exchange_start(gd, &cancel->x, call->x.endpoint, CANCEL_TIMEOUT,
			  true);
}

static bool cancel_encode(struct gd_exchange *x, struct gb_buf *out)
{
	struct gd_upstream_cancel *cancel = (struct gd_upstream_cancel *)x;
	const struct nd_upstream_call *call = &cancel->call->request;

	gb_buf_addf(out,
		    "DELETE /attempt/%016" PRIx64 " HTTP/1.1\r\n"
		    "Host: %.*s:%u\r\nContent-Length: 0\r\n\r\n",
		    call->call, (int)call->host.len, call->host.ptr,
		    call->port);
	return true;
}

static void cancel_done(struct gd_exchange *x,
			enum gd_outcome outcome __attribute__((unused)))
{
	struct gd_upstream_cancel *cancel = (struct gd_upstream_cancel *)x;

	if (cancel->call)
		cancel->call->cancel = NULL;
	cancel->call = NULL;
}

static void cancel_release(struct gd_exchange *x)
{
	gd_exchange_clear(x);
	g_free(x);
}
