#ifndef SET_H
#define SET_H

/*
 * NAME
 *	set - settings of the daemon, read from an INI file
 *
 * DESCRIPTION
 *	One option table holds section, key, type, default, allowed range and
 *	one sentence for each option. It serves reading, checking, --help and
 *	the manual page. Unknown sections and keys are errors.
 */

#include "base/gb.h"
#include "front/fr.h"
#include "node/nd.h"

struct set_peer {
	uint32_t vm;
	struct gb_str host;
	uint16_t port;
};

struct set_settings {
	struct nd_settings node; /* incarnation and seed come from the shell */
	struct gb_str name; /* of this VM */
	struct gb_str role; /* "entry" or "front" */
	struct gb_str host; /* address to listen on */
	uint16_t peer_port;
	uint16_t http_port;
	struct gb_str platform_host;
	uint16_t platform_port;
	struct set_peer seeds[CFG_VMS_MAX]; /* node.seed_vm has their ids */
	size_t body_max; /* bytes of a request body */
	uint32_t http_connections_max;
	gb_time http_idle; /* until an idle connection is closed */
	size_t events_kept;
	int log_severity; /* highest enum ev_severity that is printed */
	struct fr_settings front; /* of a VM with role "front" */
};

/* One fault of a settings file. */
struct set_problem {
	struct gb_error error;
	uint32_t line;
	struct gb_str section;
	struct gb_str key;
	struct gb_str value;
	struct gb_str allowed; /* range or choices, for people */
};

struct set_problems {
	GArray *list; /* of struct set_problem; strings are owned */
};

/* Reads text as a settings file; returns 0 if it has no problem. */
int set_read(struct gb_str text, struct set_settings *settings,
	     struct set_problems *problems);
int set_read_file(struct gb_str path, struct set_settings *settings,
		  struct set_problems *problems);

/* Appends "FILE:LINE: [SECTION] KEY = VALUE: ... (allowed: ...)\n" lines. */
void set_problems_text(const struct set_problems *problems, struct gb_str file,
		       struct gb_buf *out);
void set_problems_free(struct set_problems *problems);
void set_free(struct set_settings *settings);

/* Appends the options for --help and for the manual page (mdoc rows). */
void set_help(struct gb_buf *out);
void set_manual(struct gb_buf *out);

#endif
