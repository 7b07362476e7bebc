#ifndef GD_H
#define GD_H

/*
 * NAME
 *	gd - the daemon: I/O layer around the decisions of the node
 *
 * DESCRIPTION
 *	One event loop on one thread connects the HTTP server (callers,
 *	operators), the HTTP client (upstreams, platform) and the connections
 *	to peers with the node. The result of an operation that completes at
 *	once is queued by gd_defer() and reported to the node at the end of the
 *	loop iteration, since inputs of the node must not be called from within
 *	a function of struct nd_ops.
 */

#include "base/gb.h"
#include "event/ev.h"
#include "http/ht-client.h"
#include "json/js.h"
#include "metric/met.h"
#include "node/nd.h"
#include "settings/set.h"
#include "wire/wire.h"

#include <glib.h>
#include <h2o.h>

struct gd;

/* Log lines that wait to be written to standard error. */
struct gd_log {
	struct gb_buf buf;
	int severity_max; /* less severe events are not logged */
	uint64_t dropped; /* lines lost because the buffer was full */
	struct gb_str host;
	int pid;
};

enum gd_phase {
	GD_RUNNING,
	GD_STOPPING, /* the node finishes its requests */
	/* the last answers are written, and new attempts to connect dropped */
	GD_FLUSHING
};

struct gd_loop {
	uv_prepare_t prepare;
	uv_idle_t idle; /* active while functions are deferred */
	uv_timer_t tick_timer;
	GQueue deferred; /* of struct gd_deferred */
	gb_time stop_started_at;
	gb_time closing_since; /* attempts to connect are dropped from then */
	gb_time flush_started_at;
};

struct gd_http {
	uv_tcp_t listener;
	bool listening;
	h2o_globalconf_t config;
	h2o_context_t ctx;
	h2o_accept_ctx_t accept;
	h2o_hostconf_t *hosts[2];
	h2o_linklist_t conns; /* of struct gd_conn */
	uint32_t conns_len;
	GHashTable *pending_requests; /* handle to gd_pending_request */
	uint64_t last_handle;
	uv_timer_t sweep_timer; /* closes connections whose writes stall */
};

struct gd_client {
	uv_timer_t sweep_timer; /* closes connections that are idle too long */
	GHashTable *endpoints; /* set of struct gd_endpoint */
};

struct gd_peers {
	uv_tcp_t listener;
	GHashTable *peers; /* VM id to struct gd_peer */
	uint32_t inbound_count; /* open inbound connections */
};

struct gd {
	uv_loop_t *uv;
	enum gd_phase phase;
	struct set_settings settings;
	struct met_registry metrics;
	struct node *node;
	struct ev_ring *ring;
	struct gb_rng rng;
	struct gd_log log;
	struct gd_loop loop;
	struct gd_http http;
	struct gd_client client;
	struct gd_peers peers;
	GHashTable *upstream_calls; /* call id to struct gd_upstream_call */
};

/*
 * LOOP
 */
struct nd_clock gd_clock(void);
void gd_loop_init(struct gd *gd);

/* Runs a function once at the end of the loop iteration. */
void gd_defer(struct gd *gd, void (*run)(struct gd *gd, void *arg), void *arg);
void gd_run_deferred(struct gd *gd);

/* Begins the graceful stop; the loop ends when all requests are answered. */
void gd_stop(struct gd *gd);

/*
 * LOG AND EVENTS
 */
void gd_log_init(struct gd_log *log, struct gb_str host, int severity);
void gd_log_event(struct gd_log *log, const struct ev_event *event);

/* Writes as much as standard error accepts without blocking. */
void gd_log_flush(struct gd_log *log);

/* Stores and logs an event of the node, or one of the daemon itself. */
void gd_event_record(struct gd *gd, const struct ev_event *event);
void gd_event(struct gd *gd, enum ev_code code, struct gb_str request,
	      struct gb_str upstream, int64_t a, int64_t b);

