#include "rollout/ro-internal.h"

static struct ro_row *find_row(GArray *rows, uint64_t route, uint64_t upstream,
			       bool is_target)
{
	for (guint i = 0; i < rows->len; i++) {
		struct ro_row *row = &g_array_index(rows, struct ro_row, i);

		if (row->route == route && row->upstream == upstream &&
		    row->is_target == is_target)
			return row;
	}
	return NULL;
}

/*
 * The last rows are kept for answers on further routes, which share them: the
 * verdict on all routes together still counts them.
 */
static struct ro_row *add_row(GArray *rows, uint64_t route, uint64_t upstream,
			      bool is_target)
{
	const struct ro_row row = { .route = route,
				    .upstream = upstream,
				    .is_target = is_target };

	if (rows->len >= RO_ROWS_MAX)
		return find_row(rows, 0, 0, is_target);
	g_array_append_val(rows, row);
	return &g_array_index(rows, struct ro_row, rows->len - 1);
}

void ro_evidence_add(GArray *rows, const struct ro_sample *sample)
{
	uint64_t upstream = sample->is_target ? sample->upstream : 0;
	struct ro_row *row;

	if (!rows->len) {
		add_row(rows, 0, 0, true);
		add_row(rows, 0, 0, false);
	}
	row = find_row(rows, sample->route, upstream, sample->is_target);
	if (!row)
		row = add_row(rows, sample->route, upstream, sample->is_target);
	row->answers++;
	row->bad += sample->is_bad;
}
