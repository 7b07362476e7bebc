#include "http/ht-conn.h"

#include <sys/socket.h>

/* A client sends its first request within this time, mostly at once. */
#define FIRST_REQUEST_TIME (300 * GB_MSEC)

/* From the first byte of a request to the end of its body. */
#define BODY_TIMEOUT (30 * GB_SEC)

/* Time in which a client closes its side after the last reply. */
#define LINGER_TIME (2 * GB_SEC)

/* Time that a client may take to read an answer. */
#define WRITE_TIMEOUT (30 * GB_SEC)

/* A client that reads slowly may still read the end of its answer. */
static gb_time idle_timeout(const struct ht_conn *conn)
{
	gb_time timeout = conn->server->limits.idle_timeout;

	return conn->pending_writes ? MAX(timeout, WRITE_TIMEOUT) : timeout;
}

/* Replies 408 to an incomplete request; closes an idle connection silently. */
static void close_if_expired(struct ht_conn *conn, gb_time now)
{
	const struct ht_limits *limits = &conn->server->limits;
	gb_time age = now - conn->wait_begin;

	if (conn->exchange)
		return;
	if (conn->lingering) {
		if (age > (conn->pending_writes ? WRITE_TIMEOUT : LINGER_TIME))
			ht_conn_close(conn);
		return;
	}
	if (conn->reader.in.len) {
		/* parsed is not 0 while the head is incomplete. */
		if (age >
		    (conn->reader.parsed ? limits->head_timeout : BODY_TIMEOUT))
			ht_conn_reject(conn, 408);
	} else if (age > idle_timeout(conn)) {
		ht_conn_close(conn);
	}
}

void ht_server_close_expired(struct ht_server *server, gb_time now)
{
	GList *next;

	for (GList *at = server->conns.head; at; at = next) {
		next = at->next;
		close_if_expired(at->data, now);
	}
}

static bool has_unread_bytes(const struct ht_conn *conn)
{
	uv_os_fd_t fd;
	char byte;

	return !uv_fileno((const uv_handle_t *)&conn->tcp, &fd) &&
	       recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

static bool is_idle(const struct ht_conn *conn, gb_time now)
{
	if (conn->lingering || conn->exchange || conn->reader.in.len ||
	    conn->pending_writes || has_unread_bytes(conn))
		return false;
	return conn->has_answered ||
	       now - conn->wait_begin >= FIRST_REQUEST_TIME;
}

void ht_server_close_idle(struct ht_server *server)
{
	gb_time now = ht_now();
	GList *next;

	for (GList *at = server->conns.head; at; at = next) {
		struct ht_conn *conn = at->data;

		next = at->next;
		if (is_idle(conn, now))
			ht_conn_close(conn);
	}
}