extern const struct nd_ops gd_ops;

/*
 * HTTP SERVER
 *	A request that waits for the node is identified by a handle. It is
 *	answered once, after gd_http_remove_pending(); if its caller disconnects
 *	first, on_disconnect() is called instead.
 */
struct gd_conn {
	uv_tcp_t tcp;
	struct gd *gd;
	h2o_socket_t *sock;
	h2o_linklist_t link;
	/* NULL unless the node has a request of this connection. */
	struct gd_pending_request *pending;
	gb_time opened_at;
	gb_time answered_at; /* when the last answer was started */
	/* keeps the connection open after h2o has closed it, or -1 */
	int linger_fd;
	gb_time lingering_since; /* 0: h2o still has the connection */
};

struct gd_pending_request {
	uint64_t handle;
	h2o_req_t *req;
	struct gd_conn *conn;
	void (*on_disconnect)(struct gd *gd, uint64_t handle); /* may be NULL */
	struct pln_intent intent; /* of a plan or confirm request */
	bool has_intent;
};

struct gd_route {
	struct gb_str method;
	struct gb_str path;
	bool is_prefix; /* matches all paths that start with path */
	void (*handler)(struct gd *gd, h2o_req_t *req, struct gb_str subpath);
};

extern const struct gd_route gd_admin_routes[];
extern const size_t gd_admin_routes_len;

int gd_http_init(struct gd *gd);

/* Drops attempts to connect; returns 0 or a negative error of libuv. */
int gd_http_drop_attempts(struct gd *gd);
void gd_http_stop_listening(struct gd *gd);

/* Closes idle connections; returns true if no connection is left. */
bool gd_http_drain(struct gd *gd);

/* Returns the number of occurrences; value is the last one, or empty. */
int gd_http_header(const h2o_req_t *req, struct gb_str name,
		   struct gb_str *value);

/* Returns the decoded query parameter, or "" if missing; owned by req. */
struct gb_str gd_http_query_param(h2o_req_t *req, struct gb_str name);
int gd_http_status(enum gb_code code);
void gd_http_add_header(h2o_req_t *req, struct gb_str name, const char *fmt,
			...) __attribute__((format(printf, 3, 4)));
void gd_http_reply(struct gd *gd, h2o_req_t *req, int status,
		   struct gb_str type, struct gb_str body);
void gd_http_error(struct gd *gd, h2o_req_t *req, const struct gb_error *err);

struct gd_conn *gd_conn_of(const h2o_req_t *req);

/* Frees a connection, or goes on to read it until the caller closes it. */
void gd_conn_on_closed(uv_handle_t *handle);

/*
 * After its last answer a connection is shut down for writing, and what the
 * caller still sends is discarded for a limited time: bytes that arrive at a
 * closed socket reset the connection, and a caller that fails to send may not
 * read the answer.
 */
void gd_linger_init(h2o_hostconf_t *host);

/* Returns false if the connection needs no lingering. */
bool gd_linger_begin(struct gd_conn *conn);

/* Closes a connection that has lingered for too long. */
void gd_linger_sweep(struct gd_conn *conn, gb_time now);

/* Records the time at which the answer to a request is started. */
void gd_http_mark_answered(const h2o_req_t *req);

/*
 * Registers a request that the node answers later, or before its input function
 * returns.
 */
struct gd_pending_request *
gd_http_add_pending(struct gd *gd, h2o_req_t *req,
		    void (*on_disconnect)(struct gd *gd, uint64_t handle));

/* Starts watching for the caller's disconnect, if still unanswered. */
void gd_http_watch_disconnect(struct gd *gd, uint64_t handle);

/* Finds a pending request; NULL if its caller has disconnected. */
struct gd_pending_request *gd_http_find_pending(struct gd *gd, uint64_t handle);

