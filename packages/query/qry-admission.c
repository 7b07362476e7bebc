#include "query/qry.h"

#include <glib.h>

#define LIMIT_START 64.0
#define LIMIT_MIN 4.0
#define LIMIT_MAX 4096.0

/* Queue wait, as a share of the deadline, above which the limit shrinks. */
#define WAIT_SHARE 0.4

/* One burst of late queries counts as one cut. */
#define CUT_PAUSE (50 * GB_MSEC)
#define CUT_FACTOR 0.9

void qry_admission_init(struct qry_admission *admission)
{
	*admission = (struct qry_admission){ .limit = LIMIT_START };
}

bool qry_admission_enter(struct qry_admission *admission)
{
	if ((double)admission->running >= admission->limit)
		return false;
	admission->running++;
	return true;
}

void qry_admission_leave(struct qry_admission *admission, gb_time now,
			 gb_time wait, gb_time deadline, bool overloaded)
{
	bool full = (double)admission->running >= admission->limit * 0.5;

	admission->running--;
	if (overloaded || (double)wait > WAIT_SHARE * (double)deadline) {
		if (now - admission->last_cut < CUT_PAUSE)
			return;
		admission->last_cut = now;
		admission->limit =
			MAX(admission->limit * CUT_FACTOR, LIMIT_MIN);
		return;
	}
	if (full)
		admission->limit = MIN(
			admission->limit + 1.0 / admission->limit, LIMIT_MAX);
}
