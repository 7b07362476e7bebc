#ifndef SUS_H
#define SUS_H

/*
 * NAME
 *	sus - requests that may crash the upstreams that run them
 *
 * DESCRIPTION
 *	A request is known by its fingerprint, the hash of service and body.
 *	An unknown fingerprint runs on one upstream first, its canary. A
 *	success makes it good. A crash during the canary makes it suspect: it
 *	is then tried once more, alone on another upstream. A crash while
 *	alone quarantines it. A success while alone makes it good again, so
 *	that a request that merely shared an upstream with the guilty one is
 *	not blamed.
 *
 *	A user of the table that neither has canaries nor runs suspects alone
 *	reports lost runs and successes with sus_lost() and sus_clear(). Such a
 *	request is quarantined when as many runs in a row were lost, each sent
 *	after the one before was lost: several runs that end with one upstream
 *	are one crash. Any success clears it.
 *
 *	A quarantine takes twice as long for each further crash, within a
 *	bound.
 *
 *	The table keeps a bounded number of entries; the oldest good one goes
 *	first.
 */

#include "base/gb.h"

enum sus_state {
	SUS_UNKNOWN,
	SUS_CANARY, /* its canary is running */
	SUS_GOOD,
	SUS_SUSPECT, /* to be tried alone */
	SUS_ALONE, /* is being tried alone */
	SUS_QUARANTINED
};

struct sus_table;

struct sus_table *sus_new(size_t entries_max, uint32_t crashes_max,
			  gb_time quarantine);
void sus_free(struct sus_table *table);

enum sus_state sus_state(const struct sus_table *table, gb_time now,
			 uint64_t fingerprint);
uint32_t sus_crashes(const struct sus_table *table, uint64_t fingerprint);

/* Marks the canary, or the trial alone, as running. */
void sus_begin(struct sus_table *table, gb_time now, uint64_t fingerprint);

/* Notes the end of a run; returns the new state. */
enum sus_state sus_success(struct sus_table *table, gb_time now,
			   uint64_t fingerprint);
enum sus_state sus_crash(struct sus_table *table, gb_time now,
			 uint64_t fingerprint);

/* Ends a run that says nothing, such as one cancelled or refused. */
void sus_abandon(struct sus_table *table, uint64_t fingerprint);

/*
 * A run that was sent at a time was lost, and may have crashed its upstream;
 * returns whether it counts.
 */
bool sus_lost(struct sus_table *table, gb_time now, uint64_t fingerprint,
	      gb_time sent_at);

/* A run had an answer, so that the request is not to blame. */
void sus_clear(struct sus_table *table, uint64_t fingerprint);

/* Takes over what another VM found; returns whether it was not known. */
bool sus_learn(struct sus_table *table, gb_time now, uint64_t fingerprint,
	       uint32_t crashes);

/* Visits each request that crashed upstreams and was not cleared since. */
void sus_each(const struct sus_table *table,
	      void (*visit)(void *ctx, uint64_t fingerprint, uint32_t crashes),
	      void *ctx);
size_t sus_len(const struct sus_table *table);

#endif
