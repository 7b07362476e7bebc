#ifndef HT_CONN_H
#define HT_CONN_H

/*
 * NAME
 *	ht_conn - one connection of a server, within the package
 *
 * DESCRIPTION
 *	ht-server.c reads requests and writes replies; ht-server-idle.c closes
 *	connections that are idle, or whose client takes too long.
 */

#include "http/ht-server.h"

struct ht_conn {
	struct ht_server *server;
	uv_tcp_t tcp;
	GList link; /* in server->conns */
	struct ht_reader reader;
	struct ht_memory_holder holder; /* of an incomplete request */
	struct ht_exchange *exchange;
	bool reading;
	bool closed;
	bool dispatching; /* inside read_requests(), which must not recurse */
	bool has_answered; /* has served at least one request */
	uint32_t pending_writes; /* replies that are not written as a whole */
	gb_time handshake_rtt; /* round-trip time measured by the kernel */
	gb_time wait_begin; /* of the idle time or an incomplete request */
};

/* Closes the connection and reports it to the user if an exchange runs. */
void ht_conn_close(struct ht_conn *conn);

/* Replies with an error status and closes the connection. */
void ht_conn_reject(struct ht_conn *conn, int status);

#endif
