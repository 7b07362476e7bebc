#include "organisation/og-internal.h"

static uint64_t requests_of(const struct og_view *view)
{
	return MAX(view->admitted, 0) + view->refused;
}

/* The order of names is that of hashes, so that equal ones keep theirs. */
static bool is_larger(const struct og_view *a, const struct og_view *b)
{
	if (requests_of(a) != requests_of(b))
		return requests_of(a) > requests_of(b);
	return a->org < b->org;
}

void og_add_to_others(struct og_largest *largest, const struct og_view *view)
{
	largest->others_len++;
	largest->others_admitted += view->admitted;
	largest->others_refused += view->refused;
}

/* Keeps the views in order; the smallest moves to the others when all are used.
 */
static void take_view(void *ctx, const struct og_view *view)
{
	struct og_largest *largest = ctx;
	uint32_t i;

	if (largest->len == OG_LARGEST_MAX) {
		struct og_view *last = &largest->view[OG_LARGEST_MAX - 1];

		if (!is_larger(view, last)) {
			og_add_to_others(largest, view);
			return;
		}
		og_add_to_others(largest, last);
		largest->len--;
	}
	for (i = largest->len++; i && is_larger(view, &largest->view[i - 1]);
	     i--)
		largest->view[i] = largest->view[i - 1];
	largest->view[i] = *view;
}

void og_find_largest(const struct og_limiter *limiter, gb_time now,
		     struct og_largest *largest)
{
	*largest = (struct og_largest){ 0 };
	og_each_view(limiter, now, take_view, largest);
}
