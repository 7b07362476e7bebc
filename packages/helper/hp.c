#include "helper/hp.h"

#include <string.h>

/* A helper has at least this many times the share of this VM. */
#define SHARE_RATIO_MIN 3

/* Processor time for a part: to send a request and to read its answer. */
#define PART_TIME (30 * GB_USEC)

/* Part of the target latency that the gathering may take on this VM. */
#define TARGET_FRACTION_MAX 0.1

/* An announcement counts for this long; a helper repeats it sooner. */
#define ANNOUNCEMENT_KEPT (8 * GB_SEC)

/* Bounds of the time for which a helper is left out after a failure. */
#define AVOID_MIN (500 * GB_MSEC)
#define AVOID_MAX (8 * GB_SEC)
#define AVOID_DOUBLINGS_MAX 4

/* One that refuses may be busy, or about to read another configuration. */
#define AVOID_REFUSED (200 * GB_MSEC)

/* Queries that a VM with a whole core gathers for others at a time. */
#define QUERIES_PER_CORE 64

/* Part of the cost that is random, so that VMs do not choose the same one. */
#define COST_JITTER 0.5

/* A helper in another data centre is used if it is this much less busy. */
#define CROSS_DC_COST 1.5

struct hp_table {
	struct hp_settings settings;
	GPtrArray *helpers; /* of struct hp_helper */
};

struct hp_table *hp_new(const struct hp_settings *settings)
{
	struct hp_table *table = g_new0(struct hp_table, 1);

	table->settings = *settings;
	table->settings.address = gb_str_dup(settings->address);
	table->helpers = g_ptr_array_new_with_free_func(g_free);
	return table;
}

void hp_free(struct hp_table *table)
{
	g_ptr_array_free(table->helpers, TRUE);
	gb_str_free(&table->settings.address);
	g_free(table);
}

static struct gb_str address_of(const struct hp_announcement *announcement)
{
	return (struct gb_str){ announcement->address,
				announcement->address_len };
}

struct hp_helper *hp_find(struct hp_table *table, struct gb_str address)
{
	for (guint i = 0; i < table->helpers->len; i++) {
		struct hp_helper *helper = table->helpers->pdata[i];

		if (gb_str_eq(address_of(&helper->said), address))
			return helper;
	}
	return NULL;
}

static bool is_helper_for(uint32_t share, uint32_t other_share)
{
	return share >= SHARE_RATIO_MIN * other_share;
}

/* Only a share that helps some VM is passed on; the largest come first. */
static gint compare_shares(gconstpointer a, gconstpointer b)
{
	const struct hp_helper *const *first = a, *const *second = b;

	return (gint)(*second)->said.share - (gint)(*first)->said.share;
}

static void set_own(const struct hp_table *table, uint32_t queries,
		    struct hp_announcement *own)
{
	struct gb_str address = table->settings.address;

	*own = (struct hp_announcement){ .dc_hash = table->settings.dc_hash,
					 .share = table->settings.share,
					 .queries = queries };
	own->address_len = MIN(address.len, HP_ADDRESS_MAX);
	memcpy(own->address, address.ptr, own->address_len);
}

uint32_t hp_announce(const struct hp_table *table, bool accepts,
		     uint32_t queries, gb_time now, struct hp_announcement *out)
{
	uint32_t len = 0;

	if (accepts && table->settings.share)
		set_own(table, queries, &out[len++]);
	for (guint i = 0; i < table->helpers->len && len < HP_ANNOUNCED_MAX;
	     i++) {
		const struct hp_helper *helper = table->helpers->pdata[i];

		if (now - helper->said_at > ANNOUNCEMENT_KEPT)
			continue;
		out[len] = helper->said;
		out[len++].age = now - helper->said_at;
	}
	return len;
}

/*
 * The table keeps the VMs with the largest shares, so that its size does not
 * grow with the tier.
 */
