#include "organisation/og.h"

struct og_table {
	GHashTable *by_name; /* struct gb_str to struct og_org */
	GHashTable *by_id; /* its hash to the same */
	GHashTable *by_key; /* struct gb_str, owned, to the same */
	uint32_t most_urgent; /* lowest priority */
	uint32_t least_urgent;
	uint32_t bad_limits;
	uint32_t bad_keys;
};

static void free_org(gpointer data)
{
	struct og_org *org = data;

	gb_str_free(&org->name);
	g_free(org);
}

static void free_key(gpointer data)
{
	struct gb_str *key = data;

	gb_str_free(key);
	g_free(key);
}

struct og_table *og_table_new(void)
{
	struct og_table *table = g_new0(struct og_table, 1);

	table->by_name = g_hash_table_new_full(
		gb_str_key_hash, gb_str_key_equal, NULL, free_org);
	table->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	table->by_key = g_hash_table_new_full(gb_str_key_hash, gb_str_key_equal,
					      free_key, NULL);
	table->most_urgent = UINT32_MAX;
	return table;
}

void og_table_free(struct og_table *table)
{
	if (!table)
		return;
	g_hash_table_destroy(table->by_key);
	g_hash_table_destroy(table->by_id);
	g_hash_table_destroy(table->by_name);
	g_free(table);
}

struct og_org *og_table_add(struct og_table *table, const struct og_org *org)
{
	struct og_org *copy;

	if (g_hash_table_contains(table->by_name, &org->name))
		return NULL;
	copy = g_memdup2(org, sizeof(*org));
	copy->name = gb_str_dup(org->name);
	copy->id = gb_hash(org->name, 0);
	g_hash_table_insert(table->by_name, &copy->name, copy);
	g_hash_table_insert(table->by_id, &copy->id, copy);
	table->most_urgent = MIN(table->most_urgent, org->priority);
	table->least_urgent = MAX(table->least_urgent, org->priority);
	return copy;
}

bool og_table_add_key(struct og_table *table, const struct og_org *org,
		      struct gb_str key)
{
	struct gb_str *copy;

	if (!key.len || g_hash_table_contains(table->by_key, &key)) {
		table->bad_keys++;
		return false;
	}
	copy = g_new(struct gb_str, 1);
	*copy = gb_str_dup(key);
	g_hash_table_insert(table->by_key, copy, (gpointer)org);
	return true;
}

const struct og_org *og_table_find(const struct og_table *table,
				   struct gb_str key)
{
	return key.len ? g_hash_table_lookup(table->by_key, &key) : NULL;
}

const struct og_org *og_table_by_id(const struct og_table *table, uint64_t id)
{
	return g_hash_table_lookup(table->by_id, &id);
}

size_t og_table_len(const struct og_table *table)
{
	return g_hash_table_size(table->by_name);
}

bool og_table_has_more_urgent(const struct og_table *table, uint32_t priority)
{
	return table->most_urgent < priority;
}

bool og_table_has_less_urgent(const struct og_table *table, uint32_t priority)
{
	return table->least_urgent > priority;
}

void og_table_count_bad_limit(struct og_table *table)
{
	table->bad_limits++;
}

uint32_t og_table_bad_limits(const struct og_table *table)
{
	return table->bad_limits;
}

uint32_t og_table_bad_keys(const struct og_table *table)
{
	return table->bad_keys;
}
