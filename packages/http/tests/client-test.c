#include "http/ht-client.h"
#include "http/ht-server.h"
#include "script/scr.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * Makes one call at a time over a real loopback connection; the script plays
 * the server. The loop runs only after the server has sent its bytes and closed
 * its end, so that both arrive together.
 */
struct ctx {
	uv_loop_t loop;
	int listener;
	int peer; /* the server's end of the connection; -1 for none */
	struct ht_target *target;
	struct ht_call call;
	bool running;
	struct gb_buf *out;
};

static bool on_encode(struct ht_call *call, struct gb_buf *out)
{
	(void)call;
	gb_buf_add(out, GB_STR("GET / HTTP/1.1\r\n\r\n"));
	return true;
}

static enum ht_verdict on_head(struct ht_call *call,
			       const struct ht_response *head)
{
	(void)call;
	return head->status == 299 ? HT_SKIP : HT_ACCEPT;
}

static void on_done(struct ht_call *call, enum ht_outcome outcome)
{
	static const char *const names[] = { "answered", "not_sent", "lost",
					     "invalid" };
	struct ctx *ctx =
		(struct ctx *)((char *)call - offsetof(struct ctx, call));

	ctx->running = false;
	gb_buf_addf(ctx->out, "%s \"%.*s\" reused=%d\n", names[outcome],
		    (int)call->body.len, call->body.ptr, call->conn_reused);
	gb_buf_free(&call->body);
}

static const struct ht_call_ops call_ops = {
	.encode = on_encode,
	.head = on_head,
	.done = on_done,
};

static void *open_ctx(void)
{
	struct ctx *ctx = g_new0(struct ctx, 1);
	struct sockaddr_in addr = { .sin_family = AF_INET };
	socklen_t len = sizeof(addr);
	char text[32];

	uv_loop_init(&ctx->loop);
	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ctx->listener = socket(AF_INET, SOCK_STREAM, 0);
	ctx->peer = -1;
	g_assert(!bind(ctx->listener, (struct sockaddr *)&addr, len));
	g_assert(!listen(ctx->listener, 8));
	getsockname(ctx->listener, (struct sockaddr *)&addr, &len);
	snprintf(text, sizeof(text), "127.0.0.1:%d", ntohs(addr.sin_port));
	ctx->target = ht_target_new(&ctx->loop, gb_str_from_c(text), 1);
	return ctx;
}

static void close_peer(struct ctx *ctx)
{
	if (ctx->peer >= 0)
		close(ctx->peer);
	ctx->peer = -1;
}

static void close_ctx(void *data)
{
	struct ctx *ctx = data;

	if (ctx->running)
		ht_call_cancel(&ctx->call);
	ht_target_free(ctx->target);
	uv_run(&ctx->loop, UV_RUN_DEFAULT);
	uv_loop_close(&ctx->loop);
	close_peer(ctx);
	close(ctx->listener);
	g_free(ctx);
}

/*
 * Starts a call, with key= if given, and receives its request at the server;
 * conns= sets how many connections may be open.
 */
static void cmd_call(void *data, const struct scr_args *args,
		     struct gb_buf *out)
{
	struct ctx *ctx = data;
	char bytes[256];

	ctx->out = out;
	ctx->running = true;
	ctx->call.key = scr_int(args, GB_STR("key"), 0);
	ctx->target->conns_max = scr_int(args, GB_STR("conns"), 1);
	ht_call_start(&ctx->call, ctx->target, &call_ops);
	uv_run(&ctx->loop, UV_RUN_NOWAIT);
	if (!ctx->call.conn_reused)
		close_peer(ctx);
	if (ctx->peer < 0)
		ctx->peer = accept(ctx->listener, NULL, NULL);
	while (!ctx->call.sent)
		uv_run(&ctx->loop, UV_RUN_ONCE);
	g_assert(recv(ctx->peer, bytes, sizeof(bytes), 0) > 0);
}

