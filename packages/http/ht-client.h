#ifndef HT_CLIENT_H
#define HT_CLIENT_H

/*
 * NAME
 *	ht_client - pooled HTTP/1.1 client connections to one server, on libuv
 *
 * DESCRIPTION
 *	A target is one server address with its connections. A call takes an
 *	idle connection, or opens one while fewer than the target's maximum are
 *	open, or waits for one. The request is encoded when it is sent, so that
 *	it can carry the time that remains until its deadline.
 *
 *	Requests with the same key, such as retries that bear one ID, are sent
 *	over different connections: a second copy of the response to the first
 *	may arrive late, and only the ID tells to which request it belongs.
 *
 *	Each call ends with exactly one callback done, unless it is cancelled.
 *	Cancelling a call that was sent closes its connection, since the
 *	response would arrive there. A connection that receives bytes while no
 *	call is in flight on it is closed.
 */

#include "http/ht-memory.h"
#include "http/ht-response.h"

#include <glib.h>
#include <uv.h>

enum ht_outcome {
	HT_ANSWERED, /* a complete response */
	HT_NOT_SENT, /* no byte of the request was sent */
	HT_LOST, /* sent; the connection ended before a complete response */
	HT_INVALID /* sent; the response is malformed or was rejected */
};

/* What the owner of a call decides on the head of a response. */
enum ht_verdict {
	HT_ACCEPT, /* the response to this call */
	HT_SKIP, /* the response to an earlier call; read the next one */
	HT_REJECT /* not usable; the call ends as HT_INVALID */
};

struct ht_call;

struct ht_call_ops {
	/* Appends the request; false ends the call as HT_NOT_SENT. */
	bool (*encode)(struct ht_call *call, struct gb_buf *out);
	enum ht_verdict (*head)(struct ht_call *call,
				const struct ht_response *head);
	void (*done)(struct ht_call *call, enum ht_outcome outcome);
};

struct ht_link;
struct ht_target;

/* Embedded in the structure of the call's owner, which outlives the call. */
struct ht_call {
	const struct ht_call_ops *ops;
	struct ht_target *target;
	struct ht_link *link; /* NULL while it waits for a connection */
	GList waiting_link; /* in target->waiting_calls */
	bool high_priority; /* queued first; set before ht_call_start() */
	/* equal for requests with the same ID; set before ht_call_start() */
	uint64_t key; /* 0: none */
	bool sent;
	bool conn_reused; /* its connection served earlier calls */
	struct gb_buf body; /* of the response; freed by the call's owner */
};

struct ht_target {
	uv_loop_t *loop;
	struct sockaddr_storage addr;
	uint32_t conns_max;
	uint32_t conns_open;
	GQueue idle_links; /* of struct ht_link; most recently used first */
	GQueue waiting_calls; /* of struct ht_call */
	gb_time connect_timeout;
	gb_time idle_timeout; /* a server's Keep-Alive field overrides it */
	bool reject_unframed; /* a response that ends with the connection */
	bool idle_closed; /* the server closed an idle connection */
	struct ht_memory *memory; /* bounds incomplete responses; or NULL */
	bool retired; /* connections are closed after their call */
	bool free_pending; /* freed once its last connection is closed */
};

/* Returns NULL if the address is not "ADDRESS:PORT". */
struct ht_target *ht_target_new(uv_loop_t *loop, struct gb_str address,
				uint32_t limit);

/* Closes the connections that have reached their idle timeout. */
void ht_target_close_expired(struct ht_target *target, gb_time now);

/* Returns and clears whether the server has closed an idle connection. */
bool ht_target_take_idle_closed(struct ht_target *target);

/* Closes idle connections; calls in flight go on. */
void ht_target_close_idle(struct ht_target *target);

/* Closes idle connections, and the others once their call has ended. */
void ht_target_retire(struct ht_target *target);

/* Closes idle connections; calls in flight still end with done(). */
void ht_target_free(struct ht_target *target);

void ht_call_start(struct ht_call *call, struct ht_target *target,
		   const struct ht_call_ops *ops);

/* Ends a call without a callback; does nothing if it has ended. */
void ht_call_cancel(struct ht_call *call);

#endif
