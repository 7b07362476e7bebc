#ifndef GA_H
#define GA_H

/*
 * NAME
 *	ga - merges the parts of a query into its greatest records (top k)
 *
 * DESCRIPTION
 *	A part is a sequence of records of 16 bytes in no order; a shorter
 *	remainder at its end is ignored. The merge keeps the greatest records
 *	in a min-heap, so that a record that is not among them costs one
 *	comparison. Equal records are all kept.
 */

#include "base/gb.h"

#define GA_RECORD_SIZE 16

struct ga_merge {
	const char **heap; /* min-heap of records */
	uint32_t len;
	uint32_t cap;
	uint32_t records_max; /* in the merged answer */
};

void ga_init(struct ga_merge *merge, uint32_t records_max);

/* Adds the records of a part; its bytes must stay valid until ga_finish(). */
void ga_add(struct ga_merge *merge, struct gb_str part);

/* Appends the merged records, the greatest first, and frees the merge. */
void ga_finish(struct ga_merge *merge, struct gb_buf *out);

#endif
