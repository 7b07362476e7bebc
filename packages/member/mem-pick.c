#include "member/mem-internal.h"

/* Members with more halvings come after all others. */
struct weight {
	uint32_t halvings;
	uint64_t hash;
};

/* A reader serves many VMs, which wait for one with little processor time. */
static struct weight weight_of(const struct mem_row *row, uint64_t key)
{
	return (struct weight){
		.halvings = key == MEM_READERS_KEY ? row->halvings : 0,
		.hash = gb_hash(mem_address(row), key),
	};
}

static bool comes_before(struct weight a, struct weight b)
{
	if (a.halvings != b.halvings)
		return a.halvings < b.halvings;
	return a.hash > b.hash;
}

static bool is_in_scope(const struct mem_table *table, enum mem_scope scope,
			const struct mem_member *member)
{
	return member->row.state != MEM_DEAD &&
	       (scope == MEM_ALL || member->row.dc_hash == table->self.dc_hash);
}

uint32_t mem_rank(const struct mem_table *table, enum mem_scope scope,
		  uint64_t key)
{
	struct weight own = weight_of(&table->self, key);
	uint32_t rank = 0;

	for (guint i = 0; i < table->members->len; i++) {
		const struct mem_member *member = table->members->pdata[i];

		rank += is_in_scope(table, scope, member) &&
			comes_before(weight_of(&member->row, key), own);
	}
	return rank;
}

void mem_each_live(const struct mem_table *table,
		   void (*visit)(void *ctx, struct gb_str address), void *ctx)
{
	for (guint i = 0; i < table->members->len; i++) {
		const struct mem_member *member = table->members->pdata[i];

		if (member->row.state != MEM_DEAD)
			visit(ctx, mem_address(&member->row));
	}
}

static bool pick_uniform(const struct mem_table *table, enum mem_scope scope,
			 struct gb_str *address)
{
	uint32_t found = 0;

	for (guint i = 0; i < table->members->len; i++) {
		const struct mem_member *member = table->members->pdata[i];

		if (!is_in_scope(table, scope, member))
			continue;
		/*
		 * Reservoir sampling: each match is kept with equal
		 * probability.
		 */
		if (!gb_rng_below(table->rng, ++found))
			*address = mem_address(&member->row);
	}
	return found > 0;
}

/* Finds the first members for a key, without this VM; returns their number. */
static uint32_t find_first(const struct mem_table *table, enum mem_scope scope,
			   uint64_t key, uint32_t ranks,
			   const struct mem_row **first)
{
	struct weight weight[MEM_RANKS_MAX];
	uint32_t len = 0;

	for (guint i = 0; i < table->members->len; i++) {
		const struct mem_member *member = table->members->pdata[i];
		struct weight own = weight_of(&member->row, key);
		uint32_t at;

		if (!is_in_scope(table, scope, member) ||
		    (len == ranks && !comes_before(own, weight[len - 1])))
			continue;
		len = MIN(len + 1, ranks);
		for (at = len - 1; at && comes_before(own, weight[at - 1]);
		     at--) {
			weight[at] = weight[at - 1];
			first[at] = first[at - 1];
		}
		weight[at] = own;
		first[at] = &member->row;
	}
	return len;
}

bool mem_find_ranked(const struct mem_table *table, enum mem_scope scope,
		     uint64_t key, uint32_t rank, struct gb_str *address)
{
	const struct mem_row *first[MEM_RANKS_MAX];

	if (rank >= MEM_RANKS_MAX ||
	    find_first(table, scope, key, rank + 1, first) <= rank)
		return false;
	*address = mem_address(first[rank]);
	return true;
}

bool mem_pick(const struct mem_table *table, enum mem_scope scope, uint64_t key,
	      uint32_t ranks, struct gb_str *address)
{
	const struct mem_row *first[MEM_RANKS_MAX];
	uint32_t len;

	if (!ranks)
		return pick_uniform(table, scope, address);
	len = find_first(table, scope, key, MIN(ranks, MEM_RANKS_MAX), first);
	if (!len)
		return false;
	*address = mem_address(first[gb_rng_below(table->rng, len)]);
	return true;
}

bool mem_is_seed(const struct mem_table *table)
{
	return table->is_seed;
}

bool mem_pick_seed(const struct mem_table *table, struct gb_str *address)
{
	if (!table->seeds->len)
		return false;
	*address = mem_address(
		table->seeds
			->pdata[gb_rng_below(table->rng, table->seeds->len)]);
	return true;
}
