#ifndef HT_SERVER_H
#define HT_SERVER_H

/*
 * NAME
 *	ht_server - HTTP/1.1 server of one listening address on libuv
 *
 * DESCRIPTION
 *	The server reads one request at a time from each connection, hands it
 *	over as an exchange and waits for its answer. It keeps reading while
 *	the exchange runs, so that it notices when the caller closes its
 *	connection; h2o stops reading meanwhile and so cannot tell. Requests
 *	that follow on the same connection wait for their turn.
 *
 *	An exchange ends with ht_reply(), or with the call-back gone; after
 *	either it must not be used any more.
 */

#include "http/ht-request.h"

#include <glib.h>
#include <uv.h>

struct ht_conn;
struct ht_server;

struct ht_exchange {
	struct ht_request request;
	struct ht_conn *conn;
	gb_time received; /* when the request was whole */
	gb_time way; /* round trips of the caller, with that of its connect */
	void *data; /* of the user of the server */
};

struct ht_reply {
	int status;
	struct gb_str
		fields; /* encoded lines, without framing and connection */
	struct gb_str body;
};

struct ht_server_ops {
	void (*request)(void *ctx, struct ht_exchange *x);
	/* The caller closed its connection before the answer. */
	void (*gone)(void *ctx, struct ht_exchange *x);
	/* A request could not be read; status was answered. */
	void (*bad)(void *ctx, int status);
};

/* What a caller may send, and how long it may take. */
struct ht_limits {
	size_t head_max;
	size_t body_max;
	gb_time head_timeout;
	gb_time idle_timeout;
};

struct ht_server {
	uv_loop_t *loop;
	uv_tcp_t listener;
	const struct ht_server_ops *ops;
	void *ctx;
	struct ht_limits limits;
	GQueue conns; /* of struct ht_conn */
	bool closing; /* answers announce the end of the connection */
};

/* Binds ADDRESS:PORT; returns 0 or a negative error of libuv. */
int ht_server_start(struct ht_server *server, uv_loop_t *loop,
		    struct gb_str address, const struct ht_server_ops *ops,
		    void *ctx);

/* Answers the exchange and frees it. */
void ht_reply(struct ht_exchange *x, const struct ht_reply *reply);

/* Closes connections that were idle or took too long to send a head. */
void ht_server_sweep(struct ht_server *server, gb_time now);

/* Closes all connections and goes on listening. */
void ht_server_drop(struct ht_server *server);

/* Closes the listening socket and all connections. */
void ht_server_stop(struct ht_server *server);

/* Closes the connections that run no exchange and hold no bytes. */
void ht_server_close_idle(struct ht_server *server);

/* Makes a socket address of a numeric host; returns 0 or -1. */
int ht_host_address(struct gb_str host, uint16_t port,
		    struct sockaddr_storage *addr);

/* The same for "ADDRESS:PORT". */
int ht_address(struct gb_str text, struct sockaddr_storage *addr);

/* Monotonic time. */
gb_time ht_now(void);

#endif
