#include "http/ht-server.h"
#include "script/scr.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Bytes of an answer, more than the buffers of a connection hold. */
#define ANSWER_BYTES (16 * 1024 * 1024)

/* Time in which an attempt to connect on the loopback succeeds or fails. */
#define ATTEMPT_WAIT_MS 100

/* Runs a server on a loopback address; the script plays one client. */
struct ctx {
	uv_loop_t loop;
	struct ht_server server;
	uint32_t port;
	int client;
	uint32_t requests; /* that the server has accepted */
	gb_time unread_max; /* of the last one */
};

static void on_request(void *data, struct ht_exchange *exchange)
{
	char *body = g_malloc0(ANSWER_BYTES);
	struct ctx *ctx = data;

	ctx->requests++;
	ctx->unread_max = exchange->unread_max;
	ht_reply(exchange, &(struct ht_reply){
				   .status = 200,
				   .body = { body, ANSWER_BYTES },
			   });
	g_free(body);
}

static void on_disconnected(void *data, struct ht_exchange *exchange)
{
	(void)data;
	(void)exchange;
}

static void on_bad_request(void *data, int status)
{
	(void)data;
	(void)status;
}

static const struct ht_server_ops server_ops = {
	.request = on_request,
	.disconnected = on_disconnected,
	.bad_request = on_bad_request,
};

static void run_loop(struct ctx *ctx)
{
	for (int i = 0; i < 5; i++)
		uv_run(&ctx->loop, UV_RUN_NOWAIT);
}

static uint32_t bound_port(const struct ctx *ctx)
{
	struct sockaddr_in addr;
	int len = sizeof(addr);

	uv_tcp_getsockname(&ctx->server.listener, (struct sockaddr *)&addr,
			   &len);
	return ntohs(addr.sin_port);
}

static void *open_ctx(void)
{
	struct ctx *ctx = g_new0(struct ctx, 1);

	uv_loop_init(&ctx->loop);
	ctx->client = -1;
	ctx->server.limits = (struct ht_limits){ .head_max = 16384,
						 .body_max = 16384,
						 .head_timeout = GB_SEC,
						 .idle_timeout = GB_SEC };
	g_assert(!ht_server_start(&ctx->server, &ctx->loop,
				  GB_STR("127.0.0.1:0"), &server_ops, ctx));
	ctx->port = bound_port(ctx);
	return ctx;
}

static void close_ctx(void *data)
{
	struct ctx *ctx = data;

	if (ctx->client >= 0)
		close(ctx->client);
	ht_server_stop(&ctx->server);
	uv_run(&ctx->loop, UV_RUN_DEFAULT);
	uv_loop_close(&ctx->loop);
	g_free(ctx);
}

static struct sockaddr_in server_address(const struct ctx *ctx)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_port = htons(ctx->port) };

	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return addr;
}

static void connect_client(struct ctx *ctx)
{
	struct sockaddr_in addr = server_address(ctx);

	if (ctx->client >= 0)
		close(ctx->client);
	ctx->client = socket(AF_INET, SOCK_STREAM, 0);
	g_assert(!connect(ctx->client, (struct sockaddr *)&addr, sizeof(addr)));
}

static void print_connections(const struct ctx *ctx, struct gb_buf *out)
{
	gb_buf_addf(out, "connections=%u\n", ctx->server.conns.length);
}

/* Sends a request and lets the server answer; the client reads nothing yet. */
static void cmd_ask(void *data, const struct scr_args *args, struct gb_buf *out)
{
	static const char request[] = "GET / HTTP/1.1\r\n\r\n";
	struct ctx *ctx = data;

	(void)args;
	connect_client(ctx);
	g_assert(send(ctx->client, request, strlen(request), 0) > 0);
	run_loop(ctx);
	print_connections(ctx, out);
}

/* stall ms=: a request arrives, and the loop runs only so much later */
static void cmd_stall(void *data, const struct scr_args *args,
		      struct gb_buf *out)
{
	static const char request[] = "GET / HTTP/1.1\r\n\r\n";
	int64_t ms = scr_int(args, GB_STR("ms"), 0);
	struct ctx *ctx = data;

