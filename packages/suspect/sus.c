#include "suspect/sus.h"

#include <glib.h>

/* Longest quarantine, unless the table's first one is longer already. */
#define QUARANTINE_MAX (600 * GB_SEC)
#define DOUBLINGS_MAX 10

struct entry {
	uint64_t fingerprint;
	enum sus_state state;
	uint32_t crashes;
	gb_time crashed_at; /* the last one */
	gb_time until; /* end of the quarantine */
	GList link; /* in good or in others, oldest first */
};

struct sus_table {
	GHashTable *entries; /* fingerprint to struct entry, owned */
	GQueue good;
	GQueue others;
	size_t entries_max;
	uint32_t crashes_max; /* after which a request is quarantined */
	gb_time quarantine;
};

static struct entry *find(const struct sus_table *table, uint64_t fingerprint);
static struct entry *obtain(struct sus_table *table, uint64_t fingerprint);
static void make_room(struct sus_table *table);
static void drop(struct sus_table *table, struct entry *entry);
static GQueue *queue_of(struct sus_table *table, const struct entry *entry);
static void set_state(struct sus_table *table, struct entry *entry,
		      enum sus_state state);
static enum sus_state state_at(const struct entry *entry, gb_time now);
static void quarantine(struct sus_table *table, gb_time now,
		       struct entry *entry);

struct sus_table *sus_new(size_t entries_max, uint32_t crashes_max,
			  gb_time quarantine_time)
{
	struct sus_table *table = g_new0(struct sus_table, 1);

	table->entries = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, g_free);
	g_queue_init(&table->good);
	g_queue_init(&table->others);
	table->entries_max = MAX(entries_max, 1);
	table->crashes_max = crashes_max;
	table->quarantine = quarantine_time;
	return table;
}

void sus_free(struct sus_table *table)
{
	if (!table)
		return;
	g_hash_table_destroy(table->entries);
	g_free(table);
}

static struct entry *find(const struct sus_table *table, uint64_t fingerprint)
{
	return g_hash_table_lookup(table->entries, &fingerprint);
}

static GQueue *queue_of(struct sus_table *table, const struct entry *entry)
{
	return entry->state == SUS_GOOD ? &table->good : &table->others;
}

static void drop(struct sus_table *table, struct entry *entry)
{
	g_queue_unlink(queue_of(table, entry), &entry->link);
	g_hash_table_remove(table->entries, &entry->fingerprint);
}

/* Drops the oldest good entry, or the oldest of all when none is good. */
static void make_room(struct sus_table *table)
{
	GQueue *queue = table->good.length ? &table->good : &table->others;

	if (sus_len(table) >= table->entries_max)
		drop(table, queue->head->data);
}

/* Finds the entry of a fingerprint or adds one. */
static struct entry *obtain(struct sus_table *table, uint64_t fingerprint)
{
	struct entry *entry = find(table, fingerprint);

	if (entry)
		return entry;
	make_room(table);
	entry = g_new0(struct entry, 1);
	entry->fingerprint = fingerprint;
	entry->link.data = entry;
	g_hash_table_insert(table->entries, &entry->fingerprint, entry);
	g_queue_push_tail_link(&table->others, &entry->link);
	return entry;
}

/* Sets the state and makes the entry the newest of its queue. */
static void set_state(struct sus_table *table, struct entry *entry,
		      enum sus_state state)
{
	g_queue_unlink(queue_of(table, entry), &entry->link);
	entry->state = state;
	g_queue_push_tail_link(queue_of(table, entry), &entry->link);
}

/*
 * The state at a time. After its quarantine a request is suspect, so that it
 * runs alone and its next crash quarantines it again.
 */
static enum sus_state state_at(const struct entry *entry, gb_time now)
{
	if (entry->state == SUS_QUARANTINED && now >= entry->until)
		return SUS_SUSPECT;
	return entry->state;
}