static void end_peer(struct ctx *ctx, bool reset)
{
	const struct linger linger = { .l_onoff = 1, .l_linger = 0 };

	if (reset)
		setsockopt(ctx->peer, SOL_SOCKET, SO_LINGER, &linger,
			   sizeof(linger));
	close_peer(ctx);
}

/*
 * Sends bytes ('|' stands for CR LF, '_' for a space) and, with end=close or
 * end=reset, closes the server's end.
 */
static void cmd_answer(void *data, const struct scr_args *args,
		       struct gb_buf *out)
{
	struct gb_str text = scr_word(args, 0);
	struct gb_str end = scr_str(args, GB_STR("end"), GB_STR(""));
	struct gb_buf bytes = GB_BUF_INIT;
	struct ctx *ctx = data;

	ctx->out = out;
	for (size_t i = 0; i < text.len; i++) {
		if (text.ptr[i] == '|')
			gb_buf_add(&bytes, GB_STR("\r\n"));
		else
			gb_buf_addc(&bytes,
				    text.ptr[i] == '_' ? ' ' : text.ptr[i]);
	}
	g_assert(send(ctx->peer, bytes.ptr, bytes.len, MSG_NOSIGNAL) ==
		 (ssize_t)bytes.len);
	gb_buf_free(&bytes);
	if (end.len)
		end_peer(ctx, gb_str_eq(end, GB_STR("reset")));
	for (int i = 0; i < 3; i++)
		uv_run(&ctx->loop, UV_RUN_NOWAIT);
	gb_buf_addf(out, "running=%d open=%u idle=%u\n", ctx->running,
		    ctx->target->conns_open, ctx->target->idle_links.length);
}

/* Starts a call and cancels it while its connection is being opened. */
static void cmd_cancel(void *data, const struct scr_args *args,
		       struct gb_buf *out)
{
	struct ctx *ctx = data;

	(void)args;
	ht_call_start(&ctx->call, ctx->target, &call_ops);
	ht_call_cancel(&ctx->call);
	ctx->peer = accept(ctx->listener, NULL, NULL);
	while (ctx->target->conns_open && !ctx->target->idle_links.length)
		uv_run(&ctx->loop, UV_RUN_ONCE);
	gb_buf_addf(out, "open=%u idle=%u\n", ctx->target->conns_open,
		    ctx->target->idle_links.length);
}

/*
 * Leaves the connection idle, then closes the server's end without running the
 * loop, so that the client does not see the close.
 */
static void cmd_idle_close(void *data, const struct scr_args *args,
			   struct gb_buf *out)
{
	struct ctx *ctx = data;

	(void)out;
	g_usleep(scr_int(args, GB_STR("ms"), 0) * 1000);
	uv_update_time(&ctx->loop);
	end_peer(ctx, false);
}

/* Prints whether the client has found an idle connection closed. */
static void cmd_idle_closed(void *data, const struct scr_args *args,
			    struct gb_buf *out)
{
	struct ctx *ctx = data;

	(void)args;
	gb_buf_addf(out, "idle_closed=%d\n",
		    ht_target_take_idle_closed(ctx->target));
}

int main(int argc, char **argv)
{
	static const struct scr_command commands[] = {
		{ GB_STR_INIT("call"), cmd_call },
		{ GB_STR_INIT("answer"), cmd_answer },
		{ GB_STR_INIT("cancel"), cmd_cancel },
		{ GB_STR_INIT("idle_close"), cmd_idle_close },
		{ GB_STR_INIT("idle_closed"), cmd_idle_closed },
	};
	static const struct scr_suite suite = {
		.name = "http-client",
		.folder = "packages/http/tests/client",
		.commands = commands,
		.commands_len = G_N_ELEMENTS(commands),
		.context_new = open_ctx,
		.context_free = close_ctx,
	};

	return scr_main(argc, argv, &suite);
}
