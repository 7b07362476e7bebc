#include "bench/daemon.h"

#include <string.h>

/* Time for which answers are awaited after the last request. */
#define GRACE_MS 3000

/* Different bodies; each is known to be good after its first answer. */
#define BODIES 64

struct load;

struct load_conn {
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_write_t write;
	struct load *load;
	struct gb_buf out;
	struct gb_buf in;
	gb_time begin; /* of the request; from its due time in an open loop */
	bool open;
	bool busy;
};

struct load {
	const struct bdm_load_options *options;
	struct bdm_load_result *result;
	uv_loop_t loop;
	uv_timer_t tick;
	uv_timer_t end;
	uv_timer_t half;
	struct load_conn *conns;
	GPtrArray *idle; /* of struct load_conn, open loop only */
	GQueue waiting; /* due times without a free connection */
	GArray *times; /* of gb_time */
	gb_time begin;
	gb_time last; /* end of the last answer */
	uint64_t sent;
	uint32_t busy;
	bool ending;
};

static gb_time now_us(void);
static void lookup_request(uint64_t number, struct gb_buf *out);
static size_t lookup_answer(struct gb_str bytes, bool *good);
static void conn_open(struct load *load, uint32_t index);
static void conn_free(struct load_conn *conn);
static void conn_send(struct load_conn *conn, gb_time begin);
static void conn_next(struct load_conn *conn);
static void conn_lost(struct load_conn *conn);
static void take_answer(struct load_conn *conn, bool good);
static void on_connected(uv_connect_t *req, int status);
static void on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf);
static void on_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buf);
static void on_tick(uv_timer_t *timer);
static void on_half(uv_timer_t *timer);
static void on_end(uv_timer_t *timer);
static void on_grace(uv_timer_t *timer);
static void close_handle(uv_handle_t *handle, void *arg);
static gint compare_times(gconstpointer a, gconstpointer b);
static gb_time quantile(GArray *times, double share);

static char input[256 * 1024];

const struct bdm_protocol bdm_lookup = {
	.request = lookup_request,
	.answer = lookup_answer,
};

static gb_time now_us(void)
{
	return uv_hrtime() / 1000;
}

static void lookup_request(uint64_t number, struct gb_buf *out)
{
	char body[64];
	int len = snprintf(body, sizeof(body),
			   "{\"query\":\"part\",\"limit\":2,\"page\":%d}",
			   (int)(number % BODIES));

	gb_buf_addf(out,
		    "POST /v1/bench-assist/lookup HTTP/1.1\r\n"
		    "Host: " BDM_HOST "\r\nDeadline-Ms: 10000\r\n"
		    "Content-Type: application/json\r\n"
		    "Content-Length: %d\r\n\r\n%s",
		    len, body);
}

/* A good answer covers all documents. */
static size_t lookup_answer(struct gb_str bytes, bool *good)
{
	static const char length[] = "Content-Length: ";
	const char *end = g_strstr_len(bytes.ptr, bytes.len, "\r\n\r\n");
	const char *field;
	size_t head, size;

	if (!end)
		return 0;
	head = end - bytes.ptr + 4;
	field = g_strstr_len(bytes.ptr, head, length);
	if (!field)
		g_error("answer without a length: %.*s", (int)head, bytes.ptr);
	size = head + strtoul(field + sizeof(length) - 1, NULL, 10);
	if (bytes.len < size)
		return 0;
	*good = !strncmp(bytes.ptr, "HTTP/1.1 200", 12) &&
		g_strstr_len(bytes.ptr + head, MIN(size - head, 256),
			     "\"coverage\":1,");
	return size;
}

static void conn_send(struct load_conn *conn, gb_time begin)
{
	struct load *load = conn->load;
	uv_buf_t buf;

	gb_buf_reset(&conn->out);
	load->options->protocol->request(load->sent++, &conn->out);
	conn->begin = begin;
	conn->busy = true;
	load->busy++;
	buf = uv_buf_init(conn->out.ptr, conn->out.len);
	uv_write(&conn->write, (uv_stream_t *)&conn->tcp, &buf, 1, NULL);
}

/* Uses a connection that has become free. */
static void conn_next(struct load_conn *conn)
{
	struct load *load = conn->load;
	gb_time *due;

	if (load->ending)
		return;
	if (!load->options->rate) {
		conn_send(conn, now_us());
		return;
	}
	due = g_queue_pop_head(&load->waiting);
	if (due)
		conn_send(conn, *due);
	else
		g_ptr_array_add(load->idle, conn);
	g_free(due);
}

static void take_answer(struct load_conn *conn, bool good)
{
	struct load *load = conn->load;
	gb_time now = now_us();
	gb_time time = now - conn->begin;

	conn->busy = false;
	load->busy--;
	load->last = now;
	if (good) {
		load->result->good++;
		g_array_append_val(load->times, time);
	} else {
		load->result->bad++;
	}
	if (load->ending && !load->busy)
		uv_walk(&load->loop, close_handle, NULL);
}

static void conn_lost(struct load_conn *conn)
{
	conn->open = false;
	uv_read_stop((uv_stream_t *)&conn->tcp);
	if (conn->busy)
		take_answer(conn, false);
}

