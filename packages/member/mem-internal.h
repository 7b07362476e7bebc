#ifndef MEM_INTERNAL_H
#define MEM_INTERNAL_H

/*
 * NAME
 *	mem-internal - the membership table, within the package
 *
 * DESCRIPTION
 *	mem-table.c stores the members and computes counts and digests.
 *	mem-pick.c selects random and ranked members, and mem-reader.c the
 *	readers of the store. mem-row.c merges received rows and fills outgoing
 *	messages, and mem-probe.c sends pings and acks and drives the state of
 *	each member. Files named later call those named earlier.
 */

#include "member/mem.h"

/* ASCII "reader": a key that no upstream uses for its ranks. */
#define MEM_READERS_KEY 0x726561646572ull

struct mem_member {
	struct mem_row row;
	gb_time state_since; /* when row.state last changed */
	/* time of the first ping without an ack; 0 if none */
	gb_time unacked_since;
	gb_time pinged_at; /* the last time, by ping_next() */
	gb_time heard_at; /* the last message from it */
	/* messages that will still carry this row as gossip */
	uint32_t sends_left;
};

struct mem_table {
	struct mem_settings settings;
	const struct mem_ops *ops;
	void *ctx;
	struct gb_rng *rng;
	gb_time started_at;
	gb_time last_tick; /* time of the last mem_tick() */
	uint64_t ticks;
	struct mem_row self;
	bool synced;
	GPtrArray *members; /* of struct mem_member, without this VM */
	GHashTable *by_address; /* address to struct mem_member */
	GPtrArray *seeds; /* of struct mem_row; only the address is used */
	bool is_seed; /* this VM is itself a seed; it is not in seeds */
	guint next_ping; /* index in members of the next one to ping */
	/* highest live_count that another VM reported */
	uint32_t reported_live_max;
};

struct gb_str mem_address(const struct mem_row *row);
struct mem_member *mem_find(const struct mem_table *table,
			    struct gb_str address);

/* Inserts a member at a random index, so that VMs ping in different orders. */
struct mem_member *mem_add(struct mem_table *table, const struct mem_row *row);
void mem_remove_at(struct mem_table *table, guint at);
void mem_set_state(struct mem_table *table, struct mem_member *member,
		   enum mem_state state, gb_time now);

/* Makes the next messages carry the member's row as gossip. */
void mem_schedule_gossip(struct mem_table *table, struct mem_member *member);
void mem_compute_digest(const struct mem_table *table,
			struct mem_digest *digest);

/*
 * Returns the bucket of a member in digests. mem_differing_buckets() returns a
 * bit set of the buckets that differ between two digests.
 */
uint32_t mem_bucket(const struct mem_row *row);
uint32_t mem_differing_buckets(const struct mem_digest *a,
			       const struct mem_digest *b);

/* Finds the member with that rank for a key, without this VM. */
bool mem_find_ranked(const struct mem_table *table, enum mem_scope scope,
		     uint64_t key, uint32_t rank, struct gb_str *address);

/* Merges the rows of a received message into the table. */
void mem_merge(struct mem_table *table, gb_time now,
	       const struct mem_message *message);

/* Initializes a message with this VM's row and appends pending gossip. */
void mem_init_message(struct mem_table *table, enum mem_message_kind kind,
		      const struct mem_digest *digest,
		      struct mem_message *message);

/*
 * Appends rows of the members in a set of buckets, starting at index from.
 * Returns the index at which it stopped.
 */
guint mem_append_rows(struct mem_table *table, struct mem_message *message,
		      guint from, uint32_t buckets);

#endif
