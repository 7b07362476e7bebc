#ifndef FW_FAIR_H
#define FW_FAIR_H

/*
 * NAME
 *	fw-fair - which organisation uses more than its share of this VM
 *
 * DESCRIPTION
 *	The work that each organisation had admitted lately is kept as a sum
 *	that decays. Its share is weighed by its limit, as one with a larger
 *	limit is meant to use more, and one that is less urgent does not count
 *	against it. When upstreams are behind, an organisation beyond its share
 *	is refused at shorter delays than the others. That keeps the delays
 *	below those at which the others are refused, and since the sum decays,
 *	it still gets what they leave (approximate fair dropping; Pan, Breslau,
 *	Prabhakar and Shenker, 2003). No request waits here, so there is no
 *	queue to bound.
 */

#include "organisation/og.h"

struct fw_fair;

struct fw_fair *fw_fair_new(void);
void fw_fair_free(struct fw_fair *fair);

/* Counts admitted work of an organisation, in parts of fan-outs. */
void fw_fair_add(struct fw_fair *fair, const struct og_org *org, double work,
		 gb_time now);

/*
 * Tells whether the organisation uses clearly more than its share. One that is
 * alone never does.
 */
bool fw_fair_is_beyond(struct fw_fair *fair, const struct og_org *org,
		       gb_time now);

#endif
