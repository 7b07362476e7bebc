#ifndef HT_CLIENT_H
#define HT_CLIENT_H

/*
 * NAME
 *	ht_client - HTTP/1.1 calls to one server over kept connections on libuv
 *
 * DESCRIPTION
 *	A target is one server address with its connections. A call takes an
 *	idle connection, or opens one while fewer than the target's limit are
 *	open, or waits for one. The request is encoded at the moment at which
 *	it is sent, so that it can hold the time that is left.
 *
 *	Each call ends with exactly one call-back done, unless it is cancelled.
 *	A call that is cancelled after it was sent closes its connection, since
 *	its answer would arrive there. A connection on which bytes arrive that
 *	no call awaits is closed.
 */

#include "http/ht-response.h"

#include <glib.h>
#include <uv.h>

enum ht_outcome {
	HT_ANSWERED, /* a whole answer */
	HT_NOT_SENT, /* no byte of the request has left */
	HT_LOST, /* sent, and the connection ended without a whole answer */
	HT_GARBLED /* sent, and bytes came that are no answer */
};

/* What the owner of a call thinks of the head of an answer. */
enum ht_verdict {
	HT_TAKE, /* the answer to this call */
	HT_SKIP, /* the answer to an earlier call; the next one may be ours */
	HT_REJECT /* not an answer that can be used; ends as HT_GARBLED */
};

struct ht_call;

struct ht_call_ops {
	/* Appends the request; false withdraws the call as HT_NOT_SENT. */
	bool (*encode)(struct ht_call *call, struct gb_buf *out);
	enum ht_verdict (*head)(struct ht_call *call,
				const struct ht_response *head);
	void (*done)(struct ht_call *call, enum ht_outcome outcome);
};

struct ht_link;
struct ht_target;

/* Embedded in the caller's own structure, which outlives the call. */
struct ht_call {
	const struct ht_call_ops *ops;
	struct ht_target *target;
	struct ht_link *link; /* NULL while it waits for a connection */
	GList waiting; /* in target->waiting */
	bool urgent; /* waits before the others; set before the start */
	bool sent;
	bool reused; /* its connection had served other calls */
	struct gb_buf body; /* of the answer; owned by the call's owner */
};

struct ht_target {
	uv_loop_t *loop;
	struct sockaddr_storage addr;
	uint32_t limit; /* open connections */
	uint32_t open;
	GQueue idle; /* of struct ht_link; used last at the head */
	GQueue waiting; /* of struct ht_call */
	gb_time connect_timeout;
	gb_time idle_max; /* of a connection whose server announces no time */
	bool framed_only; /* an answer without a length is garbled */
	bool lost; /* the server closed an idle connection */
	bool freed;
};

/* Returns NULL if the address is not "ADDRESS:PORT". */
struct ht_target *ht_target_new(uv_loop_t *loop, struct gb_str address,
				uint32_t limit);

/* Closes the connections that were idle for too long. */
void ht_target_expire(struct ht_target *target, gb_time now);

/* Tells, once, that the server closed an idle connection. */
bool ht_target_lost(struct ht_target *target);

/* Closes idle connections; running calls end as usual. */
void ht_target_free(struct ht_target *target);

void ht_call_start(struct ht_call *call, struct ht_target *target,
		   const struct ht_call_ops *ops);

/* Ends a call without a call-back; nothing happens if it has ended. */
void ht_call_cancel(struct ht_call *call);

#endif
