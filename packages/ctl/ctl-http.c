#include "ctl/ctl-http.h"

#include <glib.h>
#include <h2o.h>
#include <h2o/http1client.h>

/* Larger answers are errors; 16,384 events take about 5 MiB. */
#define ANSWER_BYTES_MAX (64 * 1024 * 1024)

struct request {
	struct ctl_call *call;
	struct batch *batch;
	h2o_http1client_t *client; /* NULL when the request has ended */
	h2o_socketpool_t pool;
	struct gb_buf text;
	h2o_iovec_t text_vec;
	bool has_pool;
};

struct batch {
	uv_loop_t loop;
	uv_timer_t timer;
	h2o_timeout_t io_timeout;
	h2o_http1client_ctx_t ctx;
	struct request *requests;
	size_t len;
	size_t pending; /* requests that have not ended */
};

static void finish_request(struct request *request, struct gb_str cause);
static void on_timer(uv_timer_t *timer);
static h2o_http1client_head_cb on_connect(h2o_http1client_t *client,
					  const char *errstr,
					  h2o_iovec_t **vecs, size_t *vecs_len,
					  int *method_is_head);
static h2o_http1client_body_cb on_head(h2o_http1client_t *client,
				       const char *errstr, int minor_version,
				       int status, h2o_iovec_t msg,
				       struct st_h2o_header_t *headers,
				       size_t headers_len, int rlen);
static int on_body(h2o_http1client_t *client, const char *errstr);
static void read_version(struct ctl_call *call, h2o_iovec_t value);
static void make_request_text(struct request *request);
static int make_pool(struct request *request);
static void start_request(struct request *request);

/* Marks a request as ended; a cause means that there is no answer. */
static void finish_request(struct request *request, struct gb_str cause)
{
	struct batch *batch = request->batch;

	request->client = NULL;
	request->call->cause = cause;
	if (!cause.len)
		request->call->delivery = CTL_ANSWERED;
	if (!--batch->pending)
		uv_stop(&batch->loop);
}

static void on_timer(uv_timer_t *timer)
{
	struct batch *batch = timer->data;

	for (size_t i = 0; i < batch->len; i++) {
		struct request *request = &batch->requests[i];

		if (!request->client)
			continue;
		h2o_http1client_cancel(request->client);
		finish_request(request, GB_STR("no answer in time"));
	}
}

static h2o_http1client_head_cb on_connect(h2o_http1client_t *client,
					  const char *errstr,
					  h2o_iovec_t **vecs, size_t *vecs_len,
					  int *method_is_head)
{
	struct request *request = client->data;

	if (errstr) {
		finish_request(request, GB_STR("cannot connect"));
		return NULL;
	}
	request->call->delivery = CTL_NO_ANSWER;
	request->text_vec =
		h2o_iovec_init(request->text.ptr, request->text.len);
	*vecs = &request->text_vec;
	*vecs_len = 1;
	*method_is_head = 0;
	return on_head;
}

/* Parses the version from an entity tag, a number in double quotes. */
static void read_version(struct ctl_call *call, h2o_iovec_t value)
{
	struct gb_str text = { .ptr = value.base, .len = value.len };
	int64_t number;

	if (text.len >= 2 && text.ptr[0] == '"')
		text = gb_str_sub(text, 1, text.len - 2);
	if (!gb_str_to_int(text, 0, INT64_MAX, &number))
		call->version = number;
}

static h2o_http1client_body_cb on_head(h2o_http1client_t *client,
				       const char *errstr, int minor_version,
				       int status, h2o_iovec_t msg,
				       struct st_h2o_header_t *headers,
				       size_t headers_len, int rlen)
{
	struct request *request = client->data;

	(void)minor_version;
	(void)msg;
	(void)rlen;
	if (errstr && errstr != h2o_http1client_error_is_eos) {
		finish_request(request,
			       GB_STR("connection lost before an answer"));
		return NULL;
	}
	request->call->status = status;
	for (size_t i = 0; i < headers_len; i++)
		if (h2o_lcstris(headers[i].name->base, headers[i].name->len,
				H2O_STRLIT("etag")))
			read_version(request->call, headers[i].value);
	if (errstr) {
		finish_request(request, GB_STR(""));
		return NULL;
	}
	return on_body;
}