/* Frees the entry of a pending request, which must then be answered. */
h2o_req_t *gd_http_remove_pending(struct gd *gd,
				  struct gd_pending_request *pending);

/* Handles the requests of callers: /v1/SERVICE/lookup and /order. */
void gd_caller_request(struct gd *gd, h2o_req_t *req, struct gb_str subpath);
void gd_caller_answer(struct gd *gd, const struct nd_answer *answer);

void gd_admin_answer(struct gd *gd, const struct nd_admin_result *result);

/*
 * HTTP CLIENT
 *	An exchange is a call of the HTTP client with a timeout. done() is
 *	called exactly once, possibly before gd_exchange_start() returns.
 *	release() follows at the end of the loop iteration, outside of any
 *	function of struct nd_ops; it may call inputs of the node and must free
 *	the memory.
 */
enum gd_outcome {
	GD_ANSWERED, /* a complete answer */
	GD_NOT_SENT, /* certain: no byte was sent */
	GD_LOST, /* the connection failed after sending, or malformed answer */
	GD_TIMEOUT,
	GD_REJECTED /* accept() of the exchange returned false */
};

struct gd_endpoint {
	struct gd *gd;
	struct gb_str host;
	uint16_t port;
	struct ht_target *target;
	uint32_t exchanges_in_flight;
	uv_timer_t expiry_timer; /* frees an endpoint without exchanges */
};

struct gd_exchange {
	struct gd_endpoint *endpoint;
	struct ht_call call;
	uv_timer_t timer;
	bool ended;
	bool rejected; /* accept() returned false */
	int status;

	/* Encodes the request when it is sent; false ends it unsent. */
	bool (*encode)(struct gd_exchange *x, struct gb_buf *out);
	/* Called for each header of the answer; may be NULL. */
	void (*on_header)(struct gd_exchange *x, struct gb_str name,
			  struct gb_str value);
	/* Checks the head; false closes the connection. May be NULL. */
	bool (*accept)(struct gd_exchange *x);
	void (*done)(struct gd_exchange *x, enum gd_outcome outcome);
	void (*release)(struct gd_exchange *x);
};

void gd_client_init(struct gd *gd);

/*
 * Finds or creates the endpoint and sets its maximum number of connections;
 * returns NULL if the host is not a numeric address.
 */
struct gd_endpoint *gd_endpoint_get(struct gd *gd, struct gb_str host,
				    uint16_t port, uint32_t conns_max);

/* Returns and clears whether the server has closed an idle connection. */
bool gd_endpoint_take_idle_closed(struct gd_endpoint *endpoint);

/*
 * Starts an exchange whose callbacks are set. One of high priority waits for a
 * connection ahead of the others.
 */
void gd_exchange_start(struct gd *gd, struct gd_exchange *x,
		       struct gd_endpoint *endpoint, gb_time timeout,
		       bool high_priority);

/* Frees the buffers of the exchange; for use by release(). */
void gd_exchange_clear(struct gd_exchange *x);

/* Ends an exchange as GD_NOT_SENT; returns false if it was sent or ended. */
bool gd_exchange_cancel_unsent(struct gd_exchange *x);

void gd_upstream_send(struct gd *gd, const struct nd_upstream_call *call);
void gd_upstream_cancel(struct gd *gd, uint64_t call);

void gd_platform_read(struct gd *gd, uint64_t tag);
void gd_platform_watch(struct gd *gd, uint64_t tag, uint64_t after);
void gd_platform_list_vms(struct gd *gd, uint64_t tag);
void gd_platform_write(struct gd *gd, uint64_t tag, const struct cfg *cfg,
		       uint64_t base);

/*
 * PEERS
 */
int gd_peer_init(struct gd *gd);
void gd_peer_send(struct gd *gd, uint32_t vm, const struct msg *msg);

/* Writes all queued messages; returns true if none is left unsent. */
bool gd_peer_flush(struct gd *gd);

#endif
