#include "directory/dir-audit.h"

#include <glib.h>

void dir_audit_restart(struct dir_audit *audit, int64_t revision)
{
	audit->newest = MAX(audit->newest, revision);
	audit->base = audit->newest;
	audit->seen = 0;
	audit->missing_since = 0;
}

/*
 * Least number of the changes that lie after the base, if it is not known which
 * of them do.
 */
static int64_t count_after_base(const struct dir_audit *audit, int64_t from,
				int64_t to, int64_t changes)
{
	int64_t before_base = MAX(MIN(audit->base, to) - from, 0);

	return MAX(changes - before_base, 0);
}

void dir_audit_watched(struct dir_audit *audit, gb_time now, int64_t from,
		       int64_t to, int64_t changes)
{
	audit->seen += count_after_base(audit, from, to, changes);
	audit->newest = MAX(audit->newest, to);
	/* Another VM may return a change once more that was seen before. */
	audit->seen = MIN(audit->seen, audit->newest - audit->base);
	if (audit->newest - audit->base == audit->seen)
		audit->missing_since = 0;
	else if (!audit->missing_since)
		audit->missing_since = now;
}

gb_time dir_audit_due(const struct dir_audit *audit, gb_time arrival_time)
{
	return audit->missing_since ? audit->missing_since + arrival_time
				    : GB_NEVER;
}
