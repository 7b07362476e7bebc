#include "member/mem.h"

#include <string.h>

struct member {
	struct mem_row row;
	gb_time advanced; /* when its heartbeat last went on */
};

struct mem_table {
	struct mem_settings settings;
	struct gb_rng *rng;
	gb_time started;
	uint64_t beat;
	GPtrArray *members; /* of struct member, without this VM */
	GPtrArray *seeds; /* of struct mem_row; only the address is used */
};

static struct gb_str address_of(const struct mem_row *row)
{
	return (struct gb_str){ row->address, row->address_len };
}

static void set_address(struct mem_row *row, struct gb_str address)
{
	row->address_len = MIN(address.len, MEM_ADDRESS_MAX);
	memcpy(row->address, address.ptr, row->address_len);
}

struct mem_table *mem_new(const struct mem_settings *settings, gb_time now,
			  struct gb_rng *rng)
{
	struct mem_table *table = g_new0(struct mem_table, 1);

	table->settings = *settings;
	table->rng = rng;
	table->started = now;
	table->members = g_ptr_array_new_with_free_func(g_free);
	table->seeds = g_ptr_array_new_with_free_func(g_free);
	return table;
}

void mem_free(struct mem_table *table)
{
	g_ptr_array_free(table->members, TRUE);
	g_ptr_array_free(table->seeds, TRUE);
	g_free(table);
}

void mem_add_seed(struct mem_table *table, struct gb_str address)
{
	struct mem_row *seed;

	if (!address.len || gb_str_eq(address, table->settings.address))
		return;
	seed = g_new0(struct mem_row, 1);
	set_address(seed, address);
	g_ptr_array_add(table->seeds, seed);
}

static struct member *find(const struct mem_table *table, struct gb_str address)
{
	for (guint i = 0; i < table->members->len; i++) {
		struct member *member = table->members->pdata[i];

		if (gb_str_eq(address_of(&member->row), address))
			return member;
	}
	return NULL;
}

static bool is_live(const struct mem_table *table, const struct member *member,
		    gb_time now)
{
	return now - member->advanced < table->settings.silent;
}

void mem_beat(struct mem_table *table, gb_time now, struct mem_message *message)
{
	struct mem_row *own = &message->rows[0];
	guint from;

	*own = (struct mem_row){ .incarnation = table->settings.incarnation,
				 .beat = ++table->beat };
	set_address(own, table->settings.address);
	message->len = 1;
	if (!table->members->len)
		return;
	/* With more members than rows, each beat tells of others. */
	from = gb_rng_below(table->rng, table->members->len);
	for (guint i = 0; i < table->members->len; i++) {
		guint at = (from + i) % table->members->len;
		const struct member *member = table->members->pdata[at];

		if (message->len == MEM_ROWS_MAX)
			return;
		if (is_live(table, member, now))
			message->rows[message->len++] = member->row;
	}
}

void mem_targets(struct mem_table *table, gb_time now,
		 void (*send)(void *ctx, struct gb_str address), void *ctx)
{
	uint32_t len = table->members->len;
	uint32_t left = MIN(table->settings.fanout, len);

	for (guint i = 0; i < table->seeds->len; i++) {
		struct gb_str seed = address_of(table->seeds->pdata[i]);
		const struct member *member = find(table, seed);

		/* A seed that answers is a member like the others. */
		if (!member || !is_live(table, member, now))
			send(ctx, seed);
	}
	if (!len)
		return;
	for (uint32_t at = gb_rng_below(table->rng, len); left; left--, at++) {
		const struct member *member = table->members->pdata[at % len];

		send(ctx, address_of(&member->row));
	}
}

static bool is_newer(const struct mem_row *a, const struct mem_row *b)
{
	if (a->incarnation != b->incarnation)
		return a->incarnation > b->incarnation;
	return a->beat > b->beat;
}

static void take_row(struct mem_table *table, gb_time now,
		     const struct mem_row *row)
{
	struct gb_str address = address_of(row);
	struct member *member;

	if (!address.len || gb_str_eq(address, table->settings.address))
		return;
	member = find(table, address);
	if (!member) {
		member = g_new0(struct member, 1);
		g_ptr_array_add(table->members, member);
	} else if (!is_newer(row, &member->row)) {
		return;
	}
	member->row = *row;
	member->advanced = now;
}

static void forget_silent(struct mem_table *table, gb_time now)
{
	for (guint i = table->members->len; i; i--) {
		const struct member *member = table->members->pdata[i - 1];

		if (now - member->advanced >= table->settings.counted)
			g_ptr_array_remove_index_fast(table->members, i - 1);
	}
}

void mem_take(struct mem_table *table, gb_time now,
	      const struct mem_message *message)
{
	for (uint32_t i = 0; i < message->len; i++)
		take_row(table, now, &message->rows[i]);
	forget_silent(table, now);
}

uint32_t mem_count(const struct mem_table *table, gb_time now)
{
	uint32_t count = 1;

	for (guint i = 0; i < table->members->len; i++) {
		const struct member *member = table->members->pdata[i];

		count += now - member->advanced < table->settings.counted;
	}
	return MAX(count, table->seeds->len + 1);
}

uint32_t mem_live(const struct mem_table *table, gb_time now)
{
	uint32_t count = 1;

	for (guint i = 0; i < table->members->len; i++)
		count += is_live(table, table->members->pdata[i], now);
	return count;
}

bool mem_settled(const struct mem_table *table, gb_time now)
{
	return now - table->started >= table->settings.settle;
}

uint32_t mem_rank(const struct mem_table *table, gb_time now, uint64_t key)
{
	uint64_t own = gb_hash(table->settings.address, key);
	uint32_t rank = 0;

	for (guint i = 0; i < table->members->len; i++) {
		const struct member *member = table->members->pdata[i];

		if (is_live(table, member, now) &&
		    gb_hash(address_of(&member->row), key) > own)
			rank++;
	}
	return rank;
}

/* Number of live members that come before the member for the key. */
static uint32_t rank_of(const struct mem_table *table, gb_time now,
			uint64_t key, const struct member *member)
{
	uint64_t hash = gb_hash(address_of(&member->row), key);
	uint32_t rank = 0;

	for (guint i = 0; i < table->members->len; i++) {
		const struct member *other = table->members->pdata[i];

		rank += other != member && is_live(table, other, now) &&
			gb_hash(address_of(&other->row), key) > hash;
	}
	return rank;
}

bool mem_pick(const struct mem_table *table, gb_time now, uint64_t key,
	      uint32_t ranks, struct gb_str *address)
{
	uint32_t found = 0;

	for (guint i = 0; i < table->members->len; i++) {
		const struct member *member = table->members->pdata[i];

		if (!is_live(table, member, now) ||
		    rank_of(table, now, key, member) >= ranks)
			continue;
		/* Each of those found is kept with the same chance. */
		if (!gb_rng_below(table->rng, ++found))
			*address = address_of(&member->row);
	}
	return found > 0;
}
