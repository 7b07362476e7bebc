#ifndef HP_H
#define HP_H

/*
 * NAME
 *	hp - which VM gathers a fan-out
 *
 * DESCRIPTION
 *	A fan-out over many shards takes processor time. On a VM with a small
 *	share of a core that alone may take a large part of the target latency,
 *	while other VMs have room. Such a VM hands the whole query to one that
 *	has several times its share, a helper, and passes the answer on.
 *
 *	VMs announce their share and how busy they are in datagrams that spread
 *	by gossip; an announcement expires. No VM has a role: each is a helper
 *	for those with a much smaller share.
 *
 *	A helper that fails, refuses or is late is left out for some time, and
 *	the VM gathers the query itself, as it does without any helper.
 *
 *	The package reads no clock and does no I/O.
 */

#include "base/gb.h"

#include <glib.h>

#define HP_ADDRESS_MAX 48 /* bytes of "HOST:PORT" */

/* Announcements of a datagram. */
#define HP_ANNOUNCED_MAX 12

struct hp_announcement {
	char address[HP_ADDRESS_MAX]; /* for datagrams */
	uint32_t address_len;
	uint32_t dc_hash;
	uint32_t share; /* of a core, in thousandths */
	uint32_t queries; /* that it gathers */
	gb_time age;
};

struct hp_helper {
	struct hp_announcement said;
	gb_time said_at; /* when the helper said it, by this VM's clock */
	uint32_t calls; /* of this VM, in flight */
	uint32_t failures; /* consecutive */
	gb_time avoid_until;
};

struct hp_settings {
	struct gb_str address; /* of this VM, for datagrams */
	uint32_t dc_hash;
	uint32_t share; /* of a core, in thousandths; 0: not known */
};

struct hp_table;

struct hp_table *hp_new(const struct hp_settings *settings);
void hp_free(struct hp_table *table);

/* Fills what this VM announces; returns the number of announcements. */
uint32_t hp_announce(const struct hp_table *table, bool accepts,
		     uint32_t queries, gb_time now,
		     struct hp_announcement *out);
void hp_receive(struct hp_table *table, gb_time now,
		const struct hp_announcement *announcement);
void hp_purge(struct hp_table *table, gb_time now);

/* A query to be gathered. */
struct hp_query {
	uint32_t parts;
	gb_time target_latency; /* 0 for none */
};

/*
 * Returns the VM that should gather the query, or NULL if this one should. It
 * is valid until the next hp_receive() or hp_purge(), and while it has calls.
 */
struct hp_helper *hp_choose(struct hp_table *table,
			    const struct hp_query *query, gb_time now,
			    struct gb_rng *rng);
struct hp_helper *hp_find(struct hp_table *table, struct gb_str address);

enum hp_outcome {
	HP_ANSWERED,
	HP_REFUSED, /* it does not take the query; nothing was sent */
	HP_FAILED, /* no usable answer, or none in time */
	HP_CANCELLED
};

void hp_call_begin(struct hp_helper *helper);
/* A call that goes on has taken too long: its helper is avoided. */
void hp_call_overdue(struct hp_helper *helper, gb_time now);
void hp_call_end(struct hp_helper *helper, enum hp_outcome outcome,
		 gb_time now);

/* Queries of others that this VM gathers at the same time, at most. */
uint32_t hp_queries_max(const struct hp_table *table);

#endif
