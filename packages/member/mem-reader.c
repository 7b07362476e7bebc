#include "member/mem-internal.h"

/* Up to this number of VMs each follows the store. */
#define DIRECT_VMS 8

/* In a larger tier, the first ones among all do, wherever they are. */
#define READERS 2

/*
 * Each data centre has readers of its own besides, since what others read
 * crosses data centres once for each VM. In a tier of more VMs than this there
 * are two, so that the others of a large data centre can do without one.
 */
#define LARGE_VMS 64
#define READERS_PER_DC 1
#define READERS_PER_DC_LARGE 2

/* "reader" in ASCII: ranks by this key belong to no upstream. */
#define READERS_KEY 0x726561646572ull

static uint32_t readers_per_dc(const struct mem_table *table)
{
	return mem_live(table) > LARGE_VMS ? READERS_PER_DC_LARGE
					   : READERS_PER_DC;
}

bool mem_all_read(const struct mem_table *table)
{
	return mem_live(table) <= DIRECT_VMS;
}

static bool is_dc_reader(const struct mem_table *table)
{
	return mem_rank(table, MEM_SAME_DC, READERS_KEY) <
	       readers_per_dc(table);
}

bool mem_is_reader(const struct mem_table *table)
{
	return mem_all_read(table) ||
	       mem_rank(table, MEM_ALL, READERS_KEY) < READERS ||
	       is_dc_reader(table);
}

bool mem_pick_reader(const struct mem_table *table, enum mem_scope scope,
		     struct gb_str *address)
{
	uint32_t ranks = scope == MEM_ALL ? READERS : readers_per_dc(table);

	if (mem_all_read(table))
		ranks = 0;
	else if (scope == MEM_SAME_DC && is_dc_reader(table))
		return false;
	return mem_pick(table, scope, READERS_KEY, ranks, address);
}
