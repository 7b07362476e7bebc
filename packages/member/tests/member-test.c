#include "member/mem.h"
#include "script/scr.h"
#include "wire/wire-member.h"

#define VMS_MAX 512

/* VMs that exchange datagrams on a virtual clock; each can be disconnected. */
struct ctx {
	gb_time now;
	struct gb_rng rng;
	struct vm *vm[VMS_MAX];
	uint32_t len;
	GHashTable *by_address; /* address to struct vm */
	uint64_t bytes;
	gb_time bytes_since;
};

struct vm {
	struct ctx *ctx;
	struct mem_table *table;
	struct gb_str address;
	bool disconnected; /* datagrams from and to it are dropped */
	bool drops_inbound; /* datagrams to it are dropped */
	bool paused;
	char dc[8];
	double processor_share; /* 0: not known */
};

static void *open_ctx(void)
{
	struct ctx *ctx = g_new0(struct ctx, 1);

	ctx->now = GB_SEC;
	ctx->rng.state = 5;
	ctx->by_address = g_hash_table_new(gb_str_key_hash, gb_str_key_equal);
	return ctx;
}

static void close_ctx(void *data)
{
	struct ctx *ctx = data;

	g_hash_table_destroy(ctx->by_address);
	for (uint32_t i = 0; i < ctx->len; i++) {
		mem_free(ctx->vm[i]->table);
		gb_str_free(&ctx->vm[i]->address);
		g_free(ctx->vm[i]);
	}
	g_free(ctx);
}

/* Delivers at once, since the network delay is short against the interval. */
static void on_send(void *data, struct gb_str address,
		    const struct mem_message *message)
{
	struct vm *from = data, *to;
	struct ctx *ctx = from->ctx;
	struct gb_buf bytes = GB_BUF_INIT;
	struct mem_message copy;

	wire_member_encode(message, &bytes);
	g_assert(bytes.len > 0);
	ctx->bytes += bytes.len;
	to = g_hash_table_lookup(ctx->by_address, &address);
	if (to && !from->disconnected && !to->disconnected &&
	    !to->drops_inbound && !to->paused) {
		g_assert(!wire_member_decode(gb_buf_str(&bytes), &copy));
		mem_receive(to->table, ctx->now, &copy);
	}
	gb_buf_free(&bytes);
}

static const struct mem_ops ops = { .send = on_send };

static void start(struct vm *vm, int64_t clock_ms)
{
	struct ctx *ctx = vm->ctx;
	const struct mem_settings settings = {
		.address = vm->address,
		.dc = gb_str_from_c(vm->dc),
		.processor_share = vm->processor_share,
		.incarnation = clock_ms,
		.probe_interval = 500 * GB_MSEC,
		.ack_timeout = 1 * GB_SEC,
		.suspicion_timeout = 5 * GB_SEC,
		.dead_counted_time = 12 * GB_SEC,
		.settle_time = 1500 * GB_MSEC,
	};

	vm->table = mem_new(&settings, &ops, vm, ctx->now, &ctx->rng);
	for (uint32_t seed = 0; seed < MIN(ctx->len, 3); seed++)
		mem_add_seed(vm->table, ctx->vm[seed]->address);
}

/*
 * vms n= dcs= large=: so many have half of a core, and the others a twelfth;
 * without it, no share is known
 */
static void cmd_vms(void *data, const struct scr_args *args, struct gb_buf *out)
{
	struct ctx *ctx = data;
	int64_t dcs, large;

	(void)out;
	dcs = scr_int(args, GB_STR("dcs"), 1);
	large = scr_int(args, GB_STR("large"), 0);
	ctx->len = scr_int(args, GB_STR("n"), 4);
	for (uint32_t i = 0; i < ctx->len; i++) {
		struct gb_buf address = GB_BUF_INIT;

		ctx->vm[i] = g_new0(struct vm, 1);
		ctx->vm[i]->ctx = ctx;
		if (large)
			ctx->vm[i]->processor_share =
				i + large >= ctx->len ? 0.5 : 0.084;
		g_snprintf(ctx->vm[i]->dc, sizeof(ctx->vm[i]->dc), "dc-%u",
			   (unsigned int)(i % dcs));
		gb_buf_addf(&address, "10.0.%u.%u:7380", i / 250, i % 250 + 1);
		ctx->vm[i]->address = gb_str_dup(gb_buf_str(&address));
		g_hash_table_insert(ctx->by_address, &ctx->vm[i]->address,
				    ctx->vm[i]);
		gb_buf_free(&address);
	}
	for (uint32_t i = 0; i < ctx->len; i++)
		start(ctx->vm[i], ctx->now / GB_MSEC);
}

