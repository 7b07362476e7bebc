#include "directory/dir-audit.h"
#include "directory/dir.h"
#include "script/scr.h"

struct ctx {
	struct dir_follower follower;
	struct dir_audit audit;
	struct dir_timing timing;
	struct dir_proof proof;
	bool next_from_peer; /* the source of the next step is another VM */
};

static const struct dir_bounds default_bounds = { .change = 3 * GB_SEC,
						  .silence = 4 * GB_SEC };

static void *open_ctx(void)
{
	struct ctx *ctx = g_new0(struct ctx, 1);

	dir_timing_init(&ctx->timing, &default_bounds);
	dir_init(&ctx->follower, &ctx->timing, 0);
	return ctx;
}

static void close_ctx(void *data)
{
	struct ctx *ctx = data;

	dir_free(&ctx->follower);
	g_free(ctx);
}

static gb_time at(const struct scr_args *args)
{
	return scr_int(args, GB_STR("at_ms"), 0) * GB_MSEC;
}

/* Prints the next step, which begins with a wait of 5 s. */
static void print(struct ctx *ctx, struct gb_buf *out)
{
	struct dir_follower *f = &ctx->follower;

	dir_begin_step(f, f->due_at, 5 * GB_SEC, ctx->next_from_peer);

	if (f->step == DIR_LIST)
		gb_buf_addf(out, "list after=\"%.*s\"", (int)f->cursor.len,
			    f->cursor.ptr);
	else
		gb_buf_addf(out, "watch from=%lld", (long long)f->revision);
	gb_buf_addf(out, " due_ms=%lld timeout_ms=%lld synced=%d\n",
		    (long long)(f->due_at / GB_MSEC),
		    (long long)(dir_step_timeout(f) / GB_MSEC), f->synced);
}

static void set_source_age(struct ctx *ctx, const struct scr_args *args)
{
	dir_set_source_age(&ctx->follower,
			   scr_int(args, GB_STR("age_ms"), 0) * GB_MSEC);
}

static void cmd_listed(void *data, const struct scr_args *args,
		       struct gb_buf *out)
{
	struct ctx *ctx = data;

	set_source_age(ctx, args);
	dir_list_done(&ctx->follower, at(args), scr_int(args, GB_STR("rev"), 0),
		      scr_int(args, GB_STR("more"), 0),
		      scr_str(args, GB_STR("last"), GB_STR("")));
	print(ctx, out);
}

static void cmd_watched(void *data, const struct scr_args *args,
			struct gb_buf *out)
{
	struct ctx *ctx = data;

	set_source_age(ctx, args);
	dir_watch_done(&ctx->follower, at(args),
		       scr_int(args, GB_STR("rev"), 0),
		       scr_int(args, GB_STR("changes"), 0));
	print(ctx, out);
}

static void cmd_lost(void *data, const struct scr_args *args,
		     struct gb_buf *out)
{
	struct ctx *ctx = data;

	dir_history_lost(&ctx->follower, at(args));
	print(ctx, out);
}

static void cmd_failed(void *data, const struct scr_args *args,
		       struct gb_buf *out)
{
	struct ctx *ctx = data;

	dir_step_failed(&ctx->follower, at(args));
	print(ctx, out);
}

/* era at_ms= n=: of the answer whose end comes next */
static void cmd_era(void *data, const struct scr_args *args, struct gb_buf *out)
{
	static const char *const names[] = { "current", "changed", "past" };
	struct ctx *ctx = data;

	gb_buf_addf(out, "%s, ",
		    names[dir_take_era(&ctx->follower, at(args),
				       scr_int(args, GB_STR("n"), 0))]);
	print(ctx, out);
}

/* source peer|store: of the next steps, beginning with this one */
static void cmd_source(void *data, const struct scr_args *args,
		       struct gb_buf *out)
{
	struct ctx *ctx = data;

	ctx->next_from_peer = gb_str_eq(scr_word(args, 0), GB_STR("peer"));
	print(ctx, out);
}

/* confirmed at_ms=: do the objects count as up to date? */
static void cmd_confirmed(void *data, const struct scr_args *args,
			  struct gb_buf *out)
{
	struct ctx *ctx = data;

	gb_buf_addf(out, "%s\n",
		    dir_is_confirmed(&ctx->follower, at(args)) ? "yes" : "no");
}

/* doubt: the source may have stopped responding */
static void cmd_doubt(void *data, const struct scr_args *args,
		      struct gb_buf *out)
{
	struct ctx *ctx = data;

	(void)args;
	dir_doubt_source(&ctx->follower);
	print(ctx, out);
}

