#include "http/ht-conn.h"

/*
 * What one connection may have done in an iteration of the loop. Ordinary
 * requests are shorter and come one at a time.
 */
#define TURN_BYTES (32 * 1024)
#define TURN_REQUESTS 4

/*
 * Connections with more to do that get another turn in an iteration. They take
 * a few milliseconds together, so that others do not wait for long.
 */
#define TURNS_PER_ITERATION 16

/* Returns the turn of this iteration; the loop reads its clock once in each. */
static struct ht_turn *turn_of(struct ht_conn *conn)
{
	uint64_t iteration = uv_now(conn->server->loop);

	if (conn->turn.iteration != iteration)
		conn->turn = (struct ht_turn){ .iteration = iteration };
	return &conn->turn;
}

void ht_conn_charge(struct ht_conn *conn, size_t bytes, uint32_t requests)
{
	struct ht_turn *turn = turn_of(conn);

	turn->bytes += bytes;
	turn->requests += requests;
}

bool ht_conn_has_turn(struct ht_conn *conn)
{
	const struct ht_turn *turn = turn_of(conn);

	return turn->bytes < TURN_BYTES && turn->requests < TURN_REQUESTS;
}

static void on_idle(uv_idle_t *idle)
{
	struct ht_server *server = idle->data;

	for (int i = 0; i < TURNS_PER_ITERATION && server->paused.length; i++) {
		struct ht_conn *conn = server->paused.head->data;

		ht_conn_unpause(conn);
		conn->turn =
			(struct ht_turn){ .iteration = uv_now(server->loop) };
		ht_conn_continue(conn);
	}
	if (!server->paused.length)
		uv_idle_stop(idle);
}

void ht_conn_pause(struct ht_conn *conn)
{
	struct ht_server *server = conn->server;

	if (conn->paused)
		return;
	conn->paused = true;
	conn->paused_link.data = conn;
	g_queue_push_tail_link(&server->paused, &conn->paused_link);
	uv_idle_start(&server->idle, on_idle);
}

void ht_conn_unpause(struct ht_conn *conn)
{
	if (!conn->paused)
		return;
	conn->paused = false;
	g_queue_unlink(&conn->server->paused, &conn->paused_link);
}

void ht_server_turns_init(struct ht_server *server)
{
	g_queue_init(&server->paused);
	uv_idle_init(server->loop, &server->idle);
	server->idle.data = server;
}
