#ifndef MEM_H
#define MEM_H

/*
 * NAME
 *	mem - the live VMs of the tier, by datagrams between them
 *
 * DESCRIPTION
 *	Each VM counts its own heartbeat up and tells, each interval, what it
 *	knows of all members to a few of them. A member lives while its
 *	heartbeat goes on. No answer is awaited and no vote is taken: the table
 *	only serves to divide limits that all VMs share, and each VM stays
 *	within its part if it takes the number of VMs too high. Thus a member
 *	that falls silent still counts for a while.
 */

#include "base/gb.h"

#include <glib.h>

/* Members in one datagram: with three told twice a second, 2 KB/s from a VM. */
#define MEM_ROWS_MAX 9
#define MEM_ADDRESS_MAX 48

/* What a datagram says of one member. */
struct mem_row {
	char address[MEM_ADDRESS_MAX]; /* "ADDRESS:PORT" for datagrams */
	uint32_t address_len;
	uint64_t incarnation; /* start of the process, in ms of wall time */
	uint64_t beat;
};

struct mem_message {
	struct mem_row rows[MEM_ROWS_MAX]; /* the sender is the first */
	uint32_t len;
};

struct mem_settings {
	struct gb_str address; /* of this VM */
	uint64_t incarnation;
	gb_time silent; /* after which a member is no longer told to others */
	gb_time counted; /* after which a silent member no longer counts */
	gb_time settle; /* after the start, until the number is certain */
	uint32_t fanout; /* members told in each interval */
};

struct mem_table;

struct mem_table *mem_new(const struct mem_settings *settings, gb_time now,
			  struct gb_rng *rng);
void mem_free(struct mem_table *table);

/* An address to tell, whether or not a VM lives there. */
void mem_add_seed(struct mem_table *table, struct gb_str address);

/* Counts the own heartbeat up and fills the message to send. */
void mem_beat(struct mem_table *table, gb_time now,
	      struct mem_message *message);

/* Calls send for each address that should get the message now. */
void mem_targets(struct mem_table *table, gb_time now,
		 void (*send)(void *ctx, struct gb_str address), void *ctx);
void mem_take(struct mem_table *table, gb_time now,
	      const struct mem_message *message);

/* Members that count, this VM included; at least the number of seeds. */
uint32_t mem_count(const struct mem_table *table, gb_time now);

/* Members whose heartbeat goes on, this VM included. */
uint32_t mem_live(const struct mem_table *table, gb_time now);
bool mem_settled(const struct mem_table *table, gb_time now);

/*
 * A random live member among the first ranks for a key, without this VM;
 * false if there is none. The address is valid until the next message.
 */
bool mem_pick(const struct mem_table *table, gb_time now, uint64_t key,
	      uint32_t ranks, struct gb_str *address);

/* Rank of this VM by rendezvous hashing among the live ones; 0 is first. */
uint32_t mem_rank(const struct mem_table *table, gb_time now, uint64_t key);

#endif
