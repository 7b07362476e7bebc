#ifndef MIR_H
#define MIR_H

/*
 * NAME
 *	mir - a copy of the stored objects of one kind, for other VMs
 *
 * DESCRIPTION
 *	A VM that follows the store keeps what it read, so that other VMs can
 *	follow it instead and the calls to the store do not grow with the
 *	fleet. Objects are kept as the bytes in which they came.
 *
 *	Changes are kept for a while, in the order in which they came, each
 *	with the revision up to which the store was then known. A VM that knows
 *	everything up to a revision gets the changes that are marked with a
 *	later one: none is missed, and some may come twice. Revisions are the
 *	store's, so a VM may go from one mirror to another.
 */

#include "base/gb.h"

/* Changes kept; a VM that is further behind reads all objects again. */
#define MIR_CHANGES_MAX 2048

struct mir_table;

struct mir_object {
	struct gb_str name;
	struct gb_str bytes;
	bool removed;
};

struct mir_table *mir_new(void);
void mir_free(struct mir_table *table);

/* Between these, mir_put() names all objects that exist. */
void mir_list_begin(struct mir_table *table);
void mir_list_end(struct mir_table *table, int64_t revision);

/* Notes an object of the list or of the changes being read. */
void mir_put(struct mir_table *table, const struct mir_object *object);

/* Ends the changes that were read: all up to the revision are known. */
void mir_changes_end(struct mir_table *table, int64_t revision);

int64_t mir_revision(const struct mir_table *table);

typedef void (*mir_visit)(void *ctx, const struct mir_object *object);

/* Visits all objects. */
void mir_list(const struct mir_table *table, mir_visit visit, void *ctx);

/* Visits the changes after a revision; false if they are no longer kept. */
bool mir_changes(const struct mir_table *table, int64_t revision,
		 mir_visit visit, void *ctx);

#endif
