#include "http/ht-conn.h"

/* The time at which the loop has polled last. */
static gb_time polled_at(const struct ht_server *server)
{
	return uv_now(server->loop) * GB_MSEC;
}

static void on_before_poll(uv_prepare_t *handle)
{
	struct ht_server *server = handle->data;
	int timeout_ms = uv_backend_timeout(server->loop);

	ht_arrivals_poll_begins(&server->arrivals, ht_now(),
				timeout_ms < 0 ? GB_NEVER
					       : timeout_ms * GB_MSEC);
}

static void on_after_poll(uv_check_t *handle)
{
	struct ht_server *server = handle->data;

	ht_arrivals_poll_ended(&server->arrivals, polled_at(server));
}

void ht_server_arrivals_init(struct ht_server *server)
{
	server->arrivals = (struct ht_arrivals){ .poll_timeout = GB_NEVER };
	uv_prepare_init(server->loop, &server->before_poll);
	uv_check_init(server->loop, &server->after_poll);
	server->before_poll.data = server;
	server->after_poll.data = server;
	uv_prepare_start(&server->before_poll, on_before_poll);
	uv_check_start(&server->after_poll, on_after_poll);
	uv_unref((uv_handle_t *)&server->before_poll);
	uv_unref((uv_handle_t *)&server->after_poll);
}

void ht_server_arrivals_close(struct ht_server *server)
{
	if (uv_is_closing((uv_handle_t *)&server->before_poll))
		return;
	uv_close((uv_handle_t *)&server->before_poll, NULL);
	uv_close((uv_handle_t *)&server->after_poll, NULL);
}

void ht_conn_accepted(struct ht_conn *conn)
{
	gb_time polled = polled_at(conn->server);

	conn->accepted_at = polled;
	conn->connected_at =
		ht_arrivals_earliest(&conn->server->arrivals, polled);
}

/*
 * A connection is read an iteration after it was accepted, so its first request
 * may have arrived as early as the connection.
 */
gb_time ht_conn_unread_max(struct ht_conn *conn)
{
	const struct ht_arrivals *arrivals = &conn->server->arrivals;
	gb_time earliest =
		ht_arrivals_earliest(arrivals, polled_at(conn->server));

	if (conn->accepted_at && conn->accepted_at == arrivals->polled)
		earliest = MIN(earliest, conn->connected_at);
	conn->accepted_at = 0;
	return MAX(ht_now() - earliest, 0);
}
