#ifndef CTL_CHART_H
#define CTL_CHART_H

/*
 * NAME
 *	ctl_chart - what a run looked like over time, as a picture
 *
 * DESCRIPTION
 *	The upper panel shows the time of each answer, on a logarithmic scale;
 *	the lower one the share of the requests that were answered and of the
 *	parts that the answers hold. Faults are bands behind both.
 */

#include "base/gb.h"

#include <glib.h>

enum ctl_kind {
	CTL_KIND_COMPLETE,
	CTL_KIND_PARTIAL,
	CTL_KIND_REFUSED,
	CTL_KIND_FAILED,
	CTL_KINDS
};

/* One answer of a VM. */
struct ctl_answer {
	double time; /* seconds since the begin of the run */
	double elapsed; /* seconds */
	enum ctl_kind kind;
	uint32_t parts;
	uint32_t missing;
};

/* A fault, or what an operator did. */
struct ctl_band {
	double begin;
	double end;
	const char *label;
};

struct ctl_run {
	double length; /* seconds */
	GArray *answers; /* of struct ctl_answer */
	GArray *bands; /* of struct ctl_band */
};

extern const struct gb_str ctl_kind_names[CTL_KINDS];

/* Writes a PNG for a path that ends so, else an SVG; returns -1 if the file
 * cannot be written. */
int ctl_chart_write(const struct ctl_run *run, const char *path);

#endif
