#include "http/ht-link.h"
#include "http/ht-server.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

/* Responses to earlier calls that are skipped while a call waits. */
#define SKIPPED_RESPONSES_MAX 8

/* A connection whose bytes stay unacknowledged for this long is closed. */
#define USER_TIMEOUT_MS 3000

/* An idle connection is closed this long before the server closes it. */
#define IDLE_CLOSE_MARGIN (600 * GB_MSEC)

static char read_buffer[64 * 1024];

static void on_handle_closed(uv_handle_t *handle)
{
	struct ht_link *link = handle->data;

	if (--link->open_handles)
		return;
	ht_response_free(&link->response);
	ht_memory_hold(&link->holder, 0);
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

/* Returns the connection to the pool, or closes it if it is not reusable. */
static void recycle_link(struct ht_link *link)
{
	bool reusable = link->response.keep_alive && !link->writing &&
			!link->skipped_responses && !link->response.in.len &&
			!link->target->retired && !link->target->free_pending;

	if (!reusable) {
		ht_link_close(link);
		return;
	}
	ht_response_reset(&link->response);
	link->idle_since = ht_now();
	link->ops->became_idle(link);
}

/* Closes the connection and ends its call, if any. */
static void fail_call(struct ht_link *link, enum ht_outcome outcome)
{
	struct ht_call *call = link->call;

	link->call = NULL;
	ht_memory_hold(&link->holder, 0);
	ht_link_close(link);
	if (!call)
		return;
	call->link = NULL;
	call->ops->done(call, outcome);
}

/* Ends the call of a connection that may serve another one. */
static void finish_call(struct ht_link *link, enum ht_outcome outcome)
{
	struct ht_call *call = link->call;

	link->call = NULL;
	call->link = NULL;
	ht_memory_hold(&link->holder, 0);
	recycle_link(link);
	call->ops->done(call, outcome);
}

static void on_written(uv_write_t *req, int status)
{
	struct ht_link *link = req->data;

	link->writing = false;
	if (status && !link->closed)
		fail_call(link, HT_LOST);
}

static void on_timer(uv_timer_t *timer)
{
	struct ht_link *link = timer->data;

	if (link->connected && link->call && !link->call->sent) {
		/* Nothing was sent, so the connection is still reusable. */
		link->response.keep_alive = true;
		finish_call(link, HT_NOT_SENT);
		return;
	}
	fail_call(link, link->failure_outcome);
}

/*
 * Ends the call in the next iteration of the loop, since done() must not be
 * called before ht_call_start() has returned.
 */
static void defer_failure(struct ht_link *link, enum ht_outcome outcome)
{
	link->failure_outcome = outcome;
	uv_timer_start(&link->timer, on_timer, 0, 0);
}

static void write_request(struct ht_link *link)
{
	uv_stream_t *stream = (uv_stream_t *)&link->tcp;
	uv_buf_t buf = uv_buf_init(link->out.ptr, link->out.len);
	int len = uv_try_write(stream, &buf, 1);

	if (len == UV_EAGAIN)
		len = 0;
	if (len < 0) {
		defer_failure(link, HT_LOST);
		return;
	}
	if ((size_t)len == link->out.len)
		return;
	buf = uv_buf_init(link->out.ptr + len, link->out.len - len);
	link->writing = true;
	if (uv_write(&link->write, stream, &buf, 1, on_written))
		defer_failure(link, HT_LOST);
}

bool ht_link_has_sent(const struct ht_link *link, uint64_t key)
{
	uint32_t len = MIN(link->sent_keys_len, HT_LINK_KEYS_MAX);

	for (uint32_t i = 0; key && i < len; i++)
		if (link->sent_keys[i] == key)
			return true;
	return false;
}

static void remember_key(struct ht_link *link, uint64_t key)
{
	if (key)
		link->sent_keys[link->sent_keys_len++ % HT_LINK_KEYS_MAX] = key;
}

/* Encodes and sends the request of the connection's call. */
static void send_request(struct ht_link *link)
{
	struct ht_call *call = link->call;

	gb_buf_reset(&link->out);
	if (call->ops->encode(call, &link->out)) {
		call->sent = true;
		remember_key(link, call->key);
		write_request(link);
		return;
	}
	defer_failure(link, HT_NOT_SENT);
}

/* Reads the seconds of "timeout=N" in a Keep-Alive field. */
static void parse_keep_alive(struct ht_link *link, struct gb_str value)
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
		link->idle_timeout = MAX(seconds * GB_SEC - IDLE_CLOSE_MARGIN,
					 seconds * GB_SEC / 2);
	}
}

/* Returns false if the response was rejected, which closes the connection. */
static bool handle_head(struct ht_link *link)
{
	struct ht_response *response = &link->response;
	enum ht_verdict verdict = link->call->ops->head(link->call, response);

	for (size_t i = 0; i < response->fields_len; i++)
		if (gb_str_eq(response->fields[i].name, GB_STR("keep-alive")))
			parse_keep_alive(link, response->fields[i].value);
	link->skipping_response = verdict == HT_SKIP;
	link->skipped_responses += link->skipping_response;
	if (verdict != HT_REJECT &&
	    link->skipped_responses <= SKIPPED_RESPONSES_MAX)
		return true;
	fail_call(link, HT_INVALID);
	return false;
}

