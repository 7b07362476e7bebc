#include "standin/common-http.h"

#include <argp.h>
#include <glib.h>
#include <signal.h>

/*
 * Stand-in of a network link: a TCP relay between a port and a daemon's peer
 * port. POST /control takes "cut", which holds all bytes back until it is false
 * again, and "delay_ms" for each direction. GET /control/stats gives the number
 * of connections and bytes.
 */

#define READ_SIZE (64 * 1024)
#define BACKLOG 128

/* Bytes of one direction that wait; reading stops beyond it. */
#define QUEUE_MAX (4 * 1024 * 1024)

struct relay;

struct chunk {
	gb_time at; /* to be passed on then */
	char *ptr;
	size_t len;
};

/* One end of a connection; what it reads is written to the other one. */
struct end {
	uv_tcp_t tcp;
	struct relay *relay;
	struct end *other;
	GQueue queue; /* of struct chunk, to be written to this end */
	size_t queued;
	bool open;
};

struct relay {
	struct link *link;
	struct end end[2]; /* accepted, connected */
	uv_connect_t connect;
	uv_timer_t timer;
	int handles; /* not closed yet */
	bool closing;
};

struct link {
	struct si_server server;
	struct si_port control;
	uv_tcp_t listener;
	uint16_t listen;
	uint16_t to;
	bool cut;
	uint32_t delay_ms;
	GPtrArray *relays; /* of struct relay */
	uint64_t accepted;
	uint64_t bytes;
};

struct write {
	uv_write_t req;
	char *ptr;
};

enum { OPT_LISTEN = 256, OPT_TO, OPT_CONTROL };

static const struct argp_option rows[] = {
	{ "listen", OPT_LISTEN, "PORT", 0, "Port of the link", 0 },
	{ "to", OPT_TO, "PORT", 0, "Port behind the link", 0 },
	{ "control", OPT_CONTROL, "PORT", 0, "Port of the test", 0 },
	{ 0 },
};

static error_t parse(int key, char *arg, struct argp_state *state);
static void on_connection(uv_stream_t *listener, int status);
static void on_connected(uv_connect_t *req, int status);
static void on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf);
static void on_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buf);
static void on_timer(uv_timer_t *timer);
static void on_written(uv_write_t *req, int status);
static void on_closed(uv_handle_t *handle);
static void end_init(struct relay *relay, int index);
static void end_write(struct end *end, struct chunk *chunk);
static void end_clear(struct end *end);
static void relay_pass(struct relay *relay);
static void relay_close(struct relay *relay);
static void route_control(struct si_port *port, h2o_req_t *req,
			  struct gb_str rest);
static void route_stats(struct si_port *port, h2o_req_t *req,
			struct gb_str rest);

static const struct si_route routes[] = {
	{ GB_STR("GET"), GB_STR("/control/stats"), route_stats },
	{ GB_STR("POST"), GB_STR("/control"), route_control },
};

static char read_buffer[READ_SIZE];

static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct link *link = state->input;

	switch (key) {
	case OPT_LISTEN:
		link->listen = strtoul(arg, NULL, 10);
		return 0;
	case OPT_TO:
		link->to = strtoul(arg, NULL, 10);
		return 0;
	case OPT_CONTROL:
		link->control.number = strtoul(arg, NULL, 10);
		return 0;
	case ARGP_KEY_END:
		if (!link->listen || !link->to || !link->control.number)
			argp_error(state, "a port is missing");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static void end_init(struct relay *relay, int index)
{
	struct end *end = &relay->end[index];

	end->relay = relay;
	end->other = &relay->end[1 - index];
	end->tcp.data = end;
	g_queue_init(&end->queue);
	uv_tcp_init(relay->link->server.loop, &end->tcp);
	end->tcp.data = end;
	relay->handles++;
}

static void on_connection(uv_stream_t *listener, int status)
{
	struct link *link = listener->data;
	struct sockaddr_in addr;
	struct relay *relay;

	if (status)
		return;
	relay = g_new0(struct relay, 1);
	relay->link = link;
	relay->connect.data = relay;
	end_init(relay, 0);
	end_init(relay, 1);
	uv_timer_init(link->server.loop, &relay->timer);
	relay->timer.data = relay;
	relay->handles++;
	g_ptr_array_add(link->relays, relay);
	link->accepted++;
	uv_ip4_addr("127.0.0.1", link->to, &addr);
	if (uv_accept(listener, (uv_stream_t *)&relay->end[0].tcp) ||
	    uv_tcp_connect(&relay->connect, &relay->end[1].tcp,
			   (struct sockaddr *)&addr, on_connected))
		relay_close(relay);
}

static void on_connected(uv_connect_t *req, int status)
{
	struct relay *relay = req->data;

	if (relay->closing)
		return;
	if (status) {
		relay_close(relay);
		return;
	}
	for (int i = 0; i < 2; i++) {
		uv_tcp_nodelay(&relay->end[i].tcp, 1);
		relay->end[i].open = true;
		uv_read_start((uv_stream_t *)&relay->end[i].tcp, on_alloc,
			      on_read);
	}
}

static void on_alloc(uv_handle_t *handle __attribute__((unused)),
		     size_t size __attribute__((unused)), uv_buf_t *buf)
{
	*buf = uv_buf_init(read_buffer, sizeof(read_buffer));
}

static void on_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
	struct end *end = stream->data;
	struct end *other = end->other;
	struct link *link = end->relay->link;
	struct chunk *chunk;

	if (len < 0) {
		relay_close(end->relay);
		return;
	}
	if (other->queued > QUEUE_MAX)
		return;
	chunk = g_new(struct chunk, 1);
	chunk->at = si_now() + link->delay_ms * GB_MSEC;
	chunk->ptr = g_memdup2(buf->base, len);
	chunk->len = len;
	g_queue_push_tail(&other->queue, chunk);
	other->queued += len;
	relay_pass(end->relay);
}

