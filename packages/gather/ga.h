#ifndef GA_H
#define GA_H

/*
 * NAME
 *	ga - the greatest records of the parts of a query
 *
 * DESCRIPTION
 *	A part is a sequence of records of 16 bytes in no order; a shorter rest
 *	at its end is no record. The merge keeps the greatest records in a heap
 *	whose root is the least of them, so that a part costs one comparison
 *	for each record that is not among the greatest. Equal records all
 *	count.
 */

#include "base/gb.h"

#define GA_RECORD_SIZE 16

struct ga_merge {
	const char **heap; /* records; the least one is the root */
	uint32_t len;
	uint32_t cap;
	uint32_t top; /* records that the answer holds at most */
};

void ga_init(struct ga_merge *merge, uint32_t top);

/* Takes the records of a part, whose bytes must stay until ga_finish(). */
void ga_add(struct ga_merge *merge, struct gb_str part);

/* Appends the records, the greatest first, and frees the merge. */
void ga_finish(struct ga_merge *merge, struct gb_buf *out);

#endif
