#ifndef CTL_ENTRY_H
#define CTL_ENTRY_H

/*
 * NAME
 *	ctl_entry - lines of log files, in the order of their times
 */

#include "ctl/ctl.h"

/* A line "TIME VM NAME event=..." of a log; strings point into the text. */
struct ctl_entry {
	double time; /* seconds of wall time */
	struct gb_str vm;
	struct gb_str name; /* of the event */
	struct gb_str text; /* from the time on */
};

struct ctl_logs {
	GArray *entries; /* of struct ctl_entry */
	GPtrArray *texts; /* of gchar */
	uint32_t skipped; /* lines without an event */
};

/* Reads the files that the words name; returns an exit status. */
int ctl_logs_read(const struct ctl_line *line, struct ctl_logs *logs);
void ctl_logs_free(struct ctl_logs *logs);

/* Finds "KEY=VALUE" among the words of a line. */
bool ctl_entry_value(struct gb_str text, const char *key, struct gb_str *value);

#endif
