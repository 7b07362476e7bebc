#include "suspect/sus.h"

#include <glib.h>

/* Longest quarantine, unless the first quarantine is longer. */
#define QUARANTINE_MAX (600 * GB_SEC)
#define DOUBLINGS_MAX 10

struct entry {
	uint64_t fingerprint;
	enum sus_state state;
	uint32_t crashes;
	gb_time crashed_at; /* last crash */
	gb_time cleared_at; /* last answer after a crash */
	/* when the last lost run was sent; 0: none, or counted elsewhere */
	gb_time lost_run_sent_at;
	bool loss_is_new; /* sus_each_new_loss() has not visited it */
	bool is_shared; /* other VMs may know of the crashes */
	gb_time quarantined_until;
	GList link; /* in good or not_good, oldest first */
};

struct sus_table {
	GHashTable *entries; /* fingerprint to struct entry, owned */
	GQueue good;
	GQueue not_good;
	size_t entries_max;
	uint32_t crashes_max; /* at which a request is quarantined */
	gb_time first_quarantine;
};

static struct entry *find_entry(const struct sus_table *table,
				uint64_t fingerprint);
static struct entry *find_or_add_entry(struct sus_table *table,
				       uint64_t fingerprint);
static void evict_if_full(struct sus_table *table);
static void remove_entry(struct sus_table *table, struct entry *entry);
static GQueue *queue_of(struct sus_table *table, const struct entry *entry);
static void set_state(struct sus_table *table, struct entry *entry,
		      enum sus_state state);
static enum sus_state state_at(const struct entry *entry, gb_time now);
static void quarantine_entry(struct sus_table *table, struct entry *entry);

struct sus_table *sus_new(size_t entries_max, uint32_t crashes_max,
			  gb_time first_quarantine)
{
	struct sus_table *table = g_new0(struct sus_table, 1);

	table->entries = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, g_free);
	g_queue_init(&table->good);
	g_queue_init(&table->not_good);
	table->entries_max = MAX(entries_max, 1);
	table->crashes_max = crashes_max;
	table->first_quarantine = first_quarantine;
	return table;
}

void sus_free(struct sus_table *table)
{
	if (!table)
		return;
	g_hash_table_destroy(table->entries);
	g_free(table);
}

static struct entry *find_entry(const struct sus_table *table,
				uint64_t fingerprint)
{
	return g_hash_table_lookup(table->entries, &fingerprint);
}

static GQueue *queue_of(struct sus_table *table, const struct entry *entry)
{
	return entry->state == SUS_GOOD ? &table->good : &table->not_good;
}

static void remove_entry(struct sus_table *table, struct entry *entry)
{
	g_queue_unlink(queue_of(table, entry), &entry->link);
	g_hash_table_remove(table->entries, &entry->fingerprint);
}

/* If full, evicts the oldest good entry, or the oldest if none is good. */
static void evict_if_full(struct sus_table *table)
{
	GQueue *queue = table->good.length ? &table->good : &table->not_good;

	if (sus_len(table) >= table->entries_max)
		remove_entry(table, queue->head->data);
}

