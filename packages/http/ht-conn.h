#ifndef HT_CONN_H
#define HT_CONN_H

/*
 * NAME
 *	ht_conn - one connection of a server, within the package
 *
 * DESCRIPTION
 *	ht-server.c reads requests and writes replies; ht-server-idle.c closes
 *	connections that are idle, or whose client takes too long.
 *
 *	After its last reply a connection is only shut down for writing. What
 *	the client still sends is discarded until it closes the connection, for
 *	a limited time: bytes that arrive at a closed socket reset the
 *	connection, and a client that fails to send may not read the reply. A
 *	request that arrives meanwhile is not accepted, so it is not lost.
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
	bool lingering; /* has sent its last reply; what arrives is discarded */
	bool dispatching; /* inside read_requests(), which must not recurse */
	bool has_answered; /* has served at least one request */
	uint32_t pending_writes; /* replies that are not written as a whole */
	gb_time handshake_rtt; /* round-trip time measured by the kernel */
	/* of the idle time, an incomplete request, or the lingering */
	gb_time wait_begin;
	uv_shutdown_t shutdown;
};

/* Closes the connection and reports it to the user if an exchange runs. */
void ht_conn_close(struct ht_conn *conn);

/* Replies with an error status and closes the connection. */
void ht_conn_reject(struct ht_conn *conn, int status);

#endif
