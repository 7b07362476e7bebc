#ifndef HT_LINK_H
#define HT_LINK_H

/*
 * NAME
 *	ht_link - one client connection of a target
 *
 * DESCRIPTION
 *	A connection carries one call at a time and stays open while it is
 *	idle. It notifies the connection pool of its target through struct
 *	ht_link_ops when it becomes idle and when it is closed.
 */

#include "http/ht-client.h"

struct ht_link_ops {
	void (*became_idle)(struct ht_link *link);
	/* The link is freed once its handles are closed. */
	void (*closed)(struct ht_link *link);
};

/*
 * Requests of a connection whose keys are remembered. A late copy of a response
 * comes where one of the next responses is due.
 */
#define HT_LINK_KEYS_MAX 32

struct ht_link {
	const struct ht_link_ops *ops;
	struct ht_target *target;
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_write_t write;
	uv_timer_t timer; /* connect timeout, or a deferred failure */
	struct ht_call *call;
	struct gb_buf out;
	struct ht_response response;
	struct ht_memory_holder holder; /* of an incomplete response */
	GList idle_link; /* in target->idle_links */
	gb_time idle_since;
	gb_time idle_timeout;
	bool is_idle;
	bool connected;
	bool writing;
	uint32_t skipped_responses; /* not reusable if any was skipped */
	bool skipping_response; /* reading the response to an earlier call */
	uint64_t sent_keys[HT_LINK_KEYS_MAX]; /* a ring */
	uint32_t sent_keys_len; /* of all calls so far that have a key */
	bool closed;
	enum ht_outcome failure_outcome; /* reported when the timer expires */
	unsigned int open_handles;
};

/* Opens a connection, over which the call is then sent. */
struct ht_link *ht_link_open(struct ht_target *target, struct ht_call *call,
			     const struct ht_link_ops *ops);

/* Sends the call over an idle connection. */
void ht_link_send(struct ht_link *link, struct ht_call *call);
void ht_link_close(struct ht_link *link);

/* Tells whether a recent call over the connection had the key. */
bool ht_link_has_sent(const struct ht_link *link, uint64_t key);

/* Checks whether the server has closed an idle connection. */
bool ht_link_peer_closed(const struct ht_link *link);

#endif
