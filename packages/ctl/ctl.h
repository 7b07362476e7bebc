#ifndef CTL_H
#define CTL_H

/*
 * NAME
 *	ctl - the operators' command line, gentianctl
 *
 * DESCRIPTION
 *	Each command is one row of the table in ctl-table.c and one file. A
 *	command gets the parsed command line, asks servers through
 *	ctl_http_run() and returns one of enum ctl_exit.
 */

#include "base/gb.h"
#include "ctl/ctl-http.h"
#include "event/ev.h"

#include <glib.h>

enum ctl_exit {
	CTL_DONE = 0,
	CTL_REFUSED = 1, /* a typed error */
	CTL_USAGE = 2,
	CTL_UNREACHABLE = 3, /* no server answered */
	CTL_CONFLICT = 4, /* not done: another change came first */
	CTL_UNKNOWN = 5 /* may or may not be done */
};

/* Options that belong to some commands only. */
enum ctl_option { CTL_OPT_OUTPUT = 1, CTL_OPT_FILTER = 2 };

/* Log files that one command reads. */
#define CTL_LOGS_MAX 256

struct ctl_line {
	GArray *servers; /* of struct ctl_server */
	GArray *words; /* of struct gb_str, after the command */
	bool json;
	gb_time timeout;
	unsigned int options; /* those given, of enum ctl_option */
	struct gb_str output;
	struct ev_filter filter;
};

struct ctl_command {
	struct gb_str name;
	struct gb_str usage; /* of the words */
	struct gb_str sentence;
	guint words_min;
	guint words_max;
	unsigned int options;
	bool hidden; /* for the tests of the documentation */
	int (*run)(const struct ctl_line *line);
};

const struct ctl_command *ctl_commands(size_t *len);
const struct ctl_command *ctl_find(struct gb_str name);

int ctl_status(const struct ctl_line *line);
int ctl_plan(const struct ctl_line *line);
int ctl_confirm(const struct ctl_line *line);
int ctl_config(const struct ctl_line *line);
int ctl_timeline(const struct ctl_line *line);
int ctl_metrics(const struct ctl_line *line);
int ctl_check(const struct ctl_line *line);
int ctl_log(const struct ctl_line *line);
int ctl_report(const struct ctl_line *line);
int ctl_state(const struct ctl_line *line);
int ctl_events_catalogue(const struct ctl_line *line);
int ctl_settings_manual(const struct ctl_line *line);

/* Adds "HOST:PORT,..." to the servers; each server is kept once. */
int ctl_add_servers(struct ctl_line *line, struct gb_str list);
void ctl_add_server(GArray *servers, struct ctl_server server);

/* The word at an index; empty if there is none. */
struct gb_str ctl_word(const struct ctl_line *line, guint index);

/* One call to each server of a list. */
struct ctl_call *ctl_calls(const GArray *servers, struct gb_str method,
			   struct gb_str path);

/*
 * Asks the servers in turn until one answers. A call that may have had an
 * effect ends the search if once is set.
 */
void ctl_ask(const struct ctl_line *line, struct gb_str method,
	     struct gb_str path, struct gb_str body, bool once,
	     struct ctl_call *call);

/*
 * Names the fault of a call on standard error, if it has one, and returns the
 * exit status; code gets the typed error of the answer.
 */
int ctl_fault(const struct ctl_call *call, enum gb_code *code);

/* Output and clock, in ctl-shell.c; tests replace them. */
void ctl_print(struct gb_str text);
void ctl_warn(struct gb_str text);
gb_time ctl_now(void);
void ctl_pause(gb_time time);

int ctl_fail(struct gb_str subject, const struct gb_error *err);

/* Appends what the answer of one server shows. */
typedef void (*ctl_show)(const struct ctl_line *line,
			 const struct ctl_call *call, struct gb_buf *text);

/* Gets a path from each server and prints the answers; an exit status. */
int ctl_each(const struct ctl_line *line, struct gb_str path, ctl_show show);

/* Appends the answer as it is, below the name of its server. */
void ctl_show_text(const struct ctl_line *line, const struct ctl_call *call,
		   struct gb_buf *text);

/* Appends "HOST:PORT". */
void ctl_server_text(const struct ctl_server *server, struct gb_buf *out);

/* Reads a file, or standard input for "-". */
int ctl_read(struct gb_str path, struct gb_buf *out, struct gb_error *err);

#endif
