#include "member/mem-internal.h"

/* In a tier of up to this many VMs, each VM reads the store itself. */
#define ALL_READERS_VMS_MAX 8

/* In a larger tier, this many VMs read it, in whatever data centre they are. */
#define READERS_PER_TIER 2

/*
 * Each data centre also has readers of its own; otherwise each change would
 * cross between data centres once for each VM. While it has none, its VMs
 * follow a reader of the tier. In a tier of more than LARGE_TIER_VMS one reader
 * would serve too many, so there are two per data centre.
 */
#define LARGE_TIER_VMS 160
#define READERS_PER_DC 1
#define READERS_PER_DC_LARGE_TIER 2

/* Ranks up to which VMs take the place of readers that fail. */
#define STANDBYS_PER_TIER 6
#define STANDBYS_PER_DC 3

static uint32_t readers_per_dc(const struct mem_table *table)
{
	return mem_live_count(table) > LARGE_TIER_VMS
		       ? READERS_PER_DC_LARGE_TIER
		       : READERS_PER_DC;
}

bool mem_all_are_readers(const struct mem_table *table)
{
	return mem_live_count(table) <= ALL_READERS_VMS_MAX;
}

static bool is_dc_reader(const struct mem_table *table)
{
	return mem_rank(table, MEM_SAME_DC, MEM_READERS_KEY) <
	       readers_per_dc(table);
}

bool mem_is_reader(const struct mem_table *table)
{
	return mem_all_are_readers(table) ||
	       mem_rank(table, MEM_ALL, MEM_READERS_KEY) < READERS_PER_TIER ||
	       is_dc_reader(table);
}

enum mem_candidate mem_reader_candidate(const struct mem_table *table,
					enum mem_scope scope, uint32_t index,
					struct gb_str *address)
{
	uint32_t standbys =
		scope == MEM_ALL ? STANDBYS_PER_TIER : STANDBYS_PER_DC;

	if (index >= standbys)
		return MEM_NO_MORE;
	if (mem_rank(table, scope, MEM_READERS_KEY) == index)
		return MEM_SELF;
	/* The members before this VM have the same ranks without it. */
	if (mem_rank(table, scope, MEM_READERS_KEY) < index)
		return MEM_NO_MORE;
	return mem_find_ranked(table, scope, MEM_READERS_KEY, index, address)
		       ? MEM_OTHER
		       : MEM_NO_MORE;
}

bool mem_pick_reader(const struct mem_table *table, enum mem_scope scope,
		     struct gb_str *address)
{
	uint32_t ranks =
		scope == MEM_ALL ? READERS_PER_TIER : readers_per_dc(table);

	if (mem_all_are_readers(table))
		ranks = 0;
	else if (scope == MEM_SAME_DC && is_dc_reader(table))
		return false;
	return mem_pick(table, scope, MEM_READERS_KEY, ranks, address);
}
