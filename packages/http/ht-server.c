#include "http/ht-conn.h"
#include "http/ht-listener.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

/* Bytes that are buffered while an exchange runs; beyond, reading stops. */
#define PIPELINE_BYTES_MAX (64 * 1024)

#define LISTEN_BACKLOG 512

/* A reply that did not fit into the socket's send buffer. */
struct pending_write {
	uv_write_t req;
	struct ht_conn *conn;
	struct gb_buf bytes;
	struct ht_memory_holder holder;
};

static void read_requests(struct ht_conn *conn);

/* All reads share one buffer, since each is consumed in its callback. */
static char read_buffer[64 * 1024];

static void on_closed(uv_handle_t *handle)
{
	struct ht_conn *conn = handle->data;

	ht_reader_free(&conn->reader);
	ht_memory_hold(&conn->holder, 0);
	g_free(conn);
}

static void free_exchange(struct ht_exchange *x)
{
	ht_request_clear(&x->request);
	g_free(x);
}

void ht_conn_close(struct ht_conn *conn)
{
	struct ht_exchange *x = conn->exchange;

	if (conn->closed)
		return;
	conn->closed = true;
	conn->exchange = NULL;
	g_queue_unlink(&conn->server->conns, &conn->link);
	uv_close((uv_handle_t *)&conn->tcp, on_closed);
	if (!x)
		return;
	conn->server->ops->disconnected(conn->server->ctx, x);
	free_exchange(x);
}

static void on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	(void)handle;
	(void)size;
	*buf = uv_buf_init(read_buffer, sizeof(read_buffer));
}

static void stop_reading(struct ht_conn *conn)
{
	if (!conn->reading)
		return;
	conn->reading = false;
	uv_read_stop((uv_stream_t *)&conn->tcp);
}

static void on_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
	struct ht_conn *conn = stream->data;

	if (!len)
		return;
	if (len < 0) {
		ht_conn_close(conn);
		return;
	}
	if (conn->lingering)
		return;
	if (!conn->reader.in.len && !conn->exchange)
		conn->wait_begin = ht_now();
	gb_buf_add(&conn->reader.in, (struct gb_str){ buf->base, len });
	if (!conn->exchange)
		read_requests(conn);
	else if (conn->reader.in.len > PIPELINE_BYTES_MAX)
		stop_reading(conn);
}

static void start_reading(struct ht_conn *conn)
{
	if (conn->reading || conn->closed)
		return;
	conn->reading = true;
	uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
}

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
	conn->wait_begin = ht_now();
	ht_reader_free(&conn->reader);
	ht_memory_hold(&conn->holder, 0);
	conn->shutdown.data = conn;
	if (uv_shutdown(&conn->shutdown, (uv_stream_t *)&conn->tcp,
			on_shut_down)) {
		ht_conn_close(conn);
		return;
	}
	start_reading(conn);
}

static void on_written(uv_write_t *req, int status)
{
	struct pending_write *write = (struct pending_write *)req;
	struct ht_conn *conn = write->conn;

	ht_memory_hold(&write->holder, 0);
	gb_buf_free(&write->bytes);
	g_free(write);
	conn->pending_writes--;
	if (status && !conn->closed)
		ht_conn_close(conn);
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
	free_exchange(x);
	send_bytes(conn, &bytes);
	if (close)
		linger(conn);
	if (conn->closed || close)
		return;
	start_reading(conn);
	if (conn->reader.in.len && !conn->dispatching)
		read_requests(conn);
}

void ht_conn_reject(struct ht_conn *conn, int status)
{
	const struct ht_reply reply = { .status = status };
	struct gb_buf bytes = GB_BUF_INIT;

	conn->server->ops->bad_request(conn->server->ctx, status);
	stop_reading(conn);
	encode_reply(&reply, true, &bytes);
	send_bytes(conn, &bytes);
	linger(conn);
}

/* Refuses the longest request that is still being read. */
static void evict_request(struct ht_memory_holder *holder)
{
	struct ht_conn *conn =
		(struct ht_conn *)((char *)holder -
				   offsetof(struct ht_conn, holder));

	ht_memory_hold(holder, 0);
	ht_reader_free(&conn->reader);
	ht_conn_reject(conn, 503);
}

static int rejection_status(enum ht_read read)
{
	if (read == HT_READ_HEAD_TOO_LARGE)
		return 431;
	return read == HT_READ_BODY_TOO_LARGE ? 413 : 400;
}

static void send_continue(struct ht_conn *conn)
{
	struct gb_buf bytes = GB_BUF_INIT;

	gb_buf_add(&bytes, GB_STR("HTTP/1.1 100 Continue\r\n\r\n"));
	send_bytes(conn, &bytes);
}

