#ifndef MIR_H
#define MIR_H

/*
 * NAME
 *	mir - a watch cache of the stored objects of one kind, for other VMs
 *
 * DESCRIPTION
 *	A VM that follows the store caches what it read. Other VMs can list and
 *	watch the cache instead, so that the calls to the store do not grow with
 *	the fleet. Objects are kept as the bytes in which they were received.
 *
 *	A bounded number of changes is kept in the order of their arrival, each
 *	with the revision up to which the store was known when it was committed.
 *	A VM that is up to date with a revision gets all changes with a later
 *	one: none is missed, and some may arrive twice. Revisions are the
 *	store's, so a VM may switch from one mirror to another.
 */

#include "base/gb.h"

/* Changes kept; a VM that is further behind must list all objects again. */
#define MIR_CHANGES_MAX 2048

struct mir_table;

struct mir_object {
	struct gb_str name;
	struct gb_str bytes;
	bool removed;
};

struct mir_table *mir_new(void);
void mir_free(struct mir_table *table);

/*
 * Between these two calls, mir_put() must be called for each object that
 * exists; objects that were not put are dropped.
 */
void mir_list_begin(struct mir_table *table);
void mir_list_end(struct mir_table *table, int64_t revision);

/* Records an object of the list, or a change. */
void mir_put(struct mir_table *table, const struct mir_object *object);

/* Keeps an object in the list that is being read, in the version cached. */
void mir_keep(struct mir_table *table, struct gb_str name);

/*
 * Commits the changes put since the last commit: all up to the revision are
 * known.
 */
void mir_commit_changes(struct mir_table *table, int64_t revision);

int64_t mir_revision(const struct mir_table *table);

typedef void (*mir_visit_fn)(void *ctx, const struct mir_object *object);

/* Visits all objects, in no particular order. */
void mir_visit_objects(const struct mir_table *table, mir_visit_fn visit,
		       void *ctx);

/*
 * Visits the changes after a revision; returns false if they are no longer
 * kept.
 */
bool mir_visit_changes(const struct mir_table *table, int64_t revision,
		       mir_visit_fn visit, void *ctx);

#endif
