#ifndef CTL_H
#define CTL_H

/*
 * NAME
 *	ctl - gentianctl, the command-line tool for operators
 *
 * DESCRIPTION
 *	Each command is one row of the table in ctl-table.c and has a file of
 *	its own. A command gets the parsed command line, sends requests to
 *	servers with ctl_http_run() and returns one of enum ctl_exit.
 */

#include "base/gb.h"
#include "ctl/ctl-http.h"
#include "event/ev.h"

#include <glib.h>

/* Exit status of gentianctl. */
enum ctl_exit {
	CTL_EXIT_DONE = 0,
	CTL_EXIT_REFUSED = 1, /* a server or the tool reported an error */
	CTL_EXIT_USAGE = 2,
	CTL_EXIT_UNREACHABLE = 3, /* no server answered */
	CTL_EXIT_CONFLICT = 4, /* not done: another change came first */
	CTL_EXIT_UNKNOWN = 5 /* the change may have been made */
};

/* Bits of the options that only some commands accept. */
enum ctl_option { CTL_OPT_OUTPUT = 1, CTL_OPT_FILTER = 2 };

/* Most log files on a command line. */
#define CTL_LOGS_MAX 256

/* Parsed command line. */
struct ctl_cmdline {
	GArray *servers; /* of struct ctl_server */
	GArray *args; /* of struct gb_str; those after the command */
	bool json;
	gb_time timeout; /* for the answers of a group of calls */
	unsigned int options; /* bits of enum ctl_option that were given */
	struct gb_str output; /* file of --output; empty if not given */
	struct ev_filter filter;
};

struct ctl_command {
	struct gb_str name;
	struct gb_str usage; /* placeholders of the arguments */
	struct gb_str description;
	guint args_min;
	guint args_max;
	unsigned int options; /* bits of enum ctl_option that it accepts */
	bool hidden; /* not in --help; used by checks of the documentation */
	int (*run)(const struct ctl_cmdline *cmdline);
};

const struct ctl_command *ctl_commands(size_t *len);
/* Returns NULL if there is no command of that name. */
const struct ctl_command *ctl_find_command(struct gb_str name);

int ctl_status(const struct ctl_cmdline *cmdline);
int ctl_plan(const struct ctl_cmdline *cmdline);
int ctl_confirm(const struct ctl_cmdline *cmdline);
int ctl_config(const struct ctl_cmdline *cmdline);
int ctl_timeline(const struct ctl_cmdline *cmdline);
int ctl_metrics(const struct ctl_cmdline *cmdline);
int ctl_check(const struct ctl_cmdline *cmdline);
int ctl_log(const struct ctl_cmdline *cmdline);
int ctl_report(const struct ctl_cmdline *cmdline);
int ctl_state(const struct ctl_cmdline *cmdline);
int ctl_rollouts(const struct ctl_cmdline *cmdline);
int ctl_organisations(const struct ctl_cmdline *cmdline);
int ctl_explain(const struct ctl_cmdline *cmdline);
int ctl_events_catalogue(const struct ctl_cmdline *cmdline);
int ctl_settings_manual(const struct ctl_cmdline *cmdline);

/*
 * Adds the servers of "HOST:PORT,..." without duplicates. Returns -1 if the
 * list is not valid.
 */
int ctl_add_servers(struct ctl_cmdline *cmdline, struct gb_str list);
void ctl_add_server(GArray *servers, struct ctl_server server);

/* Returns the argument at an index, or an empty string. */
struct gb_str ctl_arg(const struct ctl_cmdline *cmdline, guint index);

/* Allocates one call to each server of a list. */
struct ctl_call *ctl_new_calls(const GArray *servers, struct gb_str method,
			       struct gb_str path);

/*
 * Calls the servers in turn until one answers. If at_most_once is set, it also
 * stops after a call that was sent, since the server may have carried it out.
 */
void ctl_call_in_turn(const struct ctl_cmdline *cmdline, struct gb_str method,
		      struct gb_str path, struct gb_str body, bool at_most_once,
		      struct ctl_call *call);

/*
 * Prints the error of a failed call on standard error. Returns the exit status;
 * *code is set to the error code in the answer, GB_ERR_IO without an answer and
 * GB_OK on success.
 */
int ctl_warn_if_failed(const struct ctl_call *call, enum gb_code *code);

/* Output and clock. They are in ctl-io.c, which tests replace. */
void ctl_print(struct gb_str text);
void ctl_warn(struct gb_str text);
gb_time ctl_now(void);
void ctl_pause(gb_time time);

/* Prints "SUBJECT: ERROR" on standard error; returns CTL_EXIT_REFUSED. */
int ctl_warn_error(struct gb_str subject, const struct gb_error *err);

/* Appends the answer of one server as it is printed. */
typedef void (*ctl_format_answer)(const struct ctl_cmdline *cmdline,
				  const struct ctl_call *call,
				  struct gb_buf *text);

/*
 * Sends a GET request to each server at once and prints the answers. Returns
 * CTL_EXIT_DONE if at least one server answered without an error.
 */
int ctl_get_from_all(const struct ctl_cmdline *cmdline, struct gb_str path,
		     ctl_format_answer format_answer);

/* The same with another method, and a body. */
int ctl_ask_all(const struct ctl_cmdline *cmdline, struct gb_str method,
		struct gb_str path, struct gb_str body,
		ctl_format_answer format_answer);

/* Appends a line with the address of the server, then the answer as it is. */
void ctl_format_text(const struct ctl_cmdline *cmdline,
		     const struct ctl_call *call, struct gb_buf *text);

/* Appends "HOST:PORT". */
void ctl_server_text(const struct ctl_server *server, struct gb_buf *out);

/* Appends the contents of a file, or of standard input for "-". */
int ctl_read_file(struct gb_str path, struct gb_buf *out, struct gb_error *err);

#endif
