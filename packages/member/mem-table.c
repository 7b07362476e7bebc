#include "member/mem-internal.h"

#include <string.h>

/* Messages that carry a changed row, per doubling of the number of members. */
#define SENDS_PER_DOUBLING 1

/*
 * For this long after the start, the estimate of the number of VMs is at least
 * the highest number that another VM reported.
 */
#define REPORTED_COUNT_TIME (6 * GB_SEC)

struct gb_str mem_address(const struct mem_row *row)
{
	return (struct gb_str){ row->address, row->address_len };
}

static void set_address(struct mem_row *row, struct gb_str address)
{
	row->address_len = MIN(address.len, MEM_ADDRESS_MAX);
	memcpy(row->address, address.ptr, row->address_len);
}

static guint address_hash(gconstpointer key)
{
	return (guint)gb_hash(mem_address(key), 0);
}

static gboolean address_equal(gconstpointer a, gconstpointer b)
{
	return gb_str_eq(mem_address(a), mem_address(b));
}

static uint32_t count_halvings(double processor_share)
{
	uint32_t halvings = 0;

	while (processor_share > 0 && processor_share < 1 &&
	       halvings < MEM_HALVINGS_MAX) {
		processor_share *= 2;
		halvings++;
	}
	return halvings;
}

struct mem_table *mem_new(const struct mem_settings *settings,
			  const struct mem_ops *ops, void *ctx, gb_time now,
			  struct gb_rng *rng)
{
	struct mem_table *table = g_new0(struct mem_table, 1);

	table->settings = *settings;
	table->ops = ops;
	table->ctx = ctx;
	table->rng = rng;
	table->started_at = now;
	table->last_tick = now;
	table->self.incarnation = settings->incarnation;
	table->self.dc_hash = (uint32_t)gb_hash(settings->dc, 0);
	table->self.halvings = count_halvings(settings->processor_share);
	set_address(&table->self, settings->address);
	table->members = g_ptr_array_new_with_free_func(g_free);
	table->by_address = g_hash_table_new(address_hash, address_equal);
	table->seeds = g_ptr_array_new_with_free_func(g_free);
	return table;
}

void mem_free(struct mem_table *table)
{
	g_hash_table_destroy(table->by_address);
	g_ptr_array_free(table->members, TRUE);
	g_ptr_array_free(table->seeds, TRUE);
	g_free(table);
}

void mem_add_seed(struct mem_table *table, struct gb_str address)
{
	struct mem_row *seed;

	if (!address.len)
		return;
	if (gb_str_eq(address, mem_address(&table->self))) {
		table->is_seed = true;
		return;
	}
	seed = g_new0(struct mem_row, 1);
	set_address(seed, address);
	g_ptr_array_add(table->seeds, seed);
}

struct mem_member *mem_find(const struct mem_table *table,
			    struct gb_str address)
{
	struct mem_row key = { 0 };

	set_address(&key, address);
	return g_hash_table_lookup(table->by_address, &key);
}

struct mem_member *mem_add(struct mem_table *table, const struct mem_row *row)
{
	struct mem_member *member = g_new0(struct mem_member, 1);
	guint at = gb_rng_below(table->rng, table->members->len + 1);

	member->row = *row;
	g_ptr_array_insert(table->members, at, member);
	/*
	 * The key is the row embedded in the member, so both are freed
	 * together.
	 */
	g_hash_table_insert(table->by_address, &member->row, member);
	return member;
}

void mem_remove_at(struct mem_table *table, guint at)
{
	struct mem_member *member = table->members->pdata[at];

	g_hash_table_remove(table->by_address, &member->row);
	g_ptr_array_remove_index(table->members, at);
}

void mem_set_state(struct mem_table *table, struct mem_member *member,
		   enum mem_state state, gb_time now)
{
	if (member->row.state != state)
		member->state_since = now;
	member->row.state = state;
	member->unacked_since = 0;
	mem_schedule_gossip(table, member);
}

void mem_schedule_gossip(struct mem_table *table, struct mem_member *member)
{
	uint32_t doublings = 1;

	for (guint n = table->members->len; n; n /= 2)
		doublings++;
	member->sends_left = SENDS_PER_DOUBLING * doublings;
}

static uint64_t row_hash(const struct mem_row *row)
{
	return gb_hash(mem_address(row), row->incarnation);
}

uint32_t mem_bucket(const struct mem_row *row)
{
	return gb_hash(mem_address(row), 0) % MEM_BUCKETS;
}

static void add_to_digest(struct mem_digest *digest, const struct mem_row *row)
{
	uint32_t bucket = mem_bucket(row);
	uint64_t sum = row_hash(row) & 0xffff;

	digest->word[bucket / 4] ^= sum << (bucket % 4 * 16);
}

void mem_compute_digest(const struct mem_table *table,
			struct mem_digest *digest)
{
	*digest = (struct mem_digest){ { 0 } };
	add_to_digest(digest, &table->self);
	for (guint i = 0; i < table->members->len; i++) {
		const struct mem_member *member = table->members->pdata[i];

		if (member->row.state != MEM_DEAD)
			add_to_digest(digest, &member->row);
	}
}

uint32_t mem_differing_buckets(const struct mem_digest *a,
			       const struct mem_digest *b)
{
	uint32_t set = 0;

	for (uint32_t bucket = 0; bucket < MEM_BUCKETS; bucket++) {
		uint64_t differ = a->word[bucket / 4] ^ b->word[bucket / 4];

		if (differ >> (bucket % 4 * 16) & 0xffff)
			set |= 1u << bucket;
	}
	return set;
}

/*
 * A VM that has just started does not know all members yet, so it relies on the
 * number that other VMs report.
 */
static uint32_t min_estimate(const struct mem_table *table, gb_time now)
{
	uint32_t seeds = table->seeds->len + 1;

	if (now - table->started_at >= REPORTED_COUNT_TIME)
		return seeds;
	return MAX(seeds, table->reported_live_max);
}

uint32_t mem_estimate_vms(const struct mem_table *table, gb_time now)
{
	return mem_count_lately_live(table, now,
				     table->settings.dead_counted_time);
}

uint32_t mem_live_count(const struct mem_table *table)
{
	uint32_t count = 1;

	for (guint i = 0; i < table->members->len; i++) {
		const struct mem_member *member = table->members->pdata[i];

		count += member->row.state != MEM_DEAD;
	}
	return count;
}

uint32_t mem_count_lately_live(const struct mem_table *table, gb_time now,
			       gb_time time)
{
	uint32_t count = 1;

	for (guint i = 0; i < table->members->len; i++) {
		const struct mem_member *member = table->members->pdata[i];

		count += member->row.state != MEM_DEAD ||
			 now - member->state_since < time;
	}
	return MAX(count, min_estimate(table, now));
}

bool mem_knows_members(const struct mem_table *table, gb_time now)
{
	if (now - table->started_at >= REPORTED_COUNT_TIME)
		return true;
	return mem_live_count(table) * 2 >= table->reported_live_max;
}

bool mem_settled(const struct mem_table *table, gb_time now)
{
	return now - table->started_at >= table->settings.settle_time;
}
