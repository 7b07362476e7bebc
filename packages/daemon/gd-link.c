#include "daemon/gd-link.h"

#include <errno.h>
#include <string.h>

/*
 * An idle connection is kept, since a new one may cost 6 ms, but given up
 * before an upstream's usual limit of 60 s: a request that meets its close
 * counts as lost.
 */
#define IDLE_MAX (30 * GB_SEC)

/*
 * Servers close connections that were idle for seconds. Then the end may have
 * arrived after the loop's last look, so it is looked for before a request.
 */
#define IDLE_CHECK GB_SEC

#define ANSWER_MAX (8 * 1024 * 1024)

static void on_connected(uv_connect_t *req, int status);
static void on_written(uv_write_t *req, int status);
static void on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf);
static void on_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buf);
static void on_closed(uv_handle_t *handle);
static bool is_closed(const struct gd_link *link);
static void link_request(struct gd_link *link);
static void link_write(struct gd_link *link);
static void link_finish(struct gd_link *link, enum gd_outcome outcome);
static void link_parse(struct gd_link *link);
static bool take_head(struct gd_link *link);

/* All reads use one buffer, since each is consumed in its call-back. */
static char read_buffer[64 * 1024];

static void on_alloc(uv_handle_t *handle __attribute__((unused)),
		     size_t size __attribute__((unused)), uv_buf_t *buf)
{
	*buf = uv_buf_init(read_buffer, sizeof(read_buffer));
}

static void on_closed(uv_handle_t *handle)
{
	struct gd_link *link = handle->data;

	ht_response_free(&link->response);
	g_free(link);
}

void gd_link_close(struct gd_link *link)
{
	if (link->idle)
		g_queue_remove(&link->endpoint->idle, link);
	link->idle = false;
	link->x = NULL;
	if (!uv_is_closing((uv_handle_t *)&link->tcp))
		uv_close((uv_handle_t *)&link->tcp, on_closed);
}

void gd_link_expire(struct gd_endpoint *endpoint, gb_time now)
{
	struct gd_link *link;

	/* The front was used last. */
	while ((link = g_queue_peek_tail(&endpoint->idle)) &&
	       now - link->idle_since >= IDLE_MAX)
		gd_link_close(link);
}

void gd_link_start(struct gd_endpoint *endpoint, struct gd_exchange *x)
{
	struct gd_link *link;

	while ((link = g_queue_pop_head(&endpoint->idle))) {
		link->idle = false;
		if (gd_now() - link->idle_since < IDLE_CHECK ||
		    !is_closed(link))
			break;
		endpoint->lost = true;
		gd_link_close(link);
	}
	if (link) {
		link->x = x;
		x->link = link;
		link_request(link);
		return;
	}
	link = g_new0(struct gd_link, 1);
	link->endpoint = endpoint;
	link->x = x;
	x->link = link;
	uv_tcp_init(endpoint->gd->uv, &link->tcp);
	link->tcp.data = link;
	link->connect.data = link;
	link->write.data = link;
	if (uv_tcp_connect(&link->connect, &link->tcp,
			   (struct sockaddr *)&endpoint->addr, on_connected))
		link_finish(link, GD_NOT_SENT);
}

static bool is_closed(const struct gd_link *link)
{
	uv_os_fd_t fd;
	char byte;

	if (uv_fileno((const uv_handle_t *)&link->tcp, &fd))
		return true;
	return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 ||
	       (errno != EAGAIN && errno != EWOULDBLOCK);
}

static void on_connected(uv_connect_t *req, int status)
{
	struct gd_link *link = req->data;

	if (!link->x)
		return;
	if (status) {
		link_finish(link, GD_NOT_SENT);
		return;
	}
	uv_tcp_nodelay(&link->tcp, 1);
	uv_read_start((uv_stream_t *)&link->tcp, on_alloc, on_read);
	link_request(link);
}

/* Asks for the request at the moment of sending. */
static void link_request(struct gd_link *link)
{
	struct gd_exchange *x = link->x;

	if (x->prepare(x, &x->request)) {
		x->sent = true;
		link_write(link);
		return;
	}
	/* Nothing was sent, so the connection is as good as before. */
	link->response.keep = true;
	link_finish(link, GD_NOT_SENT);
}

static void link_write(struct gd_link *link)
{
	const struct gd_exchange *x = link->x;
	uv_stream_t *stream = (uv_stream_t *)&link->tcp;
	uv_buf_t buf = uv_buf_init(x->request.ptr, x->request.len);
	int len = uv_try_write(stream, &buf, 1);

	if (len == UV_EAGAIN)
		len = 0;
	if (len >= 0 && (size_t)len == x->request.len)
		return;
	if (len < 0) {
		link_finish(link, GD_LOST);
		return;
	}
	buf = uv_buf_init(x->request.ptr + len, x->request.len - len);
	link->writing = true;
	if (uv_write(&link->write, stream, &buf, 1, on_written))
		link_finish(link, GD_LOST);
}

static void on_written(uv_write_t *req, int status)
{
	struct gd_link *link = req->data;

	link->writing = false;
	if (status && link->x)
		link_finish(link, GD_LOST);
}

static void on_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
	struct gd_link *link = stream->data;

	if (!len)
		return;
	/* Bytes without an exchange belong to no answer that is awaited. */
	if (!link->x) {
		link->endpoint->lost |= len < 0;
		gd_link_close(link);
		return;
	}
	if (len < 0) {
		link_finish(link, GD_LOST);
		return;
	}
	ht_response_feed(&link->response, (struct gb_str){ buf->base, len });
	link_parse(link);
}

static void link_parse(struct gd_link *link)
{
	struct ht_response *response = &link->response;
	struct gd_exchange *x = link->x;

	for (;;) {
		enum ht_part part = ht_response_next(response, &x->body);

		if (part == HT_PART_BAD || x->body.len > ANSWER_MAX) {
			link_finish(link, GD_LOST);
			return;
		}
		if (part == HT_PART_MORE)
			return;
		if (part == HT_PART_END) {
			link_finish(link, GD_ANSWERED);
			return;
		}
		if (!take_head(link)) {
			link_finish(link, GD_REJECTED);
			return;
		}
	}
}

/* Gives the head to the exchange; false if that refuses the answer. */
static bool take_head(struct gd_link *link)
{
	struct ht_response *response = &link->response;
	struct gd_exchange *x = link->x;

	x->status = response->status;
	for (size_t i = 0; x->header && i < response->fields_len; i++)
		x->header(x, response->fields[i].name,
			  response->fields[i].value);
	return !x->accept || x->accept(x);
}

/* Ends the exchange; the connection becomes idle or is closed. */
static void link_finish(struct gd_link *link, enum gd_outcome outcome)
{
	struct gd_exchange *x = link->x;
	bool usable = outcome == GD_ANSWERED ||
		      (outcome == GD_NOT_SENT &&
		       uv_is_readable((uv_stream_t *)&link->tcp));

	link->x = NULL;
	x->link = NULL;
	/* Bytes after the answer would be taken for the next one. */
	if (usable && link->response.keep && !link->writing &&
	    !link->response.in.len) {
		ht_response_reset(&link->response);
		link->idle = true;
		link->idle_since = gd_now();
		g_queue_push_head(&link->endpoint->idle, link);
	} else {
		gd_link_close(link);
	}
	gd_exchange_end(x, outcome);
}
