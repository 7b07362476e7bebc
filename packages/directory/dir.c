#include "directory/dir.h"

#include <glib.h>

/*
 * An answer with so many changes may be only a part of them: a store sends some
 * hundred at a time.
 */
#define CHANGES_OF_PART_MIN 200

#define BACKOFF_DOUBLINGS_MAX 4

/* An unsynced VM serves no requests, so it retries the store more often. */
#define BACKOFF_UNSYNCED (150 * GB_MSEC)

/*
 * Other VMs may be starting at the same time as this one, and calls to them are
 * not billed.
 */
#define BACKOFF_PEER (50 * GB_MSEC)

/* A store that cuts a watch again sooner than this has failed. */
#define CUT_INTERVAL_MIN (2 * GB_SEC)

/*
 * A store that is down may accept a request and never answer it, so the timeout
 * is short at first; it grows with each failure, for a slow store. An unsynced
 * VM serves no requests and uses the short timeout in two attempts out of
 * three, to notice soon that the store is back. Every second failure is that of
 * another VM, so failures / 2 counts those of the store. Followers with
 * different timeout phases make their long attempts at different times.
 */
#define ANSWER_TIMEOUT_STEP (300 * GB_MSEC)
#define ANSWER_TIMEOUT_STEP_UNSYNCED (150 * GB_MSEC)
#define ANSWER_TIMEOUT_MAX_UNSYNCED (2500 * GB_MSEC)

void dir_init(struct dir_follower *follower, const struct dir_timing *timing,
	      uint32_t timeout_phase)
{
	*follower = (struct dir_follower){ .step = DIR_LIST,
					   .timing = timing,
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

/* Notes that changes since the last answer may be missing. */
static void fall_behind(struct dir_follower *follower)
{
	if (!follower->behind_since)
		follower->behind_since = follower->answered_at;
}

gb_time dir_unseen_time(const struct dir_follower *follower, gb_time now)
{
	return follower->behind_since ? now - follower->behind_since : 0;
}

gb_time dir_age(const struct dir_follower *follower, gb_time now)
{
	return now - (follower->behind_since ? follower->behind_since
					     : follower->answered_at);
}

void dir_set_source_age(struct dir_follower *follower, gb_time age)
{
	follower->source_age = age;
}

bool dir_allows_stale(const struct dir_follower *follower)
{
	return follower->from_peer && !follower->synced;
}

static void record_success(struct dir_follower *follower, gb_time due)
{
	follower->failures = 0;
	follower->failing_since = 0;
	follower->source_in_doubt = false;
	follower->due_at = due;
}

/* Records that the source has sent the objects or changes that there are. */
static void record_answer(struct dir_follower *follower, gb_time now,
			  gb_time due)
{
	record_success(follower, due);
	follower->confirmed = !follower->from_peer;
	follower->answered_at = MAX(now - follower->source_age, GB_USEC);
}

/*
 * Pages are read one after the other and may be of different revisions, so
 * changes are watched from the revision of the first page.
 */
void dir_list_done(struct dir_follower *follower, gb_time now, int64_t revision,
		   bool more, struct gb_str last)
{
	record_answer(follower, now, now);
	if (!follower->cursor.len)
		follower->revision = revision;
	if (more) {
		set_cursor(follower, last);
		return;
	}
	set_cursor(follower, GB_STR(""));
	follower->behind_since =
		dir_allows_stale(follower) ? follower->answered_at : 0;
	follower->restored = false;
	follower->step = DIR_WATCH;
	follower->synced = true;
}

void dir_watch_done(struct dir_follower *follower, gb_time now,
		    int64_t revision, size_t changes)
{
	bool is_complete = changes < CHANGES_OF_PART_MIN;
	bool pauses = changes && is_complete;

	if (!is_complete)
		fall_behind(follower);
	record_answer(follower, now, pauses ? now + DIR_WATCH_PAUSE : now);
	follower->revision = MAX(follower->revision, revision);
	if (is_complete)
		follower->behind_since = 0;
}

void dir_history_lost(struct dir_follower *follower, gb_time now)
{
	fall_behind(follower);
	record_success(follower, now);
	set_cursor(follower, GB_STR(""));
	follower->step = DIR_LIST;
}

/*
 * An unsynced follower pauses after a failure. A synced one starts its attempts
 * at growing intervals, so that a source that refuses at once is not asked more
 * often than one that does not answer.
 */
static gb_time next_attempt(const struct dir_follower *follower, gb_time now,
			    gb_time backoff)
{
	gb_time interval;

	if (!follower->synced)
		return now + (follower->from_peer
				      ? BACKOFF_PEER
				      : MIN(backoff, BACKOFF_UNSYNCED));
	interval = MIN(backoff, follower->timing->retry_interval_max);
	return MAX(follower->started_at + interval, now + DIR_BACKOFF_MIN);
}

void dir_step_failed(struct dir_follower *follower, gb_time now)
{
	gb_time backoff = DIR_BACKOFF_MIN
			  << MIN(follower->failures, BACKOFF_DOUBLINGS_MAX);

	fall_behind(follower);
	if (!follower->failing_since)
		follower->failing_since = now;
	follower->failures++;
	follower->due_at = next_attempt(follower, now, backoff);
}

void dir_begin_step(struct dir_follower *follower, gb_time now, gb_time wait,
		    bool from_peer)
{
	bool must_answer = follower->failures || follower->source_in_doubt ||
			   (!from_peer && !follower->confirmed);

	follower->from_peer = from_peer;
	follower->source_age = 0;
	follower->started_at = now;
	follower->watch_wait = must_answer ? 0 : wait;
}

void dir_doubt_source(struct dir_follower *follower)
{
	fall_behind(follower);
	follower->source_in_doubt = true;
}

/* Tells whether the current step is a watch that may wait at the store. */
static bool waits_at_store(const struct dir_follower *follower)
{
	return follower->step == DIR_WATCH && !follower->from_peer &&
	       follower->watch_wait;
}

bool dir_watch_cut(struct dir_follower *follower, gb_time now)
{
	if (!waits_at_store(follower) ||
	    now - follower->renewing_until < CUT_INTERVAL_MIN)
		return false;
	dir_doubt_source(follower);
	follower->due_at = now + DIR_BACKOFF_MIN;
	follower->renewing_until = follower->due_at + DIR_ANSWER_TIME;
	return true;
}

gb_time dir_step_timeout(const struct dir_follower *follower)
{
	const struct dir_timing *timing = follower->timing;
	uint32_t attempts = follower->failures / 2 + follower->timeout_phase;
	gb_time extension = follower->failures * ANSWER_TIMEOUT_STEP;

	if (follower->step == DIR_WATCH && follower->watch_wait)
		return follower->watch_wait + timing->watch_margin;
	if (follower->synced)
		return MIN(timing->answer_timeout + extension,
			   timing->answer_timeout_max);
	if (attempts % DIR_TIMEOUT_PHASES != DIR_TIMEOUT_PHASES - 1)
		return timing->answer_timeout;
	extension = follower->failures * ANSWER_TIMEOUT_STEP_UNSYNCED;
	return MIN(timing->answer_timeout + extension,
		   ANSWER_TIMEOUT_MAX_UNSYNCED);
}

bool dir_is_confirmed(const struct dir_follower *follower, gb_time now)
{
	if (!follower->synced || follower->from_peer || follower->failures ||
	    !follower->confirmed || follower->restored)
		return false;
	if (now < follower->renewing_until)
		return true;
	if (follower->behind_since)
		return false;
	return now - follower->answered_at <=
	       DIR_WATCH_PAUSE + follower->watch_wait +
		       follower->timing->watch_margin;
}
