#include "member/mem.h"
#include "script/scr.h"
#include "wire/wire-member.h"

#define VMS_MAX 64

/* VMs that exchange datagrams on a virtual clock; any can be cut off. */
struct ctx {
	gb_time now;
	struct gb_rng rng;
	struct mem_table *table[VMS_MAX];
	struct gb_str address[VMS_MAX];
	bool cut[VMS_MAX];
	uint32_t len;
	uint64_t bytes;
};

struct sending {
	struct ctx *ctx;
	struct gb_str bytes;
};

static void *open_ctx(void)
{
	return g_new0(struct ctx, 1);
}

static void close_ctx(void *data)
{
	struct ctx *ctx = data;

	for (uint32_t i = 0; i < ctx->len; i++) {
		mem_free(ctx->table[i]);
		gb_str_free(&ctx->address[i]);
	}
	g_free(ctx);
}

static void start(struct ctx *ctx, uint32_t i)
{
	const struct mem_settings settings = {
		.address = ctx->address[i],
		.incarnation = 1000 + ctx->now / GB_MSEC,
		.silent = 8 * GB_SEC,
		.counted = 20 * GB_SEC,
		.settle = 1500 * GB_MSEC,
		.fanout = 3,
	};

	ctx->table[i] = mem_new(&settings, ctx->now, &ctx->rng);
	for (uint32_t seed = 0; seed < MIN(ctx->len, 3); seed++)
		mem_add_seed(ctx->table[i], ctx->address[seed]);
}

static void cmd_vms(void *data, const struct scr_args *args, struct gb_buf *out)
{
	struct ctx *ctx = data;

	(void)out;
	ctx->len = scr_int(args, GB_STR("n"), 4);
	for (uint32_t i = 0; i < ctx->len; i++) {
		struct gb_buf address = GB_BUF_INIT;

		gb_buf_addf(&address, "10.0.0.%u:7380", i + 1);
		ctx->address[i] = gb_str_dup(gb_buf_str(&address));
		gb_buf_free(&address);
	}
	for (uint32_t i = 0; i < ctx->len; i++)
		start(ctx, i);
}

static void deliver(void *data, struct gb_str address)
{
	struct sending *sending = data;
	struct ctx *ctx = sending->ctx;
	struct mem_message message;

	ctx->bytes += sending->bytes.len;
	for (uint32_t i = 0; i < ctx->len; i++) {
		if (!gb_str_eq(ctx->address[i], address) || ctx->cut[i])
			continue;
		g_assert(!wire_member_decode(sending->bytes, &message));
		mem_take(ctx->table[i], ctx->now, &message);
	}
}

static void beat(struct ctx *ctx, uint32_t i)
{
	struct mem_message message;
	struct gb_buf bytes = GB_BUF_INIT;
	struct sending sending = { .ctx = ctx };

	mem_beat(ctx->table[i], ctx->now, &message);
	wire_member_encode(&message, &bytes);
	sending.bytes = gb_buf_str(&bytes);
	if (!ctx->cut[i])
		mem_targets(ctx->table[i], ctx->now, deliver, &sending);
	gb_buf_free(&bytes);
}

/* Lets all VMs beat each half second for a time. */
static void cmd_run(void *data, const struct scr_args *args, struct gb_buf *out)
{
	struct ctx *ctx = data;
	gb_time until = ctx->now + scr_int(args, GB_STR("s"), 1) * GB_SEC;

	(void)out;
	while (ctx->now < until) {
		for (uint32_t i = 0; i < ctx->len; i++)
			beat(ctx, i);
		ctx->now += 500 * GB_MSEC;
	}
}

static void cmd_cut(void *data, const struct scr_args *args, struct gb_buf *out)
{
	struct ctx *ctx = data;

	(void)out;
	ctx->cut[scr_int(args, GB_STR("vm"), 0)] =
		scr_int(args, GB_STR("on"), 1);
}

static void cmd_restart(void *data, const struct scr_args *args,
			struct gb_buf *out)
{
	struct ctx *ctx = data;
	uint32_t i = scr_int(args, GB_STR("vm"), 0);

	(void)out;
	mem_free(ctx->table[i]);
	start(ctx, i);
}

/* The least and the greatest number over the VMs that are not cut off. */
static void cmd_show(void *data, const struct scr_args *args,
		     struct gb_buf *out)
{
	uint32_t least[2] = { UINT32_MAX, UINT32_MAX }, most[2] = { 0 };
	struct ctx *ctx = data;
	int64_t only = scr_int(args, GB_STR("vm"), -1);

	for (uint32_t i = 0; i < ctx->len; i++) {
		uint32_t number[2] = { mem_live(ctx->table[i], ctx->now),
				       mem_count(ctx->table[i], ctx->now) };

		if (only >= 0 ? only != i : ctx->cut[i])
			continue;
		for (int k = 0; k < 2; k++) {
			least[k] = MIN(least[k], number[k]);
			most[k] = MAX(most[k], number[k]);
		}
	}
	gb_buf_addf(out, "live %u to %u, counted %u to %u\n", least[0], most[0],
		    least[1], most[1]);
}

/* VMs of the first ranks for many keys: each key has one of rank 0. */
static void cmd_ranks(void *data, const struct scr_args *args,
		      struct gb_buf *out)
{
	int64_t keys = scr_int(args, GB_STR("keys"), 1000), bad = 0;
	struct ctx *ctx = data;

	for (int64_t key = 0; key < keys; key++) {
		uint32_t first = 0;

		for (uint32_t i = 0; i < ctx->len; i++)
			first += !ctx->cut[i] &&
				 !mem_rank(ctx->table[i], ctx->now, key);
		bad += first != 1;
	}
	gb_buf_addf(out, "%lld keys without exactly one first VM\n",
		    (long long)bad);
}

static void cmd_bytes(void *data, const struct scr_args *args,
		      struct gb_buf *out)
{
	struct ctx *ctx = data;
	double rate = (double)ctx->bytes / ctx->len / ctx->now * GB_SEC;
	int64_t most = scr_int(args, GB_STR("most"), 2048);

	gb_buf_addf(out, "%s %lld bytes/s from each VM\n",
		    rate <= most ? "at most" : "MORE THAN", (long long)most);
}

int main(int argc, char **argv)
{
	static const struct scr_command commands[] = {
		{ GB_STR_INIT("vms"), cmd_vms },
		{ GB_STR_INIT("run"), cmd_run },
		{ GB_STR_INIT("cut"), cmd_cut },
		{ GB_STR_INIT("restart"), cmd_restart },
		{ GB_STR_INIT("show"), cmd_show },
		{ GB_STR_INIT("ranks"), cmd_ranks },
		{ GB_STR_INIT("bytes"), cmd_bytes },
	};
	static const struct scr_suite suite = {
		.name = "member",
		.folder = "packages/member/tests",
		.commands = commands,
		.commands_len = G_N_ELEMENTS(commands),
		.open = open_ctx,
		.close = close_ctx,
	};

	return scr_main(argc, argv, &suite);
}