/* Runs all VMs for a time, with a tick every half second. */
static void cmd_run(void *data, const struct scr_args *args, struct gb_buf *out)
{
	struct ctx *ctx = data;
	gb_time until = ctx->now + scr_int(args, GB_STR("s"), 1) * GB_SEC;

	(void)out;
	while (ctx->now < until) {
		for (uint32_t i = 0; i < ctx->len; i++)
			if (!ctx->vm[i]->paused)
				mem_tick(ctx->vm[i]->table, ctx->now);
		ctx->now += 500 * GB_MSEC;
	}
}

static struct vm *vm_of(struct ctx *ctx, const struct scr_args *args)
{
	return ctx->vm[scr_int(args, GB_STR("vm"), 0)];
}

/* disconnect vm= to= on=: changes one VM, or all from "vm" up to "to" */
static void cmd_disconnect(void *data, const struct scr_args *args,
			   struct gb_buf *out)
{
	struct ctx *ctx = data;
	int64_t first = scr_int(args, GB_STR("vm"), 0);
	int64_t last = scr_int(args, GB_STR("to"), first);

	(void)out;
	for (int64_t i = first; i <= last; i++)
		ctx->vm[i]->disconnected = scr_int(args, GB_STR("on"), 1);
}

static void cmd_drop_inbound(void *data, const struct scr_args *args,
			     struct gb_buf *out)
{
	(void)out;
	vm_of(data, args)->drops_inbound = scr_int(args, GB_STR("on"), 1);
}

static void cmd_pause(void *data, const struct scr_args *args,
		      struct gb_buf *out)
{
	(void)out;
	vm_of(data, args)->paused = scr_int(args, GB_STR("on"), 1);
}

/*
 * restart vm= clock=: restarts it with its wall clock this many seconds ahead
 */
static void cmd_restart(void *data, const struct scr_args *args,
			struct gb_buf *out)
{
	struct ctx *ctx = data;
	struct vm *vm = vm_of(ctx, args);

	(void)out;
	mem_free(vm->table);
	start(vm,
	      ctx->now / GB_MSEC + scr_int(args, GB_STR("clock"), 0) * 1000);
}

/* Prints the lowest and highest counts over the VMs that are connected. */
static void cmd_show(void *data, const struct scr_args *args,
		     struct gb_buf *out)
{
	uint32_t least[2] = { UINT32_MAX, UINT32_MAX }, most[2] = { 0 };
	struct ctx *ctx = data;
	int64_t only = scr_int(args, GB_STR("vm"), -1);

	for (uint32_t i = 0; i < ctx->len; i++) {
		const struct vm *vm = ctx->vm[i];
		uint32_t number[2] = { mem_live_count(vm->table),
				       mem_estimate_vms(vm->table, ctx->now) };

		if (only >= 0 ? only != i : vm->disconnected || vm->paused)
			continue;
		for (int k = 0; k < 2; k++) {
			least[k] = MIN(least[k], number[k]);
			most[k] = MAX(most[k], number[k]);
		}
	}
	gb_buf_addf(out, "live %u to %u, counted %u to %u\n", least[0], most[0],
		    least[1], most[1]);
}

/* Checks that for each key exactly one VM has rank 0. */
static void cmd_ranks(void *data, const struct scr_args *args,
		      struct gb_buf *out)
{
	int64_t keys = scr_int(args, GB_STR("keys"), 1000), bad = 0;
	struct ctx *ctx = data;

	for (int64_t key = 0; key < keys; key++) {
		uint32_t first = 0;

		for (uint32_t i = 0; i < ctx->len; i++)
			first += !ctx->vm[i]->disconnected &&
				 !mem_rank(ctx->vm[i]->table, MEM_ALL, key);
		bad += first != 1;
	}
	gb_buf_addf(out, "%lld keys without exactly one first VM\n",
		    (long long)bad);
}

/*
 * Prints the number of readers, and of VMs that have none in their data centre.
 */
static void cmd_readers(void *data, const struct scr_args *args,
			struct gb_buf *out)
{
	uint32_t readers = 0, small = 0, without_reader = 0;
	struct ctx *ctx = data;

	(void)args;
	for (uint32_t i = 0; i < ctx->len; i++) {
		const struct vm *vm = ctx->vm[i];
		struct gb_str address;

		if (vm->disconnected || vm->paused)
			continue;
		if (mem_is_reader(vm->table)) {
			readers++;
			small += vm->processor_share &&
				 vm->processor_share < 0.5;
		} else if (!mem_pick_reader(vm->table, MEM_SAME_DC, &address)) {
			without_reader++;
		}
	}
	gb_buf_addf(out, "%u readers, %u VMs without one in their dc\n",
		    readers, without_reader);
	if (small)
		gb_buf_addf(out, "%u readers with little processor time\n",
			    small);
}