/* Prepares to read the response that follows a skipped one. */
static void end_skipped_response(struct ht_link *link)
{
	struct gb_buf rest = link->response.in;

	link->response.in = GB_BUF_INIT;
	ht_response_reset(&link->response);
	link->response.in = rest;
	link->skipping_response = false;
	gb_buf_reset(&link->call->body);
}

static void parse_responses(struct ht_link *link)
{
	for (;;) {
		enum ht_part part =
			ht_response_next(&link->response, &link->call->body);

		if (part == HT_PART_INVALID ||
		    link->call->body.len > HT_BODY_BYTES_MAX) {
			fail_call(link, HT_INVALID);
			return;
		}
		if (part == HT_PART_MORE)
			return;
		if (part == HT_PART_HEAD) {
			if (!handle_head(link))
				return;
			continue;
		}
		if (!link->skipping_response) {
			finish_call(link, HT_ANSWERED);
			return;
		}
		end_skipped_response(link);
		if (!link->response.in.len)
			return;
	}
}

/* Gives up the longest response, which may never end. */
static void evict_response(struct ht_memory_holder *holder)
{
	struct ht_link *link =
		(struct ht_link *)((char *)holder -
				   offsetof(struct ht_link, holder));

	fail_call(link, HT_INVALID);
}

static void on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	(void)handle;
	(void)size;
	*buf = uv_buf_init(read_buffer, sizeof(read_buffer));
}

/* Peeks at one byte; returns 0 at end of stream, or -1 with errno. */
static ssize_t peek_socket(const struct ht_link *link)
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
 * libuv reports UV_EOF also for a reset that arrives together with the last
 * bytes, so the socket itself is checked.
 */
static bool was_reset(const struct ht_link *link)
{
	return peek_socket(link) != 0;
}

bool ht_link_peer_closed(const struct ht_link *link)
{
	return peek_socket(link) >= 0 ||
	       (errno != EAGAIN && errno != EWOULDBLOCK);
}

static void on_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
	struct ht_link *link = stream->data;

	if (!len || link->closed)
		return;
	if (!link->call) {
		link->target->idle_closed |= len < 0;
		ht_link_close(link);
		return;
	}
	if (len == UV_EOF && ht_response_ends_at_eof(&link->response) &&
	    !link->skipping_response && !was_reset(link)) {
		finish_call(link, HT_ANSWERED);
		return;
	}
	if (len < 0) {
		fail_call(link, HT_LOST);
		return;
	}
	ht_response_feed(&link->response, (struct gb_str){ buf->base, len });
	parse_responses(link);
	if (!link->closed && link->call)
		ht_memory_hold(&link->holder,
			       link->response.in.cap + link->call->body.cap);
}

static void set_socket_options(struct ht_link *link)
{
	unsigned int user_timeout_ms = USER_TIMEOUT_MS;
	uv_os_fd_t fd;

	uv_tcp_nodelay(&link->tcp, 1);
	if (!uv_fileno((uv_handle_t *)&link->tcp, &fd))
		setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms,
			   sizeof(user_timeout_ms));
}

static void on_connected(uv_connect_t *req, int status)
{
	struct ht_link *link = req->data;

	if (link->closed)
		return;
	uv_timer_stop(&link->timer);
	if (status) {
		fail_call(link, HT_NOT_SENT);
		return;
	}
	link->connected = true;
	set_socket_options(link);
	uv_read_start((uv_stream_t *)&link->tcp, on_alloc, on_read);
	if (link->call) {
		send_request(link);
		return;
	}
	link->response.keep_alive = true;
	recycle_link(link);
}

struct ht_link *ht_link_open(struct ht_target *target, struct ht_call *call,
			     const struct ht_link_ops *ops)
{
	struct ht_link *link = g_new0(struct ht_link, 1);

	link->ops = ops;
	link->target = target;
	link->call = call;
	link->idle_link.data = link;
	link->idle_timeout = target->idle_timeout;
	link->response.accept_unframed = !target->reject_unframed;
	link->holder.memory = target->memory;
	link->holder.evict = evict_response;
	link->open_handles = 2;
	call->link = link;
	call->conn_reused = false;
	uv_tcp_init(target->loop, &link->tcp);
	uv_timer_init(target->loop, &link->timer);
	link->tcp.data = link;
	link->timer.data = link;
	link->connect.data = link;
	link->write.data = link;
	link->failure_outcome = HT_NOT_SENT;
	uv_timer_start(&link->timer, on_timer,
		       target->connect_timeout / GB_MSEC, 0);
	if (uv_tcp_connect(&link->connect, &link->tcp,
			   (struct sockaddr *)&target->addr, on_connected))
		defer_failure(link, HT_NOT_SENT);
	return link;
}

void ht_link_send(struct ht_link *link, struct ht_call *call)
{
	link->call = call;
	call->link = link;
	call->conn_reused = true;
	send_request(link);
}
