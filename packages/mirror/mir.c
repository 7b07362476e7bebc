#include "mirror/mir.h"

#include <glib.h>

/* An object, reference-counted by the table and by the changes that hold it. */
struct entry {
	struct gb_str name;
	struct gb_str bytes;
	bool removed;
	bool in_list; /* named by the list that is being read */
	uint32_t refs;
};

struct change {
	int64_t revision;
	struct entry *entry;
};

struct mir_table {
	GHashTable *objects; /* name to struct entry */
	GQueue changes; /* of struct change, oldest first */
	/* of struct entry, put since the last mir_commit_changes() */
	GQueue pending;
	int64_t revision;
	/* changes up to this revision are no longer kept */
	int64_t compacted_revision;
	bool listing;
	bool synced;
};

static void unref_entry(gpointer data)
{
	struct entry *entry = data;

	if (--entry->refs)
		return;
	gb_str_free(&entry->name);
	gb_str_free(&entry->bytes);
	g_free(entry);
}

static void free_change(gpointer data)
{
	struct change *change = data;

	unref_entry(change->entry);
	g_free(change);
}

struct mir_table *mir_new(void)
{
	struct mir_table *table = g_new0(struct mir_table, 1);

	table->objects = g_hash_table_new_full(
		gb_str_key_hash, gb_str_key_equal, NULL, unref_entry);
	g_queue_init(&table->changes);
	g_queue_init(&table->pending);
	return table;
}

void mir_free(struct mir_table *table)
{
	g_queue_clear_full(&table->changes, free_change);
	g_queue_clear_full(&table->pending, unref_entry);
	g_hash_table_destroy(table->objects);
	g_free(table);
}

void mir_list_begin(struct mir_table *table)
{
	GHashTableIter iter;
	gpointer value;

	table->listing = true;
	g_hash_table_iter_init(&iter, table->objects);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct entry *)value)->in_list = false;
}

static gboolean is_not_in_list(gpointer key, gpointer value, gpointer ctx)
{
	(void)key;
	(void)ctx;
	return !((struct entry *)value)->in_list;
}

/* Drops all changes, since those before the list were not seen one by one. */
void mir_list_end(struct mir_table *table, int64_t revision)
{
	table->listing = false;
	table->synced = true;
	g_queue_clear_full(&table->changes, free_change);
	/*
	 * Changes of a watch response that broke off are older than the list.
	 */
	g_queue_clear_full(&table->pending, unref_entry);
	g_hash_table_foreach_remove(table->objects, is_not_in_list, NULL);
	table->compacted_revision = revision;
	table->revision = revision;
}

void mir_put(struct mir_table *table, const struct mir_object *object)
{
	struct entry *entry = g_new0(struct entry, 1);

	entry->name = gb_str_dup(object->name);
	entry->bytes = gb_str_dup(object->bytes);
	entry->removed = object->removed;
	entry->in_list = true;
	entry->refs = 1;
	if (!table->listing) {
		entry->refs++;
		g_queue_push_tail(&table->pending, entry);
	}
	/*
	 * The table's key is the name inside the entry, so a replacement
	 * replaces both.
	 */
	if (entry->removed) {
		g_hash_table_remove(table->objects, &entry->name);
		unref_entry(entry);
	} else {
		g_hash_table_replace(table->objects, &entry->name, entry);
	}
}

void mir_keep(struct mir_table *table, struct gb_str name)
{
	struct entry *entry = g_hash_table_lookup(table->objects, &name);

	if (entry)
		entry->in_list = true;
}

void mir_commit_changes(struct mir_table *table, int64_t revision)
{
	struct entry *entry;

	table->revision = MAX(table->revision, revision);
	while ((entry = g_queue_pop_head(&table->pending))) {
		struct change *change = g_new0(struct change, 1);

		change->revision = table->revision;
		change->entry = entry;
		g_queue_push_tail(&table->changes, change);
	}
	while (table->changes.length > MIR_CHANGES_MAX) {
		struct change *oldest = g_queue_pop_head(&table->changes);

		table->compacted_revision = oldest->revision;
		free_change(oldest);
	}
}

int64_t mir_revision(const struct mir_table *table)
{
	return table->revision;
}

static void visit_entry(const struct entry *entry, mir_visit_fn visit,
			void *ctx)
{
	const struct mir_object object = { .name = entry->name,
					   .bytes = entry->bytes,
					   .removed = entry->removed };

	visit(ctx, &object);
}

void mir_visit_objects(const struct mir_table *table, mir_visit_fn visit,
		       void *ctx)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, table->objects);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		visit_entry(value, visit, ctx);
}

bool mir_visit_changes(const struct mir_table *table, int64_t revision,
		       mir_visit_fn visit, void *ctx)
{
	if (!table->synced || revision < table->compacted_revision)
		return false;
	for (GList *at = table->changes.head; at; at = at->next) {
		const struct change *change = at->data;

		if (change->revision > revision)
			visit_entry(change->entry, visit, ctx);
	}
	return true;
}
