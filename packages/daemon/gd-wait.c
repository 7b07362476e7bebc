#include "daemon/gd.h"

static void on_leaving(h2o_socket_t *sock, const char *err);

struct gd_waiting *gd_http_wait(struct gd *gd, h2o_req_t *req,
				void (*gone)(struct gd *gd, uint64_t handle))
{
	struct gd_waiting *waiting = g_new0(struct gd_waiting, 1);

	waiting->handle = ++gd->http.last_handle;
	waiting->req = req;
	waiting->conn = gd_conn_of(req);
	waiting->conn->waiting = waiting;
	waiting->gone = gone;
	g_hash_table_insert(gd->http.waiting, &waiting->handle, waiting);
	return waiting;
}

struct gd_waiting *gd_http_find(struct gd *gd, uint64_t handle)
{
	return g_hash_table_lookup(gd->http.waiting, &handle);
}

/*
 * h2o does not read while a request is processed, so the end of the
 * connection would go unnoticed. Whatever is read stays in h2o's buffer.
 */
void gd_http_watch(struct gd *gd, uint64_t handle)
{
	struct gd_waiting *waiting = gd_http_find(gd, handle);

	if (waiting)
		h2o_socket_read_start(waiting->conn->sock, on_leaving);
}

static void on_leaving(h2o_socket_t *sock, const char *err)
{
	struct gd_conn *conn = sock->on_close.data;
	struct gd_waiting *waiting = conn->waiting;
	struct gd *gd = conn->gd;
	uint64_t handle;
	void (*gone)(struct gd *, uint64_t);
	h2o_req_t *req;

	/* The next request has come early; it waits for this one. */
	if (!err) {
		h2o_socket_read_stop(sock);
		return;
	}
	if (!waiting)
		return;
	handle = waiting->handle;
	gone = waiting->gone;
	req = gd_http_finish(gd, waiting);
	if (gone)
		gone(gd, handle);
	/* Nobody reads this answer; it makes h2o close the connection. */
	req->http1_is_persistent = 0;
	gd_http_reply(gd, req, 503, GB_STR("application/json"), GB_STR("{}"));
}

h2o_req_t *gd_http_finish(struct gd *gd, struct gd_waiting *waiting)
{
	h2o_req_t *req = waiting->req;

	h2o_socket_read_stop(waiting->conn->sock);
	waiting->conn->waiting = NULL;
	g_hash_table_remove(gd->http.waiting, &waiting->handle);
	if (waiting->has_intent)
		js_intent_free(&waiting->intent);
	g_free(waiting);
	return req;
}
