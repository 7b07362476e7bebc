#include "ctl/ctl.h"

#include <argp.h>
#include <signal.h>
#include <stdlib.h>
#include <unistd.h>

#define DEFAULT_SERVER "127.0.0.1:8101"
#define SERVER_VARIABLE "GENTIANBEND_SERVER"

enum key { KEY_REQUEST = 256, KEY_UPSTREAM, KEY_DC, KEY_VM };

struct parse_state {
	struct ctl_cmdline cmdline;
	struct gb_str command;
};

static error_t parse_option(int key, char *arg, struct argp_state *state);
static void parse_timeout(struct parse_state *parse, struct gb_str text,
			  struct argp_state *state);
static void parse_vm(struct parse_state *parse, struct gb_str text,
		     struct argp_state *state);
static int add_default_server(struct ctl_cmdline *cmdline);
static char *make_help(void);
static int check_cmdline(const struct ctl_command *command,
			 const struct ctl_cmdline *cmdline);
static int run_command(const struct parse_state *parse);

static const struct argp_option options[] = {
	{ .name = "server",
	  .key = 's',
	  .arg = "HOST:PORT",
	  .doc = "Server to query; may be repeated or be a "
		 "comma-separated list (default " DEFAULT_SERVER
		 " or $" SERVER_VARIABLE ")" },
	{ .name = "json", .key = 'j', .doc = "Print JSON" },
	{ .name = "timeout-ms",
	  .key = 't',
	  .arg = "MS",
	  .doc = "Time limit for the answers (default 10000)" },
	{ .name = "output",
	  .key = 'o',
	  .arg = "FILE",
	  .doc = "plan: save the plan for confirm; report: write a "
		 "chart as SVG or PNG" },
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

static void parse_timeout(struct parse_state *parse, struct gb_str text,
			  struct argp_state *state)
{
	int64_t number;

	if (gb_str_to_int(text, 1, 3600000, &number))
		argp_error(state, "--timeout-ms takes 1 to 3600000");
	else
		parse->cmdline.timeout = number * GB_MSEC;
}

static void parse_vm(struct parse_state *parse, struct gb_str text,
		     struct argp_state *state)
{
	if (gb_str_to_int(text, 0, UINT32_MAX, &parse->cmdline.filter.vm))
		argp_error(state, "--vm takes the number of a VM");
	parse->cmdline.options |= CTL_OPT_FILTER;
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct parse_state *parse = state->input;
	struct ctl_cmdline *cmdline = &parse->cmdline;
	struct gb_str text = gb_str_from_c(arg);

	switch (key) {
	case 's':
		if (ctl_add_servers(cmdline, text))
			argp_error(state, "--server takes HOST:PORT, with a "
					  "numeric IP address as host");
		return 0;
	case 'j':
		cmdline->json = true;
		return 0;
	case 't':
		parse_timeout(parse, text, state);
		return 0;
	case 'o':
		cmdline->output = text;
		cmdline->options |= CTL_OPT_OUTPUT;
		return 0;
	case KEY_REQUEST:
		cmdline->filter.request = text;
		cmdline->options |= CTL_OPT_FILTER;
		return 0;
	case KEY_UPSTREAM:
		cmdline->filter.upstream = text;
		cmdline->options |= CTL_OPT_FILTER;
		return 0;
	case KEY_DC:
		cmdline->filter.dc = text;
		cmdline->options |= CTL_OPT_FILTER;
		return 0;
	case KEY_VM:
		parse_vm(parse, text, state);
		return 0;
	case ARGP_KEY_ARG:
		if (state->arg_num)
			g_array_append_val(cmdline->args, text);
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

/*
 * Adds the server of the environment variable or the default server. A value
 * that is not valid is an error, because the default could be another server.
 */
static int add_default_server(struct ctl_cmdline *cmdline)
{
	struct gb_str variable = gb_str_from_c(getenv(SERVER_VARIABLE));

	if (cmdline->servers->len)
		return 0;
	if (!variable.len)
		variable = GB_STR(DEFAULT_SERVER);
	if (!ctl_add_servers(cmdline, variable))
		return 0;
	ctl_warn(GB_STR(SERVER_VARIABLE " is not HOST:PORT with a numeric IP "
					"address as host"));
	return -1;
}

/* Makes the text of --help from the command table; the caller frees it. */
static char *make_help(void)
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
			    (int)commands[i].description.len,
			    commands[i].description.ptr);
	}
	gb_buf_add(&doc, GB_STR("\nExit status: 0 done, 1 refused, 2 usage, 3 "
				"no server reachable, 4 conflict, 5 outcome "
				"unknown."));
	return doc.ptr;
}

/* Rejects unknown commands, and arguments and options that don't fit. */
static int check_cmdline(const struct ctl_command *command,
			 const struct ctl_cmdline *cmdline)
{
	struct gb_buf text = GB_BUF_INIT;

	if (!command) {
		ctl_warn(GB_STR("unknown command; see --help"));
		return -1;
	}
	if (cmdline->args->len >= command->args_min &&
	    cmdline->args->len <= command->args_max &&
	    !(cmdline->options & ~command->options))
		return 0;
	gb_buf_addf(&text, "usage: gentianctl %.*s %.*s%s",
		    (int)command->name.len, command->name.ptr,
		    (int)command->usage.len, command->usage.ptr,
		    cmdline->options & ~command->options
			    ? " (an option of another command was given)"
			    : "");
	ctl_warn(gb_buf_str(&text));
	gb_buf_free(&text);
	return -1;
}

static int run_command(const struct parse_state *parse)
{
	const struct ctl_command *command = ctl_find_command(parse->command);

	if (check_cmdline(command, &parse->cmdline))
		return CTL_EXIT_USAGE;
	return command->run(&parse->cmdline);
}

int main(int argc, char **argv)
{
	/*
	 * The timeout is longer than the 5 s that a server may take to find the
	 * outcome of a write.
	 */
	struct parse_state parse = { .cmdline.timeout = 10 * GB_SEC,
				     .cmdline.filter.vm = -1 };
	struct argp argp = { .options = options,
			     .parser = parse_option,
			     .args_doc = "COMMAND [WORD...]" };
	char *doc = make_help();
	int status;

	signal(SIGPIPE, SIG_IGN);
	argp_err_exit_status = CTL_EXIT_USAGE;
	argp.doc = doc;
	parse.cmdline.servers =
		g_array_new(FALSE, FALSE, sizeof(struct ctl_server));
	parse.cmdline.args = g_array_new(FALSE, FALSE, sizeof(struct gb_str));
	argp_parse(&argp, argc, argv, 0, NULL, &parse);
	status = add_default_server(&parse.cmdline) ? CTL_EXIT_USAGE
						    : run_command(&parse);
	g_array_free(parse.cmdline.servers, TRUE);
	g_array_free(parse.cmdline.args, TRUE);
	g_free(doc);
	return status;
}
