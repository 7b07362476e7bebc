#include "daemon/gd.h"

#include <netinet/tcp.h>

/* Exchanges have timers of their own; h2o's must never come first. */
#define IO_TIMEOUT_MS (10 * 60 * 1000)

/*
 * An idle connection is kept, since a new one may cost 6 ms, but given up
 * before an upstream's usual limit of 60 s: a request that meets its close
 * counts as lost.
 */
#define POOL_IDLE_MS 30000

/* An endpoint without exchanges is forgotten after this time. */
#define UNUSED_MS (10 * 60 * 1000)

/*
 * A request up to this size leaves in one segment with nothing unacknowledged
 * before it, so TCP does not hold it back and needs no option.
 */
#define ONE_SEGMENT 1200

#define ANSWER_MAX (8 * 1024 * 1024)

static void endpoint_free(struct gd *gd, void *arg);
static void on_unused(uv_timer_t *timer);
static void on_unused_closed(uv_handle_t *handle);
static guint endpoint_hash(gconstpointer key);
static gboolean endpoint_equal(gconstpointer a, gconstpointer b);
static void endpoint_pump_later(struct gd_endpoint *endpoint);
static void endpoint_pump(struct gd *gd, void *arg);
static void exchange_connect(struct gd_exchange *x);
static void exchange_end(struct gd_exchange *x, enum gd_outcome outcome);
static void on_exchange_closed(uv_handle_t *handle);
static void on_timeout(uv_timer_t *timer);
static h2o_http1client_head_cb on_connect(h2o_http1client_t *client,
					  const char *errstr,
					  h2o_iovec_t **bufs, size_t *bufs_len,
					  int *method_is_head);
static h2o_http1client_body_cb on_head(h2o_http1client_t *client,
				       const char *errstr, int minor_version,
				       int status, h2o_iovec_t msg,
				       h2o_header_t *headers,
				       size_t headers_len, int rlen);
static int on_body(h2o_http1client_t *client, const char *errstr);
static bool take_headers(struct gd_exchange *x, const h2o_header_t *headers,
			 size_t len);

void gd_client_init(struct gd *gd)
{
	struct gd_client *client = &gd->client;

	h2o_timeout_init(gd->uv, &client->io_timeout, IO_TIMEOUT_MS);
	client->ctx.loop = gd->uv;
	client->ctx.io_timeout = &client->io_timeout;
	client->endpoints = g_hash_table_new(endpoint_hash, endpoint_equal);
}

static guint endpoint_hash(gconstpointer key)
{
	const struct gd_endpoint *endpoint = key;

	return gb_hash(endpoint->host, endpoint->port);
}

static gboolean endpoint_equal(gconstpointer a, gconstpointer b)
{
	const struct gd_endpoint *x = a, *y = b;

	return x->port == y->port && gb_str_eq(x->host, y->host);
}

/* Forgets an endpoint, such as that of a replica that was removed. */
static void on_unused(uv_timer_t *timer)
{
	struct gd_endpoint *endpoint = timer->data;

	g_hash_table_remove(endpoint->gd->client.endpoints, endpoint);
	h2o_socketpool_dispose(&endpoint->pool);
	uv_close((uv_handle_t *)timer, on_unused_closed);
}

/* The pool has a timer too, which the loop closes within the same turn. */
static void on_unused_closed(uv_handle_t *handle)
{
	struct gd_endpoint *endpoint = handle->data;

	gd_defer(endpoint->gd, endpoint_free, endpoint);
}

static void endpoint_free(struct gd *gd __attribute__((unused)), void *arg)
{
	struct gd_endpoint *endpoint = arg;

	gb_str_free(&endpoint->host);
	g_free(endpoint);
}

struct gd_endpoint *gd_endpoint(struct gd *gd, struct gb_str host,
				uint16_t port, uint32_t limit)
{
	const struct gd_endpoint key = { .host = host, .port = port };
	struct gd_endpoint *endpoint =
		g_hash_table_lookup(gd->client.endpoints, &key);
	struct sockaddr_storage addr = { 0 };
	socklen_t len;

	if (endpoint)
		goto out;
	if (gd_address(host, port, &addr, &len))
		goto out;
	endpoint = g_new0(struct gd_endpoint, 1);
	endpoint->gd = gd;
	endpoint->host = gb_str_dup(host);
	endpoint->port = port;
	g_queue_init(&endpoint->waiting);
	uv_timer_init(gd->uv, &endpoint->unused);
	endpoint->unused.data = endpoint;
	h2o_socketpool_init_by_address(
		&endpoint->pool, (struct sockaddr *)&addr, len, 0, SIZE_MAX);
	h2o_socketpool_set_timeout(&endpoint->pool, gd->uv, POOL_IDLE_MS);
	g_hash_table_add(gd->client.endpoints, endpoint);
out:
	if (endpoint)
		endpoint->limit = MAX(limit, 1);
	return endpoint;
}

/*
 * h2o returns a connection to the pool only after the last call-back, so the
 * next exchange starts at the end of the loop turn; else it would open one
 * connection too many.
 */
static void endpoint_pump_later(struct gd_endpoint *endpoint)
{
	if (endpoint->pumping || !endpoint->waiting.length)
		return;
	endpoint->pumping = true;
	gd_defer(endpoint->gd, endpoint_pump, endpoint);
}

static void endpoint_pump(struct gd *gd, void *arg)
{
	struct gd_endpoint *endpoint = arg;

	(void)gd;
	endpoint->pumping = false;
	while (endpoint->waiting.length && endpoint->active < endpoint->limit)
		exchange_connect(g_queue_pop_head(&endpoint->waiting));
}