static void on_written(uv_write_t *req, int status __attribute__((unused)))
{
	struct write *write = req->data;

	g_free(write->ptr);
	g_free(write);
}

/* Writes a chunk and frees it. */
static void end_write(struct end *end, struct chunk *chunk)
{
	struct write *write = g_new(struct write, 1);
	uv_buf_t buf = uv_buf_init(chunk->ptr, chunk->len);

	write->req.data = write;
	write->ptr = chunk->ptr;
	end->queued -= chunk->len;
	end->relay->link->bytes += chunk->len;
	g_free(chunk);
	if (uv_write(&write->req, (uv_stream_t *)&end->tcp, &buf, 1,
		     on_written)) {
		g_free(write->ptr);
		g_free(write);
	}
}

/* Passes on what is due, unless the link is cut. */
static void relay_pass(struct relay *relay)
{
	gb_time now = si_now();
	gb_time next = GB_NEVER;

	if (relay->closing || relay->link->cut)
		return;
	for (int i = 0; i < 2; i++) {
		struct end *end = &relay->end[i];
		struct chunk *chunk;

		while ((chunk = g_queue_peek_head(&end->queue)) &&
		       chunk->at <= now)
			end_write(end, g_queue_pop_head(&end->queue));
		if (chunk)
			next = MIN(next, chunk->at);
	}
	if (next != GB_NEVER)
		uv_timer_start(&relay->timer, on_timer,
			       (next - now) / GB_MSEC + 1, 0);
}

static void on_timer(uv_timer_t *timer)
{
	relay_pass(timer->data);
}

static void end_clear(struct end *end)
{
	struct chunk *chunk;

	while ((chunk = g_queue_pop_head(&end->queue))) {
		g_free(chunk->ptr);
		g_free(chunk);
	}
}

static void on_closed(uv_handle_t *handle)
{
	struct relay *relay = handle->type == UV_TIMER
				      ? handle->data
				      : ((struct end *)handle->data)->relay;

	if (--relay->handles)
		return;
	end_clear(&relay->end[0]);
	end_clear(&relay->end[1]);
	g_free(relay);
}

static void relay_close(struct relay *relay)
{
	if (relay->closing)
		return;
	relay->closing = true;
	g_ptr_array_remove_fast(relay->link->relays, relay);
	uv_close((uv_handle_t *)&relay->timer, on_closed);
	uv_close((uv_handle_t *)&relay->end[0].tcp, on_closed);
	uv_close((uv_handle_t *)&relay->end[1].tcp, on_closed);
}

static void route_control(struct si_port *port, h2o_req_t *req,
			  struct gb_str rest __attribute__((unused)))
{
	struct link *link = port->owner;
	json_t *body = si_body_json(req);
	json_t *value;

	if (!body)
		return;
	if ((value = json_object_get(body, "cut")))
		link->cut = json_is_true(value);
	if ((value = json_object_get(body, "delay_ms")))
		link->delay_ms = json_integer_value(value);
	json_decref(body);
	for (guint i = 0; i < link->relays->len; i++)
		relay_pass(link->relays->pdata[i]);
	si_reply(req, 200, GB_STR("{}"));
}

static void route_stats(struct si_port *port, h2o_req_t *req,
			struct gb_str rest __attribute__((unused)))
{
	const struct link *link = port->owner;

	si_reply_json(req, 200,
		      json_pack("{s:I,s:I,s:I}", "accepted",
				(json_int_t)link->accepted, "open",
				(json_int_t)link->relays->len, "bytes",
				(json_int_t)link->bytes));
}

int main(int argc, char **argv)
{
	static const struct argp argp = { rows, parse,
					  NULL, "Stand-in of a network link",
					  NULL, NULL,
					  NULL };
	static struct link link;
	struct sockaddr_in addr;

	argp_parse(&argp, argc, argv, 0, NULL, &link);
	signal(SIGPIPE, SIG_IGN);
	link.relays = g_ptr_array_new();
	link.control.routes = routes;
	link.control.routes_len = G_N_ELEMENTS(routes);
	link.control.owner = &link;
	si_server_init(&link.server, uv_default_loop());
	si_port_init(&link.control, &link.server);
	if (si_listen(&link.control))
		return 1;
	uv_tcp_init(link.server.loop, &link.listener);
	link.listener.data = &link;
	uv_ip4_addr("127.0.0.1", link.listen, &addr);
	if (uv_tcp_bind(&link.listener, (struct sockaddr *)&addr, 0) ||
	    uv_listen((uv_stream_t *)&link.listener, BACKLOG, on_connection)) {
		fprintf(stderr, "port %u cannot be opened\n", link.listen);
		return 1;
	}
	uv_run(link.server.loop, UV_RUN_DEFAULT);
	return 0;
}