/* Starts the exchange of the next request if it is complete. */
static enum ht_read try_read_request(struct ht_conn *conn)
{
	struct ht_server *server = conn->server;
	struct ht_exchange *x = g_new(struct ht_exchange, 1);
	enum ht_read read;

	x->request.head = GB_BUF_INIT;
	x->request.body = GB_BUF_INIT;
	read = ht_reader_next(&conn->reader, server->limits.head_max,
			      server->limits.body_max, &x->request);
	if (read != HT_READ_REQUEST) {
		g_free(x);
		return read;
	}
	x->conn = conn;
	x->data = NULL;
	x->received_at = ht_now();
	x->network_delay = conn->has_answered ? conn->handshake_rtt
					      : 2 * conn->handshake_rtt;
	conn->exchange = x;
	server->ops->request(server->ctx, x);
	return read;
}

/* Parses requests until one waits for its reply or more bytes are needed. */
static void read_requests(struct ht_conn *conn)
{
	enum ht_read read = HT_READ_REQUEST;

	conn->dispatching = true;
	while (!conn->closed && !conn->exchange && conn->reader.in.len &&
	       read == HT_READ_REQUEST)
		read = try_read_request(conn);
	conn->dispatching = false;
	/* The exchange's user counts the bytes of a complete request. */
	if (read == HT_READ_REQUEST || conn->closed)
		ht_memory_hold(&conn->holder, 0);
	if (conn->closed || read == HT_READ_REQUEST)
		return;
	if (read == HT_READ_CONTINUE)
		send_continue(conn);
	else if (read != HT_READ_MORE)
		ht_conn_reject(conn, rejection_status(read));
	if (!conn->closed)
		ht_memory_hold(&conn->holder, conn->reader.in.cap);
}

/* Returns 0 if the kernel does not provide TCP_INFO. */
static gb_time read_handshake_rtt(const struct ht_conn *conn)
{
	struct tcp_info info = { 0 };
	socklen_t len = sizeof(info);
	uv_os_fd_t fd;

	if (uv_fileno((const uv_handle_t *)&conn->tcp, &fd) ||
	    getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &len))
		return 0;
	return info.tcpi_rtt * GB_USEC;
}

static void on_connection(uv_stream_t *stream, int status)
{
	struct ht_server *server = stream->data;
	struct ht_conn *conn;

	if (status)
		return;
	conn = g_new0(struct ht_conn, 1);
	conn->server = server;
	conn->link.data = conn;
	conn->holder.memory = server->memory;
	conn->holder.evict = evict_request;
	conn->wait_begin = ht_now();
	uv_tcp_init(server->loop, &conn->tcp);
	conn->tcp.data = conn;
	g_queue_push_tail_link(&server->conns, &conn->link);
	if (uv_accept(stream, (uv_stream_t *)&conn->tcp)) {
		ht_conn_close(conn);
		return;
	}
	uv_tcp_nodelay(&conn->tcp, 1);
	conn->handshake_rtt = read_handshake_rtt(conn);
	start_reading(conn);
}

int ht_server_start(struct ht_server *server, uv_loop_t *loop,
		    struct gb_str address, const struct ht_server_ops *ops,
		    void *ctx)
{
	struct sockaddr_storage addr;
	int ret;

	server->loop = loop;
	server->ops = ops;
	server->ctx = ctx;
	g_queue_init(&server->conns);
	if (ht_parse_address(address, &addr))
		return UV_EINVAL;
	uv_tcp_init(loop, &server->listener);
	server->listener.data = server;
	ret = uv_tcp_bind(&server->listener, (struct sockaddr *)&addr, 0);
	if (ret)
		return ret;
	return uv_listen((uv_stream_t *)&server->listener, LISTEN_BACKLOG,
			 on_connection);
}

int ht_server_drop_attempts(struct ht_server *server)
{
	return ht_listener_drop_attempts(&server->listener);
}

void ht_server_stop_listening(struct ht_server *server)
{
	if (ht_server_is_listening(server))
		uv_close((uv_handle_t *)&server->listener, NULL);
}

bool ht_server_is_listening(const struct ht_server *server)
{
	return !uv_is_closing((const uv_handle_t *)&server->listener);
}

void ht_server_close_conns(struct ht_server *server)
{
	while (server->conns.length)
		ht_conn_close(server->conns.head->data);
}

void ht_server_stop(struct ht_server *server)
{
	ht_server_close_conns(server);
	ht_server_stop_listening(server);
}
