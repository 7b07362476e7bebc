#ifndef MEM_H
#define MEM_H

/*
 * NAME
 *	mem - membership of the tier by gossip over UDP
 *
 * DESCRIPTION
 *	In each probe interval a VM pings one member, round robin, and the
 *	member acks. A member that does not ack in time becomes suspect. The
 *	suspicion spreads by gossip, and the member refutes it with a higher
 *	counter when it hears of it. A suspect that does not refute within the
 *	suspicion timeout is declared dead. The bytes that a VM sends and the
 *	time to detect a dead member therefore do not grow with the tier. The
 *	protocol resembles SWIM, without its indirect pings.
 *
 *	Pings and acks carry rows about members: recent changes first, each sent
 *	a number of times that grows with the logarithm of the tier. Both carry
 *	a digest of the live members. Where it differs from the receiver's
 *	digest, the ack is filled with rows of the members in the differing
 *	buckets, which makes up for lost datagrams. A VM that knows less than
 *	half of the members that the receiver knows gets several acks.
 *
 *	There is no consensus: the table only serves to divide limits that all
 *	VMs share and to choose among VMs. A VM that overestimates the number of
 *	VMs stays within its share of a limit, so a dead member is still counted
 *	for a while.
 */

#include "base/gb.h"

#include <glib.h>

#define MEM_ROWS_MAX 40 /* of a message */
#define MEM_ADDRESS_MAX 48 /* bytes */

/* Bytes of the rows of one datagram, small enough not to be fragmented. */
#define MEM_ROWS_BYTES_MAX 1280

enum mem_state { MEM_LIVE, MEM_SUSPECT, MEM_DEAD };

/* State of one member, as stored and as sent in a datagram. */
struct mem_row {
	char address[MEM_ADDRESS_MAX]; /* "ADDRESS:PORT" for datagrams */
	uint32_t address_len;
	/* start time of the process: wall-clock milliseconds */
	uint64_t incarnation;
	/* raised by the member itself to refute its suspicion or death */
	uint32_t refutations;
	uint32_t dc_hash; /* hash of the name of its data centre */
	enum mem_state state;
	/* how often its processor share is half of a core; 0: not known */
	uint32_t halvings;
};

/* More halvings count as so many. */
#define MEM_HALVINGS_MAX 63

/*
 * A digest of the live members: for each hash bucket of members, the XOR of
 * their 16-bit hashes. Two VMs whose digests differ exchange rows of the
 * members in the differing buckets.
 */
#define MEM_BUCKETS 16
#define MEM_DIGEST_WORDS (MEM_BUCKETS / 4)

struct mem_digest {
	uint64_t word[MEM_DIGEST_WORDS];
};

enum mem_message_kind { MEM_PING, MEM_ACK };

struct mem_message {
	enum mem_message_kind kind;
	/* live members that the sender knows, itself included */
	uint32_t live_count;
	struct mem_digest digest; /* of the sender's live members */
	bool synced; /* the sender has read all stored objects */
	struct mem_row rows[MEM_ROWS_MAX]; /* the first row is the sender's */
	uint32_t rows_len;
};

struct mem_ops {
	void (*send)(void *ctx, struct gb_str address,
		     const struct mem_message *message);
};

struct mem_settings {
	struct gb_str address; /* of this VM, for datagrams */
	struct gb_str dc;
	double processor_share; /* cores that this VM may use; 0: not known */
	uint64_t incarnation;
	gb_time probe_interval; /* time between two calls of mem_tick() */
	/* a ping without an ack for this long makes its member suspect */
	gb_time ack_timeout;
	gb_time suspicion_timeout; /* a suspect becomes dead after this time */
	/* time for which mem_estimate_vms() still counts a dead member */
	gb_time dead_counted_time;
	/* time after the start until mem_settled() returns true */
	gb_time settle_time;
};

struct mem_table;

struct mem_table *mem_new(const struct mem_settings *settings,
			  const struct mem_ops *ops, void *ctx, gb_time now,
			  struct gb_rng *rng);
