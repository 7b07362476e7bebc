#ifndef CTL_ENTRY_H
#define CTL_ENTRY_H

/*
 * NAME
 *	ctl-entry - lines of log files, sorted by time
 */

#include "ctl/ctl.h"

/* A log line "TIME VM NAME event=..."; strings point into the file's text. */
struct ctl_log_entry {
	double time; /* seconds of wall time */
	struct gb_str vm;
	struct gb_str event_name; /* of the event */
	struct gb_str text; /* from TIME to the end of the line */
};

struct ctl_logs {
	GArray *entries; /* of struct ctl_log_entry */
	GPtrArray *texts; /* contents of the files, which entries point into */
	uint32_t skipped_lines; /* lines without an event */
};

/*
 * Reads the files that the arguments name and keeps the entries that match the
 * filter. Returns an exit status; logs must be freed in any case.
 */
int ctl_logs_read(const struct ctl_cmdline *cmdline, struct ctl_logs *logs);
void ctl_logs_free(struct ctl_logs *logs);

/* Finds the value of "KEY=VALUE" in a log line; returns false if not found. */
bool ctl_log_value(struct gb_str text, const char *key, struct gb_str *value);

#endif
