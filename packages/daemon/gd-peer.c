#include "daemon/gd.h"

#include <netinet/tcp.h>

#define LISTEN_BACKLOG 128
#define INBOUND_CONNS_MAX (4 * CFG_VMS_MAX)
#define READ_SIZE (64 * 1024)

/* Unsent bytes for one peer; messages beyond this limit are dropped. */
#define QUEUE_BYTES_MAX (16 * 1024 * 1024)

#define CONNECT_TIMEOUT GB_SEC
#define BACKOFF_MIN (20 * GB_MSEC)
#define BACKOFF_MAX GB_SEC

/*
 * A connection whose bytes are not acknowledged for this time is closed, so
 * that messages for a paused or unreachable peer do not accumulate.
 */
#define USER_TIMEOUT_MS 3000

enum peer_state { PEER_IDLE, PEER_CONNECTING, PEER_OPEN };

/* Outbound side of one peer; each connection is used in one direction. */
struct gd_peer {
	struct gd *gd;
	uint32_t vm;
	enum peer_state state;
	struct gd_peer_conn *conn; /* NULL while idle */
	struct gb_buf queue;
	size_t bytes_writing; /* passed to libuv and not yet written */
	gb_time backoff;
	gb_time connect_not_before; /* end of the back-off */
	gb_time connect_started_at;
};

/* Freed once libuv has closed it, which may be after its peer dropped it. */
struct gd_peer_conn {
	uv_tcp_t tcp;
	uv_connect_t connect;
	struct gd_peer *peer; /* NULL once the peer has dropped it */
};

struct gd_peer_write {
	uv_write_t req;
	struct gb_buf buf;
	struct gd_peer_conn *conn;
};

struct gd_inbound_conn {
	uv_tcp_t tcp;
	struct gd *gd;
	struct wire_reader reader;
};

static struct gd_peer *peer_find_or_add(struct gd *gd, uint32_t vm);
static int peer_address(struct gd *gd, uint32_t vm,
			struct sockaddr_storage *addr);
static void peer_connect(struct gd_peer *peer);
static void peer_disconnect(struct gd_peer *peer, int error);
static void peer_write(struct gd_peer *peer);
static bool is_control_message(enum msg_kind kind);
static void deliver_to_self(struct gd *gd, void *arg);
static void set_socket_options(uv_tcp_t *tcp);
static void on_connected(uv_connect_t *req, int status);
static void on_written(uv_write_t *req, int status);
static void on_peer_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf);
static void on_peer_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buf);
static void on_conn_closed(uv_handle_t *handle);
static void on_connection(uv_stream_t *listener, int status);
static void on_inbound_read(uv_stream_t *stream, ssize_t len,
			    const uv_buf_t *buf);
static void on_inbound_closed(uv_handle_t *handle);

/* All reads share one buffer, since each is consumed in its callback. */
static char read_buffer[READ_SIZE];

int gd_peer_init(struct gd *gd)
{
	struct gd_peers *peers = &gd->peers;
	struct sockaddr_storage addr;
	int ret;

	peers->peers = g_hash_table_new(g_direct_hash, g_direct_equal);
	uv_tcp_init(gd->uv, &peers->listener);
	peers->listener.data = gd;
	if (ht_parse_host(gd->settings.host, gd->settings.peer_port, &addr))
		return UV_EINVAL;
	ret = uv_tcp_bind(&peers->listener, (struct sockaddr *)&addr, 0);
	if (ret)
		return ret;
	return uv_listen((uv_stream_t *)&peers->listener, LISTEN_BACKLOG,
			 on_connection);
}

static struct gd_peer *peer_find_or_add(struct gd *gd, uint32_t vm)
{
	gpointer key = GUINT_TO_POINTER(vm);
	struct gd_peer *peer = g_hash_table_lookup(gd->peers.peers, key);

	if (peer)
		return peer;
	peer = g_new0(struct gd_peer, 1);
	peer->gd = gd;
	peer->vm = vm;
	g_hash_table_insert(gd->peers.peers, key, peer);
	return peer;
}

/* Looks up a VM in the configuration or, if it is not there, in the seeds. */
static int peer_address(struct gd *gd, uint32_t vm,
			struct sockaddr_storage *addr)
{
	struct set_settings *settings = &gd->settings;
	const struct cfg *cfg = nd_current_config(gd->node);
	int index = cfg ? cfg_find_vm(cfg, vm) : -1;

