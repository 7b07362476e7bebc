#ifndef EV_LOG_H
#define EV_LOG_H

/*
 * NAME
 *	ev_log - non-blocking event log with a rate limit
 *
 * DESCRIPTION
 *	Lines are buffered and written together by ev_log_flush(), which never
 *	blocks: what the descriptor does not accept stays in the buffer. While
 *	that is full, lines are dropped and counted. Lines of severity EV_INFO
 *	and below also need a token of a token bucket, so that many requests
 *	cannot crowd out the more severe lines.
 */

#include "event/ev.h"

struct ev_log {
	int fd;
	enum ev_severity severity; /* less severe events are not written */
	struct gb_str vm_name;
	uint32_t rate; /* lines/s of severity EV_INFO and below */
	double tokens;
	gb_time refilled_at;
	uint64_t dropped; /* lines, since the last log_dropped line */
	struct gb_buf buf;
};

void ev_log_init(struct ev_log *log, int fd, struct gb_str vm_name,
		 enum ev_severity severity, uint32_t rate);
void ev_log_add(struct ev_log *log, const struct ev_event *event, gb_time now);
void ev_log_flush(struct ev_log *log);
void ev_log_free(struct ev_log *log);

/* Writes as much of buf as fd accepts without blocking; keeps the rest. */
void ev_write_buf(int fd, struct gb_buf *buf);

#endif
