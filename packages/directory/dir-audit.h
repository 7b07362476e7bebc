#ifndef DIR_AUDIT_H
#define DIR_AUDIT_H

/*
 * NAME
 *	dir_audit - finds changes that no watch has returned
 *
 * DESCRIPTION
 *	The store counts all changes in one revision, and each answer to a watch
 *	gives the revision up to which it has looked. Followers of all kinds
 *	together see each change once. A revision that has risen by more than
 *	the changes that they saw shows that the watch of some kind should have
 *	returned and did not: its connection has fallen silent. The watches of
 *	one kind therefore show silence of the others, whose watches may wait
 *	for long.
 *
 *	After a list, or if the missing changes turn out to be of no kind that
 *	is followed, the audit restarts at the newest revision.
 */

#include "base/gb.h"

struct dir_audit {
	int64_t base; /* changes are counted from this revision on */
	int64_t newest; /* highest revision of an answer */
	int64_t seen; /* changes that watches have returned since the base */
	gb_time missing_since; /* 0 while all changes were seen */
};

/* Starts to count at a revision, or at the newest one if that is higher. */
void dir_audit_restart(struct dir_audit *audit, int64_t revision);

/* Records a watch between two revisions that returned so many changes. */
void dir_audit_watched(struct dir_audit *audit, gb_time now, int64_t from,
		       int64_t to, int64_t changes);

/*
 * Returns when changes have been missing for the time in which their watch
 * should have returned them, so that it must have fallen silent; GB_NEVER if
 * none are missing.
 */
gb_time dir_audit_due(const struct dir_audit *audit, gb_time arrival_time);

#endif
