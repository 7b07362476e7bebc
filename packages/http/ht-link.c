#include "http/ht-link.h"
#include "http/ht-server.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#define ANSWER_MAX (8 * 1024 * 1024)

/* Bytes that stay unacknowledged for so long end the connection. */
#define UNACKED_MAX_MS 3000

/* An idle connection is given up so long before the server closes it. */
#define IDLE_MARGIN (600 * GB_MSEC)

static char read_buffer[64 * 1024];

static void on_handle_closed(uv_handle_t *handle)
{
	struct ht_link *link = handle->data;

	if (--link->handles)
		return;
	ht_response_free(&link->response);
	gb_buf_free(&link->out);
	g_free(link);
}

void ht_link_close(struct ht_link *link)
{
	if (link->closed)
		return;
	link->closed = true;
	uv_close((uv_handle_t *)&link->tcp, on_handle_closed);
	uv_close((uv_handle_t *)&link->timer, on_handle_closed);
	link->ops->closed(link);
}

/* Makes the connection idle, or closes it if it cannot be used again. */
static void retire(struct ht_link *link)
{
	bool usable = link->response.keep && !link->writing && !link->skipped &&
		      !link->response.in.len && !link->target->freed;

	if (!usable) {
		ht_link_close(link);
		return;
	}
	ht_response_reset(&link->response);
	link->idle_since = ht_now();
	link->ops->idle(link);
}

/* Ends the call of a connection that is not used again. */
static void fail(struct ht_link *link, enum ht_outcome outcome)
{
	struct ht_call *call = link->call;

	link->call = NULL;
	ht_link_close(link);
	if (!call)
		return;
	call->link = NULL;
	call->ops->done(call, outcome);
}

/* Ends the call of a connection that may serve the next one. */
static void finish(struct ht_link *link, enum ht_outcome outcome)
{
	struct ht_call *call = link->call;

	link->call = NULL;
	call->link = NULL;
	retire(link);
	call->ops->done(call, outcome);
}

static void on_written(uv_write_t *req, int status)
{
	struct ht_link *link = req->data;

	link->writing = false;
	if (status && !link->closed)
		fail(link, HT_LOST);
}

static void on_failure_due(uv_timer_t *timer)
{
	struct ht_link *link = timer->data;

	if (link->connected && link->call && !link->call->sent) {
		/* Nothing was sent, so the connection is as good as before. */
		link->response.keep = true;
		finish(link, HT_NOT_SENT);
		return;
	}
	fail(link, link->failure);
}

/*
 * Ends the call in the next turn of the loop, since a call must not end while
 * its owner is still starting it.
 */
static void fail_later(struct ht_link *link, enum ht_outcome outcome)
{
	link->failure = outcome;
	uv_timer_start(&link->timer, on_failure_due, 0, 0);
}

static void write_request(struct ht_link *link)
{
	uv_stream_t *stream = (uv_stream_t *)&link->tcp;
	uv_buf_t buf = uv_buf_init(link->out.ptr, link->out.len);
	int len = uv_try_write(stream, &buf, 1);

	if (len == UV_EAGAIN)
		len = 0;
	if (len < 0) {
		fail_later(link, HT_LOST);
		return;
	}
	if ((size_t)len == link->out.len)
		return;
	buf = uv_buf_init(link->out.ptr + len, link->out.len - len);
	link->writing = true;
	if (uv_write(&link->write, stream, &buf, 1, on_written))
		fail_later(link, HT_LOST);
}

/* Encodes and sends the request of the connection's call. */
static void send_request(struct ht_link *link)
{
	struct ht_call *call = link->call;

	gb_buf_reset(&link->out);
	if (call->ops->encode(call, &link->out)) {
		call->sent = true;
		write_request(link);
		return;
	}
	fail_later(link, HT_NOT_SENT);
}

/* Reads the seconds of "timeout=N" in a Keep-Alive field. */
static void take_keep_alive(struct ht_link *link, struct gb_str value)
{
	struct gb_str item;
	bool more = true;
	int64_t seconds;

	while (more) {
		more = gb_str_cut(&value, ',', &item);
		item = gb_str_trim(item);
		if (!gb_str_starts_with(item, GB_STR("timeout=")))
			continue;
		if (gb_str_to_int(gb_str_sub(item, 8, item.len - 8), 0, 86400,
				  &seconds))
			continue;
		link->idle_max = MAX(seconds * GB_SEC - IDLE_MARGIN,
				     seconds * GB_SEC / 2);
	}
}

