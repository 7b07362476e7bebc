#ifndef VARIANTS_H
#define VARIANTS_H

/*
 * NAME
 *	var - measures of the ways weighed in docs/notes
 *
 * DESCRIPTION
 *	One table of rows for each decision. A row is a run over each of the
 *	seeds; it prints means, and the worst where it says so.
 */

#include "bench/common.h"

struct var_row {
	const struct bpl_run *run;
	const struct bpl_policy *policy;
};

/* Prints one line: the mean of the runs with seeds 1 to seeds. */
void var_measure(const struct bpl_run *run, const struct bpl_policy *policy,
		 uint64_t seeds);
void var_header(void);

/* The tables; each prints all of its rows. */
void var_shares(uint64_t seeds);
void var_hedges(uint64_t seeds);
void var_overload(uint64_t seeds);
void var_warmth(uint64_t seeds);
void var_dcs(uint64_t seeds);
void var_canary(uint64_t seeds);
void var_leases(uint64_t seeds);
void var_freshness(uint64_t seeds);
void var_orders(uint64_t seeds);

#endif
