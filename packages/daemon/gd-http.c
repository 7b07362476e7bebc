#include "daemon/gd.h"
#include "http/ht-listener.h"

#define LISTEN_BACKLOG 512

/*
 * Bytes by which h2o's limit of the body size exceeds that of the settings, so
 * that the daemon itself rejects larger bodies, with an error code.
 */
#define BODY_MARGIN_BYTES (64 * 1024)

/* Interval of the check for callers that do not read their answers. */
#define SWEEP_INTERVAL_MS 1000

/* A stopping daemon closes a connection that was idle for this time. */
#define DRAIN_IDLE_TIME (200 * GB_MSEC)

struct handler {
	h2o_handler_t super;
	struct gd *gd;
};

static void on_connection(uv_stream_t *listener, int status);
static void on_sock_closed(void *data);
static int on_request(h2o_handler_t *self, h2o_req_t *req);
static void on_sweep(uv_timer_t *timer);
static bool is_idle(const struct gd_conn *conn, gb_time now);
static bool route_matches(const struct gd_route *route, struct gb_str path);

int gd_http_init(struct gd *gd)
{
	struct gd_http *http = &gd->http;
	struct sockaddr_storage addr;
	h2o_pathconf_t *path;
	struct handler *handler;
	int ret;

	h2o_linklist_init_anchor(&http->conns);
	http->pending_requests = g_hash_table_new(g_int64_hash, g_int64_equal);
	h2o_config_init(&http->config);
	http->config.server_name = h2o_iovec_init(H2O_STRLIT("gentianbend"));
	http->config.http1.req_timeout =
		gd->settings.http_idle_timeout / GB_MSEC;
	http->config.http1.upgrade_to_http2 = 0;
	http->config.max_request_entity_size =
		gd->settings.body_bytes_max + BODY_MARGIN_BYTES;
	http->hosts[0] = h2o_config_register_host(
		&http->config, h2o_iovec_init(H2O_STRLIT("default")),
		gd->settings.http_port);
	gd_linger_init(http->hosts[0]);
	path = h2o_config_register_path(http->hosts[0], "/", 0);
	handler = (struct handler *)h2o_create_handler(path, sizeof(*handler));
	handler->super.on_req = on_request;
	handler->gd = gd;
	h2o_context_init(&http->ctx, gd->uv, &http->config);
	http->accept.ctx = &http->ctx;
	http->accept.hosts = http->hosts;

	uv_timer_init(gd->uv, &http->sweep_timer);
	http->sweep_timer.data = gd;
	uv_timer_start(&http->sweep_timer, on_sweep, SWEEP_INTERVAL_MS,
		       SWEEP_INTERVAL_MS);
	uv_tcp_init(gd->uv, &http->listener);
	http->listener.data = gd;
	if (ht_parse_host(gd->settings.host, gd->settings.http_port, &addr))
		return UV_EINVAL;
	ret = uv_tcp_bind(&http->listener, (struct sockaddr *)&addr, 0);
	if (!ret)
		ret = uv_listen((uv_stream_t *)&http->listener, LISTEN_BACKLOG,
				on_connection);
	http->listening = !ret;
	return ret;
}

static void on_connection(uv_stream_t *listener, int status)
{
	struct gd *gd = listener->data;
	struct gd_http *http = &gd->http;
	struct gd_conn *conn;

	if (status)
		return;
	conn = g_new0(struct gd_conn, 1);
	conn->gd = gd;
	conn->linger_fd = -1;
	conn->opened_at = ht_now();
	h2o_linklist_insert(&http->conns, &conn->link);
	met_set(&gd->metrics, MET_CONNECTIONS, ++http->conns_len);
	uv_tcp_init(gd->uv, &conn->tcp);
	if (uv_accept(listener, (uv_stream_t *)&conn->tcp) ||
	    http->conns_len > gd->settings.http_connections_max) {
		uv_close((uv_handle_t *)&conn->tcp, gd_conn_on_closed);
		return;
	}
	uv_tcp_nodelay(&conn->tcp, 1);
	conn->sock = h2o_uv_socket_create((uv_stream_t *)&conn->tcp,
					  gd_conn_on_closed);
	conn->sock->on_close.cb = on_sock_closed;
	conn->sock->on_close.data = conn;
	h2o_accept(&http->accept, conn->sock);
}

