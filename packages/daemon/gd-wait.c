#include "daemon/gd.h"

static void on_read_while_pending(h2o_socket_t *sock, const char *err);

struct gd_pending_request *
gd_http_add_pending(struct gd *gd, h2o_req_t *req,
		    void (*on_disconnect)(struct gd *gd, uint64_t handle))
{
	struct gd_pending_request *pending =
		g_new0(struct gd_pending_request, 1);

	pending->handle = ++gd->http.last_handle;
	pending->req = req;
	pending->conn = gd_conn_of(req);
	pending->conn->pending = pending;
	pending->on_disconnect = on_disconnect;
	g_hash_table_insert(gd->http.pending_requests, &pending->handle,
			    pending);
	return pending;
}

struct gd_pending_request *gd_http_find_pending(struct gd *gd, uint64_t handle)
{
	return g_hash_table_lookup(gd->http.pending_requests, &handle);
}

/*
 * h2o does not read while a request is processed, so the close of the
 * connection would not be noticed. Bytes that are read stay in h2o's buffer.
 */
void gd_http_watch_disconnect(struct gd *gd, uint64_t handle)
{
	struct gd_pending_request *pending = gd_http_find_pending(gd, handle);

	if (pending)
		h2o_socket_read_start(pending->conn->sock,
				      on_read_while_pending);
}

static void on_read_while_pending(h2o_socket_t *sock, const char *err)
{
	struct gd_conn *conn = sock->on_close.data;
	struct gd_pending_request *pending = conn->pending;
	struct gd *gd = conn->gd;
	uint64_t handle;
	void (*on_disconnect)(struct gd *, uint64_t);
	h2o_req_t *req;

	/* A pipelined request has arrived; it waits for this one. */
	if (!err) {
		h2o_socket_read_stop(sock);
		return;
	}
	if (!pending)
		return;
	handle = pending->handle;
	on_disconnect = pending->on_disconnect;
	req = gd_http_remove_pending(gd, pending);
	if (on_disconnect)
		on_disconnect(gd, handle);
	/* No caller reads this answer; it makes h2o close the connection. */
	req->http1_is_persistent = 0;
	gd_http_reply(gd, req, 503, GB_STR("application/json"), GB_STR("{}"));
}

h2o_req_t *gd_http_remove_pending(struct gd *gd,
				  struct gd_pending_request *pending)
{
	h2o_req_t *req = pending->req;

	h2o_socket_read_stop(pending->conn->sock);
	pending->conn->pending = NULL;
	g_hash_table_remove(gd->http.pending_requests, &pending->handle);
	if (pending->has_intent)
		js_intent_free(&pending->intent);
	g_free(pending);
	return req;
}
