#ifndef DIR_H
#define DIR_H

/*
 * NAME
 *	dir - follows the objects of one kind in the platform's store
 *
 * DESCRIPTION
 *	A follower reads all objects of a kind page by page, then waits for
 *	changes from that revision on. Where the store no longer has the
 *	history it reads all objects again. After a failure it goes on from
 *	where it was, with a growing pause. Between two waits that brought
 *	changes it pauses, so that a burst of changes costs few calls.
 *
 *	The follower does no I/O: the shell asks dir_step() what to do and
 *	reports how it ended.
 */

#include "base/gb.h"

/* Followers of so many phases have their long tries apart. */
#define DIR_PHASES 3

enum dir_step {
	DIR_LIST, /* read the page after a name; the first page for "" */
	DIR_WATCH /* wait for changes after a revision */
};

struct dir_follower {
	enum dir_step step;
	int64_t revision;
	struct gb_str after; /* owned; name of the last object read */
	gb_time due; /* when the step may start */
	uint32_t failures; /* in a row */
	gb_time failing_since; /* 0 while the store answers */
	bool synced; /* all objects were read once */
	gb_time wait; /* for changes, at whoever is asked */
	uint32_t phase; /* of the long tries among the short ones */
};

void dir_init(struct dir_follower *follower, uint32_t phase);
void dir_free(struct dir_follower *follower);

/*
 * Begins a step whose source may hold the request for a time while nothing
 * changes. After a failure it is asked to answer at once instead, since a
 * source that has fallen silent cannot be told from one that waits.
 */
void dir_begin(struct dir_follower *follower, gb_time wait);

/* Notes how a step ended. */
void dir_listed(struct dir_follower *follower, gb_time now, int64_t revision,
		bool more, struct gb_str last);
void dir_watched(struct dir_follower *follower, gb_time now, int64_t revision,
		 size_t changes);
void dir_history_lost(struct dir_follower *follower, gb_time now);

/* peer tells that another VM was asked, and not the store. */
void dir_failed(struct dir_follower *follower, gb_time now, bool peer);

/* Time after which an unanswered step counts as failed. */
gb_time dir_timeout(const struct dir_follower *follower);

#endif
