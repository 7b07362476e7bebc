#ifndef RO_INTERNAL_H
#define RO_INTERNAL_H

/*
 * NAME
 *	ro-internal - the state of a roll-out, private to the package
 *
 * DESCRIPTION
 *	Calls go in one direction: ro-rollout.c (steps) uses ro-exposure.c,
 *	ro-evidence.c (totals of this VM) and ro-judge.c (the verdict).
 */

#include "rollout/ro.h"

/* What this VM has sent since the order. */
struct ro_exposure {
	uint64_t requests; /* to the service */
	uint64_t exposed; /* of these, to the target version */
};

/* Ages of the order between which the load test lies. */
struct ro_load_test {
	gb_time begin, end;
};

/* Calls that the target version may get from this VM before the promotion. */
double ro_exposure_allowed(const struct ro_exposure *exposure,
			   const struct ro_exposure_limits *limits,
			   const struct ro_vms *vms, bool in_load_test);
bool ro_exposure_fits(const struct ro_exposure *exposure,
		      const struct ro_exposure_limits *limits,
		      const struct ro_vms *vms, const struct ro_load_test *test,
		      gb_time age);

/* Tells whether the target version gets all requests, within its limits. */
bool ro_exposure_in_slice(const struct ro_load_test *test, gb_time age);

/* Adds one answer to the row of its route and upstream. */
void ro_evidence_add(GArray *rows, const struct ro_sample *sample);

struct ro_judge;

struct ro_judge *ro_judge_new(void);
void ro_judge_free(struct ro_judge *judge);

/* Adds what the report has more than the last one of the same VM. */
void ro_judge_add(struct ro_judge *judge, const struct ro_report *report,
		  gb_time now);

/*
 * Tests what was added since the last call. Returns why the target version is
 * worse than the current one, or RO_NO_REASON.
 */
enum ro_reason ro_judge_test(struct ro_judge *judge, uint32_t target_ready);

/* Tells whether the target version may be worse, which is not certain yet. */
bool ro_judge_is_suspicious(const struct ro_judge *judge);

/*
 * Tells whether all VMs have reported recently that they are in the promotion
 * and have no calls at the current version.
 */
bool ro_judge_all_moved(const struct ro_judge *judge, uint32_t vms_live,
			gb_time now);

#endif
