#ifndef HT_SERVER_H
#define HT_SERVER_H

/*
 * NAME
 *	ht_server - HTTP/1.1 server of one listening address on libuv
 *
 * DESCRIPTION
 *	The server reads one request at a time from each connection, passes it
 *	to its user as an exchange and waits for the reply. It keeps reading
 *	while the exchange runs, so that it notices when the client closes the
 *	connection; h2o, which stops reading meanwhile, does not. Pipelined
 *	requests wait until the one before them is answered.
 *
 *	An exchange ends with ht_reply() or with the callback disconnected;
 *	after either it must not be used any more.
 */

#include "http/ht-arrival.h"
#include "http/ht-memory.h"
#include "http/ht-request.h"

#include <glib.h>
#include <uv.h>

struct ht_conn;
struct ht_server;

struct ht_exchange {
	struct ht_request request;
	struct ht_conn *conn;
	gb_time received_at; /* when the request was complete */
	/* Round-trip time of the client, twice if it had to connect first. */
	gb_time network_delay;
	gb_time unread_max; /* it may have waited for so long until it was read
			     */
	void *data; /* for the user of the server */
};

struct ht_reply {
	int status;
	/* Encoded lines, without Content-Length and Connection. */
	struct gb_str fields;
	struct gb_str body;
};

struct ht_server_ops {
	void (*request)(void *ctx, struct ht_exchange *x);
	/* The client closed its connection before the reply. */
	void (*disconnected)(void *ctx, struct ht_exchange *x);
	/* A request was rejected with this status. */
	void (*bad_request)(void *ctx, int status);
};

/* Size limits and timeouts of requests. */
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
	GQueue paused; /* of struct ht_conn, which wait for their turn */
	uv_idle_t idle; /* runs while connections wait for their turn */
	struct ht_arrivals arrivals;
	uv_prepare_t before_poll;
	uv_check_t after_poll;
	/* Bounds incomplete requests and unsent replies; or NULL. */
	struct ht_memory *memory;
	bool closing; /* replies carry Connection: close */
};

/* Listens on ADDRESS:PORT; returns 0 or a negative error of libuv. */
int ht_server_start(struct ht_server *server, uv_loop_t *loop,
		    struct gb_str address, const struct ht_server_ops *ops,
		    void *ctx);

/* Sends the reply and frees the exchange. */
void ht_reply(struct ht_exchange *x, const struct ht_reply *reply);

/* Closes connections that have reached the idle, head or body timeout. */
void ht_server_close_expired(struct ht_server *server, gb_time now);

/* Closes all connections but keeps listening. */
void ht_server_close_conns(struct ht_server *server);

/* Closes the listening socket and all connections. */
void ht_server_stop(struct ht_server *server);

/*
 * Drops attempts to connect, so that the listening socket can be closed later
 * (see ht-listener.h). Returns 0 or a negative error of libuv.
 */
int ht_server_drop_attempts(struct ht_server *server);

/*
 * Closes the listening socket. Connections that the kernel has accepted are
 * lost with it, so this is called HT_HANDSHAKE_TIME after
 * ht_server_drop_attempts(), right after the loop has polled for them.
 */
void ht_server_stop_listening(struct ht_server *server);

bool ht_server_is_listening(const struct ht_server *server);

/*
 * Closes the connections without an exchange or unread bytes. A new connection
 * is left open for a moment, since its first request may be on the way.
 */
void ht_server_close_idle(struct ht_server *server);

/* Parses a numeric IPv4 or IPv6 address; returns 0 or -1. */
int ht_parse_host(struct gb_str host, uint16_t port,
		  struct sockaddr_storage *addr);

/* Parses "ADDRESS:PORT"; returns 0 or -1. */
int ht_parse_address(struct gb_str text, struct sockaddr_storage *addr);

/* Reads the monotonic clock. */
gb_time ht_now(void);

#endif
