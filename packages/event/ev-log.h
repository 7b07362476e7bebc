#ifndef EV_LOG_H
#define EV_LOG_H

/*
 * NAME
 *	ev_log - a log of events on a descriptor, with a bound on its volume
 *
 * DESCRIPTION
 *	Lines are collected and written together, by ev_log_flush(). Nothing
 *	here blocks: what the descriptor does not take stays in the buffer, and
 *	when that is full, lines are dropped and counted. Lines of severity
 *	EV_INFO and below also draw on a bucket of lines a second, so that a
 *	storm of requests leaves room for the rest.
 */

#include "event/ev.h"

struct ev_log {
	int fd;
	enum ev_severity severity; /* the least severe that is written */
	struct gb_str name; /* of this VM */
	uint32_t rate; /* lines/s of severity EV_INFO and below */
	double tokens;
	gb_time tokens_at;
	uint64_t dropped; /* since the last line that told it */
	struct gb_buf buf;
};

void ev_log_init(struct ev_log *log, int fd, struct gb_str name,
		 enum ev_severity severity, uint32_t rate);
void ev_log_add(struct ev_log *log, const struct ev_event *event, gb_time now);
void ev_log_flush(struct ev_log *log);
void ev_log_free(struct ev_log *log);

/* Writes what the descriptor takes without blocking and keeps the rest. */
void ev_write(int fd, struct gb_buf *buf);

#endif
