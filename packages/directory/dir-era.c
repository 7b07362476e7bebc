#include "directory/dir.h"

enum dir_era_verdict dir_take_era(struct dir_follower *follower, gb_time now,
				  int64_t era)
{
	bool lists_anew = follower->step == DIR_LIST && !follower->cursor.len;

	if (era < follower->era)
		return DIR_ERA_PAST;
	if (era == follower->era)
		return DIR_ERA_CURRENT;
	/* Without an earlier era nothing tells that the store was restored. */
	if (!follower->era) {
		follower->era = era;
		return DIR_ERA_CURRENT;
	}
	follower->era = era;
	follower->revision = 0;
	follower->restored = true;
	if (lists_anew)
		return DIR_ERA_CURRENT;
	dir_history_lost(follower, now);
	return DIR_ERA_CHANGED;
}