static void on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	(void)handle;
	(void)size;
	*buf = uv_buf_init(input, sizeof(input));
}

static void on_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
	struct load_conn *conn = stream->data;
	bool good = false;
	size_t size;

	if (len < 0) {
		conn_lost(conn);
		return;
	}
	gb_buf_add(&conn->in, (struct gb_str){ .ptr = buf->base, .len = len });
	size = conn->load->options->protocol->answer(gb_buf_str(&conn->in),
						     &good);
	if (!size)
		return;
	gb_buf_reset(&conn->in);
	take_answer(conn, good);
	conn_next(conn);
}

static void on_connected(uv_connect_t *req, int status)
{
	struct load_conn *conn = req->data;

	if (status)
		g_error("connect: %s", uv_strerror(status));
	conn->open = true;
	uv_tcp_nodelay(&conn->tcp, 1);
	uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
	conn_next(conn);
}

static void conn_open(struct load *load, uint32_t index)
{
	const struct bdm_load_options *options = load->options;
	struct load_conn *conn = &load->conns[index];
	struct sockaddr_in addr;

	conn->load = load;
	uv_ip4_addr(BDM_HOST, options->ports[index % options->ports_len],
		    &addr);
	uv_tcp_init(&load->loop, &conn->tcp);
	conn->tcp.data = conn;
	conn->connect.data = conn;
	uv_tcp_connect(&conn->connect, &conn->tcp, (struct sockaddr *)&addr,
		       on_connected);
}

static void conn_free(struct load_conn *conn)
{
	gb_buf_free(&conn->in);
	gb_buf_free(&conn->out);
}

/* Sends what is due, whether or not earlier answers have come. */
static void on_tick(uv_timer_t *timer)
{
	struct load *load = timer->data;
	double rate = load->options->rate;
	gb_time now = now_us();

	while (!load->ending) {
		uint64_t count = load->sent + load->waiting.length;
		gb_time due =
			load->begin + (gb_time)((double)count * GB_SEC / rate);

		if (due > now)
			return;
		if (load->idle->len)
			conn_send(g_ptr_array_steal_index_fast(
					  load->idle, load->idle->len - 1),
				  due);
		else
			g_queue_push_tail(&load->waiting,
					  g_memdup2(&due, sizeof(due)));
	}
}

static void on_half(uv_timer_t *timer)
{
	struct load *load = timer->data;

	load->options->halfway(load->options->data);
}

static void on_end(uv_timer_t *timer)
{
	struct load *load = timer->data;

	load->ending = true;
	load->result->bad += load->waiting.length;
	if (load->busy)
		uv_timer_start(timer, on_grace, GRACE_MS, 0);
	else
		uv_walk(&load->loop, close_handle, NULL);
}

static void on_grace(uv_timer_t *timer)
{
	struct load *load = timer->data;

	load->result->bad += load->busy;
	uv_walk(&load->loop, close_handle, NULL);
}

static void close_handle(uv_handle_t *handle, void *arg)
{
	(void)arg;
	if (!uv_is_closing(handle))
		uv_close(handle, NULL);
}

static gint compare_times(gconstpointer a, gconstpointer b)
{
	gb_time x = *(const gb_time *)a, y = *(const gb_time *)b;

	return (x > y) - (x < y);
}

static gb_time quantile(GArray *times, double share)
{
	if (!times->len)
		return 0;
	return g_array_index(times, gb_time,
			     (guint)(share * (double)(times->len - 1)));
}

void bdm_load_run(const struct bdm_load_options *options,
		  struct bdm_load_result *result)
{
	struct load load = { .options = options, .result = result };

	*result = (struct bdm_load_result){ 0 };
	uv_loop_init(&load.loop);
	g_queue_init(&load.waiting);
	load.idle = g_ptr_array_new();
	load.times = g_array_new(FALSE, FALSE, sizeof(gb_time));
	load.conns = g_new0(struct load_conn, options->connections);
	load.begin = now_us();
	load.last = load.begin;
	for (uint32_t i = 0; i < options->connections; i++)
		conn_open(&load, i);
	uv_timer_init(&load.loop, &load.tick);
	uv_timer_init(&load.loop, &load.end);
	uv_timer_init(&load.loop, &load.half);
	load.tick.data = load.end.data = load.half.data = &load;
	if (options->rate)
		uv_timer_start(&load.tick, on_tick, 1, 1);
	if (options->halfway)
		uv_timer_start(&load.half, on_half,
			       options->duration / GB_MSEC / 2, 0);
	uv_timer_start(&load.end, on_end, options->duration / GB_MSEC, 0);
	uv_run(&load.loop, UV_RUN_DEFAULT);
	uv_loop_close(&load.loop);
	g_array_sort(load.times, compare_times);
	result->elapsed = MAX(load.last - load.begin, 1);
	result->p50 = quantile(load.times, 0.5);
	result->p99 = quantile(load.times, 0.99);
	for (uint32_t i = 0; i < options->connections; i++)
		conn_free(&load.conns[i]);
	g_free(load.conns);
	g_queue_clear_full(&load.waiting, g_free);
	g_array_unref(load.times);
	g_ptr_array_unref(load.idle);
}
