#include "ctl/ctl.h"
#include "script/scr.h"

#include <glib/gstdio.h>
#include <inttypes.h>
#include <unistd.h>

/*
 * Runs the commands without ctl-http.c and ctl-io.c: calls are answered from
 * a list of prepared answers, output is compared with the expected file, and
 * the clock advances only in ctl_pause().
 */

/* A prepared answer to one call; the first match in the list is used. */
struct answer {
	uint16_t port;
	struct gb_str path;
	enum ctl_delivery delivery;
	int status;
	uint64_t version;
	struct gb_str body;
	bool keep; /* answers any number of calls */
	bool used;
};

static GArray *answers; /* of struct answer */
static struct gb_buf *output;
static char *temp_path;
static gb_time now;

static void *open_ctx(void);
static void close_ctx(void *ctx);
static struct answer *find_answer(const struct ctl_call *call);
static void answer_call(struct ctl_call *call);
static enum ctl_delivery delivery_from_name(struct gb_str name);
static void set_filter(struct ctl_cmdline *cmdline,
		       const struct scr_args *args);
static void cmd_answer(void *ctx, const struct scr_args *args,
		       struct gb_buf *out);
static void cmd_file(void *ctx, const struct scr_args *args,
		     struct gb_buf *out);
static void cmd_print_file(void *ctx, const struct scr_args *args,
			   struct gb_buf *out);
static void cmd_run(void *ctx, const struct scr_args *args, struct gb_buf *out);
static void cmd_servers(void *ctx, const struct scr_args *args,
			struct gb_buf *out);

static const struct scr_command commands[] = {
	{ .name = GB_STR_INIT("answer"), .run = cmd_answer },
	{ .name = GB_STR_INIT("file"), .run = cmd_file },
	{ .name = GB_STR_INIT("saved"), .run = cmd_print_file },
	{ .name = GB_STR_INIT("run"), .run = cmd_run },
	{ .name = GB_STR_INIT("servers"), .run = cmd_servers },
};

static void *open_ctx(void)
{
	answers = g_array_new(FALSE, TRUE, sizeof(struct answer));
	temp_path = g_strdup_printf("%s/ctl-test-%d", g_get_tmp_dir(),
				    (int)getpid());
	return NULL;
}

static void close_ctx(void *ctx)
{
	(void)ctx;
	for (guint i = 0; i < answers->len; i++) {
		struct answer *answer =
			&g_array_index(answers, struct answer, i);

		gb_str_free(&answer->path);
		gb_str_free(&answer->body);
	}
	g_array_free(answers, TRUE);
	g_unlink(temp_path);
	g_free(temp_path);
}

static struct answer *find_answer(const struct ctl_call *call)
{
	for (guint i = 0; i < answers->len; i++) {
		struct answer *answer =
			&g_array_index(answers, struct answer, i);

		if (!answer->used && answer->port == call->server.port &&
		    gb_str_eq(answer->path, call->path))
			return answer;
	}
	return NULL;
}

/* A call without a prepared answer fails as if there were no server. */
static void answer_call(struct ctl_call *call)
{
	struct answer *answer = find_answer(call);

	gb_buf_addf(output, "%.*s %d%.*s %.*s\n", (int)call->method.len,
		    call->method.ptr, call->server.port, (int)call->path.len,
		    call->path.ptr, (int)call->body.len, call->body.ptr);
	call->delivery = answer ? answer->delivery : CTL_NOT_SENT;
	if (call->delivery != CTL_ANSWERED) {
		call->cause = call->delivery == CTL_NOT_SENT
				      ? GB_STR("no server")
				      : GB_STR("lost");
	} else {
		call->status = answer->status;
		call->version = answer->version;
		gb_buf_add(&call->answer, answer->body);
	}
	if (answer)
		answer->used = !answer->keep;
}

void ctl_http_run(struct ctl_call *calls, size_t len, gb_time timeout)
{
	(void)timeout;
	for (size_t i = 0; i < len; i++)
		answer_call(&calls[i]);
}

void ctl_http_free(struct ctl_call *calls, size_t len)
{
	for (size_t i = 0; i < len; i++)
		gb_buf_free(&calls[i].answer);
}

void ctl_print(struct gb_str text)
{
	gb_buf_add(output, text);
}

/* Shows the path of the temporary file as "@", as it differs between runs. */
void ctl_warn(struct gb_str text)
{
	struct gb_str path = gb_str_from_c(temp_path);

	gb_buf_add(output, GB_STR("warning: "));
	while (text.len) {
		bool is_path = gb_str_starts_with(text, path);
		size_t len = is_path ? path.len : 1;

		gb_buf_addc(output, is_path ? '@' : text.ptr[0]);
		text = gb_str_sub(text, len, text.len);
	}
	gb_buf_addc(output, '\n');
}

gb_time ctl_now(void)
{
	return now;
}

void ctl_pause(gb_time time)
{
	now += time;
}

static enum ctl_delivery delivery_from_name(struct gb_str name)
{
	if (gb_str_eq(name, GB_STR("lost")))
		return CTL_NO_ANSWER;
	return gb_str_eq(name, GB_STR("down")) ? CTL_NOT_SENT : CTL_ANSWERED;
}

