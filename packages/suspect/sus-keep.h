#ifndef SUS_KEEP_H
#define SUS_KEEP_H

/*
 * NAME
 *	sus-keep - which crashing requests a VM keeps records of in the store
 *
 * DESCRIPTION
 *	VMs tell each other which requests crash upstreams. When all of them
 *	end together, none is left that knows. So the VM that counts a crash
 *	which quarantines a request keeps a record of it in the store, and each
 *	VM that starts reads the records.
 *
 *	A keeper decides on the calls to the store, which are few: one at a
 *	time, with a pause between two of them that doubles after a failure. A
 *	further crash replaces the record of a request. A record is removed some
 *	time after the last crash, or once the request has been answered. The
 *	number of records is bounded; above it further requests have none.
 */

#include "suspect/sus.h"

/* Records that one VM keeps, at most. */
#define SUS_KEPT_MAX 64

enum sus_keep_step {
	SUS_KEEP_NONE,
	SUS_KEEP_READ, /* all records, once after the start */
	SUS_KEEP_WRITE,
	SUS_KEEP_REMOVE
};

struct sus_kept {
	uint64_t fingerprint;
	uint32_t crashes;
	gb_time crashed_at; /* the last time */
	bool is_stored; /* in the store as it is here */
	bool is_cleared; /* answered since, so the record is to be removed */
};

struct sus_keeper {
	struct sus_kept kept[SUS_KEPT_MAX];
	size_t kept_len;
	bool has_read;
	gb_time due_at; /* of the next call */
	gb_time pause; /* after a failure; 0: the last call succeeded */
};

/*
 * Records that this VM has counted crashes of a request, or has read its record
 * in the store. Returns false if it keeps too many already.
 */
bool sus_keep(struct sus_keeper *keeper, const struct sus_kept *kept);

/*
 * Records crashes that another VM has counted. If this VM keeps the record as
 * well, it stays for as long as the other one needs it.
 */
void sus_keep_told(struct sus_keeper *keeper, const struct sus_kept *told);

/*
 * Records that a request was answered: its record is removed if this VM keeps
 * it, or in any case if this VM is responsible for that.
 */
void sus_keep_cleared(struct sus_keeper *keeper, uint64_t fingerprint,
		      bool is_responsible);

/*
 * Records that the store may have lost what was written to it: it is written
 * again, and what the store has is read again.
 */
void sus_keep_restored(struct sus_keeper *keeper);

/* Returns the call that is due, and for a request what it is about. */
enum sus_keep_step sus_keep_next(const struct sus_keeper *keeper, gb_time now,
				 struct sus_kept *kept);

/* Records the end of the call; its kept record may have changed meanwhile. */
void sus_keep_done(struct sus_keeper *keeper, gb_time now,
		   enum sus_keep_step step, const struct sus_kept *kept,
		   bool succeeded);

#endif
