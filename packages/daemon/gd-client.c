#include "daemon/gd-link.h"

/* Interval of the search for connections that were idle for too long. */
#define SWEEP_MS 10000

/* An endpoint without exchanges is forgotten after this time. */
#define UNUSED_MS (10 * 60 * 1000)

static void on_unused(uv_timer_t *timer);
static void on_unused_closed(uv_handle_t *handle);
static guint endpoint_hash(gconstpointer key);
static gboolean endpoint_equal(gconstpointer a, gconstpointer b);
static void endpoint_pump_later(struct gd_endpoint *endpoint);
static void endpoint_pump(struct gd *gd, void *arg);
static void exchange_connect(struct gd_exchange *x);
static void on_exchange_closed(uv_handle_t *handle);
static void on_timeout(uv_timer_t *timer);
static void on_sweep(uv_timer_t *timer);

void gd_client_init(struct gd *gd)
{
	struct gd_client *client = &gd->client;

	client->endpoints = g_hash_table_new(endpoint_hash, endpoint_equal);
	uv_timer_init(gd->uv, &client->sweep);
	client->sweep.data = gd;
	uv_timer_start(&client->sweep, on_sweep, SWEEP_MS, SWEEP_MS);
}

static void on_sweep(uv_timer_t *timer)
{
	struct gd *gd = timer->data;
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, gd->client.endpoints);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		gd_link_expire(key, gd_now());
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
	while (endpoint->idle.length)
		gd_link_close(g_queue_peek_head(&endpoint->idle));
	uv_close((uv_handle_t *)timer, on_unused_closed);
}

static void on_unused_closed(uv_handle_t *handle)
{
	struct gd_endpoint *endpoint = handle->data;

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
	endpoint->addr = addr;
	g_queue_init(&endpoint->idle);
	g_hash_table_add(gd->client.endpoints, endpoint);
out:
	if (endpoint)
		endpoint->limit = MAX(limit, 1);
	return endpoint;
}

/*
 * The next exchange starts at the end of the loop turn, outside of the outputs
 * of the node and of the exchange that ends.
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

bool gd_endpoint_lost(struct gd_endpoint *endpoint)
{
	bool lost = endpoint->lost;

	endpoint->lost = false;
	return lost;
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

static void exchange_connect(struct gd_exchange *x)
{
	struct gd_endpoint *endpoint = x->endpoint;

	x->active = true;
	endpoint->active++;
	gd_link_start(endpoint, x);
}

void gd_exchange_end(struct gd_exchange *x, enum gd_outcome outcome)
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

	if (x->link)
		gd_link_close(x->link);
	x->link = NULL;
	gd_exchange_end(x, x->sent ? GD_TIMEOUT : GD_NOT_SENT);
}

bool gd_exchange_withdraw(struct gd_exchange *x)
{
	if (x->sent || x->ended)
		return false;
	if (x->link)
		gd_link_close(x->link);
	x->link = NULL;
	gd_exchange_end(x, GD_NOT_SENT);
	return true;
}
