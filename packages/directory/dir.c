#include "directory/dir.h"

#include <glib.h>

/*
 * Delay after a watch that returned changes, so that a burst of changes takes
 * few calls.
 */
#define WATCH_PAUSE (150 * GB_MSEC)

#define BACKOFF_MIN (100 * GB_MSEC)
#define BACKOFF_MAX (800 * GB_MSEC)
#define BACKOFF_DOUBLINGS_MAX 4

/* An unsynced VM serves no requests, so it retries the store more often. */
#define BACKOFF_UNSYNCED (150 * GB_MSEC)

/*
 * Other VMs may be starting at the same time as this one, and calls to them are
 * not billed.
 */
#define BACKOFF_PEER (50 * GB_MSEC)

/*
 * A store that is down may accept a request and never answer it, so the timeout
 * is short at first; it grows with each failure, for a slow store. An unsynced
 * VM serves no requests and uses the short timeout in two attempts out of
 * three, to notice soon that the store is back. Every second failure is that of
 * another VM, so failures / 2 counts those of the store. Followers with
 * different timeout phases make their long attempts at different times.
 */
#define ANSWER_TIMEOUT_MIN (600 * GB_MSEC)
#define ANSWER_TIMEOUT_STEP (300 * GB_MSEC)
#define ANSWER_TIMEOUT_STEP_UNSYNCED (150 * GB_MSEC)
#define ANSWER_TIMEOUT_MAX_SYNCED (1200 * GB_MSEC)
#define ANSWER_TIMEOUT_MAX_UNSYNCED (2500 * GB_MSEC)

/*
 * Time beyond the granted wait after which a watch fails; a slow store answers
 * late.
 */
#define WATCH_MARGIN (800 * GB_MSEC)

void dir_init(struct dir_follower *follower, uint32_t timeout_phase)
{
	*follower = (struct dir_follower){ .step = DIR_LIST,
					   .timeout_phase = timeout_phase };
}

void dir_free(struct dir_follower *follower)
{
	gb_str_free(&follower->cursor);
}

static void set_cursor(struct dir_follower *follower, struct gb_str name)
{
	struct gb_str copy = gb_str_dup(name);

	gb_str_free(&follower->cursor);
	follower->cursor = copy;
}

bool dir_list_advances(const struct dir_follower *follower, bool more,
		       struct gb_str last)
{
	return !more || (last.len && !gb_str_eq(last, follower->cursor));
}

static void record_success(struct dir_follower *follower, gb_time due)
{
	follower->failures = 0;
	follower->failing_since = 0;
	follower->source_in_doubt = false;
	follower->due_at = due;
}

/*
 * Pages are read one after the other and may be of different revisions, so
 * changes are watched from the revision of the first page.
 */
void dir_list_done(struct dir_follower *follower, gb_time now, int64_t revision,
		   bool more, struct gb_str last)
{
	record_success(follower, now);
	if (!follower->cursor.len)
		follower->revision = revision;
	if (more) {
		set_cursor(follower, last);
		return;
	}
	set_cursor(follower, GB_STR(""));
	follower->step = DIR_WATCH;
	follower->synced = true;
}

void dir_watch_done(struct dir_follower *follower, gb_time now,
		    int64_t revision, size_t changes)
{
	record_success(follower, changes ? now + WATCH_PAUSE : now);
	follower->revision = MAX(follower->revision, revision);
}

void dir_history_lost(struct dir_follower *follower, gb_time now)
{
	record_success(follower, now);
	set_cursor(follower, GB_STR(""));
	follower->step = DIR_LIST;
}

void dir_step_failed(struct dir_follower *follower, gb_time now, bool is_peer)
{
	gb_time pause = BACKOFF_MIN
			<< MIN(follower->failures, BACKOFF_DOUBLINGS_MAX);

	if (!follower->failing_since)
		follower->failing_since = now;
	follower->failures++;
	if (follower->synced)
		pause = MIN(pause, BACKOFF_MAX);
	else
		pause = is_peer ? BACKOFF_PEER : MIN(pause, BACKOFF_UNSYNCED);
	follower->due_at = now + pause;
}

void dir_begin_step(struct dir_follower *follower, gb_time wait)
{
	bool must_answer = follower->failures || follower->source_in_doubt;

	follower->watch_wait = must_answer ? 0 : wait;
}

void dir_doubt_source(struct dir_follower *follower)
{
	follower->source_in_doubt = true;
}

gb_time dir_step_timeout(const struct dir_follower *follower)
{
	uint32_t attempts = follower->failures / 2 + follower->timeout_phase;
	gb_time extension = follower->failures * ANSWER_TIMEOUT_STEP;

	if (follower->step == DIR_WATCH && follower->watch_wait)
		return follower->watch_wait + WATCH_MARGIN;
	if (follower->synced)
		return MIN(ANSWER_TIMEOUT_MIN + extension,
			   ANSWER_TIMEOUT_MAX_SYNCED);
	if (attempts % DIR_TIMEOUT_PHASES != DIR_TIMEOUT_PHASES - 1)
		return ANSWER_TIMEOUT_MIN;
	extension = follower->failures * ANSWER_TIMEOUT_STEP_UNSYNCED;
	return MIN(ANSWER_TIMEOUT_MIN + extension, ANSWER_TIMEOUT_MAX_UNSYNCED);
}
