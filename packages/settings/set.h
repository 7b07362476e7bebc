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
	struct nd_settings node; /* the daemon sets incarnation and seed */
	struct gb_str name; /* of this VM */
	struct gb_str role; /* "entry" or "front" */
	struct gb_str host; /* address that this VM listens on */
	uint16_t peer_port;
	uint16_t http_port;
	struct gb_str platform_host;
	uint16_t platform_port;
	struct set_peer seeds[CFG_VMS_MAX]; /* node.seed_vm holds their ids */
	size_t body_bytes_max; /* largest body of a request */
	uint32_t http_connections_max;
	gb_time http_idle_timeout; /* after which a connection is closed */
	size_t events_kept;
	int log_severity; /* highest value of enum ev_severity that is logged */
	struct fr_settings front; /* of a VM of role "front" */
};

/* One error in a settings file. */
struct set_problem {
	struct gb_error error;
	uint32_t line; /* 0 if the error belongs to no line */
	struct gb_str section;
	struct gb_str key;
	struct gb_str value;
	struct gb_str allowed; /* description of the allowed values */
};

struct set_problems {
	GArray *list; /* of struct set_problem; strings are owned */
};

/*
 * Parses the text of a settings file. All errors are collected in problems;
 * returns -1 if there are any. settings and problems must be freed in any case.
 */
int set_read(struct gb_str text, struct set_settings *settings,
	     struct set_problems *problems);
int set_read_file(struct gb_str path, struct set_settings *settings,
		  struct set_problems *problems);

/* Appends "FILE:LINE: [SECTION] KEY = VALUE: ... (allowed: ...)\n" lines. */
void set_problems_text(const struct set_problems *problems, struct gb_str file,
		       struct gb_buf *out);
void set_problems_free(struct set_problems *problems);
void set_free(struct set_settings *settings);

/* Appends the description of all options, as plain text and as mdoc(7). */
void set_write_help(struct gb_buf *out);
void set_write_manual(struct gb_buf *out);

#endif
