#include "script/scr.h"
#include "suspect/sus.h"

#include <glib.h>

static const char *const states[] = { "unknown", "canary",   "good",
				      "suspect", "isolated", "quarantined" };

struct ctx {
	struct sus_table *table;
};

static void *open_ctx(void)
{
	return g_new0(struct ctx, 1);
}

static void close_ctx(void *ctx)
{
	struct ctx *c = ctx;

	sus_free(c->table);
	g_free(c);
}

static void cmd_table(void *ctx, const struct scr_args *args,
		      struct gb_buf *out)
{
	struct ctx *c = ctx;

	(void)out;
	sus_free(c->table);
	c->table = sus_new(scr_int(args, GB_STR("max"), 100),
			   scr_int(args, GB_STR("crashes"), 2),
			   scr_int(args, GB_STR("quarantine"), 1000));
}

/* merge= age=: another VM tells of crashes, the last one some time ago */
static void merge(struct sus_table *table, gb_time now, uint64_t fp,
		  const struct scr_args *args)
{
	const struct sus_record record = {
		.fingerprint = fp,
		.crashes = scr_int(args, GB_STR("merge"), 0),
		.age = scr_int(args, GB_STR("age"), 0),
	};

	sus_merge(table, now, &record);
}

static void print_record(void *out, const struct sus_record *record)
{
	gb_buf_addf(out, "fp=%llu crashes=%u age=%lld\n",
		    (unsigned long long)record->fingerprint, record->crashes,
		    (long long)record->age);
}

/* records at=: prints what the table tells other VMs */
static void cmd_records(void *ctx, const struct scr_args *args,
			struct gb_buf *out)
{
	struct ctx *c = ctx;

	sus_each_crashed(c->table, scr_int(args, GB_STR("at"), 0), print_record,
			 out);
}

static void print_loss(void *out, const struct sus_loss *loss)
{
	gb_buf_addf(out, "fp=%llu crashes=%u sent_age=%lld lost_age=%lld\n",
		    (unsigned long long)loss->fingerprint, loss->crashes,
		    (long long)loss->sent_age, (long long)loss->lost_age);
}

/* losses at=: prints the losses that were not printed before */
static void cmd_losses(void *ctx, const struct scr_args *args,
		       struct gb_buf *out)
{
	struct ctx *c = ctx;

	sus_each_new_loss(c->table, scr_int(args, GB_STR("at"), 0), print_loss,
			  out);
}

/* run fp= at= EVENT...: applies events to a fingerprint and prints its state */
static void cmd_run(void *ctx, const struct scr_args *args, struct gb_buf *out)
{
	struct sus_table *t = ((struct ctx *)ctx)->table;
	uint64_t fp = scr_int(args, GB_STR("fp"), 1);
	gb_time now = scr_int(args, GB_STR("at"), 0);

	for (size_t i = 0; i < args->len; i++) {
		struct gb_str word = scr_word(args, i);

		if (gb_str_eq(word, GB_STR("begin")))
			sus_run_begin(t, now, fp);
		else if (gb_str_eq(word, GB_STR("success")))
			sus_run_succeeded(t, now, fp);
		else if (gb_str_eq(word, GB_STR("crash")))
			sus_run_crashed(t, now, fp);
		else if (gb_str_starts_with(word, GB_STR("sent")))
			sus_run_lost(t, now, fp,
				     scr_int(args, GB_STR("sent"), 0));
		else if (gb_str_eq(word, GB_STR("clear")))
			sus_clear(t, now, fp);
		else if (gb_str_eq(word, GB_STR("abandon")))
			sus_run_abandoned(t, fp);
		else if (gb_str_starts_with(word, GB_STR("merge")))
			merge(t, now, fp, args);
	}
	gb_buf_addf(out, "%s crashes=%u entries=%zu\n",
		    states[sus_state(t, now, fp)], sus_crashes(t, fp),
		    sus_len(t));
}

static const struct scr_command commands[] = {
	{ .name = GB_STR_INIT("table"), .run = cmd_table },
	{ .name = GB_STR_INIT("run"), .run = cmd_run },
	{ .name = GB_STR_INIT("records"), .run = cmd_records },
	{ .name = GB_STR_INIT("losses"), .run = cmd_losses },
};

int main(int argc, char **argv)
{
	const struct scr_suite suite = {
		.name = "suspect",
		.folder = "packages/suspect/tests",
		.commands = commands,
		.commands_len = G_N_ELEMENTS(commands),
		.context_new = open_ctx,
		.context_free = close_ctx,
	};

	return scr_main(argc, argv, &suite);
}
