#include "budget/bud.h"

#include <glib.h>

/*
 * Fraction of the share that is used. The margin is needed because VMs notice
 * at different times that others join or leave, and because a repeat may arrive
 * in a later second than it was sent.
 */
#define USABLE_SHARE 0.85

struct totals {
	uint32_t requests;
	uint32_t repeats;
};

static struct bud_slot *slot_at(struct bud *bud, gb_time now)
{
	int64_t second = now / GB_SEC;
	struct bud_slot *slot = &bud->slot[second % BUD_SLOTS_MAX];

	if (slot->second != second)
		*slot = (struct bud_slot){ .second = second };
	return slot;
}

static struct totals sum_slots(const struct bud *bud, gb_time window,
			       gb_time now)
{
	int64_t last = now / GB_SEC;
	int64_t slots = MIN(window / GB_SEC + 1, BUD_SLOTS_MAX);
	struct totals totals = { 0 };

	for (int64_t age = 0; age < slots && age <= last; age++) {
		const struct bud_slot *slot =
			&bud->slot[(last - age) % BUD_SLOTS_MAX];

		if (slot->second != last - age)
			continue;
		totals.repeats += slot->repeats;
		/* The oldest slot may lie outside of the window. */
		if (age < slots - 1)
			totals.requests += slot->requests;
	}
	return totals;
}

static double repeats_allowed(const struct bud_limits *limits,
			      uint32_t requests)
{
	double extra = limits->vms_confirmed
			       ? limits->extra_total / MAX(limits->vms, 1)
			       : 0;

	return USABLE_SHARE * (limits->ratio * requests + extra);
}

void bud_count_request(struct bud *bud, gb_time now)
{
	slot_at(bud, now)->requests++;
}

bool bud_take_repeat(struct bud *bud, const struct bud_limits *limits,
		     gb_time now)
{
	struct totals totals = sum_slots(bud, limits->window, now);

	if (totals.repeats + 1 > repeats_allowed(limits, totals.requests))
		return false;
	slot_at(bud, now)->repeats++;
	return true;
}

double bud_remaining(const struct bud *bud, const struct bud_limits *limits,
		     gb_time now)
{
	struct totals totals = sum_slots(bud, limits->window, now);
	double limit = repeats_allowed(limits, totals.requests);

	if (limit <= 0)
		return 0;
	return CLAMP(1 - totals.repeats / limit, 0, 1);
}
