#include "forward/fw-fair.h"

#include <glib.h>
#include <math.h>

/* Time after which admitted work counts 1/e. */
#define USE_TIME (2 * GB_SEC)

/* An organisation beyond this multiple of its share yields to the others. */
#define SHARE_EXCESS 1.25

/* Less work than this is forgotten, and the organisation counts as idle. */
#define USE_MIN 0.05

struct use {
	uint64_t org;
	uint32_t priority;
	double limit; /* 0: none */
	double work;
	gb_time at; /* time of the decayed sum */
};

struct fw_fair {
	GHashTable *uses; /* identity of an organisation to struct use */
};

struct fw_fair *fw_fair_new(void)
{
	struct fw_fair *fair = g_new0(struct fw_fair, 1);

	fair->uses = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					   g_free);
	return fair;
}

void fw_fair_free(struct fw_fair *fair)
{
	g_hash_table_destroy(fair->uses);
	g_free(fair);
}

static void decay(struct use *use, gb_time now)
{
	use->work *= exp(-(double)(now - use->at) / USE_TIME);
	use->at = now;
}

void fw_fair_add(struct fw_fair *fair, const struct og_org *org, double work,
		 gb_time now)
{
	struct use *use = g_hash_table_lookup(fair->uses, &org->id);

	if (!use) {
		use = g_new0(struct use, 1);
		use->org = org->id;
		use->at = now;
		g_hash_table_insert(fair->uses, &use->org, use);
	}
	decay(use, now);
	use->work += work;
	use->limit = org->rate;
	use->priority = org->priority;
}

/* Sums over organisations with recent work. */
struct totals {
	double work;
	double limits;
	uint32_t limited; /* organisations with a limit */
	uint32_t others;
};

/* Sums over those that are at least as urgent as that. */
static struct totals sum_uses(struct fw_fair *fair, uint32_t priority,
			      gb_time now)
{
	struct totals totals = { 0 };
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fair->uses);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct use *use = value;

		decay(use, now);
		if (use->work < USE_MIN) {
			g_hash_table_iter_remove(&iter);
			continue;
		}
		if (use->priority > priority)
			continue;
		totals.work += use->work;
		totals.limits += use->limit;
		totals.limited += use->limit > 0;
		totals.others += !use->limit;
	}
	return totals;
}

/* One without a limit weighs as much as the others on average. */
static double weight_of(double limit, const struct totals *totals)
{
	if (limit)
		return limit;
	return totals->limited ? totals->limits / totals->limited : 1;
}

bool fw_fair_is_beyond(struct fw_fair *fair, const struct og_org *org,
		       gb_time now)
{
	struct totals totals = sum_uses(fair, org->priority, now);
	const struct use *use = g_hash_table_lookup(fair->uses, &org->id);
	double weights;

	if (!use)
		return false;
	weights = totals.limits + totals.others * weight_of(0, &totals);
	return use->work * weights >
	       SHARE_EXCESS * totals.work * weight_of(use->limit, &totals);
}
