#ifndef GD_H
#define GD_H

/*
 * NAME
 *	gd - the daemon: carries out what the node of this VM decides
 *
 * DESCRIPTION
 *	One loop on one thread joins the HTTP server (callers, operators), the
 *	HTTP client (upstreams, platform), the connections to peers and the
 *	node. Whatever ends an operation of the node is queued by gd_defer()
 *	and given to the node at the end of the loop turn, so that no input is
 *	called from within an output.
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

/* Lines on standard error; see gd-log.c. */
struct gd_log {
	struct gb_buf buf;
	int severity; /* highest that is printed */
	uint64_t dropped;
	struct gb_str host;
	int pid;
};

enum gd_phase {
	GD_RUNNING,
	GD_STOPPING, /* the node finishes its work */
	GD_FLUSHING /* the last answers leave */
};

struct gd_loop {
	uv_prepare_t prepare;
	uv_idle_t idle; /* runs while something is deferred */
	uv_timer_t tick;
	GQueue deferred; /* of struct gd_deferred */
	gb_time stop_begin;
	gb_time flush_begin;
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
	GHashTable *waiting; /* handle to struct gd_waiting */
	uint64_t last_handle;
	uv_timer_t sweep; /* ends writes that make no progress */
};

struct gd_client {
	uv_timer_t sweep; /* closes connections that stay idle */
	GHashTable *endpoints; /* set of struct gd_endpoint */
};

struct gd_peers {
	uv_tcp_t listener;
	GHashTable *peers; /* VM id to struct gd_peer */
	uint32_t inbound;
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
	GHashTable *calls; /* upstream call to struct gd_upstream_call */
};

/*
 * LOOP
 */
struct nd_clock gd_clock(void);
void gd_loop_init(struct gd *gd);

/* Runs a function once at the end of the loop turn. */
void gd_defer(struct gd *gd, void (*run)(struct gd *gd, void *arg), void *arg);
void gd_run_deferred(struct gd *gd);

/* Begins the graceful stop; the loop ends when all work is done. */
void gd_stop(struct gd *gd);

/*
 * LOG AND EVENTS
 */
void gd_log_init(struct gd_log *log, struct gb_str host, int severity);
void gd_log_event(struct gd_log *log, const struct ev_event *event);

/* Writes what standard error takes without blocking. */
void gd_log_flush(struct gd_log *log);

/* Keeps and prints an event of the node, or one of the daemon itself. */
void gd_event_take(struct gd *gd, const struct ev_event *event);
void gd_event(struct gd *gd, enum ev_code code, struct gb_str request,
	      struct gb_str upstream, int64_t a, int64_t b);

extern const struct nd_ops gd_ops;

/*
 * HTTP SERVER
 *	A request that waits for the node is known by a handle. It is answered
 *	once by gd_http_finish(); if its caller leaves first, gone() is called
 *	instead.
 */
struct gd_conn {
	uv_tcp_t tcp;
	struct gd *gd;
	h2o_socket_t *sock;
	h2o_linklist_t link;
	struct gd_waiting *waiting; /* NULL unless the node has its request */
	gb_time opened_at;
	gb_time answered_at; /* when the last answer began to be written */
};

struct gd_waiting {
	uint64_t handle;
	h2o_req_t *req;
	struct gd_conn *conn;
	void (*gone)(struct gd *gd, uint64_t handle); /* may be NULL */
	struct pln_intent intent; /* of a plan or confirm request */
	bool has_intent;
};

struct gd_route {
	struct gb_str method;
	struct gb_str path;
	bool prefix; /* path is only the beginning */
	void (*run)(struct gd *gd, h2o_req_t *req, struct gb_str rest);
};

extern const struct gd_route gd_admin_routes[];
extern const size_t gd_admin_routes_len;

int gd_http_init(struct gd *gd);
void gd_http_stop_listening(struct gd *gd);

/* Closes the connections without a request; true if none is left. */
bool gd_http_drain(struct gd *gd);

/* Returns how often the header occurs; value is empty if it does not. */
int gd_http_header(const h2o_req_t *req, struct gb_str name,
		   struct gb_str *value);

/* Decoded value of a query parameter; empty if missing; owned by req. */
struct gb_str gd_http_param(h2o_req_t *req, struct gb_str name);
int gd_http_status(enum gb_code code);
void gd_http_add_header(h2o_req_t *req, struct gb_str name, const char *fmt,
			...) __attribute__((format(printf, 3, 4)));
void gd_http_reply(struct gd *gd, h2o_req_t *req, int status,
		   struct gb_str type, struct gb_str body);
