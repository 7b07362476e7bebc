#include "query/qry.h"

#include <glib.h>

/* Start value and bounds of the limit, in concurrent queries. */
#define LIMIT_START 64.0
#define LIMIT_MIN 4.0
#define LIMIT_MAX 4096.0

/* Queue wait, as a fraction of the timeout, above which the limit shrinks. */
#define WAIT_FRACTION 0.4

/* A burst of late queries lowers the limit only once. */
#define DECREASE_INTERVAL (50 * GB_MSEC)
#define DECREASE_FACTOR 0.9

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
			 gb_time wait, gb_time timeout, bool overloaded)
{
	bool is_limit_used =
		(double)admission->running >= admission->limit * 0.5;

	admission->running--;
	if (overloaded || (double)wait > WAIT_FRACTION * (double)timeout) {
		if (now - admission->last_decrease < DECREASE_INTERVAL)
			return;
		admission->last_decrease = now;
		admission->limit =
			MAX(admission->limit * DECREASE_FACTOR, LIMIT_MIN);
		return;
	}
	if (is_limit_used)
		admission->limit = MIN(
			admission->limit + 1.0 / admission->limit, LIMIT_MAX);
}
