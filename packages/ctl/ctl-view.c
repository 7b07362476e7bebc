#include "ctl/ctl-view.h"
#include "json/js-view.h"

static void add_row(void *ctx, struct gb_str name, struct gb_str value);

static void add_row(void *ctx, struct gb_str name, struct gb_str value)
{
	gb_buf_addf(ctx, "  %-24.*s %.*s\n", (int)name.len, name.ptr,
		    (int)value.len, value.ptr);
}

void ctl_view(struct gb_str json, struct gb_buf *out)
{
	if (!js_view_rows(json, add_row, out, NULL))
		return;
	gb_buf_add(out, json);
	gb_buf_addc(out, '\n');
}
