#include "settings/set.h"
#include "script/scr.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>

struct ctx {
	struct gb_buf text;
};

static void *open_ctx(void);
static void close_ctx(void *data);
static void print_settings(const struct set_settings *set, struct gb_buf *out);
static void cmd_line(void *data, const struct scr_args *args,
		     struct gb_buf *out);
static void cmd_byte(void *data, const struct scr_args *args,
		     struct gb_buf *out);
static void cmd_required(void *data, const struct scr_args *args,
			 struct gb_buf *out);
static void cmd_read(void *data, const struct scr_args *args,
		     struct gb_buf *out);
static void cmd_file(void *data, const struct scr_args *args,
		     struct gb_buf *out);
static void cmd_help(void *data, const struct scr_args *args,
		     struct gb_buf *out);
static void cmd_manual(void *data, const struct scr_args *args,
		       struct gb_buf *out);

static const struct scr_command commands[] = {
	{ .name = GB_STR_INIT("line"), .run = cmd_line },
	{ .name = GB_STR_INIT("byte"), .run = cmd_byte },
	{ .name = GB_STR_INIT("required"), .run = cmd_required },
	{ .name = GB_STR_INIT("read"), .run = cmd_read },
	{ .name = GB_STR_INIT("file"), .run = cmd_file },
	{ .name = GB_STR_INIT("help"), .run = cmd_help },
	{ .name = GB_STR_INIT("manual"), .run = cmd_manual },
};

static void *open_ctx(void)
{
	return g_new0(struct ctx, 1);
}

static void close_ctx(void *data)
{
	struct ctx *ctx = data;

	gb_buf_free(&ctx->text);
	g_free(ctx);
}

/* Appends a line to the settings text; its words are joined by a space. */
static void cmd_line(void *data, const struct scr_args *args,
		     struct gb_buf *out)
{
	struct ctx *ctx = data;

	(void)out;
	for (size_t i = 0; i < args->len; i++) {
		if (i)
			gb_buf_addc(&ctx->text, ' ');
		gb_buf_add(&ctx->text, args->word[i]);
	}
	gb_buf_addc(&ctx->text, '\n');
}

/* Appends one byte, repeated, to the settings text. */
static void cmd_byte(void *data, const struct scr_args *args,
		     struct gb_buf *out)
{
	struct ctx *ctx = data;

	(void)out;
	for (int64_t i = scr_int(args, GB_STR("times"), 1); i > 0; i--)
		gb_buf_addc(&ctx->text, scr_int(args, GB_STR("code"), 0));
}

/* Appends all required options, in 7 lines, to the settings text. */
static void cmd_required(void *data, const struct scr_args *args,
			 struct gb_buf *out)
{
	struct ctx *ctx = data;

	(void)args;
	(void)out;
	gb_buf_add(&ctx->text, GB_STR("[vm]\nid = 2\ndc = dc-b\n"
				      "host = 127.0.0.1\n[platform]\n"
				      "host = ::1\nport = 7001\n"));
}

static void print_settings(const struct set_settings *set, struct gb_buf *out)
{
	gb_buf_addf(out, "vm %" PRIu32 " %.*s dc %.*s role %.*s\n",
		    set->node.vm, (int)set->name.len, set->name.ptr,
		    (int)set->node.dc.len, set->node.dc.ptr, (int)set->role.len,
		    set->role.ptr);
	gb_buf_addf(out, "listen %.*s %d %d platform %.*s %d\n",
		    (int)set->host.len, set->host.ptr, set->peer_port,
		    set->http_port, (int)set->platform_host.len,
		    set->platform_host.ptr, set->platform_port);
	for (uint32_t i = 0; i < set->node.seeds_len; i++)
		gb_buf_addf(out, "seed %" PRIu32 " %" PRIu32 " %.*s %d\n",
			    set->node.seed_vm[i], set->seeds[i].vm,
			    (int)set->seeds[i].host.len, set->seeds[i].host.ptr,
			    set->seeds[i].port);
	gb_buf_addf(out, "heartbeat %lld lease %lld drift %lld suspect %lld\n",
		    (long long)set->node.heartbeat_interval,
		    (long long)set->node.lease,
		    (long long)set->node.drift_margin,
		    (long long)set->node.suspect_after);
	gb_buf_addf(out, "retention %lld skew %lld queries %" PRIu32 "\n",
		    (long long)set->node.key_retention,
		    (long long)set->node.clock_skew, set->node.queries_max);
	gb_buf_addf(out, "body %zu connections %" PRIu32 " idle %lld\n",
		    set->body_bytes_max, set->http_connections_max,
		    (long long)set->http_idle_timeout);
	gb_buf_addf(out, "severity %d events %zu\n", set->log_severity,
		    set->events_kept);
	gb_buf_addf(out, "apply %lld exclusion %lld stable %lld\n",
		    (long long)set->front.apply_time,
		    (long long)set->front.exclusion_time,
		    (long long)set->front.stable_time);
}

/* Parses the settings text and clears it. */
static void cmd_read(void *data, const struct scr_args *args,
		     struct gb_buf *out)
{
	struct ctx *ctx = data;
	struct set_settings settings;
	struct set_problems problems;

	(void)args;
	if (set_read(gb_buf_str(&ctx->text), &settings, &problems))
		set_problems_text(&problems, GB_STR("t.ini"), out);
	else
		print_settings(&settings, out);
	set_problems_free(&problems);
	set_free(&settings);
	gb_buf_reset(&ctx->text);
}

static void cmd_file(void *data, const struct scr_args *args,
		     struct gb_buf *out)
{
	struct set_settings settings;
	struct set_problems problems;

	(void)data;
	set_read_file(scr_word(args, 0), &settings, &problems);
	set_problems_text(&problems, scr_word(args, 0), out);
	set_problems_free(&problems);
	set_free(&settings);
}

static void cmd_help(void *data, const struct scr_args *args,
		     struct gb_buf *out)
{
	(void)data;
	(void)args;
	set_write_help(out);
}

/* Checks that the manual page contains the output of set_write_manual(). */
static void cmd_manual(void *data, const struct scr_args *args,
		       struct gb_buf *out)
{
	struct gb_buf expected = GB_BUF_INIT;
	char *path = gb_str_to_c(scr_word(args, 0));
	gchar *page = NULL;

	(void)data;
	set_write_manual(&expected);
	if (!g_file_get_contents(path, &page, NULL, NULL))
		gb_buf_add(out, GB_STR("no page\n"));
	else
		gb_buf_addf(out, "%s\n",
			    strstr(page, expected.ptr) ? "equal" : "different");
	g_free(page);
	g_free(path);
	gb_buf_free(&expected);
}

int main(int argc, char **argv)
{
	const struct scr_suite suite = {
		.name = "settings",
		.folder = "packages/settings/tests",
		.commands = commands,
		.commands_len = G_N_ELEMENTS(commands),
		.context_new = open_ctx,
		.context_free = close_ctx,
	};

	return scr_main(argc, argv, &suite);
}
