#include "fleet/fl-internal.h"

static gint compare_assessments(gconstpointer a, gconstpointer b)
{
	const struct fl_assessment *x = a, *y = b;

	if (x->class != y->class)
		return x->class < y->class ? -1 : 1;
	return (x->expected > y->expected) - (x->expected < y->expected);
}

void fl_explain(struct fl_fleet *fleet, const struct fl_service *service,
		const struct fl_pick_options *options, gb_time now,
		fl_assessed_fn visit, void *ctx)
{
	GArray *all = g_array_new(FALSE, FALSE, sizeof(struct fl_assessment));

	for (guint i = 0; i < service->upstreams->len; i++) {
		struct fl_upstream *upstream = service->upstreams->pdata[i];
		struct fl_assessment found;

		if (options->of_target != fl_is_target(upstream))
			continue;
		fl_assess(fleet, upstream, options->median_latency, now,
			  &found);
		g_array_append_val(all, found);
	}
	g_array_sort(all, compare_assessments);
	for (guint i = 0; i < all->len; i++)
		visit(ctx, &g_array_index(all, struct fl_assessment, i));
	g_array_free(all, TRUE);
}
