#ifndef DIR_TIMING_H
#define DIR_TIMING_H

/*
 * NAME
 *	dir_timing - waits and timeouts of followers, from the bounds to keep
 *
 * DESCRIPTION
 *	A change must be in force on all VMs within one bound, and within
 *	another after the connections of a VM, or the store, have fallen silent.
 *	A silent connection is not reset, so a watch that waits for changes is
 *	known to be silent only some time after its wait should have ended. Each
 *	watch is a billed call, so the waits are as long as the bounds allow.
 *
 *	The longest chains from a change, or from the silence, until the VM
 *	knows the change; each leaves time for one attempt that fails after the
 *	silence was noticed:
 *
 *		all silent	pause, wait, margin, failed attempt, answer
 *		one kind silent	pause, wait of the others, arrival time, failed
 *				attempt, answer
 *		relayed		one of the above at the VM that is followed,
 *				then one retry interval and answer
 *		relay silent	pause, wait at the other VM, margin, failed
 *				attempt, answer
 *		store silent	call without an answer, another VM asked in
 *				vain, the same again, answer
 *
 *	While the bounds are too short for these, the waits have their least
 *	value, and a failed attempt may let a change take effect late.
 */

#include "base/gb.h"

/*
 * Delay after a watch that returned changes, so that a burst of changes takes
 * few calls.
 */
#define DIR_WATCH_PAUSE (150 * GB_MSEC)

/* Back-off after the first failure; it doubles with each further one. */
#define DIR_BACKOFF_MIN (100 * GB_MSEC)

/* Time for a call to a sound source, with the opening of its connection. */
#define DIR_ANSWER_TIME (200 * GB_MSEC)

/* Least wait of a watch; shorter ones would load the store for little gain. */
#define DIR_WAIT_MIN (200 * GB_MSEC)

struct dir_bounds {
	gb_time change; /* from a change until it must be in force */
	gb_time silence; /* from the loss of connections until it must be */
};

struct dir_timing {
	/* for which the store may hold a watch if no VM follows this one */
	gb_time watch_wait;
	/* the same if VMs follow this one, and for a watch at another VM */
	gb_time relayed_wait;
	/* after its wait, until a watch counts as silent */
	gb_time watch_margin;
	gb_time answer_timeout; /* of the first attempt */
	gb_time answer_timeout_max; /* after failures, for a slow store */
	gb_time retry_interval_max; /* between the starts of two attempts */
	/* by which the watches of different kinds return a change together */
	gb_time arrival_time;
	bool is_tight; /* the bounds are too short for the chains above */
};

/* Computes the waits for the bounds. */
void dir_timing_init(struct dir_timing *timing,
		     const struct dir_bounds *bounds);

#endif
