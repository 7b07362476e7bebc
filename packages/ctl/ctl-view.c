#include "ctl/ctl-view.h"
#include "json/js-view.h"

#include <inttypes.h>

/* Most rows shown of one list; a plan may name hundreds of shards. */
#define LIST_ROWS_MAX 20

struct view {
	struct gb_buf *out;
	uint32_t hidden_rows;
};

static int64_t index_of(struct gb_str name);
static void add_row(void *ctx, struct gb_str name, struct gb_str value);

/* Returns the list index that a name ends in, or -1. */
static int64_t index_of(struct gb_str name)
{
	struct gb_str last = name;
	struct gb_str head;
	int64_t index;

	while (gb_str_cut(&name, '.', &head))
		last = name;
	return gb_str_to_int(last, 0, INT64_MAX, &index) ? -1 : index;
}

static void add_row(void *ctx, struct gb_str name, struct gb_str value)
{
	struct view *view = ctx;

	if (index_of(name) >= LIST_ROWS_MAX) {
		view->hidden_rows++;
		return;
	}
	gb_buf_addf(view->out, "  %-24.*s %.*s\n", (int)name.len, name.ptr,
		    (int)value.len, value.ptr);
}

void ctl_format_json(struct gb_str json, struct gb_buf *out)
{
	struct view view = { .out = out };
	struct gb_error err;

	if (js_view_rows(json, add_row, &view, &err))
		gb_buf_add(out, GB_STR("  (the answer is not JSON)\n"));
	if (view.hidden_rows)
		gb_buf_addf(out, "  (%" PRIu32 " more rows with --json)\n",
			    view.hidden_rows);
}
