#include "ctl/ctl.h"

#include <argp.h>
#include <signal.h>
#include <stdlib.h>
#include <unistd.h>

#define DEFAULT_SERVER "127.0.0.1:8101"
#define SERVER_VARIABLE "GENTIANBEND_SERVER"

enum key { KEY_REQUEST = 256, KEY_UPSTREAM, KEY_DC, KEY_VM };

struct parse {
	struct ctl_line line;
	struct gb_str command;
};

static error_t parse_option(int key, char *arg, struct argp_state *state);
static void parse_timeout(struct parse *parse, struct gb_str text,
			  struct argp_state *state);
static void parse_vm(struct parse *parse, struct gb_str text,
		     struct argp_state *state);
static int add_default_server(struct ctl_line *line);
static char *make_doc(void);
static int check_line(const struct ctl_command *command,
		      const struct ctl_line *line);
static int run(const struct parse *parse);

static const struct argp_option options[] = {
	{ .name = "server",
	  .key = 's',
	  .arg = "HOST:PORT",
	  .doc = "Server to ask; may be repeated or be a list with commas "
		 "(default " DEFAULT_SERVER " or $" SERVER_VARIABLE ")" },
	{ .name = "json", .key = 'j', .doc = "Print JSON" },
	{ .name = "timeout-ms",
	  .key = 't',
	  .arg = "MS",
	  .doc = "Time for all answers (default 10000)" },
	{ .name = "output",
	  .key = 'o',
	  .arg = "FILE",
	  .doc = "plan: save the plan for confirm; report: draw an SVG or PNG" },
	{ .name = "request",
	  .key = KEY_REQUEST,
	  .arg = "ID",
	  .doc = "timeline: events of this request only" },
	{ .name = "upstream",
	  .key = KEY_UPSTREAM,
	  .arg = "NAME",
	  .doc = "timeline: events of this upstream only" },
	{ .name = "dc",
	  .key = KEY_DC,
	  .arg = "NAME",
	  .doc = "timeline: events of this data centre only" },
	{ .name = "vm",
	  .key = KEY_VM,
	  .arg = "ID",
	  .doc = "timeline: events of this VM only" },
	{ 0 }
};

static void parse_timeout(struct parse *parse, struct gb_str text,
			  struct argp_state *state)
{
	int64_t number;

	if (gb_str_to_int(text, 1, 3600000, &number))
		argp_error(state, "--timeout-ms takes 1 to 3600000");
	else
		parse->line.timeout = number * GB_MSEC;
}

static void parse_vm(struct parse *parse, struct gb_str text,
		     struct argp_state *state)
{
	if (gb_str_to_int(text, 0, UINT32_MAX, &parse->line.filter.vm))
		argp_error(state, "--vm takes the number of a VM");
	parse->line.options |= CTL_OPT_FILTER;
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct parse *parse = state->input;
	struct ctl_line *line = &parse->line;
	struct gb_str text = gb_str_from_c(arg);

	switch (key) {
	case 's':
		if (ctl_add_servers(line, text))
			argp_error(state, "--server takes HOST:PORT, with the "
					  "host as IP number");
		return 0;
	case 'j':
		line->json = true;
		return 0;
	case 't':
		parse_timeout(parse, text, state);
		return 0;
	case 'o':
		line->output = text;
		line->options |= CTL_OPT_OUTPUT;
		return 0;
	case KEY_REQUEST:
		line->filter.request = text;
		line->options |= CTL_OPT_FILTER;
		return 0;
	case KEY_UPSTREAM:
		line->filter.upstream = text;
		line->options |= CTL_OPT_FILTER;
		return 0;
	case KEY_DC:
		line->filter.dc = text;
		line->options |= CTL_OPT_FILTER;
		return 0;
	case KEY_VM:
		parse_vm(parse, text, state);
		return 0;
	case ARGP_KEY_ARG:
		if (state->arg_num)
			g_array_append_val(line->words, text);
		else
			parse->command = text;
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* A wrong variable is an error: the default could be another server. */
static int add_default_server(struct ctl_line *line)
{
	struct gb_str named = gb_str_from_c(getenv(SERVER_VARIABLE));

	if (line->servers->len)
		return 0;
	if (!named.len)
		named = GB_STR(DEFAULT_SERVER);
	if (!ctl_add_servers(line, named))
		return 0;
	ctl_warn(GB_STR(SERVER_VARIABLE " is not HOST:PORT with the host as "
					"IP number"));
	return -1;
}

/* Makes the text of --help from the command table. */
static char *make_doc(void)
{
	const struct ctl_command *commands;
	struct gb_buf doc = GB_BUF_INIT;
	size_t len;

	commands = ctl_commands(&len);
	gb_buf_add(&doc, GB_STR("Operate gentianbend.\vCommands:\n"));
	for (size_t i = 0; i < len; i++) {
		if (commands[i].hidden)
			continue;
		gb_buf_addf(&doc, "  %.*s %.*s\n      %.*s\n",
			    (int)commands[i].name.len, commands[i].name.ptr,
			    (int)commands[i].usage.len, commands[i].usage.ptr,
			    (int)commands[i].sentence.len,
			    commands[i].sentence.ptr);
	}
	gb_buf_add(&doc, GB_STR("\nExit status: 0 done, 1 refused, 2 usage, 3 "
				"no server reachable, 4 conflict, 5 outcome "
				"unknown."));
	return doc.ptr;
}

/* Refuses words and options that the command has no use for. */
static int check_line(const struct ctl_command *command,
		      const struct ctl_line *line)
{
	struct gb_buf text = GB_BUF_INIT;

	if (!command) {
		ctl_warn(GB_STR("unknown command; see --help"));
		return -1;
	}
	if (line->words->len >= command->words_min &&
	    line->words->len <= command->words_max &&
	    !(line->options & ~command->options))
		return 0;
	gb_buf_addf(&text, "usage: gentianctl %.*s %.*s%s",
		    (int)command->name.len, command->name.ptr,
		    (int)command->usage.len, command->usage.ptr,
		    line->options & ~command->options
			    ? " (without the options of other commands)"
			    : "");
	ctl_warn(gb_buf_str(&text));
	gb_buf_free(&text);
	return -1;
}

static int run(const struct parse *parse)
{
	const struct ctl_command *command = ctl_find(parse->command);

	if (check_line(command, &parse->line))
		return CTL_USAGE;
	return command->run(&parse->line);
}

int main(int argc, char **argv)
{
	/* A server looks 5 s for the outcome of a write before it answers. */
	struct parse parse = { .line.timeout = 10 * GB_SEC,
			       .line.filter.vm = -1 };
	struct argp argp = { .options = options,
			     .parser = parse_option,
			     .args_doc = "COMMAND [WORD...]" };
	char *doc = make_doc();
	int status;

	signal(SIGPIPE, SIG_IGN);
	argp_err_exit_status = CTL_USAGE;
	argp.doc = doc;
	parse.line.servers =
		g_array_new(FALSE, FALSE, sizeof(struct ctl_server));
	parse.line.words = g_array_new(FALSE, FALSE, sizeof(struct gb_str));
	argp_parse(&argp, argc, argv, 0, NULL, &parse);
	status = add_default_server(&parse.line) ? CTL_USAGE : run(&parse);
	g_array_free(parse.line.servers, TRUE);
	g_array_free(parse.line.words, TRUE);
	g_free(doc);
	return status;
}
