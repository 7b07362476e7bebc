#include "gather/ga.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* A heap for more records grows as they are added. */
#define INITIAL_CAP_MAX 64

static bool is_less(const char *a, const char *b)
{
	return memcmp(a, b, GA_RECORD_SIZE) < 0;
}

void ga_init(struct ga_merge *merge, uint32_t records_max)
{
	merge->cap = CLAMP(records_max, 1, INITIAL_CAP_MAX);
	merge->heap = g_new(const char *, merge->cap);
	merge->len = 0;
	merge->records_max = records_max;
}

static void sift_up(struct ga_merge *merge, uint32_t at)
{
	const char *record = merge->heap[at];

	while (at) {
		uint32_t parent = (at - 1) / 2;

		if (!is_less(record, merge->heap[parent]))
			break;
		merge->heap[at] = merge->heap[parent];
		at = parent;
	}
	merge->heap[at] = record;
}

static void sift_down(struct ga_merge *merge, uint32_t at)
{
	const char *record = merge->heap[at];

	for (;;) {
		uint32_t child = 2 * at + 1;

		if (child >= merge->len)
			break;
		if (child + 1 < merge->len &&
		    is_less(merge->heap[child + 1], merge->heap[child]))
			child++;
		if (!is_less(merge->heap[child], record))
			break;
		merge->heap[at] = merge->heap[child];
		at = child;
	}
	merge->heap[at] = record;
}

static void push_record(struct ga_merge *merge, const char *record)
{
	if (merge->len < merge->records_max) {
		if (merge->len == merge->cap) {
			merge->cap *= 2;
			merge->heap =
				g_renew(const char *, merge->heap, merge->cap);
		}
		merge->heap[merge->len] = record;
		sift_up(merge, merge->len++);
		return;
	}
	if (!merge->records_max || !is_less(merge->heap[0], record))
		return;
	merge->heap[0] = record;
	sift_down(merge, 0);
}

void ga_add(struct ga_merge *merge, struct gb_str part)
{
	for (size_t at = 0; at + GA_RECORD_SIZE <= part.len;
	     at += GA_RECORD_SIZE)
		push_record(merge, part.ptr + at);
}

static gint compare_descending(gconstpointer a, gconstpointer b)
{
	return memcmp(*(const char *const *)b, *(const char *const *)a,
		      GA_RECORD_SIZE);
}

void ga_finish(struct ga_merge *merge, struct gb_buf *out)
{
	qsort(merge->heap, merge->len, sizeof(*merge->heap),
	      compare_descending);
	for (uint32_t i = 0; i < merge->len; i++)
		gb_buf_add(out,
			   (struct gb_str){ merge->heap[i], GA_RECORD_SIZE });
	g_free(merge->heap);
	merge->heap = NULL;
}
