#include "rollout/ro-internal.h"

/* Part of the exposure for the canary; the rest is left for the load test. */
#define CANARY_FRACTION 0.4

/* Part of the canary that is spread over time, outside of the slices. */
#define SPREAD_FRACTION 0.3

/* In each period, the target version gets all requests for one slice. */
#define SLICE_PERIOD (2 * GB_SEC)
#define SLICE_LENGTH (300 * GB_MSEC)

/*
 * This VM's part of the requests that do not depend on the load. If there are
 * more VMs than requests, those with the first ranks get one each.
 */
static double extra_of_vm(double extra_total, const struct ro_vms *vms)
{
	uint32_t count = MAX(vms->count, 1);

	if (extra_total >= count)
		return extra_total / count;
	return vms->rank + 1 <= extra_total ? 1 : 0;
}

double ro_exposure_allowed(const struct ro_exposure *exposure,
			   const struct ro_exposure_limits *limits,
			   const struct ro_vms *vms, bool in_load_test)
{
	double fraction = in_load_test ? 1 : CANARY_FRACTION;

	return fraction * limits->share * exposure->requests +
	       extra_of_vm(fraction * limits->extra_total, vms);
}

bool ro_exposure_in_slice(const struct ro_load_test *test, gb_time age)
{
	if (age >= test->begin)
		return age >= (test->begin + test->end) / 2;
	return age % SLICE_PERIOD < SLICE_LENGTH;
}

bool ro_exposure_fits(const struct ro_exposure *exposure,
		      const struct ro_exposure_limits *limits,
		      const struct ro_vms *vms, const struct ro_load_test *test,
		      gb_time age)
{
	double allowed =
		ro_exposure_allowed(exposure, limits, vms, age >= test->begin);
	double spread = MAX(SPREAD_FRACTION * allowed, MIN(allowed, 1));

	return exposure->exposed + 1 <=
	       (ro_exposure_in_slice(test, age) ? allowed : spread);
}
