#ifndef GD_LINK_H
#define GD_LINK_H

/*
 * NAME
 *	gd_link - one connection of the HTTP client
 *
 * DESCRIPTION
 *	A connection carries one exchange at a time and stays in the loop while
 *	it is idle, so that an exchange costs one write and one read.
 */

#include "http/ht-response.h"
#include "daemon/gd.h"

struct gd_link {
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_write_t write;
	struct gd_endpoint *endpoint;
	struct gd_exchange *x; /* NULL while idle or closing */
	struct ht_response response;
	bool writing; /* a part of the request waits for the socket */
	bool idle;
	gb_time idle_since;
};

/* Sends the exchange over an idle connection or a new one. */
void gd_link_start(struct gd_endpoint *endpoint, struct gd_exchange *x);

/* Closes the connection; its exchange, if any, is left to the caller. */
void gd_link_close(struct gd_link *link);

/* Closes what was idle for too long. */
void gd_link_expire(struct gd_endpoint *endpoint, gb_time now);

/* Reports the outcome of an exchange that has left its connection. */
void gd_exchange_end(struct gd_exchange *x, enum gd_outcome outcome);

#endif
