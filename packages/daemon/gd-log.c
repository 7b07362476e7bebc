#include "daemon/gd.h"
#include "event/ev-log.h"

#include <time.h>
#include <unistd.h>

#define FACILITY_DAEMON 3 /* of syslog, RFC 5424 */

/* Bytes buffered while standard error blocks; more lines are only counted. */
#define LOG_BUFFER_MAX (256 * 1024)

static void append_timestamp(struct gb_buf *out);

void gd_log_init(struct gd_log *log, struct gb_str host, int severity)
{
	log->host = host;
	log->severity_max = severity;
	log->pid = getpid();
}

/* Appends the wall-clock time in the format of RFC 5424. */
static void append_timestamp(struct gb_buf *out)
{
	struct timespec now;
	struct tm tm;

	clock_gettime(CLOCK_REALTIME, &now);
	gmtime_r(&now.tv_sec, &tm);
	gb_buf_addf(out, "%04d-%02d-%02dT%02d:%02d:%02d.%06ldZ",
		    tm.tm_year + 1900, tm.tm_mon + 1, tm.tm_mday, tm.tm_hour,
		    tm.tm_min, tm.tm_sec, now.tv_nsec / 1000);
}

void gd_log_event(struct gd_log *log, const struct ev_event *event)
{
	const struct ev_row *row = ev_row(event->code);
	int severity = row ? (int)row->severity : EV_DEBUG;

	if (severity > log->severity_max)
		return;
	if (log->buf.len > LOG_BUFFER_MAX) {
		log->dropped++;
		return;
	}
	gb_buf_addf(&log->buf, "<%d>", FACILITY_DAEMON * 8 + severity);
	append_timestamp(&log->buf);
	gb_buf_addf(&log->buf, " %.*s gentianbend[%d]: %d ", (int)log->host.len,
		    log->host.ptr, log->pid, event->code);
	ev_text(event, &log->buf);
	gb_buf_addc(&log->buf, '\n');
}

void gd_log_flush(struct gd_log *log)
{
	ev_write_buf(STDERR_FILENO, &log->buf);
}

void gd_event_record(struct gd *gd, const struct ev_event *event)
{
	ev_ring_add(gd->ring, event);
	gd_log_event(&gd->log, event);
}

void gd_event(struct gd *gd, enum ev_code code, struct gb_str request,
	      struct gb_str upstream, int64_t a, int64_t b)
{
	struct ev_event event = {
		.hlc = nd_event_stamp(gd->node, gd_clock()),
		.code = code,
		.vm = gd->settings.node.vm,
		.request = request,
		.upstream = upstream,
		.dc = gd->settings.node.dc,
		.num1 = a,
		.num2 = b,
	};

	gd_event_record(gd, &event);
}
