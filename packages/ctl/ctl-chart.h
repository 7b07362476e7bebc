#ifndef CTL_CHART_H
#define CTL_CHART_H

/*
 * NAME
 *	ctl-chart - chart of answers and faults over time
 *
 * DESCRIPTION
 *	The upper panel shows the latency of each answer on a logarithmic
 *	scale, the lower one the share of the requests that were answered and
 *	the share of the parts that the answers hold. Faults are shown as
 *	bands behind both panels.
 */

#include "base/gb.h"

#include <glib.h>

enum ctl_answer_kind {
	CTL_KIND_COMPLETE,
	CTL_KIND_PARTIAL,
	CTL_KIND_REFUSED,
	CTL_KIND_FAILED,
	CTL_KINDS
};

/* One answer of a VM to a caller. */
struct ctl_answer {
	double time; /* seconds since the first log entry */
	double elapsed; /* seconds from request to answer */
	enum ctl_answer_kind kind;
	uint32_t parts;
	uint32_t missing_parts;
};

/* Time of a fault; begin and end are seconds since the first log entry. */
struct ctl_band {
	double begin;
	double end;
	const char *label;
};

struct ctl_chart_data {
	double length; /* seconds from the first to the last log entry */
	GArray *answers; /* of struct ctl_answer */
	GArray *bands; /* of struct ctl_band */
};

extern const struct gb_str ctl_answer_kind_names[CTL_KINDS];

/*
 * Writes a PNG if the path ends in ".png", else an SVG; returns -1 if the file
 * cannot be written.
 */
int ctl_chart_write(const struct ctl_chart_data *run, const char *path);

#endif