static void quarantine(struct sus_table *table, gb_time now,
		       struct entry *entry)
{
	uint32_t further =
		MIN(entry->crashes - table->crashes_max, DOUBLINGS_MAX);
	gb_time most = MAX(table->quarantine, QUARANTINE_MAX);

	entry->until = now + MIN(table->quarantine << further, most);
	set_state(table, entry, SUS_QUARANTINED);
}

static void set_crashes(struct sus_table *table, gb_time now,
			struct entry *entry, uint32_t crashes)
{
	entry->crashes = crashes;
	entry->crashed_at = now;
	if (crashes >= table->crashes_max)
		quarantine(table, now, entry);
	else
		set_state(table, entry, SUS_SUSPECT);
}

enum sus_state sus_state(const struct sus_table *table, gb_time now,
			 uint64_t fingerprint)
{
	const struct entry *entry = find(table, fingerprint);

	return entry ? state_at(entry, now) : SUS_UNKNOWN;
}

uint32_t sus_crashes(const struct sus_table *table, uint64_t fingerprint)
{
	const struct entry *entry = find(table, fingerprint);

	return entry ? entry->crashes : 0;
}

void sus_begin(struct sus_table *table, gb_time now, uint64_t fingerprint)
{
	struct entry *entry = obtain(table, fingerprint);

	if (state_at(entry, now) == SUS_UNKNOWN)
		set_state(table, entry, SUS_CANARY);
	else if (state_at(entry, now) == SUS_SUSPECT)
		set_state(table, entry, SUS_ALONE);
}

enum sus_state sus_success(struct sus_table *table, gb_time now,
			   uint64_t fingerprint)
{
	struct entry *entry = obtain(table, fingerprint);
	enum sus_state state = state_at(entry, now);

	/* A suspect is cleared only by the run that it had alone. */
	if (state == SUS_SUSPECT || state == SUS_QUARANTINED)
		return state;
	entry->crashes = 0;
	if (state != SUS_GOOD)
		set_state(table, entry, SUS_GOOD);
	return SUS_GOOD;
}

enum sus_state sus_crash(struct sus_table *table, gb_time now,
			 uint64_t fingerprint)
{
	struct entry *entry = obtain(table, fingerprint);

	set_crashes(table, now, entry, entry->crashes + 1);
	return entry->state;
}

bool sus_lost(struct sus_table *table, gb_time now, uint64_t fingerprint,
	      gb_time sent_at)
{
	const struct entry *entry = find(table, fingerprint);

	if (entry && sent_at < entry->crashed_at)
		return false;
	sus_crash(table, now, fingerprint);
	return true;
}

void sus_clear(struct sus_table *table, uint64_t fingerprint)
{
	struct entry *entry = find(table, fingerprint);

	if (entry)
		drop(table, entry);
}

void sus_abandon(struct sus_table *table, uint64_t fingerprint)
{
	struct entry *entry = find(table, fingerprint);

	if (!entry)
		return;
	if (entry->state == SUS_ALONE)
		set_state(table, entry, SUS_SUSPECT);
	else if (entry->state == SUS_CANARY)
		drop(table, entry);
}

bool sus_learn(struct sus_table *table, gb_time now, uint64_t fingerprint,
	       uint32_t crashes)
{
	if (!crashes || crashes <= sus_crashes(table, fingerprint))
		return false;
	set_crashes(table, now, obtain(table, fingerprint), crashes);
	return true;
}

void sus_each(const struct sus_table *table,
	      void (*visit)(void *ctx, uint64_t fingerprint, uint32_t crashes),
	      void *ctx)
{
	for (const GList *link = table->others.head; link; link = link->next) {
		const struct entry *entry = link->data;

		if (entry->crashes)
			visit(ctx, entry->fingerprint, entry->crashes);
	}
}

size_t sus_len(const struct sus_table *table)
{
	return g_hash_table_size(table->entries);
}
