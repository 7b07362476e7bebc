#include "http/ht-conn.h"
#include "http/ht-listener.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

/* Bytes that are buffered while an exchange runs; beyond, reading stops. */
#define PIPELINE_BYTES_MAX (16 * 1024)

#define LISTEN_BACKLOG 512

static void read_requests(struct ht_conn *conn);

/* All reads share one buffer, since each is consumed in its callback. */
static char read_buffer[32 * 1024];

static void on_closed(uv_handle_t *handle)
{
	struct ht_conn *conn = handle->data;

	ht_reader_free(&conn->reader);
	ht_memory_hold(&conn->holder, 0);
	g_free(conn);
}

void ht_exchange_free(struct ht_exchange *x)
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
	ht_conn_unpause(conn);
	g_queue_unlink(&conn->server->conns, &conn->link);
	uv_close((uv_handle_t *)&conn->tcp, on_closed);
	if (!x)
		return;
	conn->server->ops->disconnected(conn->server->ctx, x);
	ht_exchange_free(x);
}

static void on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	(void)handle;
	(void)size;
	*buf = uv_buf_init(read_buffer, sizeof(read_buffer));
}

void ht_conn_stop_reading(struct ht_conn *conn)
{
	if (!conn->reading)
		return;
	conn->reading = false;
	uv_read_stop((uv_stream_t *)&conn->tcp);
}

void ht_conn_pause_reading(struct ht_conn *conn)
{
	ht_conn_stop_reading(conn);
	ht_conn_pause(conn);
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
	ht_conn_charge(conn, len, 0);
	if (!conn->exchange)
		read_requests(conn);
	else if (conn->reader.in.len > PIPELINE_BYTES_MAX)
		ht_conn_stop_reading(conn);
	if (!conn->closed && !conn->lingering && !ht_conn_has_turn(conn))
		ht_conn_pause_reading(conn);
}

void ht_conn_start_reading(struct ht_conn *conn)
{
	if (conn->reading || conn->closed)
		return;
	conn->reading = true;
	uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
}

void ht_conn_continue(struct ht_conn *conn)
{
	if (conn->reader.in.len && !conn->exchange && !conn->dispatching)
		read_requests(conn);
	if (conn->closed || conn->lingering || conn->paused ||
	    conn->pending_writes)
		return;
	if (conn->exchange && conn->reader.in.len > PIPELINE_BYTES_MAX)
		return;
	ht_conn_start_reading(conn);
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
	x->unread_max = ht_conn_unread_max(conn);
	x->network_delay = conn->has_answered ? conn->handshake_rtt
					      : 2 * conn->handshake_rtt;
	conn->exchange = x;
	ht_conn_charge(conn, 0, 1);
	server->ops->request(server->ctx, x);
	return read;
}

/* Tells whether the next request may be started. */
static bool may_read_request(struct ht_conn *conn)
{
	return !conn->closed && !conn->lingering && !conn->exchange &&
	       !conn->pending_writes && conn->reader.in.len;
}

/*
 * Parses requests until one waits for its reply, more bytes are needed, or the
 * connection has had its turn.
 */
static void read_requests(struct ht_conn *conn)
{
	enum ht_read read = HT_READ_REQUEST;

	conn->dispatching = true;
	while (may_read_request(conn) && ht_conn_has_turn(conn) &&
	       read == HT_READ_REQUEST)
		read = try_read_request(conn);
	conn->dispatching = false;
	if (conn->closed || conn->lingering)
		return;
	if (read == HT_READ_CONTINUE)
		ht_conn_send_continue(conn);
	else if (read != HT_READ_MORE && read != HT_READ_REQUEST)
		ht_conn_reject(conn, rejection_status(read));
	if (conn->closed || conn->lingering)
		return;
	/* The exchange's user counts the bytes of a complete request. */
	ht_memory_hold(&conn->holder, conn->exchange ? 0 : conn->reader.in.cap);
	if (may_read_request(conn) && !ht_conn_has_turn(conn)) {
		ht_conn_pause_reading(conn);
	} else if (conn->pending_writes) {
		ht_conn_stop_reading(conn);
	} else if (read == HT_READ_REQUEST && !conn->exchange) {
		ht_conn_start_reading(conn);
	}
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
	ht_conn_accepted(conn);
	ht_conn_start_reading(conn);
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
	ht_server_turns_init(server);
	ht_server_arrivals_init(server);
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
	ht_server_arrivals_close(server);
	if (!uv_is_closing((uv_handle_t *)&server->idle))
		uv_close((uv_handle_t *)&server->idle, NULL);
}
