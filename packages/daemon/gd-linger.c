#include "daemon/gd.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

/* Time in which a caller closes its side after the last answer. */
#define LINGER_TIME (2 * GB_SEC)

static void on_setup_answer(h2o_filter_t *self, h2o_req_t *req,
			    h2o_ostream_t **slot);
static void on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf);
static void on_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buf);

/* All reads share one buffer, since the bytes are discarded. */
static char discarded[16 * 1024];

/*
 * h2o closes its socket after the answer to a request that it refuses while the
 * body is still arriving. A second descriptor keeps the connection open; if
 * there is none left, the connection is closed at once.
 */
static void on_setup_answer(h2o_filter_t *self, h2o_req_t *req,
			    h2o_ostream_t **slot)
{
	struct gd_conn *conn = gd_conn_of(req);

	(void)self;
	if (!req->http1_is_persistent && conn->linger_fd < 0)
		conn->linger_fd = fcntl(h2o_socket_get_fd(conn->sock),
					F_DUPFD_CLOEXEC, 0);
	h2o_setup_next_ostream(req, slot);
}

void gd_linger_init(h2o_hostconf_t *host)
{
	h2o_filter_t *filter =
		h2o_create_filter(&host->fallback_path, sizeof(*filter));

	filter->on_setup_ostream = on_setup_answer;
}

static void on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	(void)handle;
	(void)size;
	*buf = uv_buf_init(discarded, sizeof(discarded));
}

static void on_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
	(void)buf;
	if (len < 0 && !uv_is_closing((uv_handle_t *)stream))
		uv_close((uv_handle_t *)stream, gd_conn_on_closed);
}

bool gd_linger_begin(struct gd_conn *conn)
{
	int fd = conn->linger_fd;

	conn->linger_fd = -1;
	if (fd < 0)
		return false;
	shutdown(fd, SHUT_WR);
	uv_tcp_init(conn->gd->uv, &conn->tcp);
	if (uv_tcp_open(&conn->tcp, fd)) {
		close(fd);
		uv_close((uv_handle_t *)&conn->tcp, gd_conn_on_closed);
		return true;
	}
	conn->lingering_since = ht_now();
	uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
	return true;
}

void gd_linger_sweep(struct gd_conn *conn, gb_time now)
{
	if (!conn->lingering_since || now - conn->lingering_since < LINGER_TIME)
		return;
	if (!uv_is_closing((uv_handle_t *)&conn->tcp))
		uv_close((uv_handle_t *)&conn->tcp, gd_conn_on_closed);
}
