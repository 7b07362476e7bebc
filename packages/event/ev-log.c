#include "event/ev-log.h"

#include <glib.h>
#include <inttypes.h>
#include <time.h>

/* Bytes buffered while the descriptor accepts none. */
#define BUFFER_MAX (256 * 1024)

void ev_log_init(struct ev_log *log, int fd, struct gb_str vm_name,
		 enum ev_severity severity, uint32_t rate)
{
	*log = (struct ev_log){ .fd = fd,
				.severity = severity,
				.vm_name = vm_name,
				.rate = rate,
				.tokens = rate };
}

/* Takes a token for one line; the bucket holds those of one second. */
static bool take_token(struct ev_log *log, gb_time now)
{
	double elapsed_s = (double)(now - log->refilled_at) / GB_SEC;

	log->tokens = MIN(log->tokens + elapsed_s * log->rate, log->rate);
	log->refilled_at = now;
	if (log->tokens < 1)
		return false;
	log->tokens -= 1;
	return true;
}

static void add_line(struct ev_log *log, const struct ev_event *event)
{
	struct timespec wall;

	clock_gettime(CLOCK_REALTIME, &wall);
	gb_buf_addf(&log->buf, "%" PRId64 ".%06ld %.*s ", (int64_t)wall.tv_sec,
		    wall.tv_nsec / 1000, (int)log->vm_name.len,
		    log->vm_name.ptr);
	ev_text(event, &log->buf);
	gb_buf_addc(&log->buf, '\n');
}

void ev_log_add(struct ev_log *log, const struct ev_event *event, gb_time now)
{
	const struct ev_row *row = ev_row(event->code);
	enum ev_severity severity = row ? row->severity : EV_DEBUG;

	if (severity > log->severity)
		return;
	if (log->buf.len > BUFFER_MAX ||
	    (severity >= EV_INFO && !take_token(log, now))) {
		log->dropped++;
		return;
	}
	add_line(log, event);
}

static void add_dropped_count(struct ev_log *log)
{
	const struct ev_event event = { .code = EV_LOG_DROPPED,
					.num1 = log->dropped };

	if (!log->dropped || log->buf.len > BUFFER_MAX)
		return;
	log->dropped = 0;
	add_line(log, &event);
}

void ev_log_flush(struct ev_log *log)
{
	add_dropped_count(log);
	ev_write_buf(log->fd, &log->buf);
}

void ev_log_free(struct ev_log *log)
{
	gb_buf_free(&log->buf);
}
