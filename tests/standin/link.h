#ifndef STANDIN_LINK_H
#define STANDIN_LINK_H

/*
 * NAME
 *	lnk - a TCP relay between two addresses, as a link that can fail
 *
 * DESCRIPTION
 *	Bytes of each direction are passed on after a delay, or held back while
 *	that direction is cut. A connection stays open while it is cut, so that
 *	both sides see silence.
 */

#include "standin/common-http.h"

#include <glib.h>

/* Directions, by the end that is written to. */
enum lnk_direction { LNK_BACK, LNK_FORTH, LNK_DIRECTIONS };

struct lnk_link {
	uv_loop_t *loop;
	uv_tcp_t listener;
	struct sockaddr_in to;
	bool cut[LNK_DIRECTIONS];
	uint32_t delay_ms; /* of each direction */
	GPtrArray *relays; /* of struct relay */
	uint64_t accepted;
	uint64_t bytes;
};

int lnk_start(struct lnk_link *link, uv_loop_t *loop, const char *listen_at,
	      uint16_t listen, const char *to_at, uint16_t to);

/* Passes on what is no longer held back. */
void lnk_pass(struct lnk_link *link);

/* Resets all connections. */
void lnk_reset(struct lnk_link *link);

#endif