/* Returns false if the connection was given up. */
static bool take_head(struct ht_link *link)
{
	struct ht_response *response = &link->response;
	enum ht_verdict verdict = link->call->ops->head(link->call, response);

	for (size_t i = 0; i < response->fields_len; i++)
		if (gb_str_eq(response->fields[i].name, GB_STR("keep-alive")))
			take_keep_alive(link, response->fields[i].value);
	link->skipping = verdict == HT_SKIP;
	link->skipped |= link->skipping;
	if (verdict != HT_REJECT)
		return true;
	fail(link, HT_GARBLED);
	return false;
}

/* After the answer to an earlier call the next one begins. */
static void skip_answer(struct ht_link *link)
{
	struct gb_buf rest = link->response.in;

	link->response.in = GB_BUF_INIT;
	ht_response_reset(&link->response);
	link->response.in = rest;
	link->skipping = false;
	gb_buf_reset(&link->call->body);
}

static void parse(struct ht_link *link)
{
	for (;;) {
		enum ht_part part =
			ht_response_next(&link->response, &link->call->body);

		if (part == HT_PART_BAD || link->call->body.len > ANSWER_MAX) {
			fail(link, HT_GARBLED);
			return;
		}
		if (part == HT_PART_MORE)
			return;
		if (part == HT_PART_HEAD) {
			if (!take_head(link))
				return;
			continue;
		}
		if (!link->skipping) {
			finish(link, HT_ANSWERED);
			return;
		}
		skip_answer(link);
		if (!link->response.in.len)
			return;
	}
}

static void on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	(void)handle;
	(void)size;
	*buf = uv_buf_init(read_buffer, sizeof(read_buffer));
}

/* What the socket itself says: 0 for a regular end, -1 with errno. */
static ssize_t peek(const struct ht_link *link)
{
	uv_os_fd_t fd;
	char byte;

	if (uv_fileno((const uv_handle_t *)&link->tcp, &fd)) {
		errno = EBADF;
		return -1;
	}
	return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
}

/*
 * libuv reports the end of the stream for a reset that it sees together with
 * the last bytes.
 */
static bool was_reset(const struct ht_link *link)
{
	return peek(link) != 0;
}

bool ht_link_is_ended(const struct ht_link *link)
{
	return peek(link) >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

static void on_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
	struct ht_link *link = stream->data;

	if (!len || link->closed)
		return;
	if (!link->call) {
		link->target->lost |= len < 0;
		ht_link_close(link);
		return;
	}
	if (len == UV_EOF && ht_response_ends_here(&link->response) &&
	    !link->skipping && !was_reset(link)) {
		finish(link, HT_ANSWERED);
		return;
	}
	if (len < 0) {
		fail(link, HT_LOST);
		return;
	}
	ht_response_feed(&link->response, (struct gb_str){ buf->base, len });
	parse(link);
}

static void set_options(struct ht_link *link)
{
	unsigned int unacked_ms = UNACKED_MAX_MS;
	uv_os_fd_t fd;

	uv_tcp_nodelay(&link->tcp, 1);
	if (!uv_fileno((uv_handle_t *)&link->tcp, &fd))
		setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked_ms,
			   sizeof(unacked_ms));
}

static void on_connected(uv_connect_t *req, int status)
{
	struct ht_link *link = req->data;

	if (link->closed)
		return;
	uv_timer_stop(&link->timer);
	if (status) {
		fail(link, HT_NOT_SENT);
		return;
	}
	link->connected = true;
	set_options(link);
	uv_read_start((uv_stream_t *)&link->tcp, on_alloc, on_read);
	if (link->call) {
		send_request(link);
		return;
	}
	link->response.keep = true;
	retire(link);
}

struct ht_link *ht_link_open(struct ht_target *target, struct ht_call *call,
			     const struct ht_link_ops *ops)
{
	struct ht_link *link = g_new0(struct ht_link, 1);

	link->ops = ops;
	link->target = target;
	link->call = call;
	link->idle.data = link;
	link->idle_max = target->idle_max;
	link->response.accept_unframed = !target->framed_only;
	link->handles = 2;
	call->link = link;
	call->reused = false;
	uv_tcp_init(target->loop, &link->tcp);
	uv_timer_init(target->loop, &link->timer);
	link->tcp.data = link;
	link->timer.data = link;
	link->connect.data = link;
	link->write.data = link;
	link->failure = HT_NOT_SENT;
	uv_timer_start(&link->timer, on_failure_due,
		       target->connect_timeout / GB_MSEC, 0);
	if (uv_tcp_connect(&link->connect, &link->tcp,
			   (struct sockaddr *)&target->addr, on_connected))
		fail_later(link, HT_NOT_SENT);
	return link;
}

void ht_link_send(struct ht_link *link, struct ht_call *call)
{
	link->call = call;
	call->link = link;
	call->reused = true;
	send_request(link);
}
