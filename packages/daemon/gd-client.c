#include "daemon/gd.h"

/* Interval of the check for connections that were idle for too long. */
#define SWEEP_INTERVAL_MS 10000

/* An endpoint without exchanges is freed after this time. */
#define ENDPOINT_EXPIRY_MS (10 * 60 * 1000)

/*
 * Idle connections are kept, since a new one may cost 6 ms, but closed before
 * an upstream's usual idle timeout of 60 s: a request that is sent while the
 * upstream closes the connection counts as lost.
 */
#define IDLE_TIMEOUT (30 * GB_SEC)

static void on_endpoint_expired(uv_timer_t *timer);
static void on_endpoint_closed(uv_handle_t *handle);
static guint endpoint_hash(gconstpointer key);
static gboolean endpoint_equal(gconstpointer a, gconstpointer b);
static bool on_encode(struct ht_call *call, struct gb_buf *out);
static enum ht_verdict on_head(struct ht_call *call,
			       const struct ht_response *head);
static void on_done(struct ht_call *call, enum ht_outcome outcome);
static void end_exchange(struct gd_exchange *x, enum gd_outcome outcome);
static void on_exchange_closed(uv_handle_t *handle);
static void on_timeout(uv_timer_t *timer);
static void on_sweep(uv_timer_t *timer);

static const struct ht_call_ops call_ops = {
	.encode = on_encode,
	.head = on_head,
	.done = on_done,
};

void gd_client_init(struct gd *gd)
{
	struct gd_client *client = &gd->client;

	client->endpoints = g_hash_table_new(endpoint_hash, endpoint_equal);
	uv_timer_init(gd->uv, &client->sweep_timer);
	client->sweep_timer.data = gd;
	uv_timer_start(&client->sweep_timer, on_sweep, SWEEP_INTERVAL_MS,
		       SWEEP_INTERVAL_MS);
}

static void on_sweep(uv_timer_t *timer)
{
	struct gd *gd = timer->data;
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, gd->client.endpoints);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct gd_endpoint *endpoint = key;

		ht_target_close_expired(endpoint->target, ht_now());
	}
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

/* Frees an unused endpoint, such as that of a removed replica. */
static void on_endpoint_expired(uv_timer_t *timer)
{
	struct gd_endpoint *endpoint = timer->data;

	g_hash_table_remove(endpoint->gd->client.endpoints, endpoint);
	ht_target_free(endpoint->target);
	uv_close((uv_handle_t *)timer, on_endpoint_closed);
}

static void on_endpoint_closed(uv_handle_t *handle)
{
	struct gd_endpoint *endpoint = handle->data;

	gb_str_free(&endpoint->host);
	g_free(endpoint);
}

/* Returns NULL if the host is not a numeric address. */
static struct ht_target *open_target(struct gd *gd, struct gb_str host,
				     uint16_t port)
{
	struct gb_buf address = GB_BUF_INIT;
	struct ht_target *target;

	gb_buf_add(&address, host);
	gb_buf_addf(&address, ":%u", port);
	target = ht_target_new(gd->uv, gb_buf_str(&address), 1);
	gb_buf_free(&address);
	if (!target)
		return NULL;
	target->idle_timeout = IDLE_TIMEOUT;
	target->reject_unframed = true;
	return target;
}

struct gd_endpoint *gd_endpoint_get(struct gd *gd, struct gb_str host,
				    uint16_t port, uint32_t conns_max)
{
	const struct gd_endpoint key = { .host = host, .port = port };
	struct gd_endpoint *endpoint =
		g_hash_table_lookup(gd->client.endpoints, &key);
	struct ht_target *target;

	if (!endpoint) {
		target = open_target(gd, host, port);
		if (!target)
			return NULL;
		endpoint = g_new0(struct gd_endpoint, 1);
		endpoint->gd = gd;
		endpoint->host = gb_str_dup(host);
		endpoint->port = port;
		endpoint->target = target;
		uv_timer_init(gd->uv, &endpoint->expiry_timer);
		endpoint->expiry_timer.data = endpoint;
		g_hash_table_add(gd->client.endpoints, endpoint);
	}
	endpoint->target->conns_max = MAX(conns_max, 1);
	return endpoint;
}

bool gd_endpoint_take_idle_closed(struct gd_endpoint *endpoint)
{
	return ht_target_take_idle_closed(endpoint->target);
}

void gd_exchange_start(struct gd *gd, struct gd_exchange *x,
		       struct gd_endpoint *endpoint, gb_time timeout,
		       bool high_priority)
{
	x->endpoint = endpoint;
	endpoint->exchanges_in_flight++;
	uv_timer_stop(&endpoint->expiry_timer);
	uv_timer_init(gd->uv, &x->timer);
	x->timer.data = x;
	uv_update_time(gd->uv);
	uv_timer_start(&x->timer, on_timeout,
		       (MAX(timeout, 0) + GB_MSEC - 1) / GB_MSEC, 0);
	x->call.high_priority = high_priority;
	ht_call_start(&x->call, endpoint->target, &call_ops);
}

static struct gd_exchange *exchange_from_call(struct ht_call *call)
{
	return (struct gd_exchange *)((char *)call -
				      offsetof(struct gd_exchange, call));
}

static bool on_encode(struct ht_call *call, struct gb_buf *out)
{
	struct gd_exchange *x = exchange_from_call(call);

	return x->encode(x, out);
}

static enum ht_verdict on_head(struct ht_call *call,
			       const struct ht_response *head)
{
	struct gd_exchange *x = exchange_from_call(call);

	x->status = head->status;
	for (size_t i = 0; x->on_header && i < head->fields_len; i++)
		x->on_header(x, head->fields[i].name, head->fields[i].value);
	x->rejected = x->accept && !x->accept(x);
	return x->rejected ? HT_REJECT : HT_ACCEPT;
}

static void on_done(struct ht_call *call, enum ht_outcome outcome)
{
	struct gd_exchange *x = exchange_from_call(call);

	switch (outcome) {
	case HT_ANSWERED:
		end_exchange(x, GD_ANSWERED);
		return;
	case HT_NOT_SENT:
		end_exchange(x, GD_NOT_SENT);
		return;
	case HT_LOST:
		end_exchange(x, GD_LOST);
		return;
	case HT_INVALID:
		end_exchange(x, x->rejected ? GD_REJECTED : GD_LOST);
		return;
	}
}

static void end_exchange(struct gd_exchange *x, enum gd_outcome outcome)
{
	struct gd_endpoint *endpoint = x->endpoint;

	if (x->ended)
		return;
	x->ended = true;
	endpoint->exchanges_in_flight--;
	if (!endpoint->exchanges_in_flight)
		uv_timer_start(&endpoint->expiry_timer, on_endpoint_expired,
			       ENDPOINT_EXPIRY_MS, 0);
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
	gb_buf_free(&x->call.body);
}

static void on_timeout(uv_timer_t *timer)
{
	struct gd_exchange *x = timer->data;

	ht_call_cancel(&x->call);
	end_exchange(x, x->call.sent ? GD_TIMEOUT : GD_NOT_SENT);
}

bool gd_exchange_cancel_unsent(struct gd_exchange *x)
{
	if (x->call.sent || x->ended)
		return false;
	ht_call_cancel(&x->call);
	end_exchange(x, GD_NOT_SENT);
	return true;
}
