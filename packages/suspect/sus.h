#ifndef SUS_H
#define SUS_H

/*
 * NAME
 *	sus - quarantine of requests that may crash their upstreams
 *
 * DESCRIPTION
 *	A request is known by its fingerprint, the hash of service and body.
 *	An unknown fingerprint runs on one upstream first, as a canary. A
 *	success makes it good. A crash during the canary makes it suspect: it
 *	then runs once more, isolated, as the only request on another
 *	upstream. A crash of the isolated run quarantines it. A success of the
 *	isolated run makes it good again, so that a request that merely shared
 *	an upstream with the cause of a crash is not blamed.
 *
 *	A caller that runs neither canaries nor isolated runs reports lost runs
 *	and answers with sus_run_lost() and sus_clear(). It has a request
 *	quarantined after a number of consecutive lost runs, each sent after
 *	the previous one was lost: several runs that are lost when one upstream
 *	ends count as one crash. Any answer clears the request. Losses that are
 *	told by other VMs come late and in any order, so a loss is dated by when
 *	it happened: two count as two crashes if the later run was sent after
 *	the earlier one was lost.
 *
 *	The quarantine time doubles with each further crash, up to a maximum.
 *
 *	VMs tell each other of crashes by records. A record carries the time
 *	since the last crash, so that a VM that learns of it late ends the
 *	quarantine when the others do, and takes no crash that is older than an
 *	answer of its own.
 *
 *	The table keeps a bounded number of entries; the oldest good one is
 *	evicted first.
 */

#include "base/gb.h"

enum sus_state {
	SUS_UNKNOWN,
	SUS_CANARY, /* the canary is running */
	SUS_GOOD,
	SUS_SUSPECT, /* to be run isolated */
	SUS_ISOLATED, /* the isolated run is running */
	SUS_QUARANTINED
};

/* The crashes of a request, as one VM tells another. */
struct sus_record {
	uint64_t fingerprint;
	uint32_t crashes;
	gb_time age; /* time since the last crash */
};

/* A lost run, as one VM tells another. */
struct sus_loss {
	uint64_t fingerprint;
	uint32_t crashes; /* that the VM counts, this one included */
	gb_time sent_age; /* time since it was sent */
	gb_time lost_age; /* time since it was lost */
};

struct sus_table;

/* Quarantines requests after crashes_max crashes. */
struct sus_table *sus_new(size_t entries_max, uint32_t crashes_max,
			  gb_time first_quarantine);
void sus_free(struct sus_table *table);

enum sus_state sus_state(const struct sus_table *table, gb_time now,
			 uint64_t fingerprint);
uint32_t sus_crashes(const struct sus_table *table, uint64_t fingerprint);

/* Reads the crashes of a request; false if it has none. */
bool sus_find(const struct sus_table *table, gb_time now, uint64_t fingerprint,
	      struct sus_record *record);

/* Marks the canary, or the isolated run, as running. */
void sus_run_begin(struct sus_table *table, gb_time now, uint64_t fingerprint);

/* Record the end of a run; return the new state. */
enum sus_state sus_run_succeeded(struct sus_table *table, gb_time now,
				 uint64_t fingerprint);
enum sus_state sus_run_crashed(struct sus_table *table, gb_time now,
			       uint64_t fingerprint);

/* Ends a run without a result, such as one cancelled or refused. */
void sus_run_abandoned(struct sus_table *table, uint64_t fingerprint);

/*
 * Records the loss of a run, which may have crashed its upstream. Returns
 * whether it counts as a crash: not if it was under way at the last one, or
 * lost before the request was answered.
 */
bool sus_run_lost(struct sus_table *table, gb_time lost_at,
		  uint64_t fingerprint, gb_time sent_at);

/*
 * Makes a request with crashes good again, since a run had an answer. Returns
 * the number of crashes if other VMs may know of them, else 0.
 */
uint32_t sus_clear(struct sus_table *table, gb_time now, uint64_t fingerprint);

/*
 * Merges the crashes seen by another VM. Returns whether there were more, and
 * no answer since.
 */
bool sus_merge(struct sus_table *table, gb_time now,
	       const struct sus_record *record);

/*
 * Visits the record of each request with crashes that was not cleared since,
 * the last one that changed first.
 */
void sus_each_crashed(const struct sus_table *table, gb_time now,
		      void (*visit)(void *ctx, const struct sus_record *record),
		      void *ctx);

/* Visits the last lost run of each request unless it was visited before. */
void sus_each_new_loss(struct sus_table *table, gb_time now,
		       void (*visit)(void *ctx, const struct sus_loss *loss),
		       void *ctx);
size_t sus_len(const struct sus_table *table);

#endif