/*
 * Shuts down the connections of callers that do not read their answers, since
 * h2o has a timeout for reads but none for writes, or do not close theirs.
 */
static void on_sweep(uv_timer_t *timer)
{
	struct gd *gd = timer->data;
	h2o_linklist_t *anchor = &gd->http.conns;
	gb_time now = ht_now();
	gb_time cutoff = now - gd->settings.http_idle_timeout;

	for (h2o_linklist_t *at = anchor->next; at != anchor; at = at->next) {
		struct gd_conn *conn =
			H2O_STRUCT_FROM_MEMBER(struct gd_conn, link, at);

		gd_linger_sweep(conn, now);
		if (conn->sock && !conn->pending &&
		    conn->answered_at < cutoff &&
		    h2o_socket_is_writing(conn->sock))
			shutdown(h2o_socket_get_fd(conn->sock), SHUT_RDWR);
	}
}

static void on_sock_closed(void *data)
{
	struct gd_conn *conn = data;

	conn->sock = NULL;
}

void gd_conn_on_closed(uv_handle_t *handle)
{
	struct gd_conn *conn =
		H2O_STRUCT_FROM_MEMBER(struct gd_conn, tcp, (uv_tcp_t *)handle);
	struct gd *gd = conn->gd;

	if (gd_linger_begin(conn))
		return;
	h2o_linklist_unlink(&conn->link);
	met_set(&gd->metrics, MET_CONNECTIONS, --gd->http.conns_len);
	g_free(conn);
}

static bool route_matches(const struct gd_route *route, struct gb_str path)
{
	return route->is_prefix ? gb_str_starts_with(path, route->path)
				: gb_str_eq(path, route->path);
}

/* Matches operators' paths first; all others under /v1/ name a service. */
static int on_request(h2o_handler_t *self, h2o_req_t *req)
{
	static const struct gd_route callers = { GB_STR("POST"), GB_STR("/v1/"),
						 true, gd_caller_request };
	struct gd *gd = ((struct handler *)self)->gd;
	struct gb_str path = { req->path_normalized.base,
			       req->path_normalized.len };
	struct gb_str method = { req->method.base, req->method.len };
	struct gb_error err = { .code = GB_ERR_NOT_FOUND };
	const struct gd_route *route = &callers;

	met_add(&gd->metrics, MET_HTTP_REQUESTS, 1);
	for (size_t i = 0; i < gd_admin_routes_len; i++) {
		if (!route_matches(&gd_admin_routes[i], path))
			continue;
		route = &gd_admin_routes[i];
		break;
	}
	if (!route_matches(route, path)) {
		gb_fail(&err, GB_ERR_NOT_FOUND, path, 0);
		gd_http_error(gd, req, &err);
		return 0;
	}
	if (!gb_str_eq(route->method, method)) {
		gd_http_add_header(req, GB_STR("allow"), "%s",
				   route->method.ptr);
		gd_http_reply(gd, req, 405, GB_STR("application/json"),
			      GB_STR("{\"status\":\"bad_request\"}"));
		return 0;
	}
	route->handler(gd, req, gb_str_sub(path, route->path.len, path.len));
	return 0;
}

int gd_http_drop_attempts(struct gd *gd)
{
	return ht_listener_drop_attempts(&gd->http.listener);
}

void gd_http_stop_listening(struct gd *gd)
{
	if (!gd->http.listening)
		return;
	gd->http.listening = false;
	uv_close((uv_handle_t *)&gd->http.listener, NULL);
}

/* Checks that no request or answer was in flight for DRAIN_IDLE_TIME. */
static bool is_idle(const struct gd_conn *conn, gb_time now)
{
	if (!conn->sock || conn->pending || h2o_socket_is_writing(conn->sock) ||
	    conn->sock->input->size)
		return false;
	return now >= MAX(conn->opened_at, conn->answered_at) + DRAIN_IDLE_TIME;
}

bool gd_http_drain(struct gd *gd)
{
	h2o_linklist_t *anchor = &gd->http.conns;
	gb_time now = ht_now();

	for (h2o_linklist_t *at = anchor->next; at != anchor; at = at->next) {
		struct gd_conn *conn =
			H2O_STRUCT_FROM_MEMBER(struct gd_conn, link, at);

		if (is_idle(conn, now))
			shutdown(h2o_socket_get_fd(conn->sock), SHUT_RDWR);
	}
	return h2o_linklist_is_empty(anchor);
}