static int on_body(h2o_http1client_t *client, const char *errstr)
{
	struct request *request = client->data;
	h2o_buffer_t **input = &client->sock->input;
	struct gb_buf *answer = &request->call->answer;

	if (errstr && errstr != h2o_http1client_error_is_eos) {
		finish_request(request,
			       GB_STR("connection lost within the answer"));
		return -1;
	}
	gb_buf_add(answer, (struct gb_str){ .ptr = (*input)->bytes,
					    .len = (*input)->size });
	h2o_buffer_consume(input, (*input)->size);
	if (answer->len > ANSWER_BYTES_MAX) {
		finish_request(request, GB_STR("answer too large"));
		return -1;
	}
	if (errstr)
		finish_request(request, GB_STR(""));
	return 0;
}

static void make_request_text(struct request *request)
{
	const struct ctl_call *call = request->call;
	bool v6 = memchr(call->server.host.ptr, ':', call->server.host.len);

	gb_buf_addf(&request->text,
		    "%.*s %.*s HTTP/1.1\r\nHost: %s%.*s%s:%d\r\n"
		    "Connection: close\r\n",
		    (int)call->method.len, call->method.ptr,
		    (int)call->path.len, call->path.ptr, v6 ? "[" : "",
		    (int)call->server.host.len, call->server.host.ptr,
		    v6 ? "]" : "", call->server.port);
	if (call->body.len)
		gb_buf_addf(&request->text,
			    "Content-Type: application/json\r\n"
			    "Content-Length: %zu\r\n",
			    call->body.len);
	gb_buf_add(&request->text, GB_STR("\r\n"));
	gb_buf_add(&request->text, call->body);
}

/* A pool by address needs no resolver, which would start a thread. */
static int make_pool(struct request *request)
{
	const struct ctl_server *server = &request->call->server;
	struct sockaddr_storage addr;
	char *host = gb_str_to_c(server->host);
	int status = 0;

	memset(&addr, 0, sizeof(addr));
	if (!uv_ip4_addr(host, server->port, (struct sockaddr_in *)&addr))
		h2o_socketpool_init_by_address(
			&request->pool, (struct sockaddr *)&addr,
			sizeof(struct sockaddr_in), 0, 1);
	else if (!uv_ip6_addr(host, server->port, (struct sockaddr_in6 *)&addr))
		h2o_socketpool_init_by_address(
			&request->pool, (struct sockaddr *)&addr,
			sizeof(struct sockaddr_in6), 0, 1);
	else
		status = -1;
	g_free(host);
	return status;
}

static void start_request(struct request *request)
{
	if (make_pool(request)) {
		finish_request(request,
			       GB_STR("host is not a numeric IP address"));
		return;
	}
	request->has_pool = true;
	/* Without this call h2o reads the time from a loop that is NULL. */
	h2o_socketpool_set_timeout(&request->pool, &request->batch->loop, 1000);
	make_request_text(request);
	h2o_http1client_connect_with_pool(&request->client, request,
					  &request->batch->ctx, &request->pool,
					  on_connect);
}

void ctl_http_run(struct ctl_call *calls, size_t len, gb_time timeout)
{
	struct batch batch = { .len = len, .pending = len + 1 };

	batch.requests = g_new0(struct request, len);
	uv_loop_init(&batch.loop);
	uv_timer_init(&batch.loop, &batch.timer);
	batch.timer.data = &batch;
	uv_timer_start(&batch.timer, on_timer, timeout / GB_MSEC, 0);
	/*
	 * Longer than the timer, so that h2o does not report a timeout as a
	 * lost connection.
	 */
	h2o_timeout_init(&batch.loop, &batch.io_timeout,
			 timeout / GB_MSEC + 1000);
	batch.ctx.loop = &batch.loop;
	batch.ctx.io_timeout = &batch.io_timeout;
	for (size_t i = 0; i < len; i++) {
		calls[i].delivery = CTL_NOT_SENT;
		batch.requests[i].call = &calls[i];
		batch.requests[i].batch = &batch;
		start_request(&batch.requests[i]);
	}
	if (--batch.pending)
		uv_run(&batch.loop, UV_RUN_DEFAULT);
	uv_close((uv_handle_t *)&batch.timer, NULL);
	h2o_timeout_dispose(&batch.loop, &batch.io_timeout);
	for (size_t i = 0; i < len; i++)
		if (batch.requests[i].has_pool)
			h2o_socketpool_dispose(&batch.requests[i].pool);
	uv_run(&batch.loop, UV_RUN_DEFAULT);
	uv_loop_close(&batch.loop);
	for (size_t i = 0; i < len; i++)
		gb_buf_free(&batch.requests[i].text);
	g_free(batch.requests);
}

void ctl_http_free(struct ctl_call *calls, size_t len)
{
	for (size_t i = 0; i < len; i++)
		gb_buf_free(&calls[i].answer);
}
