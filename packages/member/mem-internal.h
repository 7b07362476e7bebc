#ifndef MEM_INTERNAL_H
#define MEM_INTERNAL_H

/*
 * NAME
 *	mem-internal - the members that a table holds, within the package
 *
 * DESCRIPTION
 *	mem-table.c holds the members and what they count for, mem-pick.c
 *	chooses among them and mem-reader.c those that follow the store;
 *	mem-row.c takes and chooses the rows of messages, and mem-probe.c
 *	pings and answers. Calls go in the opposite direction.
 */

#include "member/mem.h"

struct mem_member {
	struct mem_row row;
	gb_time since; /* when its state began */
	gb_time pinged_at; /* 0 unless an answer is awaited */
	uint32_t tells; /* times that its row is still news */
};

struct mem_table {
	struct mem_settings settings;
	const struct mem_ops *ops;
	void *ctx;
	struct gb_rng *rng;
	gb_time started;
	gb_time beaten_at; /* last mem_beat() */
	uint64_t beats;
	struct mem_row own;
	bool synced;
	GPtrArray *members; /* of struct mem_member, without this VM */
	GHashTable *by_address; /* address to struct mem_member */
	GPtrArray *seeds; /* of struct mem_row; only the address is used */
	bool is_seed; /* this VM is one as well, and not among them */
	guint next; /* in members, to be pinged */
	uint32_t heard_live; /* most that another VM took for live */
};

struct gb_str mem_address(const struct mem_row *row);
struct mem_member *mem_find(const struct mem_table *table,
			    struct gb_str address);

/* Adds a member at a random place, so that VMs ping in different orders. */
struct mem_member *mem_add(struct mem_table *table, const struct mem_row *row);
void mem_remove_at(struct mem_table *table, guint at);
void mem_set_state(struct mem_table *table, struct mem_member *member,
		   enum mem_state state, gb_time now);

/* Makes a member's row news. */
void mem_tell(struct mem_table *table, struct mem_member *member);
void mem_digest(const struct mem_table *table, struct mem_digest *digest);

/* The bucket of a member in a digest, and a set of those that differ. */
uint32_t mem_bucket(const struct mem_row *row);
uint32_t mem_differing(const struct mem_digest *a, const struct mem_digest *b);

/* Merges the rows of a message. */
void mem_merge(struct mem_table *table, gb_time now,
	       const struct mem_message *message);

/* Begins a message with this VM's row and adds news. */
void mem_begin(struct mem_table *table, enum mem_kind kind,
	       const struct mem_digest *digest, struct mem_message *message);

/*
 * Adds rows of members in a set of buckets, from a place on; returns where it
 * stopped.
 */
guint mem_fill(struct mem_table *table, struct mem_message *message, guint from,
	       uint32_t buckets);

#endif