	if (index >= 0)
		return ht_parse_host(cfg_vm(cfg, index)->host,
				     cfg_vm(cfg, index)->peer_port, addr);
	for (uint32_t i = 0; i < settings->node.seeds_len; i++)
		if (settings->seeds[i].vm == vm)
			return ht_parse_host(settings->seeds[i].host,
					     settings->seeds[i].port, addr);
	return -1;
}

/* Checks whether a message is control traffic, not part of a request. */
static bool is_control_message(enum msg_kind kind)
{
	return kind == MSG_HEARTBEAT || kind == MSG_HEARTBEAT_REPLY ||
	       kind == MSG_CONFIG_FETCH || kind == MSG_CONFIG ||
	       kind == MSG_QUARANTINE;
}

void gd_peer_send(struct gd *gd, uint32_t vm, const struct msg *msg)
{
	struct gd_peer *peer;
	size_t before;

	if (vm == gd->settings.node.vm) {
		gd_defer(gd, deliver_to_self, msg_copy(msg));
		return;
	}
	peer = peer_find_or_add(gd, vm);
	if (peer->state == PEER_CONNECTING &&
	    ht_now() >= peer->connect_started_at + CONNECT_TIMEOUT)
		peer_disconnect(peer, UV_ETIMEDOUT);
	if (peer->state == PEER_IDLE)
		peer_connect(peer);
	if (peer->state == PEER_IDLE ||
	    peer->queue.len + peer->bytes_writing > QUEUE_BYTES_MAX)
		return;
	before = peer->queue.len;
	wire_encode(msg, &peer->queue);
	met_add(&gd->metrics, MET_PEER_BYTES, peer->queue.len - before);
	if (is_control_message(msg->kind))
		met_add(&gd->metrics, MET_CONTROL_BYTES,
			peer->queue.len - before);
}

static void deliver_to_self(struct gd *gd, void *arg)
{
	struct msg *msg = arg;

	nd_peer_msg(gd->node, gd_clock(), msg);
	msg_free(msg);
}

/* Opens a connection unless the back-off after a failure still runs. */
static void peer_connect(struct gd_peer *peer)
{
	struct sockaddr_storage addr;
	struct gd_peer_conn *conn;
	gb_time now = ht_now();

	if (now < peer->connect_not_before ||
	    peer_address(peer->gd, peer->vm, &addr))
		return;
	conn = g_new0(struct gd_peer_conn, 1);
	conn->peer = peer;
	uv_tcp_init(peer->gd->uv, &conn->tcp);
	conn->tcp.data = conn;
	conn->connect.data = conn;
	peer->conn = conn;
	peer->state = PEER_CONNECTING;
	peer->connect_started_at = now;
	if (uv_tcp_connect(&conn->connect, &conn->tcp, (struct sockaddr *)&addr,
			   on_connected))
		peer_disconnect(peer, 0);
}

/* Closes the connection, drops its queue and starts the back-off. */
static void peer_disconnect(struct gd_peer *peer, int error)
{
	peer->backoff = CLAMP(peer->backoff * 2, BACKOFF_MIN, BACKOFF_MAX);
	peer->connect_not_before = ht_now() + peer->backoff;
	if (peer->state == PEER_OPEN)
		gd_event(peer->gd, EV_PEER_LOST, GB_STR(""), GB_STR(""),
			 peer->vm, error);
	peer->state = PEER_IDLE;
	gb_buf_reset(&peer->queue);
	peer->bytes_writing = 0;
	peer->conn->peer = NULL;
	uv_close((uv_handle_t *)&peer->conn->tcp, on_conn_closed);
	peer->conn = NULL;
}

static void on_conn_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

static void set_socket_options(uv_tcp_t *tcp)
{
	int user_timeout_ms = USER_TIMEOUT_MS;
	uv_os_fd_t fd;

	uv_tcp_nodelay(tcp, 1);
	uv_tcp_keepalive(tcp, 1, 60);
	if (!uv_fileno((uv_handle_t *)tcp, &fd))
		setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms,
			   sizeof(user_timeout_ms));
}

static void on_connected(uv_connect_t *req, int status)
{
	struct gd_peer_conn *conn = req->data;
	struct gd_peer *peer = conn->peer;

	if (!peer)
		return;
	if (status) {
		peer_disconnect(peer, status);
		return;
	}
	set_socket_options(&conn->tcp);
	peer->state = PEER_OPEN;
	peer->backoff = 0;
	gd_event(peer->gd, EV_PEER_CONNECTED, GB_STR(""), GB_STR(""), peer->vm,
		 0);
	/* The peer sends nothing here; reading detects a closed connection. */
	uv_read_start((uv_stream_t *)&conn->tcp, on_peer_alloc, on_peer_read);
}

