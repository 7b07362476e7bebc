#ifndef OG_INTERNAL_H
#define OG_INTERNAL_H

/*
 * NAME
 *	og-internal - thresholds that the VMs and their bucket VM share
 */

#include "organisation/og.h"

#include <math.h>

/*
 * Part of the tolerance by which a bucket may be overdrawn. The rest is left
 * for requests that are admitted before a low level reaches their VM.
 */
#define OVERDRAFT_FRACTION 0.25

/* Part of the overdraft after which a level is low. */
#define TELL_AFTER_FRACTION 0.5

/*
 * A whole number, so that requests are admitted at the same moments as without
 * an overdraft.
 */
static inline double og_overdraft(const struct og_settings *settings)
{
	return floor(settings->tolerance * OVERDRAFT_FRACTION);
}

/* Below this level all VMs are told, and ask before each request. */
static inline double og_low_level_max(const struct og_settings *settings)
{
	return 1 - og_overdraft(settings) * TELL_AFTER_FRACTION;
}

/* Bounds of the time that a refused caller is told to wait. */
#define OG_WAIT_MIN (50 * GB_MSEC)
#define OG_WAIT_MAX (5 * GB_SEC)

static inline gb_time og_time_until(double tokens_missing, double rate)
{
	double wait = tokens_missing / rate * GB_SEC;

	return CLAMP(wait, OG_WAIT_MIN, OG_WAIT_MAX);
}

#endif
