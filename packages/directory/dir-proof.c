#include "directory/dir-proof.h"

#include <glib.h>

/* The earliest time at which the source may have made the answer. */
static gb_time made_at(const struct dir_proof_answer *answer)
{
	bool was_held = answer->received_at - answer->sent_at >= answer->wait;

	return answer->has_changes || !was_held
		       ? answer->sent_at
		       : answer->sent_at + answer->wait;
}

void dir_proof_take(struct dir_proof *proof,
		    const struct dir_proof_answer *answer)
{
	gb_time proved_at = made_at(answer);

	if (answer->from_peer && answer->peer_age < 0)
		return;
	if (answer->from_peer)
		proved_at -= answer->peer_age;
	proof->proved_at = MAX(proof->proved_at, proved_at);
}

gb_time dir_proof_age(const struct dir_proof *proof, gb_time now)
{
	return proof->proved_at ? MAX(now - proof->proved_at, 0) : GB_NEVER;
}
