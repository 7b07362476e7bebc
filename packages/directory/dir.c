#include "directory/dir.h"

#include <glib.h>

/* Between two waits that brought changes. */
#define PAUSE (150 * GB_MSEC)

#define BACKOFF_MIN (100 * GB_MSEC)
#define BACKOFF_MAX (800 * GB_MSEC)
#define DOUBLINGS_MAX 4

/* A VM that knows nothing yet serves nobody, so it asks more often. */
#define BACKOFF_UNSYNCED (150 * GB_MSEC)

/* Other VMs start at the same time as this one, and their calls are free. */
#define BACKOFF_PEER (50 * GB_MSEC)

/*
 * A store that is down may take a request and never answer it, so tries are
 * short; a slow store gets longer with each failure. A VM that serves nobody
 * yet gives most tries a short time, so that it notices soon when the store is
 * back; every second failure is that of another VM. Followers of different
 * phases have their long tries at different times.
 */
#define ANSWER_TIMEOUT_MIN (600 * GB_MSEC)
#define ANSWER_TIMEOUT_STEP (300 * GB_MSEC)
#define ANSWER_TIMEOUT_STEP_UNSYNCED (150 * GB_MSEC)
#define ANSWER_TIMEOUT_SYNCED (1200 * GB_MSEC)
#define ANSWER_TIMEOUT_MAX (2500 * GB_MSEC)

/* Above the time that the store may wait; a slow store answers later. */
#define WATCH_MARGIN (800 * GB_MSEC)

void dir_init(struct dir_follower *follower, uint32_t phase)
{
	*follower = (struct dir_follower){ .step = DIR_LIST, .phase = phase };
}

void dir_free(struct dir_follower *follower)
{
	gb_str_free(&follower->after);
}

static void set_after(struct dir_follower *follower, struct gb_str name)
{
	struct gb_str copy = gb_str_dup(name);

	gb_str_free(&follower->after);
	follower->after = copy;
}

static void answered(struct dir_follower *follower, gb_time due)
{
	follower->failures = 0;
	follower->failing_since = 0;
	follower->due = due;
}

/*
 * Pages are read one after the other and may differ in age, so changes are
 * awaited from the revision of the first one.
 */
void dir_listed(struct dir_follower *follower, gb_time now, int64_t revision,
		bool more, struct gb_str last)
{
	answered(follower, now);
	if (!follower->after.len)
		follower->revision = revision;
	if (more) {
		set_after(follower, last);
		return;
	}
	set_after(follower, GB_STR(""));
	follower->step = DIR_WATCH;
	follower->synced = true;
}

void dir_watched(struct dir_follower *follower, gb_time now, int64_t revision,
		 size_t changes)
{
	answered(follower, changes ? now + PAUSE : now);
	follower->revision = MAX(follower->revision, revision);
}

void dir_history_lost(struct dir_follower *follower, gb_time now)
{
	answered(follower, now);
	set_after(follower, GB_STR(""));
	follower->step = DIR_LIST;
}

void dir_failed(struct dir_follower *follower, gb_time now, bool peer)
{
	gb_time pause = BACKOFF_MIN << MIN(follower->failures, DOUBLINGS_MAX);

	if (!follower->failing_since)
		follower->failing_since = now;
	follower->failures++;
	if (follower->synced)
		pause = MIN(pause, BACKOFF_MAX);
	else
		pause = peer ? BACKOFF_PEER : MIN(pause, BACKOFF_UNSYNCED);
	follower->due = now + pause;
}

void dir_begin(struct dir_follower *follower, gb_time wait)
{
	follower->wait = follower->failures ? 0 : wait;
}

gb_time dir_timeout(const struct dir_follower *follower)
{
	uint32_t tries = follower->failures / 2 + follower->phase;
	gb_time longer = follower->failures * ANSWER_TIMEOUT_STEP;

	if (follower->step == DIR_WATCH && follower->wait)
		return follower->wait + WATCH_MARGIN;
	if (follower->synced)
		return MIN(ANSWER_TIMEOUT_MIN + longer, ANSWER_TIMEOUT_SYNCED);
	if (tries % DIR_PHASES != DIR_PHASES - 1)
		return ANSWER_TIMEOUT_MIN;
	longer = follower->failures * ANSWER_TIMEOUT_STEP_UNSYNCED;
	return MIN(ANSWER_TIMEOUT_MIN + longer, ANSWER_TIMEOUT_MAX);
}
