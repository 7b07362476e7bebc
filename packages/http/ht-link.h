#ifndef HT_LINK_H
#define HT_LINK_H

/*
 * NAME
 *	ht_link - one connection of a target
 *
 * DESCRIPTION
 *	A connection carries one call at a time and stays open while it is
 *	idle. It tells the pool of its target, by struct ht_link_ops, when it
 *	has become idle and when it is closed.
 */

#include "http/ht-client.h"

struct ht_link_ops {
	void (*idle)(struct ht_link *link);
	/* The link is freed once its handles are closed. */
	void (*closed)(struct ht_link *link);
};

struct ht_link {
	const struct ht_link_ops *ops;
	struct ht_target *target;
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_write_t write;
	uv_timer_t timer; /* of the connect, or of a failure */
	struct ht_call *call;
	struct gb_buf out;
	struct ht_response response;
	GList idle; /* in target->idle */
	gb_time idle_since;
	gb_time idle_max;
	bool is_idle;
	bool connected;
	bool writing;
	bool skipped; /* an answer to an earlier call; not to be used again */
	bool skipping;
	bool closed;
	enum ht_outcome failure; /* reported by the timer */
	unsigned int handles;
};

/* Opens a connection for the call. */
struct ht_link *ht_link_open(struct ht_target *target, struct ht_call *call,
			     const struct ht_link_ops *ops);

/* Sends the call over an idle connection. */
void ht_link_send(struct ht_link *link, struct ht_call *call);
void ht_link_close(struct ht_link *link);

/* Tells whether the server has closed an idle connection. */
bool ht_link_is_ended(const struct ht_link *link);

#endif
