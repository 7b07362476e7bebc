#include "json/js.h"
#include "script/scr.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>

/* The text that the commands about configurations start from. */
static const char base_config[] =
	"{\"epoch\":1,\"dcs\":[{\"name\":\"dc-a\",\"region\":\"luzon\","
	"\"out\":false,\"returned_ms\":0},{\"name\":\"dc-b\",\"region\":\"\","
	"\"out\":true,\"returned_ms\":17}],\"vms\":[{\"id\":1,"
	"\"name\":\"vm-1\",\"host\":\"127.0.0.1\",\"peer_port\":7101,"
	"\"http_port\":8101,\"dc\":\"dc-a\"}],\"services\":[{"
	"\"name\":\"bench-assist\",\"policy\":\"latency\",\"priority\":0,"
	"\"hedge_permille\":30,\"deadline_ms\":200,\"canary\":true,"
	"\"limits\":{\"slots\":2,\"queue\":1,\"connections\":25,"
	"\"cold_slots\":1,\"ramp_ms\":2000},\"shards\":[{\"replicas\":[{"
	"\"name\":\"ba-0-0\",\"host\":\"127.0.0.1\",\"port\":9000,"
	"\"dc\":\"dc-b\",\"draining\":false}]}],\"snapshots\":[{\"id\":1,"
	"\"docs\":[120]}]}],\"changes\":[\"00000000000000ff\"]}";

static void *open_ctx(void);
static void close_ctx(void *ctx);
static void print_error(const struct gb_error *err, struct gb_buf *out);
static void cmd_config(void *ctx, const struct scr_args *args,
		       struct gb_buf *out);
static void cmd_edit(void *ctx, const struct scr_args *args,
		     struct gb_buf *out);
static void cmd_prefixes(void *ctx, const struct scr_args *args,
			 struct gb_buf *out);
static void cmd_mutate(void *ctx, const struct scr_args *args,
		       struct gb_buf *out);

static const struct scr_command commands[] = {
	{ .name = { "config", 6 }, .run = cmd_config },
	{ .name = { "edit", 4 }, .run = cmd_edit },
	{ .name = { "prefixes", 8 }, .run = cmd_prefixes },
	{ .name = { "mutate", 6 }, .run = cmd_mutate },
};

static void *open_ctx(void)
{
	return NULL;
}

static void close_ctx(void *ctx)
{
	(void)ctx;
}

static void print_error(const struct gb_error *err, struct gb_buf *out)
{
	struct gb_str name = gb_code_name(err->code);

	gb_buf_addf(out, "%.*s: %.*s (%" PRId64 ")\n", (int)name.len, name.ptr,
		    (int)err->subject_len, err->subject, err->number);
}

/* Decodes and encodes the text; tells whether it came back unchanged. */
static void cmd_config(void *ctx, const struct scr_args *args,
		       struct gb_buf *out)
{
	struct gb_str text =
		args->len ? scr_word(args, 0) : gb_str_from_c(base_config);
	struct gb_error err = { 0 };
	struct cfg *cfg = js_config_decode(text, &err);
	struct gb_buf back = GB_BUF_INIT;

	(void)ctx;
	if (!cfg) {
		print_error(&err, out);
		return;
	}
	js_config_encode(cfg, &back);
	if (gb_str_eq(gb_buf_str(&back), text))
		gb_buf_add(out, GB_STR("unchanged"));
	else
		gb_buf_add(out, gb_buf_str(&back));
	gb_buf_addc(out, '\n');
	gb_buf_free(&back);
	cfg_unref(cfg);
}

/* Replaces the first occurrence of one word by another, then decodes. */
static void cmd_edit(void *ctx, const struct scr_args *args, struct gb_buf *out)
{
	char *from = gb_str_to_c(scr_word(args, 0));
	const char *at = strstr(base_config, from);
	struct gb_error err = { 0 };
	struct gb_buf text = GB_BUF_INIT;
	struct cfg *cfg;

	(void)ctx;
	g_assert_nonnull(at);
	gb_buf_add(&text,
		   gb_str_sub(gb_str_from_c(base_config), 0, at - base_config));
	gb_buf_add(&text, scr_word(args, 1));
	gb_buf_add(&text, gb_str_from_c(at + strlen(from)));
	cfg = js_config_decode(gb_buf_str(&text), &err);
	if (cfg)
		gb_buf_add(out, GB_STR("accepted\n"));
	else
		print_error(&err, out);
	cfg_unref(cfg);
	gb_buf_free(&text);
	g_free(from);
}

/* Guards against a cut object being taken for a whole one. */
static void cmd_prefixes(void *ctx, const struct scr_args *args,
			 struct gb_buf *out)
{
	struct gb_str text = gb_str_from_c(base_config);
	int accepted = 0;

	(void)ctx;
	(void)args;
	for (size_t i = 0; i < text.len; i++) {
		struct gb_error err = { 0 };
		struct cfg *cfg =
			js_config_decode(gb_str_sub(text, 0, i), &err);

		accepted += cfg != NULL || err.code != GB_ERR_SYNTAX;
		cfg_unref(cfg);
	}
	gb_buf_addf(out, "%d accepted\n", accepted);
}

/*
 * Guards against crashes on damaged objects, refusals without a code, and
 * accepted ones that do not survive a second round.
 */
static void cmd_mutate(void *ctx, const struct scr_args *args,
		       struct gb_buf *out)
{
	struct gb_rng rng = { .state = scr_int(args, GB_STR("seed"), 1) };
	int64_t count = scr_int(args, GB_STR("count"), 1000);
	int untyped = 0, unstable = 0;

	(void)ctx;
	for (int64_t i = 0; i < count; i++) {
		struct gb_str text = gb_str_dup(gb_str_from_c(base_config));
		struct gb_buf first = GB_BUF_INIT, second = GB_BUF_INIT;
		struct gb_error err = { 0 };
		struct cfg *cfg, *again = NULL;

		for (int k = gb_rng_below(&rng, 3); k >= 0; k--)
			((char *)text.ptr)[gb_rng_below(&rng, text.len)] =
				" \"0129{}[],:aZ\\\xff"[gb_rng_below(&rng, 16)];
		cfg = js_config_decode(text, &err);
		untyped += !cfg && err.code == GB_OK;
		if (cfg) {
			js_config_encode(cfg, &first);
			again = js_config_decode(gb_buf_str(&first), &err);
		}
		if (again)
			js_config_encode(again, &second);
		unstable += !gb_str_eq(gb_buf_str(&first), gb_buf_str(&second));
		cfg_unref(again);
		cfg_unref(cfg);
		gb_buf_free(&first);
		gb_buf_free(&second);
		gb_str_free(&text);
	}
	gb_buf_addf(out, "%d untyped, %d unstable\n", untyped, unstable);
}

int main(int argc, char **argv)
{
	const struct scr_suite suite = {
		.name = "json",
		.folder = "packages/json/tests",
		.commands = commands,
		.commands_len = G_N_ELEMENTS(commands),
		.open = open_ctx,
		.close = close_ctx,
	};

	return scr_main(argc, argv, &suite);
}
