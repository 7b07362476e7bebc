#ifndef HT_LISTENER_H
#define HT_LISTENER_H

/*
 * NAME
 *	ht_listener - closes a listening socket without losing a connection
 *
 * DESCRIPTION
 *	The kernel completes handshakes on its own. A connection that it has
 *	completed since the loop last polled is reset when the listening socket
 *	is closed, although its client may have sent a request. A socket that is
 *	to be closed therefore first drops attempts to connect, stays open for
 *	HT_HANDSHAKE_TIME while the loop accepts what is left, and is closed
 *	then. The kernel of a client whose attempt was dropped repeats it, and
 *	is refused once the socket is closed.
 */

#include "base/gb.h"

#include <uv.h>

/* A handshake that was under way ends within this time. */
#define HT_HANDSHAKE_TIME (300 * GB_MSEC)

/*
 * Drops attempts to connect from now on; connections and handshakes go on.
 * Returns 0 or a negative error of libuv; then attempts are still accepted.
 */
int ht_listener_drop_attempts(uv_tcp_t *listener);

#endif
