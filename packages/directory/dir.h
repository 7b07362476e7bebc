#ifndef DIR_H
#define DIR_H

/*
 * NAME
 *	dir - follows the objects of one kind in the platform's store
 *
 * DESCRIPTION
 *	A follower lists all objects of a kind page by page, then watches for
 *	changes from that revision on. When the store no longer has the history
 *	since that revision, it lists all objects again. After a failure it
 *	resumes where it was, with exponential back-off. After a watch that
 *	returned changes it pauses, so that a burst of changes takes few calls.
 *
 *	The source of each step is the store or another VM that follows it. Only
 *	the store's own answers confirm that the objects are up to date.
 *
 *	A store that is restored from an older copy gives out revisions again.
 *	It counts these times as eras. Within an era the revision orders what is
 *	read; an answer of an earlier era is not used, and in a later one all
 *	objects are listed anew (see docs/design/store-eras.md).
 *
 *	The follower does no I/O. The caller carries out the current step once
 *	it is due, starting with dir_begin_step(), and reports how it ended.
 */

#include "directory/dir-proof.h"
#include "directory/dir-timing.h"

/*
 * Number of phases by which followers stagger their attempts with a long
 * timeout.
 */
#define DIR_TIMEOUT_PHASES 3

enum dir_step {
	/* read the page after the cursor; the first page if it is empty */
	DIR_LIST,
	DIR_WATCH /* wait for changes after the revision */
};

struct dir_follower {
	enum dir_step step;
	int64_t era; /* 0: none is known */
	int64_t revision;
	bool restored; /* the first list of an era is not complete yet */
	/* owned; name of the last object of the previous page */
	struct gb_str cursor;
	const struct dir_timing *timing; /* outlives the follower */
	gb_time started_at; /* when the current step, or the last one, began */
	gb_time due_at; /* when the step may start */
	uint32_t failures; /* consecutive failures */
	gb_time failing_since; /* 0 while steps succeed */
	bool synced; /* all objects have been listed at least once */
	/* how long the source may hold a watch without changes */
	gb_time watch_wait;
	bool from_peer; /* the source of the current step is another VM */
	bool source_in_doubt; /* it may have stopped responding */
	bool confirmed; /* the store itself gave the last answer */
	/* age of what the source of the current step knows; 0 for the store */
	gb_time source_age;
	/* when what the last answer shows was up to date; 0: no answer yet */
	gb_time answered_at;
	/* changes since then may be missing; 0: the objects are complete */
	gb_time behind_since;
	/* the objects stay confirmed while a watch that was cut is renewed */
	gb_time renewing_until;
	uint32_t timeout_phase; /* which attempts have a long timeout */
};

void dir_init(struct dir_follower *follower, const struct dir_timing *timing,
	      uint32_t timeout_phase);
void dir_free(struct dir_follower *follower);

/*
 * Starts a step at the store or at another VM. The source may hold a watch for
 * up to wait while nothing changes. After a failure, while the source is in
 * doubt, or if the store did not give the last answer, the wait is 0, since a
 * source that does not respond cannot be told from one that is waiting for
 * changes.
 */
void dir_begin_step(struct dir_follower *follower, gb_time now, gb_time wait,
		    bool from_peer);

/* Puts the source in doubt until it answers. */
void dir_doubt_source(struct dir_follower *follower);

/*
 * Notes, before the end of a step is recorded, how old the objects of the VM
 * that answered are. Its own answers may come from a source that is silent.
 */
void dir_set_source_age(struct dir_follower *follower, gb_time age);

/* Tells whether the current step takes objects that may not be up to date. */
bool dir_allows_stale(const struct dir_follower *follower);

/*
 * Records that the connection of the running call was closed. Returns false if
 * that is a failure. A watch that was waiting at the store is renewed once over
 * a new connection instead: the store may just have dropped its history.
 */
bool dir_watch_cut(struct dir_follower *follower, gb_time now);

/*
 * Tells whether the list goes on after a page that ended with that name. The
 * next page begins after it, so a page without a name, or that ends where the
 * one before it ended, would be read for ever.
 */
bool dir_list_advances(const struct dir_follower *follower, bool more,
		       struct gb_str last);

/* These record how a step ended. */
void dir_list_done(struct dir_follower *follower, gb_time now, int64_t revision,
		   bool more, struct gb_str last);
void dir_watch_done(struct dir_follower *follower, gb_time now,
		    int64_t revision, size_t changes);

enum dir_era_verdict {
	DIR_ERA_CURRENT, /* the answer can be used */
	DIR_ERA_CHANGED, /* it cannot; all objects are listed anew */
	DIR_ERA_PAST /* it cannot: the objects are newer */
};

/*
 * Takes the era of an answer, before the answer itself is used; 0 if it has
 * none.
 */
enum dir_era_verdict dir_take_era(struct dir_follower *follower, gb_time now,
				  int64_t era);

/*
 * Time for which changes may have gone unseen, as long as the next answer is
 * not taken over; 0 while the objects are complete.
 */
gb_time dir_unseen_time(const struct dir_follower *follower, gb_time now);

/* Time since the objects were last known to be up to date. */
gb_time dir_age(const struct dir_follower *follower, gb_time now);

void dir_history_lost(struct dir_follower *follower, gb_time now);

void dir_step_failed(struct dir_follower *follower, gb_time now);

/*
 * Tells whether the store itself has answered the last step, and the current
 * one may still be waiting for changes there. Other VMs may rely on the objects
 * only then.
 */
bool dir_is_confirmed(const struct dir_follower *follower, gb_time now);

/* Time after which a step without an answer counts as failed. */
gb_time dir_step_timeout(const struct dir_follower *follower);

#endif
