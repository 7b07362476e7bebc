#ifndef DIR_PROOF_H
#define DIR_PROOF_H

/*
 * NAME
 *	dir_proof - the last time at which the objects are known to be the
 *newest
 *
 * DESCRIPTION
 *	A permission that was taken away must not be used for longer than a
 *	bound, also by a VM that is cut off. An answer of the store proves that
 *	the objects were the newest when it was made: at the earliest when the
 *	call was sent. A watch that returned without changes, after the store
 *	has held it for its whole wait, was answered after that wait. Another VM
 *	gives the age of its own proof with its answer.
 *
 *	Times are those of a clock that goes on while the VM is suspended.
 */

#include "base/gb.h"

/* An answer to a call for objects. */
struct dir_proof_answer {
	gb_time sent_at; /* when the call was sent */
	gb_time received_at;
	gb_time wait; /* for which the source could hold it; 0 for a list */
	bool has_changes;
	bool from_peer;
	gb_time peer_age; /* of the proof of the VM that answered; -1: none */
};

struct dir_proof {
	gb_time proved_at; /* 0: never */
};

/* Takes an answer over; an older proof never replaces a newer one. */
void dir_proof_take(struct dir_proof *proof,
		    const struct dir_proof_answer *answer);

/* Returns the age of the proof, or GB_NEVER. */
gb_time dir_proof_age(const struct dir_proof *proof, gb_time now);

#endif
