#include "helper/hp.h"
#include "script/scr.h"

#include <string.h>

struct ctx {
	gb_time now;
	struct gb_rng rng;
	struct hp_table *table;
};

static void *open_ctx(void)
{
	struct ctx *ctx = g_new0(struct ctx, 1);

	ctx->now = 100 * GB_SEC;
	ctx->rng.state = 1;
	return ctx;
}

static void close_ctx(void *data)
{
	struct ctx *ctx = data;

	if (ctx->table)
		hp_free(ctx->table);
	g_free(ctx);
}

/* vm share= dc=: this VM, in thousandths of a core */
static void cmd_vm(void *data, const struct scr_args *args, struct gb_buf *out)
{
	struct ctx *ctx = data;
	const struct hp_settings settings = {
		.address = GB_STR_INIT("self"),
		.dc_hash = scr_int(args, GB_STR("dc"), 1),
		.share = scr_int(args, GB_STR("share"), 84),
	};

	(void)out;
	if (ctx->table)
		hp_free(ctx->table);
	ctx->table = hp_new(&settings);
}

/* hear ADDRESS share= dc= queries= age_ms= */
static void cmd_hear(void *data, const struct scr_args *args,
		     struct gb_buf *out)
{
	struct ctx *ctx = data;
	struct gb_str address = scr_word(args, 0);
	struct hp_announcement said = {
		.address_len = address.len,
		.dc_hash = scr_int(args, GB_STR("dc"), 1),
		.share = scr_int(args, GB_STR("share"), 500),
		.queries = scr_int(args, GB_STR("queries"), 0),
		.age = scr_int(args, GB_STR("age_ms"), 0) * GB_MSEC,
	};

	(void)out;
	memcpy(said.address, address.ptr, address.len);
	hp_receive(ctx->table, ctx->now, &said);
}

/* choose parts= target= n=: prints how often each VM is chosen */
static gint compare_names(gconstpointer a, gconstpointer b, gpointer data)
{
	(void)data;
	return strcmp(a, b);
}

static void cmd_choose(void *data, const struct scr_args *args,
		       struct gb_buf *out)
{
	struct ctx *ctx = data;
	const struct hp_query query = {
		.parts = scr_int(args, GB_STR("parts"), 90),
		.target_latency = scr_int(args, GB_STR("target"), 80) * GB_MSEC,
	};
	int64_t n = scr_int(args, GB_STR("n"), 100);
	GTree *counts = g_tree_new_full(compare_names, NULL, g_free, NULL);
	gpointer old;

	for (int64_t i = 0; i < n; i++) {
		const struct hp_helper *helper =
			hp_choose(ctx->table, &query, ctx->now, &ctx->rng);
		char *name = helper ? g_strndup(helper->said.address,
						helper->said.address_len)
				    : g_strdup("self");

		old = g_tree_lookup(counts, name);
		g_tree_insert(counts, name,
			      GINT_TO_POINTER(GPOINTER_TO_INT(old) + 1));
	}
	for (GTreeNode *at = g_tree_node_first(counts); at;
	     at = g_tree_node_next(at))
		gb_buf_addf(out, "  %s %s\n", (char *)g_tree_node_key(at),
			    GPOINTER_TO_INT(g_tree_node_value(at)) == n
				    ? "always"
				    : "at times");
	g_tree_destroy(counts);
}

/* call ADDRESS end=answered|refused|failed, or without an end in flight */
static void cmd_call(void *data, const struct scr_args *args,
		     struct gb_buf *out)
{
	static const char *const names[] = { "answered", "refused", "failed",
					     "cancelled" };
	struct gb_str end = scr_str(args, GB_STR("end"), GB_STR(""));
	struct ctx *ctx = data;
	struct hp_helper *helper = hp_find(ctx->table, scr_word(args, 0));

	(void)out;
	hp_call_begin(helper);
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		if (gb_str_eq(end, gb_str_from_c(names[i])))
			hp_call_end(helper, i, ctx->now);
}

static void cmd_wait(void *data, const struct scr_args *args,
		     struct gb_buf *out)
{
	struct ctx *ctx = data;

	(void)out;
	ctx->now += scr_int(args, GB_STR("ms"), 0) * GB_MSEC;
	hp_purge(ctx->table, ctx->now);
}

/* announce accepts=: what this VM sends to others */
static void cmd_announce(void *data, const struct scr_args *args,
			 struct gb_buf *out)
{
	struct hp_announcement said[HP_ANNOUNCED_MAX];
	struct ctx *ctx = data;
	uint32_t len =
		hp_announce(ctx->table, scr_int(args, GB_STR("accepts"), 1), 2,
			    ctx->now, said);

	for (uint32_t i = 0; i < len; i++)
		gb_buf_addf(out, "  %.*s share=%u queries=%u age=%lld ms\n",
			    (int)said[i].address_len, said[i].address,
			    said[i].share, said[i].queries,
			    (long long)(said[i].age / GB_MSEC));
}

static const struct scr_command commands[] = {
	{ .name = GB_STR_INIT("vm"), .run = cmd_vm },
	{ .name = GB_STR_INIT("hear"), .run = cmd_hear },
	{ .name = GB_STR_INIT("choose"), .run = cmd_choose },
	{ .name = GB_STR_INIT("call"), .run = cmd_call },
	{ .name = GB_STR_INIT("wait"), .run = cmd_wait },
	{ .name = GB_STR_INIT("announce"), .run = cmd_announce },
};

int main(int argc, char **argv)
{
	const struct scr_suite suite = {
		.name = "helper",
		.folder = "packages/helper/tests",
		.commands = commands,
		.commands_len = G_N_ELEMENTS(commands),
		.context_new = open_ctx,
		.context_free = close_ctx,
	};

	return scr_main(argc, argv, &suite);
}
