#include "fuzz/fz.h"

#include "platform/pf.h"
#include "platform/tests/objects-ignore.h"

/* Relayed objects of a page, as a mirror would send them. */
struct relay {
	struct gb_buf page;
	size_t objects_len;
};

static void on_routes(void *ctx, struct rt_table *table)
{
	(void)ctx;
	rt_table_unref(table);
}

static void on_upstream(void *ctx, const struct fl_entry *entry)
{
	(void)ctx;
	fz_check(entry->slots > 0 && entry->cold_remaining >= 0,
		 "an entry is within its bounds");
}

static void on_upstream_removed(void *ctx, struct gb_str id)
{
	(void)ctx;
	(void)id;
}

static void on_dc_exclusion(void *ctx, struct gb_str dc, bool excluded)
{
	(void)ctx;
	(void)dc;
	(void)excluded;
}

static void on_raw_object(void *ctx, enum fr_object_kind kind,
			  const struct mir_object *object)
{
	struct relay *relay = ctx;

	(void)kind;
	pf_add_object(true, object, &relay->page);
	relay->objects_len++;
}

static void on_rollout(void *ctx, const struct fr_rollout_order *order)
{
	(void)ctx;
	fz_check(order->duration > 0 && order->target_version.len > 0,
		 "an order is within its bounds");
}

static const struct fr_object_ops object_ops = {
	.routes = on_routes,
	.upstream = on_upstream,
	.upstream_removed = on_upstream_removed,
	.dc_exclusion = on_dc_exclusion,
	.rollout = on_rollout,
	.rollout_removed = ignore_rollout_removed,
	.raw_object = on_raw_object,
	.object_kept = ignore_object_kept,
	.invalid_object = ignore_invalid_object,
};

/* Reads the page, then the page of changes that a mirror makes of it. */
static void check_relay(enum fr_object_kind kind, struct gb_str bytes,
			bool is_list)
{
	struct relay first = { 0 }, second = { 0 };
	struct fr_page page = { 0 }, relayed = { 0 };
	int ret =
		is_list ? pf_read_list(kind, bytes, &object_ops, &first, &page)
			: pf_read_watch(kind, bytes, &object_ops, &first,
					&page);

	if (ret)
		goto out;
	pf_end_page(true, page.revision, -1, &first.page);
	fz_check(!pf_read_watch(kind, gb_buf_str(&first.page), &object_ops,
				&second, &relayed),
		 "a relayed page can be read");
	fz_check(first.objects_len == second.objects_len &&
			 relayed.revision == page.revision,
		 "a relayed page has the same objects and revision");
out:
	gb_buf_free(&first.page);
	gb_buf_free(&second.page);
	gb_str_free(&page.last_name);
	gb_str_free(&relayed.last_name);
}

static void check_record(void *ctx, const struct fr_record *record)
{
	(void)ctx;
	fz_check(record->crashes > 0 && record->crashed_at_ms >= 0,
		 "a record is within its bounds");
}

void fz_run_page(struct gb_str bytes)
{
	uint32_t invalid;

	pf_read_records(bytes, check_record, NULL, &invalid);
	for (int kind = 0; kind < FR_KINDS; kind++) {
		check_relay(kind, bytes, true);
		check_relay(kind, bytes, false);
	}
}
