#include "http/ht-conn.h"

/* A reply that did not fit into the socket's send buffer. */
struct pending_write {
	uv_write_t req;
	struct ht_conn *conn;
	struct gb_buf bytes;
	struct ht_memory_holder holder;
};

static void on_shut_down(uv_shutdown_t *req, int status)
{
	struct ht_conn *conn = req->data;

	conn->wait_begin = ht_now();
	if (status && !conn->closed)
		ht_conn_close(conn);
}

/* Sends what is still to be written, and discards what the client sends. */
static void linger(struct ht_conn *conn)
{
	if (conn->closed)
		return;
	conn->lingering = true;
	ht_conn_unpause(conn);
	conn->wait_begin = ht_now();
	ht_reader_free(&conn->reader);
	ht_memory_hold(&conn->holder, 0);
	conn->shutdown.data = conn;
	if (uv_shutdown(&conn->shutdown, (uv_stream_t *)&conn->tcp,
			on_shut_down)) {
		ht_conn_close(conn);
		return;
	}
	ht_conn_start_reading(conn);
}

static void on_written(uv_write_t *req, int status)
{
	struct pending_write *write = (struct pending_write *)req;
	struct ht_conn *conn = write->conn;

	ht_memory_hold(&write->holder, 0);
	gb_buf_free(&write->bytes);
	g_free(write);
	conn->pending_writes--;
	if (conn->closed)
		return;
	if (status)
		ht_conn_close(conn);
	else if (!conn->pending_writes && !conn->lingering && !conn->paused)
		ht_conn_continue(conn);
}

/* Writes as much as possible at once; takes ownership of the buffer. */
static void send_bytes(struct ht_conn *conn, struct gb_buf *bytes)
{
	uv_stream_t *stream = (uv_stream_t *)&conn->tcp;
	uv_buf_t buf = uv_buf_init(bytes->ptr, bytes->len);
	int len = uv_try_write(stream, &buf, 1);
	struct pending_write *write;

	if (len == UV_EAGAIN)
		len = 0;
	if (len < 0 || (size_t)len == bytes->len) {
		gb_buf_free(bytes);
		if (len < 0)
			ht_conn_close(conn);
		return;
	}
	write = g_new0(struct pending_write, 1);
	write->conn = conn;
	write->bytes = *bytes;
	write->holder.memory = conn->server->memory;
	ht_memory_hold(&write->holder, bytes->cap);
	buf = uv_buf_init(bytes->ptr + len, bytes->len - len);
	conn->pending_writes++;
	if (uv_write(&write->req, stream, &buf, 1, on_written)) {
		ht_memory_hold(&write->holder, 0);
		gb_buf_free(&write->bytes);
		g_free(write);
		conn->pending_writes--;
		ht_conn_close(conn);
	}
}

static void encode_reply(const struct ht_reply *reply, bool close,
			 struct gb_buf *out)
{
	struct gb_str reason = ht_reason_phrase(reply->status);

	gb_buf_addf(out, "HTTP/1.1 %d %.*s\r\nContent-Length: %zu\r\n",
		    reply->status, (int)reason.len, reason.ptr,
		    reply->body.len);
	gb_buf_add(out, reply->fields);
	if (close)
		gb_buf_add(out, GB_STR("Connection: close\r\n"));
	gb_buf_add(out, GB_STR("\r\n"));
	gb_buf_add(out, reply->body);
}

void ht_reply(struct ht_exchange *x, const struct ht_reply *reply)
{
	struct ht_conn *conn = x->conn;
	bool close = !x->request.keep_alive || conn->server->closing;
	struct gb_buf bytes = GB_BUF_INIT;

	conn->exchange = NULL;
	conn->has_answered = true;
	conn->wait_begin = ht_now();
	encode_reply(reply, close, &bytes);
	ht_exchange_free(x);
	send_bytes(conn, &bytes);
	if (close)
		linger(conn);
	if (conn->closed || close || conn->paused || conn->dispatching)
		return;
	if (ht_conn_has_turn(conn))
		ht_conn_continue(conn);
	else
		ht_conn_pause_reading(conn);
}

void ht_conn_reject(struct ht_conn *conn, int status)
{
	const struct ht_reply reply = { .status = status };
	struct gb_buf bytes = GB_BUF_INIT;

	conn->server->ops->bad_request(conn->server->ctx, status);
	ht_conn_stop_reading(conn);
	encode_reply(&reply, true, &bytes);
	send_bytes(conn, &bytes);
	linger(conn);
}

void ht_conn_send_continue(struct ht_conn *conn)
{
	struct gb_buf bytes = GB_BUF_INIT;

	gb_buf_add(&bytes, GB_STR("HTTP/1.1 100 Continue\r\n\r\n"));
	send_bytes(conn, &bytes);
}