void mem_free(struct mem_table *table);

/* Adds an address to ping even if no VM is known there. */
void mem_add_seed(struct mem_table *table, struct gb_str address);

/*
 * Sets the synced flag of later messages. When it becomes true, some members
 * are pinged at once.
 */
void mem_set_synced(struct mem_table *table, bool synced);

/*
 * Expires acks and suspicions, then sends the next pings. Called once per probe
 * interval.
 */
void mem_tick(struct mem_table *table, gb_time now);

/* Merges a message from a member, and acks it if it is a ping. */
void mem_receive(struct mem_table *table, gb_time now,
		 const struct mem_message *message);

/*
 * Number of VMs by which shared limits are divided, erring on the high side:
 * recently dead members count, and the result is at least the number of seeds.
 */
uint32_t mem_estimate_vms(const struct mem_table *table, gb_time now);

/* The same, with the members that have been dead for less than that time. */
uint32_t mem_count_lately_live(const struct mem_table *table, gb_time now,
			       gb_time time);

/*
 * Part of the members pinged in the last seconds from which this VM has heard
 * since: less than 1 if it is cut off from some.
 */
double mem_reach(const struct mem_table *table, gb_time now);

/* Visits the addresses of the members that are live or suspect. */
void mem_each_live(const struct mem_table *table,
		   void (*visit)(void *ctx, struct gb_str address), void *ctx);

/* Members that are live or suspect, this VM included. */
uint32_t mem_live_count(const struct mem_table *table);
bool mem_settled(const struct mem_table *table, gb_time now);

/*
 * Tells whether this VM knows at least half of the members that others report.
 * One that has just started may not, and would take itself for a reader.
 */
bool mem_knows_members(const struct mem_table *table, gb_time now);

/* The members among which to choose. */
enum mem_scope { MEM_ALL, MEM_SAME_DC };

/*
 * Picks a random live member, without this VM, among the first ranks members
 * for a key by rendezvous hashing, or among all if ranks is 0. Returns false if
 * there is none. The address is valid until the next message.
 */
#define MEM_RANKS_MAX 8
bool mem_pick(const struct mem_table *table, enum mem_scope scope, uint64_t key,
	      uint32_t ranks, struct gb_str *address);

/*
 * Readers are the VMs that follow the store themselves. The others follow a
 * reader, so that the number of calls to the store does not grow with the tier.
 * Readers are chosen by rendezvous hashing, per data centre and for the whole
 * tier.
 */
bool mem_is_reader(const struct mem_table *table);

/* Returns whether the tier is so small that each VM is a reader. */
bool mem_all_are_readers(const struct mem_table *table);

/*
 * Picks a random reader of this VM's data centre, or of the whole tier. Returns
 * false if there is none, or if this VM is a reader of the data centre itself.
 */
bool mem_pick_reader(const struct mem_table *table, enum mem_scope scope,
		     struct gb_str *address);

/*
 * Readers may not reach the store while others do. In each data centre, and in
 * the whole tier, the VMs that follow them in rank take their place then.
 */
enum mem_candidate {
	MEM_OTHER, /* *address is that of the VM */
	MEM_SELF, /* it is this VM's turn to read the store itself */
	MEM_NO_MORE
};

/* Finds the VM that is to be followed if so many before it have failed. */
enum mem_candidate mem_reader_candidate(const struct mem_table *table,
					enum mem_scope scope, uint32_t index,
					struct gb_str *address);

/*
 * Returns whether this VM is one of the seeds, which all VMs are configured
 * with.
 */
bool mem_is_seed(const struct mem_table *table);

/* Picks a random seed; returns false if there is none. */
bool mem_pick_seed(const struct mem_table *table, struct gb_str *address);

/*
 * Rank of this VM for a key among the live members, by rendezvous hashing; 0 is
 * the first.
 */
uint32_t mem_rank(const struct mem_table *table, enum mem_scope scope,
		  uint64_t key);

#endif