static void on_peer_alloc(uv_handle_t *handle __attribute__((unused)),
			  size_t size __attribute__((unused)), uv_buf_t *buf)
{
	*buf = uv_buf_init(read_buffer, sizeof(read_buffer));
}

static void on_peer_read(uv_stream_t *stream, ssize_t len,
			 const uv_buf_t *buf __attribute__((unused)))
{
	struct gd_peer_conn *conn = stream->data;

	if (len < 0 && conn->peer)
		peer_disconnect(conn->peer, (int)len);
}

bool gd_peer_flush(struct gd *gd)
{
	GHashTableIter iter;
	gpointer value;
	bool idle = true;

	g_hash_table_iter_init(&iter, gd->peers.peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct gd_peer *peer = value;

		if (peer->state == PEER_OPEN && peer->queue.len)
			peer_write(peer);
		idle &= !peer->queue.len && !peer->bytes_writing;
	}
	return idle;
}

/* Writes the queued messages in one libuv request. */
static void peer_write(struct gd_peer *peer)
{
	struct gd_peer_write *write = g_new0(struct gd_peer_write, 1);
	uv_buf_t buf;
	int ret;

	write->buf = peer->queue;
	write->conn = peer->conn;
	write->req.data = write;
	peer->queue = GB_BUF_INIT;
	peer->bytes_writing += write->buf.len;
	buf = uv_buf_init(write->buf.ptr, write->buf.len);
	ret = uv_write(&write->req, (uv_stream_t *)&peer->conn->tcp, &buf, 1,
		       on_written);
	if (!ret)
		return;
	gb_buf_free(&write->buf);
	g_free(write);
	peer_disconnect(peer, ret);
}

static void on_written(uv_write_t *req, int status)
{
	struct gd_peer_write *write = req->data;
	struct gd_peer *peer = write->conn->peer;

	if (peer)
		peer->bytes_writing -= write->buf.len;
	gb_buf_free(&write->buf);
	g_free(write);
	if (peer && status)
		peer_disconnect(peer, status);
}

static void on_connection(uv_stream_t *listener, int status)
{
	struct gd *gd = listener->data;
	struct gd_inbound_conn *inbound;

	if (status)
		return;
	inbound = g_new0(struct gd_inbound_conn, 1);
	inbound->gd = gd;
	inbound->tcp.data = inbound;
	gd->peers.inbound_count++;
	uv_tcp_init(gd->uv, &inbound->tcp);
	inbound->tcp.data = inbound;
	if (uv_accept(listener, (uv_stream_t *)&inbound->tcp) ||
	    gd->peers.inbound_count > INBOUND_CONNS_MAX) {
		uv_close((uv_handle_t *)&inbound->tcp, on_inbound_closed);
		return;
	}
	set_socket_options(&inbound->tcp);
	uv_read_start((uv_stream_t *)&inbound->tcp, on_peer_alloc,
		      on_inbound_read);
}

static void on_inbound_closed(uv_handle_t *handle)
{
	struct gd_inbound_conn *inbound = handle->data;

	inbound->gd->peers.inbound_count--;
	wire_reader_free(&inbound->reader);
	g_free(inbound);
}

static void on_inbound_read(uv_stream_t *stream, ssize_t len,
			    const uv_buf_t *buf)
{
	struct gd_inbound_conn *inbound = stream->data;
	struct gd *gd = inbound->gd;
	struct gb_error err = { 0 };
	struct msg *msg;
	int ret;

	if (len < 0) {
		uv_close((uv_handle_t *)stream, on_inbound_closed);
		return;
	}
	wire_reader_feed(&inbound->reader,
			 (struct gb_str){ .ptr = buf->base, .len = len });
	while ((ret = wire_reader_next(&inbound->reader, &msg, &err)) > 0) {
		nd_peer_msg(gd->node, gd_clock(), msg);
		msg_free(msg);
	}
	if (ret < 0) {
		gd_event(gd, EV_PEER_BAD_MESSAGE, GB_STR(""), GB_STR(""), 0,
			 err.code);
		uv_close((uv_handle_t *)stream, on_inbound_closed);
	}
}