static void trim(struct hp_table *table)
{
	g_ptr_array_sort(table->helpers, compare_shares);
	for (guint i = table->helpers->len; i > HP_ANNOUNCED_MAX; i--) {
		const struct hp_helper *last = table->helpers->pdata[i - 1];

		if (last->calls)
			return;
		g_ptr_array_remove_index(table->helpers, i - 1);
	}
}

void hp_receive(struct hp_table *table, gb_time now,
		const struct hp_announcement *announcement)
{
	gb_time said_at = now - announcement->age;
	struct hp_helper *helper;

	if (gb_str_eq(address_of(announcement), table->settings.address) ||
	    announcement->age > ANNOUNCEMENT_KEPT)
		return;
	helper = hp_find(table, address_of(announcement));
	if (helper && said_at <= helper->said_at)
		return;
	if (!helper) {
		helper = g_new0(struct hp_helper, 1);
		g_ptr_array_add(table->helpers, helper);
	}
	helper->said = *announcement;
	helper->said_at = said_at;
	trim(table);
}

void hp_purge(struct hp_table *table, gb_time now)
{
	for (guint i = table->helpers->len; i-- > 0;) {
		const struct hp_helper *helper = table->helpers->pdata[i];

		if (!helper->calls && now - helper->said_at > ANNOUNCEMENT_KEPT)
			g_ptr_array_remove_index(table->helpers, i);
	}
}

/* Tells whether the gathering takes too long on this VM. */
static bool is_too_large(const struct hp_table *table,
			 const struct hp_query *query)
{
	gb_time time = query->parts * PART_TIME * 1000 / table->settings.share;

	return query->target_latency &&
	       time > TARGET_FRACTION_MAX * query->target_latency;
}

static bool is_usable(const struct hp_table *table,
		      const struct hp_helper *helper, gb_time now)
{
	return is_helper_for(helper->said.share, table->settings.share) &&
	       helper->avoid_until <= now &&
	       now - helper->said_at <= ANNOUNCEMENT_KEPT;
}

static double cost_of(const struct hp_table *table,
		      const struct hp_helper *helper, struct gb_rng *rng)
{
	double busy = 1 + helper->said.queries + helper->calls;
	double cost = busy / helper->said.share;

	if (helper->said.dc_hash != table->settings.dc_hash)
		cost *= CROSS_DC_COST;
	return cost * (1 + COST_JITTER * gb_rng_unit(rng));
}

struct hp_helper *hp_choose(struct hp_table *table,
			    const struct hp_query *query, gb_time now,
			    struct gb_rng *rng)
{
	struct hp_helper *best = NULL;
	double best_cost = 0;

	if (!table->settings.share || !is_too_large(table, query))
		return NULL;
	for (guint i = 0; i < table->helpers->len; i++) {
		struct hp_helper *helper = table->helpers->pdata[i];
		double cost;

		if (!is_usable(table, helper, now))
			continue;
		cost = cost_of(table, helper, rng);
		if (best && cost >= best_cost)
			continue;
		best = helper;
		best_cost = cost;
	}
	return best;
}

void hp_call_begin(struct hp_helper *helper)
{
	helper->calls++;
}

void hp_call_overdue(struct hp_helper *helper, gb_time now)
{
	helper->avoid_until = MAX(helper->avoid_until, now + AVOID_MIN);
}

void hp_call_end(struct hp_helper *helper, enum hp_outcome outcome, gb_time now)
{
	helper->calls--;
	switch (outcome) {
	case HP_ANSWERED:
		helper->failures = 0;
		return;
	case HP_REFUSED:
		helper->avoid_until =
			MAX(helper->avoid_until, now + AVOID_REFUSED);
		return;
	case HP_FAILED:
		helper->avoid_until =
			now + MIN(AVOID_MIN << MIN(helper->failures,
						   AVOID_DOUBLINGS_MAX),
				  AVOID_MAX);
		helper->failures++;
		return;
	case HP_CANCELLED:
		return;
	}
}

uint32_t hp_queries_max(const struct hp_table *table)
{
	return MAX(table->settings.share * QUERIES_PER_CORE / 1000, 1);
}
