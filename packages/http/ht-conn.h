#ifndef HT_CONN_H
#define HT_CONN_H

/*
 * NAME
 *	ht_conn - one connection of a server, within the package
 *
 * DESCRIPTION
 *	ht-server.c reads requests, ht-server-reply.c writes replies, and
 *	ht-server-idle.c closes connections that are idle, or whose client takes
 *	too long.
 *
 *	ht-server-turn.c bounds what a connection may have done in an iteration
 *	of the loop, so that a client that sends much at once, or many requests
 *	ahead, does not hold up the others. A connection that has had its turn
 *	is paused: it is not read, and gets the next turn after those that were
 *	paused before it. A connection is not read either while a reply is still
 *	to be written, so that a client that does not read cannot make replies
 *	pile up.
 *
 *	ht-server-arrival.c bounds the time for which a request waited unread,
 *	which its caller counts.
 *
 *	After its last reply a connection is only shut down for writing. What
 *	the client still sends is discarded until it closes the connection, for
 *	a limited time: bytes that arrive at a closed socket reset the
 *	connection, and a client that fails to send may not read the reply. A
 *	request that arrives meanwhile is not accepted, so it is not lost.
 */

#include "http/ht-server.h"

/* What a connection has had done in an iteration of the loop. */
struct ht_turn {
	uint64_t iteration; /* its time, ms */
	size_t bytes; /* read */
	uint32_t requests; /* started */
};

struct ht_conn {
	struct ht_server *server;
	uv_tcp_t tcp;
	GList link; /* in server->conns */
	struct ht_reader reader;
	struct ht_memory_holder holder; /* of an incomplete request */
	struct ht_exchange *exchange;
	bool reading;
	bool closed;
	bool lingering; /* has sent its last reply; what arrives is discarded */
	bool dispatching; /* inside read_requests(), which must not recurse */
	struct ht_turn turn;
	bool paused; /* has had its turn */
	GList paused_link; /* in server->paused */
	bool has_answered; /* has served at least one request */
	uint32_t pending_writes; /* replies that are not written as a whole */
	gb_time handshake_rtt; /* round-trip time measured by the kernel */
	gb_time connected_at; /* the earliest time, for the first request */
	gb_time accepted_at; /* time of that poll; 0 after the first request */
	/* of the idle time, an incomplete request, or the lingering */
	gb_time wait_begin;
	uv_shutdown_t shutdown;
};

/* Closes the connection and reports it to the user if an exchange runs. */
void ht_conn_close(struct ht_conn *conn);

/* Replies with an error status and closes the connection. */
void ht_conn_reject(struct ht_conn *conn, int status);

/* Answers a client that waits before it sends its body. */
void ht_conn_send_continue(struct ht_conn *conn);

void ht_conn_start_reading(struct ht_conn *conn);
void ht_conn_stop_reading(struct ht_conn *conn);

/* Reads no more until the others have had their turn. */
void ht_conn_pause_reading(struct ht_conn *conn);
void ht_exchange_free(struct ht_exchange *x);

/* Goes on with bytes that were read, and reads more. */
void ht_conn_continue(struct ht_conn *conn);

/* Turns: what is done for a connection, and whether it may go on. */
void ht_conn_charge(struct ht_conn *conn, size_t bytes, uint32_t requests);
bool ht_conn_has_turn(struct ht_conn *conn);

/* Lets the connection wait until the others have had their turn. */
void ht_conn_pause(struct ht_conn *conn);
void ht_conn_unpause(struct ht_conn *conn);
void ht_server_turns_init(struct ht_server *server);

/* Arrivals: how long a request may have waited until it was read. */
void ht_server_arrivals_init(struct ht_server *server);
void ht_server_arrivals_close(struct ht_server *server);
void ht_conn_accepted(struct ht_conn *conn);
gb_time ht_conn_unread_max(struct ht_conn *conn);

#endif