	run_loop(ctx);
	connect_client(ctx);
	g_assert(send(ctx->client, request, strlen(request), 0) > 0);
	g_usleep(ms * GB_MSEC);
	run_loop(ctx);
	gb_buf_addf(out, "requests=%u waited for the whole time: %s\n",
		    ctx->requests,
		    ctx->unread_max >= ms * GB_MSEC ? "yes" : "no");
}

/* last: the server answers its last request, and a second one arrives then */
static void cmd_last(void *data, const struct scr_args *args,
		     struct gb_buf *out)
{
	static const char request[] = "GET / HTTP/1.1\r\n\r\n";
	struct ctx *ctx = data;

	(void)args;
	ctx->server.closing = true;
	connect_client(ctx);
	g_assert(send(ctx->client, request, strlen(request), 0) > 0);
	run_loop(ctx);
	g_assert(send(ctx->client, request, strlen(request), 0) > 0);
	run_loop(ctx);
	gb_buf_addf(out, "accepted=%u\n", ctx->requests);
}

/* upload length=: sends the head of a request with that body, and some of it */
static void cmd_upload(void *data, const struct scr_args *args,
		       struct gb_buf *out)
{
	struct ctx *ctx = data;
	struct gb_buf request = GB_BUF_INIT;

	connect_client(ctx);
	gb_buf_addf(&request,
		    "POST / HTTP/1.1\r\nContent-Length: %lld\r\n\r\nxxxxxxxx",
		    (long long)scr_int(args, GB_STR("length"), 0));
	g_assert(send(ctx->client, request.ptr, request.len, 0) > 0);
	gb_buf_free(&request);
	run_loop(ctx);
	print_connections(ctx, out);
}

/*
 * more: the client sends more of the body. A client whose request can't be sent
 * need not look for an answer.
 */
static void cmd_more(void *data, const struct scr_args *args,
		     struct gb_buf *out)
{
	struct ctx *ctx = data;

	(void)args;
	if (send(ctx->client, "xxxxxxxx", 8, MSG_NOSIGNAL) < 0)
		gb_buf_add(out, GB_STR("cannot send\n"));
	run_loop(ctx);
	print_connections(ctx, out);
}

/* status: the client reads the first line of the answer */
static void cmd_status(void *data, const struct scr_args *args,
		       struct gb_buf *out)
{
	struct ctx *ctx = data;
	char bytes[1024];
	ssize_t len = recv(ctx->client, bytes, sizeof(bytes), MSG_DONTWAIT);
	struct gb_str answer = { bytes, MAX(len, 0) }, line;

	(void)args;
	gb_str_cut(&answer, '\r', &line);
	gb_buf_addf(out, "%.*s\n", (int)line.len, line.ptr);
	if (len < 0)
		gb_buf_add(out, GB_STR("no answer\n"));
}

/* leave: the client closes its connection */
static void cmd_leave(void *data, const struct scr_args *args,
		      struct gb_buf *out)
{
	struct ctx *ctx = data;

	(void)args;
	close(ctx->client);
	ctx->client = -1;
	run_loop(ctx);
	print_connections(ctx, out);
}

/* stop: closes idle connections, as a process that is stopping does */
static void cmd_stop(void *data, const struct scr_args *args,
		     struct gb_buf *out)
{
	struct ctx *ctx = data;

	(void)args;
	ht_server_close_idle(&ctx->server);
	run_loop(ctx);
	gb_buf_addf(out, "connections=%u\n", ctx->server.conns.length);
}

/* connect: the kernel accepts a connection that the server has not seen yet */
static void cmd_connect(void *data, const struct scr_args *args,
			struct gb_buf *out)
{
	(void)args;
	(void)out;
	connect_client(data);
}

/* request: the client sends a request on its connection */
static void cmd_request(void *data, const struct scr_args *args,
			struct gb_buf *out)
{
	static const char request[] = "GET / HTTP/1.1\r\n\r\n";
	struct ctx *ctx = data;

	(void)args;
	if (send(ctx->client, request, strlen(request), MSG_NOSIGNAL) < 0)
		gb_buf_add(out, GB_STR("cannot send\n"));
	run_loop(ctx);
	print_connections(ctx, out);
}