/* cut at_ms=: the connection of the running call is closed */
static void cmd_cut(void *data, const struct scr_args *args, struct gb_buf *out)
{
	struct ctx *ctx = data;

	if (!dir_watch_cut(&ctx->follower, at(args))) {
		gb_buf_add(out, GB_STR("a failure, "));
		dir_step_failed(&ctx->follower, at(args));
	}
	print(ctx, out);
}

static void print_audit(const struct dir_audit *audit, struct gb_buf *out)
{
	gb_time due = dir_audit_due(audit, 300 * GB_MSEC);

	if (due == GB_NEVER)
		gb_buf_add(out, GB_STR("nothing missing\n"));
	else
		gb_buf_addf(out, "missing, due_ms=%lld\n",
			    (long long)(due / GB_MSEC));
}

/* audit-listed rev=: a list was read, at that revision */
static void cmd_audit_listed(void *data, const struct scr_args *args,
			     struct gb_buf *out)
{
	struct ctx *ctx = data;

	dir_audit_restart(&ctx->audit, scr_int(args, GB_STR("rev"), 0));
	print_audit(&ctx->audit, out);
}

/* audit-watched at_ms= from= to= changes=: a watch of some kind returned */
static void cmd_audit_watched(void *data, const struct scr_args *args,
			      struct gb_buf *out)
{
	struct ctx *ctx = data;

	dir_audit_watched(&ctx->audit, at(args),
			  scr_int(args, GB_STR("from"), 0),
			  scr_int(args, GB_STR("to"), 0),
			  scr_int(args, GB_STR("changes"), 0));
	print_audit(&ctx->audit, out);
}

/* unseen at_ms=: time for which changes may have gone unseen, and the age */
static void cmd_unseen(void *data, const struct scr_args *args,
		       struct gb_buf *out)
{
	struct ctx *ctx = data;

	gb_buf_addf(out, "%lld ms, age %lld ms\n",
		    (long long)(dir_unseen_time(&ctx->follower, at(args)) /
				GB_MSEC),
		    (long long)(dir_age(&ctx->follower, at(args)) / GB_MSEC));
}

/* proof sent_ms= at_ms= wait_ms= changes= peer_age_ms=: an answer, then the age
 */
static void cmd_proof(void *data, const struct scr_args *args,
		      struct gb_buf *out)
{
	struct ctx *ctx = data;
	gb_time peer_age = scr_int(args, GB_STR("peer_age_ms"), -2);
	const struct dir_proof_answer answer = {
		.sent_at = scr_int(args, GB_STR("sent_ms"), 0) * GB_MSEC,
		.received_at = at(args),
		.wait = scr_int(args, GB_STR("wait_ms"), 0) * GB_MSEC,
		.has_changes = scr_int(args, GB_STR("changes"), 0),
		.from_peer = peer_age != -2,
		.peer_age = peer_age < 0 ? -1 : peer_age * GB_MSEC,
	};
	gb_time age;

	dir_proof_take(&ctx->proof, &answer);
	age = dir_proof_age(&ctx->proof, at(args));
	if (age == GB_NEVER)
		gb_buf_add(out, GB_STR("  no proof\n"));
	else
		gb_buf_addf(out, "  %lld ms old\n", (long long)(age / GB_MSEC));
}

int main(int argc, char **argv)
{
	static const struct scr_command commands[] = {
		{ GB_STR_INIT("listed"), cmd_listed },
		{ GB_STR_INIT("watched"), cmd_watched },
		{ GB_STR_INIT("history-lost"), cmd_lost },
		{ GB_STR_INIT("failed"), cmd_failed },
		{ GB_STR_INIT("source"), cmd_source },
		{ GB_STR_INIT("era"), cmd_era },
		{ GB_STR_INIT("confirmed"), cmd_confirmed },
		{ GB_STR_INIT("doubt"), cmd_doubt },
		{ GB_STR_INIT("cut"), cmd_cut },
		{ GB_STR_INIT("audit-listed"), cmd_audit_listed },
		{ GB_STR_INIT("audit-watched"), cmd_audit_watched },
		{ GB_STR_INIT("proof"), cmd_proof },
		{ GB_STR_INIT("unseen"), cmd_unseen },
	};
	static const struct scr_suite suite = {
		.name = "directory",
		.folder = "packages/directory/tests",
		.commands = commands,
		.commands_len = G_N_ELEMENTS(commands),
		.context_new = open_ctx,
		.context_free = close_ctx,
	};

	return scr_main(argc, argv, &suite);
}
