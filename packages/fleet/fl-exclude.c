#include "fleet/fl-internal.h"

struct exclusion {
	struct gb_str dc;
	bool listed; /* in the list that is being read */
};

static void free_exclusion(gpointer data)
{
	struct exclusion *exclusion = data;

	gb_str_free(&exclusion->dc);
	g_free(exclusion);
}

GHashTable *fl_exclusions_new(void)
{
	return g_hash_table_new_full(gb_str_key_hash, gb_str_key_equal, NULL,
				     free_exclusion);
}

bool fl_set_dc_excluded(struct fl_fleet *fleet, struct gb_str dc, bool excluded)
{
	struct exclusion *exclusion = g_hash_table_lookup(fleet->excluded, &dc);

	if (!excluded)
		return g_hash_table_remove(fleet->excluded, &dc);
	if (exclusion) {
		exclusion->listed = true;
		return false;
	}
	exclusion = g_new0(struct exclusion, 1);
	exclusion->dc = gb_str_dup(dc);
	exclusion->listed = true;
	g_hash_table_insert(fleet->excluded, &exclusion->dc, exclusion);
	return true;
}

bool fl_is_excluded(const struct fl_fleet *fleet, struct gb_str dc)
{
	return g_hash_table_contains(fleet->excluded, &dc);
}

void fl_exclusions_begin(struct fl_fleet *fleet)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->excluded);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct exclusion *)value)->listed = false;
}

static gboolean remove_if_unlisted(gpointer key, gpointer value, gpointer ctx)
{
	const struct exclusion *exclusion = value;
	const struct fl_fleet *fleet = ctx;

	(void)key;
	if (exclusion->listed)
		return FALSE;
	fleet->ops->exclusion_ended(fleet->ctx, exclusion->dc);
	return TRUE;
}

void fl_exclusions_end(struct fl_fleet *fleet)
{
	g_hash_table_foreach_remove(fleet->excluded, remove_if_unlisted, fleet);
}