/* Returns a copy with spaces for "~" and line ends for "|". */
static struct gb_str decode_text(struct gb_str text)
{
	struct gb_str copy = gb_str_dup(text);

	for (size_t i = 0; i < copy.len; i++) {
		char *c = (char *)&copy.ptr[i];

		*c = *c == '~' ? ' ' : *c == '|' ? '\n' : *c;
	}
	return copy;
}

static void cmd_answer(void *ctx, const struct scr_args *args,
		       struct gb_buf *out)
{
	struct gb_str text = scr_str(args, GB_STR("text"), GB_STR(""));
	struct answer answer = {
		.port = scr_int(args, GB_STR("port"), 1),
		.path = gb_str_dup(scr_str(args, GB_STR("path"), GB_STR(""))),
		.delivery = delivery_from_name(
			scr_str(args, GB_STR("delivery"), GB_STR("answered"))),
		.status = scr_int(args, GB_STR("status"), 200),
		.version = scr_int(args, GB_STR("version"), 0),
		.body = gb_str_dup(scr_str(args, GB_STR("body"), GB_STR(""))),
		.keep = scr_int(args, GB_STR("keep"), 0),
	};

	(void)ctx;
	(void)out;
	if (text.len) {
		gb_str_free(&answer.body);
		answer.body = decode_text(text);
	}
	g_array_append_val(answers, answer);
}

/* Writes the temporary file, which "@" stands for in a command line. */
static void cmd_file(void *ctx, const struct scr_args *args, struct gb_buf *out)
{
	struct gb_str text = scr_word(args, 0);

	(void)ctx;
	(void)out;
	g_assert_true(g_file_set_contents(temp_path, text.ptr, text.len, NULL));
}

static void cmd_print_file(void *ctx, const struct scr_args *args,
			   struct gb_buf *out)
{
	gchar *text = NULL;

	(void)ctx;
	(void)args;
	g_file_get_contents(temp_path, &text, NULL, NULL);
	gb_buf_addf(out, "%s\n", text ? text : "none");
	g_free(text);
}

static void set_filter(struct ctl_cmdline *cmdline, const struct scr_args *args)
{
	cmdline->filter = (struct ev_filter){
		.request = scr_str(args, GB_STR("--request"), GB_STR("")),
		.upstream = scr_str(args, GB_STR("--upstream"), GB_STR("")),
		.dc = scr_str(args, GB_STR("--dc"), GB_STR("")),
		.vm = scr_int(args, GB_STR("--vm"), -1),
	};
}

/* Runs a command; words that start with "--" are options. */
static void cmd_run(void *ctx, const struct scr_args *args, struct gb_buf *out)
{
	struct ctl_cmdline cmdline = { .timeout = 300 * GB_MSEC };
	const struct ctl_command *command = ctl_find_command(scr_word(args, 0));
	struct gb_str file = gb_str_from_c(temp_path);

	(void)ctx;
	output = out;
	cmdline.servers = g_array_new(FALSE, FALSE, sizeof(struct ctl_server));
	cmdline.args = g_array_new(FALSE, FALSE, sizeof(struct gb_str));
	ctl_add_servers(&cmdline, scr_str(args, GB_STR("--server"),
					  GB_STR("127.0.0.1:1")));
	cmdline.json = scr_str(args, GB_STR("--json"), GB_STR("")).len > 0;
	if (scr_str(args, GB_STR("--output"), GB_STR("")).len)
		cmdline.output = file;
	set_filter(&cmdline, args);
	for (size_t i = 1; i < args->len; i++) {
		struct gb_str word = args->word[i];

		if (gb_str_starts_with(word, GB_STR("--")))
			continue;
		if (gb_str_eq(word, GB_STR("@")))
			word = file;
		g_array_append_val(cmdline.args, word);
	}
	g_assert_nonnull(command);
	gb_buf_addf(out, "exit %d\n", command->run(&cmdline));
	g_array_free(cmdline.servers, TRUE);
	g_array_free(cmdline.args, TRUE);
}

static void cmd_servers(void *ctx, const struct scr_args *args,
			struct gb_buf *out)
{
	struct ctl_cmdline cmdline = { 0 };

	(void)ctx;
	cmdline.servers = g_array_new(FALSE, FALSE, sizeof(struct ctl_server));
	if (ctl_add_servers(&cmdline, scr_word(args, 0)))
		gb_buf_add(out, GB_STR("refused"));
	for (guint i = 0; i < cmdline.servers->len; i++) {
		gb_buf_addc(out, ' ');
		ctl_server_text(
			&g_array_index(cmdline.servers, struct ctl_server, i),
			out);
	}
	gb_buf_addc(out, '\n');
	g_array_free(cmdline.servers, TRUE);
}

int main(int argc, char **argv)
{
	const struct scr_suite suite = {
		.name = "ctl",
		.folder = "packages/ctl/tests",
		.commands = commands,
		.commands_len = G_N_ELEMENTS(commands),
		.context_new = open_ctx,
		.context_free = close_ctx,
	};

	return scr_main(argc, argv, &suite);
}
