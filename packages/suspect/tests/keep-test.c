#include "script/scr.h"
#include "suspect/sus-keep.h"

#include <glib.h>

static const char *const steps[] = { "none", "read", "write", "remove" };

struct ctx {
	struct sus_keeper keeper;
	enum sus_keep_step step; /* of the call that runs */
	struct sus_kept kept;
};

static void *open_ctx(void)
{
	return g_new0(struct ctx, 1);
}

static uint64_t read_fingerprint(const struct scr_args *args)
{
	int64_t fingerprint = 0;

	gb_str_to_int(scr_word(args, 0), 1, INT64_MAX, &fingerprint);
	return fingerprint;
}

/* keep FINGERPRINT crashes= at= stored=: keeps a record; times are in ms */
static void cmd_keep(void *data, const struct scr_args *args,
		     struct gb_buf *out)
{
	struct ctx *ctx = data;
	struct sus_kept kept = {
		.fingerprint = read_fingerprint(args),
		.crashes = scr_int(args, GB_STR("crashes"), 3),
		.crashed_at = scr_int(args, GB_STR("at"), 0) * GB_MSEC,
		.is_stored = scr_int(args, GB_STR("stored"), 0),
	};

	if (!sus_keep(&ctx->keeper, &kept))
		gb_buf_add(out, GB_STR("too many\n"));
}

/* told FINGERPRINT crashes= at=: another VM has counted crashes */
static void cmd_told(void *data, const struct scr_args *args,
		     struct gb_buf *out)
{
	struct ctx *ctx = data;
	struct sus_kept told = {
		.fingerprint = read_fingerprint(args),
		.crashes = scr_int(args, GB_STR("crashes"), 3),
		.crashed_at = scr_int(args, GB_STR("at"), 0) * GB_MSEC,
	};

	(void)out;
	sus_keep_told(&ctx->keeper, &told);
}

/* cleared FINGERPRINT responsible=: the request was answered */
static void cmd_cleared(void *data, const struct scr_args *args,
			struct gb_buf *out)
{
	struct ctx *ctx = data;

	(void)out;
	sus_keep_cleared(&ctx->keeper, read_fingerprint(args),
			 scr_int(args, GB_STR("responsible"), 0));
}

/* restored: the store has come back from an older copy */
static void cmd_restored(void *data, const struct scr_args *args,
			 struct gb_buf *out)
{
	struct ctx *ctx = data;

	(void)args;
	(void)out;
	sus_keep_restored(&ctx->keeper);
}

/* next at=: prints the call that is due and lets it begin */
static void cmd_next(void *data, const struct scr_args *args,
		     struct gb_buf *out)
{
	struct ctx *ctx = data;
	gb_time now = scr_int(args, GB_STR("at"), 0) * GB_MSEC;

	ctx->kept = (struct sus_kept){ 0 };
	ctx->step = sus_keep_next(&ctx->keeper, now, &ctx->kept);
	gb_buf_addf(out, "%s", steps[ctx->step]);
	if (ctx->kept.fingerprint)
		gb_buf_addf(out, " %llu crashes=%u",
			    (unsigned long long)ctx->kept.fingerprint,
			    ctx->kept.crashes);
	gb_buf_addc(out, '\n');
}

/* done at= ok=: ends the call that runs */
static void cmd_done(void *data, const struct scr_args *args,
		     struct gb_buf *out)
{
	struct ctx *ctx = data;

	(void)out;
	sus_keep_done(&ctx->keeper, scr_int(args, GB_STR("at"), 0) * GB_MSEC,
		      ctx->step, &ctx->kept, scr_int(args, GB_STR("ok"), 1));
}

int main(int argc, char **argv)
{
	static const struct scr_command commands[] = {
		{ GB_STR_INIT("keep"), cmd_keep },
		{ GB_STR_INIT("told"), cmd_told },
		{ GB_STR_INIT("cleared"), cmd_cleared },
		{ GB_STR_INIT("restored"), cmd_restored },
		{ GB_STR_INIT("next"), cmd_next },
		{ GB_STR_INIT("done"), cmd_done },
	};
	static const struct scr_suite suite = {
		.name = "keep",
		.folder = "packages/suspect/tests/keep",
		.commands = commands,
		.commands_len = G_N_ELEMENTS(commands),
		.context_new = open_ctx,
		.context_free = g_free,
	};

	return scr_main(argc, argv, &suite);
}