void gd_http_error(struct gd *gd, h2o_req_t *req, const struct gb_error *err);

struct gd_conn *gd_conn_of(const h2o_req_t *req);

/* Notes that the answer of a request begins to be written. */
void gd_http_answered(const h2o_req_t *req);

/* Registers a request whose answer comes later, maybe before return. */
struct gd_waiting *gd_http_wait(struct gd *gd, h2o_req_t *req,
				void (*gone)(struct gd *gd, uint64_t handle));

/* Begins to watch for the caller's leaving, if still unanswered. */
void gd_http_watch(struct gd *gd, uint64_t handle);

/* Finds a waiting request; NULL if its caller has gone. */
struct gd_waiting *gd_http_find(struct gd *gd, uint64_t handle);

/* Forgets the request, which the caller of this function then answers. */
h2o_req_t *gd_http_finish(struct gd *gd, struct gd_waiting *waiting);

/* Requests of callers: /v1/SERVICE/lookup and /v1/SERVICE/order. */
void gd_caller_request(struct gd *gd, h2o_req_t *req, struct gb_str rest);
void gd_caller_answer(struct gd *gd, const struct nd_answer *answer);

void gd_admin_answer(struct gd *gd, const struct nd_admin_result *result);

/*
 * HTTP CLIENT
 *	An exchange is a call of the HTTP client with a time limit. done() is
 *	called exactly once, maybe before gd_exchange_start() returns.
 *	release() follows at the end of the loop turn, outside of any output of
 *	the node; it may call inputs and must free the memory.
 */
enum gd_outcome {
	GD_ANSWERED, /* a whole answer */
	GD_NOT_SENT, /* certain: no byte was sent */
	GD_LOST, /* the connection failed after sending */
	GD_TIMEOUT,
	GD_REJECTED /* by accept() of the exchange */
};

struct gd_endpoint {
	struct gd *gd;
	struct gb_str host;
	uint16_t port;
	struct ht_target *target;
	uint32_t exchanges; /* that have not ended */
	uv_timer_t unused; /* forgets the endpoint when it ends */
};

struct gd_exchange {
	struct gd_endpoint *endpoint;
	struct ht_call call;
	uv_timer_t timer;
	bool ended;
	bool rejected; /* by accept() */
	int status;

	/* Writes the request at the moment of sending; false gives up. */
	bool (*prepare)(struct gd_exchange *x, struct gb_buf *out);
	/* Takes each header of the answer; may be NULL. */
	void (*header)(struct gd_exchange *x, struct gb_str name,
		       struct gb_str value);
	/* Accepts the answer; false closes the connection. May be NULL. */
	bool (*accept)(struct gd_exchange *x);
	void (*done)(struct gd_exchange *x, enum gd_outcome outcome);
	void (*release)(struct gd_exchange *x);
};

void gd_client_init(struct gd *gd);

/* Finds or makes the endpoint and sets its limit; NULL for a bad host. */
struct gd_endpoint *gd_endpoint(struct gd *gd, struct gb_str host,
				uint16_t port, uint32_t limit);

/* Tells, once, that the other side closed an idle connection. */
bool gd_endpoint_lost(struct gd_endpoint *endpoint);

/* Begins an exchange whose functions are set; an urgent one does not queue
 * behind others. */
void gd_exchange_start(struct gd *gd, struct gd_exchange *x,
		       struct gd_endpoint *endpoint, gb_time timeout,
		       bool urgent);

/* Frees what the exchange owns; for use by release(). */
void gd_exchange_clear(struct gd_exchange *x);

/* Ends an exchange that has not sent anything as GD_NOT_SENT. */
bool gd_exchange_withdraw(struct gd_exchange *x);

void gd_upstream_send(struct gd *gd, const struct nd_upstream_call *call);
void gd_upstream_cancel(struct gd *gd, uint64_t call);

void gd_platform_read(struct gd *gd, uint64_t tag);
void gd_platform_watch(struct gd *gd, uint64_t tag, uint64_t after);
void gd_platform_vms(struct gd *gd, uint64_t tag);
void gd_platform_write(struct gd *gd, uint64_t tag, const struct cfg *cfg,
		       uint64_t base);

/*
 * PEERS
 */
int gd_peer_init(struct gd *gd);
void gd_peer_send(struct gd *gd, uint32_t vm, const struct msg *msg);

/* Writes what the loop turn has queued; true if nothing is left unsent. */
bool gd_peer_flush(struct gd *gd);

#endif