static const char *describe_attempt(int fd)
{
	struct pollfd polled = { .fd = fd, .events = POLLOUT };
	socklen_t len = sizeof(int);
	int error;

	if (!poll(&polled, 1, ATTEMPT_WAIT_MS))
		return "no answer";
	if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len))
		error = errno;
	return error ? strerror(error) : "connected";
}

/* attempt: another client tries to connect, while the loop does not run */
static void cmd_attempt(void *data, const struct scr_args *args,
			struct gb_buf *out)
{
	struct ctx *ctx = data;
	struct sockaddr_in addr = server_address(ctx);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

	(void)args;
	if (!connect(fd, (struct sockaddr *)&addr, sizeof(addr)) ||
	    errno == EINPROGRESS)
		gb_buf_addf(out, "%s\n", describe_attempt(fd));
	else
		gb_buf_addf(out, "%s\n", strerror(errno));
	close(fd);
}

/* drop: attempts to connect are dropped from now on */
static void cmd_drop(void *data, const struct scr_args *args,
		     struct gb_buf *out)
{
	struct ctx *ctx = data;

	(void)args;
	gb_buf_addf(out, "error=%d\n", ht_server_drop_attempts(&ctx->server));
}

/* unlisten: the listening socket is closed */
static void cmd_unlisten(void *data, const struct scr_args *args,
			 struct gb_buf *out)
{
	struct ctx *ctx = data;

	(void)args;
	(void)out;
	ht_server_stop_listening(&ctx->server);
	run_loop(ctx);
}

/* expire s=: closes what is idle for too long, that many seconds from now */
static void cmd_expire(void *data, const struct scr_args *args,
		       struct gb_buf *out)
{
	gb_time age = scr_int(args, GB_STR("s"), 0) * GB_SEC;
	struct ctx *ctx = data;

	ht_server_close_expired(&ctx->server, ht_now() + age);
	run_loop(ctx);
	gb_buf_addf(out, "connections=%u\n", ctx->server.conns.length);
}

/* read: the client reads until nothing more comes */
static void cmd_read(void *data, const struct scr_args *args,
		     struct gb_buf *out)
{
	static char bytes[256 * 1024];
	struct ctx *ctx = data;
	size_t total = 0;
	int empty = 0;

	(void)args;
	while (empty < 20) {
		ssize_t len =
			recv(ctx->client, bytes, sizeof(bytes), MSG_DONTWAIT);

		uv_run(&ctx->loop, UV_RUN_NOWAIT);
		if (len > 0) {
			total += len;
			empty = 0;
		} else {
			empty++;
			g_usleep(1000);
		}
	}
	gb_buf_addf(out, "%s\n", total > ANSWER_BYTES ? "whole" : "cut");
}

int main(int argc, char **argv)
{
	static const struct scr_command commands[] = {
		{ GB_STR_INIT("ask"), cmd_ask },
		{ GB_STR_INIT("stall"), cmd_stall },
		{ GB_STR_INIT("last"), cmd_last },
		{ GB_STR_INIT("upload"), cmd_upload },
		{ GB_STR_INIT("more"), cmd_more },
		{ GB_STR_INIT("status"), cmd_status },
		{ GB_STR_INIT("leave"), cmd_leave },
		{ GB_STR_INIT("stop"), cmd_stop },
		{ GB_STR_INIT("connect"), cmd_connect },
		{ GB_STR_INIT("request"), cmd_request },
		{ GB_STR_INIT("attempt"), cmd_attempt },
		{ GB_STR_INIT("drop"), cmd_drop },
		{ GB_STR_INIT("unlisten"), cmd_unlisten },
		{ GB_STR_INIT("expire"), cmd_expire },
		{ GB_STR_INIT("read"), cmd_read },
	};
	static const struct scr_suite suite = {
		.name = "http-server",
		.folder = "packages/http/tests/server",
		.commands = commands,
		.commands_len = G_N_ELEMENTS(commands),
		.context_new = open_ctx,
		.context_free = close_ctx,
	};

	return scr_main(argc, argv, &suite);
}