/* Returns the entry of a fingerprint; adds one if there is none. */
static struct entry *find_or_add_entry(struct sus_table *table,
				       uint64_t fingerprint)
{
	struct entry *entry = find_entry(table, fingerprint);

	if (entry)
		return entry;
	evict_if_full(table);
	entry = g_new0(struct entry, 1);
	entry->fingerprint = fingerprint;
	entry->link.data = entry;
	g_hash_table_insert(table->entries, &entry->fingerprint, entry);
	g_queue_push_tail_link(&table->not_good, &entry->link);
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
 * Returns the state at a time. After its quarantine a request is suspect, so
 * that it runs isolated and its next crash quarantines it again.
 */
static enum sus_state state_at(const struct entry *entry, gb_time now)
{
	if (entry->state == SUS_QUARANTINED && now >= entry->quarantined_until)
		return SUS_SUSPECT;
	return entry->state;
}

/* Quarantines the entry, counted from its last crash. */
static void quarantine_entry(struct sus_table *table, struct entry *entry)
{
	uint32_t doublings =
		MIN(entry->crashes - table->crashes_max, DOUBLINGS_MAX);
	gb_time longest = MAX(table->first_quarantine, QUARANTINE_MAX);

	entry->quarantined_until =
		entry->crashed_at +
		MIN(table->first_quarantine << doublings, longest);
	set_state(table, entry, SUS_QUARANTINED);
}

static void set_crashes(struct sus_table *table, gb_time crashed_at,
			struct entry *entry, uint32_t crashes)
{
	entry->crashes = crashes;
	entry->crashed_at = crashed_at;
	if (crashes >= table->crashes_max)
		quarantine_entry(table, entry);
	else
		set_state(table, entry, SUS_SUSPECT);
}

enum sus_state sus_state(const struct sus_table *table, gb_time now,
			 uint64_t fingerprint)
{
	const struct entry *entry = find_entry(table, fingerprint);

	return entry ? state_at(entry, now) : SUS_UNKNOWN;
}

uint32_t sus_crashes(const struct sus_table *table, uint64_t fingerprint)
{
	const struct entry *entry = find_entry(table, fingerprint);

	return entry ? entry->crashes : 0;
}

void sus_run_begin(struct sus_table *table, gb_time now, uint64_t fingerprint)
{
	struct entry *entry = find_or_add_entry(table, fingerprint);

	if (state_at(entry, now) == SUS_UNKNOWN)
		set_state(table, entry, SUS_CANARY);
	else if (state_at(entry, now) == SUS_SUSPECT)
		set_state(table, entry, SUS_ISOLATED);
}

enum sus_state sus_run_succeeded(struct sus_table *table, gb_time now,
				 uint64_t fingerprint)
{
	struct entry *entry = find_or_add_entry(table, fingerprint);
	enum sus_state state = state_at(entry, now);

	/* A suspect is cleared only by its isolated run. */
	if (state == SUS_SUSPECT || state == SUS_QUARANTINED)
		return state;
	entry->crashes = 0;
	if (state != SUS_GOOD)
		set_state(table, entry, SUS_GOOD);
	return SUS_GOOD;
}

enum sus_state sus_run_crashed(struct sus_table *table, gb_time now,
			       uint64_t fingerprint)
{
	struct entry *entry = find_or_add_entry(table, fingerprint);

	set_crashes(table, now, entry, entry->crashes + 1);
	return entry->state;
}

bool sus_run_lost(struct sus_table *table, gb_time lost_at,
		  uint64_t fingerprint, gb_time sent_at)
{
	struct entry *entry = find_or_add_entry(table, fingerprint);

	if (lost_at < entry->cleared_at)
		return false;
	if (lost_at < entry->lost_run_sent_at) {
		/* An earlier loss is told late; the last one stays the last. */
		set_crashes(table, entry->crashed_at, entry,
			    entry->crashes + 1);
		return true;
	}
	if (sent_at < entry->crashed_at)
		return false;
	set_crashes(table, lost_at, entry, entry->crashes + 1);
	entry->lost_run_sent_at = sent_at;
	entry->loss_is_new = true;
	return true;
}

uint32_t sus_clear(struct sus_table *table, gb_time now, uint64_t fingerprint)
{
	struct entry *entry = find_entry(table, fingerprint);
	uint32_t crashes_shared;

	if (!entry)
		return 0;
	crashes_shared = entry->is_shared ? entry->crashes : 0;
	/* The entry stays, since other VMs may still tell of its crashes. */
	entry->crashes = 0;
	entry->cleared_at = now;
	entry->lost_run_sent_at = 0;
	entry->loss_is_new = false;
	entry->is_shared = false;
	set_state(table, entry, SUS_GOOD);
	return crashes_shared;
}

void sus_run_abandoned(struct sus_table *table, uint64_t fingerprint)
{
	struct entry *entry = find_entry(table, fingerprint);

	if (!entry)
		return;
	if (entry->state == SUS_ISOLATED)
		set_state(table, entry, SUS_SUSPECT);
	else if (entry->state == SUS_CANARY)
		remove_entry(table, entry);
}

bool sus_merge(struct sus_table *table, gb_time now,
	       const struct sus_record *record)
{
	struct entry *entry = find_entry(table, record->fingerprint);
	gb_time crashed_at = now - record->age;

	if (!record->crashes)
		return false;
	if (entry && (record->crashes <= entry->crashes ||
		      crashed_at < entry->cleared_at))
		return false;
	entry = find_or_add_entry(table, record->fingerprint);
	set_crashes(table, crashed_at, entry, record->crashes);
	entry->lost_run_sent_at = 0;
	entry->loss_is_new = false;
	entry->is_shared = true;
	return true;
}

static struct sus_record to_record(const struct entry *entry, gb_time now)
{
	return (struct sus_record){
		.fingerprint = entry->fingerprint,
		.crashes = entry->crashes,
		.age = MAX(now - entry->crashed_at, 0),
	};
}

bool sus_find(const struct sus_table *table, gb_time now, uint64_t fingerprint,
	      struct sus_record *record)
{
	const struct entry *entry = find_entry(table, fingerprint);

	if (!entry || !entry->crashes)
		return false;
	*record = to_record(entry, now);
	return true;
}

void sus_each_crashed(const struct sus_table *table, gb_time now,
		      void (*visit)(void *ctx, const struct sus_record *record),
		      void *ctx)
{
	for (const GList *link = table->not_good.tail; link;
	     link = link->prev) {
		const struct entry *entry = link->data;
		const struct sus_record record = to_record(entry, now);

		if (entry->crashes)
			visit(ctx, &record);
	}
}

void sus_each_new_loss(struct sus_table *table, gb_time now,
		       void (*visit)(void *ctx, const struct sus_loss *loss),
		       void *ctx)
{
	for (const GList *link = table->not_good.head; link;
	     link = link->next) {
		struct entry *entry = link->data;
		const struct sus_loss loss = {
			.fingerprint = entry->fingerprint,
			.crashes = entry->crashes,
			.sent_age = MAX(now - entry->lost_run_sent_at, 0),
			.lost_age = MAX(now - entry->crashed_at, 0),
		};

		if (!entry->loss_is_new)
			continue;
		entry->loss_is_new = false;
		entry->is_shared = true;
		visit(ctx, &loss);
	}
}

size_t sus_len(const struct sus_table *table)
{
	return g_hash_table_size(table->entries);
}