void gd_exchange_start(struct gd *gd, struct gd_exchange *x,
		       struct gd_endpoint *endpoint, gb_time timeout,
		       bool urgent)
{
	x->endpoint = endpoint;
	uv_timer_stop(&endpoint->unused);
	uv_timer_init(gd->uv, &x->timer);
	x->timer.data = x;
	uv_update_time(gd->uv);
	uv_timer_start(&x->timer, on_timeout,
		       (MAX(timeout, 0) + GB_MSEC - 1) / GB_MSEC, 0);
	if (endpoint->active < endpoint->limit && !endpoint->waiting.length)
		exchange_connect(x);
	else if (urgent)
		g_queue_push_head(&endpoint->waiting, x);
	else
		g_queue_push_tail(&endpoint->waiting, x);
}

/* Takes a pooled connection or opens one. */
static void exchange_connect(struct gd_exchange *x)
{
	struct gd_endpoint *endpoint = x->endpoint;

	x->active = true;
	endpoint->active++;
	h2o_http1client_connect_with_pool(&x->client, x,
					  &endpoint->gd->client.ctx,
					  &endpoint->pool, on_connect);
}

/* Reports the outcome; the connection is in h2o's hands or closed. */
static void exchange_end(struct gd_exchange *x, enum gd_outcome outcome)
{
	struct gd_endpoint *endpoint = x->endpoint;

	if (x->ended)
		return;
	x->ended = true;
	if (x->active)
		endpoint->active--;
	else
		g_queue_remove(&endpoint->waiting, x);
	endpoint_pump_later(endpoint);
	if (!endpoint->active && !endpoint->waiting.length)
		uv_timer_start(&endpoint->unused, on_unused, UNUSED_MS, 0);
	x->done(x, outcome);
	uv_close((uv_handle_t *)&x->timer, on_exchange_closed);
}

static void on_exchange_closed(uv_handle_t *handle)
{
	struct gd_exchange *x = handle->data;

	x->release(x);
}

void gd_exchange_clear(struct gd_exchange *x)
{
	gb_buf_free(&x->request);
	gb_buf_free(&x->body);
}

static void on_timeout(uv_timer_t *timer)
{
	struct gd_exchange *x = timer->data;

	if (x->active)
		h2o_http1client_cancel(x->client);
	exchange_end(x, x->sent ? GD_TIMEOUT : GD_NOT_SENT);
}

bool gd_exchange_withdraw(struct gd_exchange *x)
{
	if (x->sent || x->ended)
		return false;
	if (x->active)
		h2o_http1client_cancel(x->client);
	exchange_end(x, GD_NOT_SENT);
	return true;
}

static h2o_http1client_head_cb on_connect(h2o_http1client_t *client,
					  const char *errstr,
					  h2o_iovec_t **bufs, size_t *bufs_len,
					  int *method_is_head)
{
	struct gd_exchange *x = client->data;
	int on = 1;

	if (errstr || !x->prepare(x, &x->request)) {
		exchange_end(x, GD_NOT_SENT);
		return NULL;
	}
	if (x->request.len > ONE_SEGMENT)
		setsockopt(h2o_socket_get_fd(client->sock), IPPROTO_TCP,
			   TCP_NODELAY, &on, sizeof(on));
	x->sent = true;
	x->iov = h2o_iovec_init(x->request.ptr, x->request.len);
	*bufs = &x->iov;
	*bufs_len = 1;
	*method_is_head = 0;
	return on_head;
}

/*
 * Gives the headers to the exchange. Without a length or chunks the end of
 * the body is the end of the connection, and a cut could not be noticed.
 */
static bool take_headers(struct gd_exchange *x, const h2o_header_t *headers,
			 size_t len)
{
	bool framed = false;

	for (size_t i = 0; i < len; i++) {
		struct gb_str name = { headers[i].name->base,
				       headers[i].name->len };
		struct gb_str value = { headers[i].value.base,
					headers[i].value.len };

		framed |= gb_str_eq(name, GB_STR("content-length")) ||
			  gb_str_eq(name, GB_STR("transfer-encoding"));
		if (x->header)
			x->header(x, name, value);
	}
	return framed;
}

static h2o_http1client_body_cb
on_head(h2o_http1client_t *client, const char *errstr,
	int minor_version __attribute__((unused)), int status,
	h2o_iovec_t msg __attribute__((unused)), h2o_header_t *headers,
	size_t headers_len, int rlen __attribute__((unused)))
{
	struct gd_exchange *x = client->data;
	bool whole = errstr == h2o_http1client_error_is_eos;

	if (errstr && !whole) {
		exchange_end(x, GD_LOST);
		return NULL;
	}
	x->status = status;
	if (!take_headers(x, headers, headers_len) && !whole) {
		exchange_end(x, GD_LOST);
		return NULL;
	}
	if (x->accept && !x->accept(x)) {
		exchange_end(x, GD_REJECTED);
		return NULL;
	}
	if (whole) {
		exchange_end(x, GD_ANSWERED);
		return NULL;
	}
	return on_body;
}

static int on_body(h2o_http1client_t *client, const char *errstr)
{
	struct gd_exchange *x = client->data;
	h2o_buffer_t *input;

	if (errstr && errstr != h2o_http1client_error_is_eos) {
		exchange_end(x, GD_LOST);
		return -1;
	}
	input = client->sock->input;
	if (x->body.len + input->size > ANSWER_MAX) {
		exchange_end(x, GD_LOST);
		return -1;
	}
	gb_buf_add(&x->body,
		   (struct gb_str){ .ptr = input->bytes, .len = input->size });
	h2o_buffer_consume(&client->sock->input, input->size);
	if (errstr)
		exchange_end(x, GD_ANSWERED);
	return 0;
}
