#ifndef COMMON_HTTP_H
#define COMMON_HTTP_H

/*
 * NAME
 *	si - HTTP server shared by the stand-ins
 *
 * DESCRIPTION
 *	One h2o server on one loop, with any number of ports. A port has its
 *	own table of routes and its own connections, which can be limited,
 *	delayed and cut. While a request waits for its answer h2o does not
 *	read from its connection, so a request stays valid until it is
 *	answered with si_reply().
 */

#include "base/gb.h"

#include <h2o.h>
#include <jansson.h>

struct si_port;

struct si_route {
	struct gb_str method;
	struct gb_str prefix; /* of the path; the rest goes to run() */
	void (*run)(struct si_port *port, h2o_req_t *req, struct gb_str rest);
};

struct si_server {
	uv_loop_t *loop;
	h2o_globalconf_t config;
	h2o_context_t ctx;
};

struct si_port {
	struct si_server *server;
	const struct si_route *routes;
	size_t routes_len;
	void *owner;
	uint16_t number;
	uint32_t conns_max; /* 0 for no limit */
	uint32_t connect_ms; /* from connect to the first read */
	uint32_t conns;
	uint32_t works; /* connections that carried work */
	uint32_t works_most;
	uint64_t refused;
	h2o_linklist_t list;
	uv_tcp_t *listener; /* NULL while down */
	h2o_hostconf_t *hosts[2];
	h2o_accept_ctx_t accept;
};

/* Starts the server; ports may be added afterwards. */
void si_server_init(struct si_server *server, uv_loop_t *loop);

/* Registers a port whose plain fields are set; si_listen() opens it. */
void si_port_init(struct si_port *port, struct si_server *server);
int si_listen(struct si_port *port);

/* Closes the listener and cuts all connections. */
void si_down(struct si_port *port);

/* Cuts the connection of a request, whose answer then goes nowhere. */
void si_cut(h2o_req_t *req);

/*
 * Counts the connection as one that carries work, unlike those of the test
 * itself.
 */
void si_mark_work(h2o_req_t *req);

struct gb_str si_header(h2o_req_t *req, struct gb_str name);

/* Value of a parameter of the query string; empty if there is none. */
struct gb_str si_param(h2o_req_t *req, struct gb_str name);
void si_add_header(h2o_req_t *req, struct gb_str name, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));
void si_reply(h2o_req_t *req, int status, struct gb_str body);

/* As si_reply(), with a content length that may be more than is sent. */
void si_reply_promised(h2o_req_t *req, int status, struct gb_str body,
		       size_t promised);

/* Sends a JSON value and drops the reference to it. */
void si_reply_json(h2o_req_t *req, int status, json_t *value);

/* Parses the body as a JSON object; replies 400 and returns NULL if bad. */
json_t *si_body_json(h2o_req_t *req);

/* Makes a timer on the heap; si_timer_free() closes and frees it. */
uv_timer_t *si_timer_new(uv_loop_t *loop, void *data);
void si_timer_free(uv_timer_t *timer);

gb_time si_now(void);

#endif