/*
 * candidates failed=N: if the first N members of each scope fail as readers,
 * how many VMs read the store themselves, and how many follow another one
 */
static void cmd_candidates(void *data, const struct scr_args *args,
			   struct gb_buf *out)
{
	uint32_t failed = scr_int(args, GB_STR("failed"), 0);
	uint32_t own[2] = { 0 }, others[2] = { 0 }, none[2] = { 0 };
	struct ctx *ctx = data;

	for (uint32_t i = 0; i < ctx->len; i++)
		for (int scope = MEM_ALL; scope <= MEM_SAME_DC; scope++) {
			const struct mem_table *table = ctx->vm[i]->table;
			struct gb_str address;
			uint32_t at = 0;
			enum mem_candidate found;

			do
				found = mem_reader_candidate(table, scope, at,
							     &address);
			while (at++ < failed && found == MEM_OTHER);
			own[scope] += found == MEM_SELF;
			others[scope] += found == MEM_OTHER;
			none[scope] += found == MEM_NO_MORE;
		}
	for (int scope = MEM_ALL; scope <= MEM_SAME_DC; scope++)
		gb_buf_addf(out, "%s: %u read it, %u follow, %u do neither\n",
			    scope == MEM_ALL ? "tier" : "dc", own[scope],
			    others[scope], none[scope]);
}

/* Prints how many VMs know less than half of the members. */
static void cmd_unaware(void *data, const struct scr_args *args,
			struct gb_buf *out)
{
	struct ctx *ctx = data;
	uint32_t unaware = 0;

	(void)args;
	for (uint32_t i = 0; i < ctx->len; i++)
		unaware += !mem_knows_members(ctx->vm[i]->table, ctx->now);
	gb_buf_addf(out, "%u VMs know few members\n", unaware);
}

/*
 * Prints how many VMs are within the first ranks of one key, in the whole tier
 * and in their data centre.
 */
static void cmd_first(void *data, const struct scr_args *args,
		      struct gb_buf *out)
{
	uint32_t ranks = scr_int(args, GB_STR("ranks"), 3), all = 0, same = 0;
	struct ctx *ctx = data;

	for (uint32_t i = 0; i < ctx->len; i++) {
		const struct mem_table *table = ctx->vm[i]->table;

		all += mem_rank(table, MEM_ALL, 7) < ranks;
		same += mem_rank(table, MEM_SAME_DC, 7) < ranks;
	}
	gb_buf_addf(out, "%u among all, %u by data centre\n", all, same);
}

static void cmd_bytes(void *data, const struct scr_args *args,
		      struct gb_buf *out)
{
	struct ctx *ctx = data;
	double passed = (double)(ctx->now - ctx->bytes_since) / GB_SEC;
	double rate = (double)ctx->bytes / ctx->len / passed;
	int64_t most = scr_int(args, GB_STR("most"), 2048);

	gb_buf_addf(out, "%s %lld bytes/s from each VM\n",
		    rate <= most ? "at most" : "MORE THAN", (long long)most);
	if (g_getenv("MEM_BYTES"))
		g_printerr("%.0f bytes/s\n", rate);
	ctx->bytes = 0;
	ctx->bytes_since = ctx->now;
}

int main(int argc, char **argv)
{
	static const struct scr_command commands[] = {
		{ GB_STR_INIT("vms"), cmd_vms },
		{ GB_STR_INIT("run"), cmd_run },
		{ GB_STR_INIT("disconnect"), cmd_disconnect },
		{ GB_STR_INIT("drop-inbound"), cmd_drop_inbound },
		{ GB_STR_INIT("pause"), cmd_pause },
		{ GB_STR_INIT("restart"), cmd_restart },
		{ GB_STR_INIT("show"), cmd_show },
		{ GB_STR_INIT("ranks"), cmd_ranks },
		{ GB_STR_INIT("first"), cmd_first },
		{ GB_STR_INIT("readers"), cmd_readers },
		{ GB_STR_INIT("unaware"), cmd_unaware },
		{ GB_STR_INIT("candidates"), cmd_candidates },
		{ GB_STR_INIT("bytes"), cmd_bytes },
	};
	static const struct scr_suite suite = {
		.name = "member",
		.folder = "packages/member/tests",
		.commands = commands,
		.commands_len = G_N_ELEMENTS(commands),
		.context_new = open_ctx,
		.context_free = close_ctx,
	};

	return scr_main(argc, argv, &suite);
}
