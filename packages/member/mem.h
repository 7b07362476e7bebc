#ifndef MEM_H
#define MEM_H

/*
 * NAME
 *	mem - the live VMs of the tier, by datagrams between them
 *
 * DESCRIPTION
 *	Each interval a VM pings one member, in turn, and the member answers.
 *	A member that does not answer is suspected; the suspicion is told to
 *	others, and the member counts itself up when it hears of it, which ends
 *	it. A suspicion that nobody ends takes the member for gone. So what a
 *	VM sends does not grow with the tier, and neither does the time until
 *	a dead member is noticed.
 *
 *	Pings and answers carry rows about members: news first, each told a
 *	number of times that grows with the logarithm of the tier. Both carry
 *	a digest of the live members; where it differs from that of the other
 *	side, the answer is filled with rows of the members in question, so
 *	that what got lost is made up for. A VM that knows less than half of
 *	what the other knows gets several answers.
 *
 *	No vote is taken: the table only serves to divide limits that all VMs
 *	share and to choose among them, and each VM stays within its part if
 *	it takes the number of VMs too high. Thus a member that is gone still
 *	counts for a while.
 */

#include "base/gb.h"

#include <glib.h>

#define MEM_ROWS_MAX 40
#define MEM_ADDRESS_MAX 48

/* Bytes of the rows of one datagram, which is not to be fragmented. */
#define MEM_ROWS_BYTES_MAX 1280

enum mem_state { MEM_LIVE, MEM_SUSPECT, MEM_GONE };

/* What a datagram says of one member. */
struct mem_row {
	char address[MEM_ADDRESS_MAX]; /* "ADDRESS:PORT" for datagrams */
	uint32_t address_len;
	uint64_t incarnation; /* start of the process, in ms of wall time */
	uint32_t beat; /* counted up by the member itself */
	uint32_t dc; /* hash of the name of its data centre */
	enum mem_state state;
};

/*
 * The live members, as a sum of 16 bits for each of some buckets of them: VMs
 * whose sums differ tell each other of the members in those buckets.
 */
#define MEM_BUCKETS 16
#define MEM_DIGEST_WORDS (MEM_BUCKETS / 4)

struct mem_digest {
	uint64_t word[MEM_DIGEST_WORDS];
};

enum mem_kind { MEM_PING, MEM_ANSWER };

struct mem_message {
	enum mem_kind kind;
	uint32_t live; /* members that the sender takes for live, with itself */
	struct mem_digest digest; /* of those */
	bool synced; /* the sender has read the stored objects */
	struct mem_row rows[MEM_ROWS_MAX]; /* the sender is the first */
	uint32_t len;
};

struct mem_ops {
	void (*send)(void *ctx, struct gb_str address,
		     const struct mem_message *message);
};

struct mem_settings {
	struct gb_str address; /* of this VM */
	struct gb_str dc;
	uint64_t incarnation;
	gb_time interval; /* of mem_beat() */
	gb_time answer; /* after which a ping counts as unanswered */
	gb_time suspicion; /* after which a suspected member is gone */
	gb_time counted; /* for which a member that is gone still counts */
	gb_time settle; /* after the start, until the number is certain */
};

struct mem_table;

struct mem_table *mem_new(const struct mem_settings *settings,
			  const struct mem_ops *ops, void *ctx, gb_time now,
			  struct gb_rng *rng);
void mem_free(struct mem_table *table);

/* An address to ping, whether or not a VM lives there. */
void mem_add_seed(struct mem_table *table, struct gb_str address);

/* What messages say of this VM from now on; some members hear it at once. */
void mem_set_synced(struct mem_table *table, bool synced);

/* Judges the last pings and sends the next ones. */
void mem_beat(struct mem_table *table, gb_time now);

/* Takes what a member sent and answers its ping. */
void mem_take(struct mem_table *table, gb_time now,
	      const struct mem_message *message);

/* Members that count, this VM included; at least the number of seeds. */
uint32_t mem_count(const struct mem_table *table, gb_time now);

/* Members that are not gone, this VM included. */
uint32_t mem_live(const struct mem_table *table);
bool mem_settled(const struct mem_table *table, gb_time now);

/* Which live members a choice is made of. */
enum mem_scope { MEM_ALL, MEM_SAME_DC };

/*
 * A random live member among the first ranks for a key, without this VM; with
 * 0 ranks among all. False if there is none. The address is valid until the
 * next message.
 */
#define MEM_RANKS_MAX 8
bool mem_pick(const struct mem_table *table, enum mem_scope scope, uint64_t key,
	      uint32_t ranks, struct gb_str *address);

/*
 * VMs that follow the store, so that others can follow them and the calls to
 * the store do not grow with the tier. They are chosen by rendezvous hashing,
 * in each data centre and among all.
 */
bool mem_is_reader(const struct mem_table *table);

/* Tells whether the tier is so small that each VM is a reader. */
bool mem_all_read(const struct mem_table *table);

/* A random reader of this data centre, or one of the first of all. */
bool mem_pick_reader(const struct mem_table *table, enum mem_scope scope,
		     struct gb_str *address);

/* Tells whether this VM is one of those that all know from the start. */
bool mem_is_seed(const struct mem_table *table);

/* A random seed; false if there is none. */
bool mem_pick_seed(const struct mem_table *table, struct gb_str *address);

/* Rank of this VM by rendezvous hashing among the live ones; 0 is first. */
uint32_t mem_rank(const struct mem_table *table, enum mem_scope scope,
		  uint64_t key);

#endif
