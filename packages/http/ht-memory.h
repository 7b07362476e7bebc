#ifndef HT_MEMORY_H
#define HT_MEMORY_H

/*
 * NAME
 *	ht_memory - bounds the bytes that all connections buffer together
 *
 * DESCRIPTION
 *	Each message is bounded, but many long ones at once would fill the
 *	memory of a process. Whoever buffers bytes is a holder and reports how
 *	many it holds. While the sum is above the limit, ht_memory_relieve()
 *	tells the holder with the most bytes to release them, so that long
 *	messages make room for short ones. Holders of few bytes, and those that
 *	cannot release theirs, are only counted.
 *
 *	An eviction ends calls and requests, so ht_memory_relieve() is called
 *	between events, and not from within a callback that handles one.
 */

#include "base/gb.h"

#include <glib.h>

struct ht_memory {
	size_t limit; /* bytes; 0: none */
	size_t used; /* bytes */
	GQueue holders; /* of struct ht_memory_holder that can be evicted */
	/* Reports that a holder of so many bytes was evicted; may be NULL. */
	void (*evicted)(void *ctx, size_t bytes);
	void *ctx;
};

struct ht_memory_holder {
	struct ht_memory *memory; /* NULL: not counted */
	size_t bytes;
	GList link; /* in memory->holders, while it holds bytes */
	/* Releases the bytes, by ht_memory_hold() with 0; NULL: cannot. */
	void (*evict)(struct ht_memory_holder *holder);
};

/* Sets the number of bytes that the holder has buffered. */
void ht_memory_hold(struct ht_memory_holder *holder, size_t bytes);

/* Evicts holders while more bytes are buffered than the limit. */
void ht_memory_relieve(struct ht_memory *memory);

#endif
