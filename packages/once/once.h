#ifndef ONCE_H
#define ONCE_H

/*
 * NAME
 *	once - runs an order at most once, by votes of the granters per key
 *
 * DESCRIPTION
 *	A key starts with its issue time in milliseconds since 1970 and '-'.
 *	The coordinator, the VM that a caller sent the order to, asks each
 *	granter for its vote. A voter gives its vote for a key to one attempt.
 *	An attempt runs only with a majority of votes from one roster epoch.
 *
 *	A voter abstains on keys that were issued before its memory began plus
 *	twice the clock skew, because an earlier process of the same VM may
 *	have voted on them: a key may be one skew ahead of its coordinator,
 *	whose clock may be one skew ahead of the voter's. The memory begins
 *	when the voter knows that the epoch that made it a granter is settled
 *	(quo_epoch_settled()), since until then a majority of the epoch before
 *	may vote without it. It forgets keys after the retention time;
 *	coordinators refuse keys older than that.
 *
 *	Without a majority the attempt never runs and releases its votes. It
 *	may say "not run" only if n - m + 1 of the n granters (m being their
 *	majority) granted their votes, so that no other attempt of this epoch
 *	can have had a majority, and if m granters granted or abstained, so
 *	that none of another epoch can; otherwise the outcome is unknown.
 */

#include "base/gb.h"
#include "config/cfg.h"
#include "msg/msg.h"

#define ONCE_KEY_MAX 128
#define ONCE_GRANTERS_MIN 3 /* see docs/design.md, 7.4 */

/*
 * Bounds of a voter's memory, about 24 MB in all: a key takes up to 250 bytes
 * besides its outcome. They allow 72 orders/s over 15 minutes. A full voter
 * abstains on new keys; an outcome that does not fit leaves its key taken.
 */
#define ONCE_KEYS_MAX 65536
#define ONCE_OUTCOME_BYTES_MAX (8 * 1024 * 1024)
#define ONCE_RELEASED_MAX 4096 /* attempts whose late votes are refused */

/* Reads the issue time from a key. */
int once_key_issued(struct gb_str key, int64_t *issued_ms);

/* Refuses keys outside the retention time or ahead of the clock. */
int once_key_check(struct gb_str key, int64_t wall_ms, gb_time retention,
		   gb_time skew, struct gb_error *err);

struct once_voter;

struct once_voter *once_voter_new(gb_time retention, gb_time skew);
void once_voter_free(struct once_voter *voter);

/*
 * Starts the memory at wall_ms; a later call with an earlier time has no
 * effect, so that a clock jump cannot extend it backwards. A VM makes a new
 * voter, which abstains until it is started, when it adopts an epoch and was no
 * granter in the one before or skipped one, in which keys may have run that it
 * was not asked about.
 */
void once_voter_start(struct once_voter *voter, int64_t wall_ms);

/* Answers a vote; the outcome in the reply is borrowed from the voter. */
void once_voter_vote(struct once_voter *voter, int64_t wall_ms, uint64_t epoch,
		     const struct msg_vote *vote, struct msg_vote_reply *reply);
void once_voter_release(struct once_voter *voter,
			const struct msg_release *release);
void once_voter_outcome(struct once_voter *voter,
			const struct msg_outcome *outcome);

/* Forgets keys past the retention time. */
void once_voter_expire(struct once_voter *voter, int64_t wall_ms);
size_t once_voter_len(const struct once_voter *voter);

enum once_verdict {
	ONCE_WAIT, /* more votes may come */
	ONCE_RUN, /* returned once: run the order now */
	ONCE_REPLAY, /* another attempt finished; its outcome is known */
	ONCE_NOT_RUN, /* certain: no attempt of this key ran or will run by
			 this attempt */
	ONCE_UNKNOWN, /* another attempt may have run */
	ONCE_VERDICTS
};

/* The attempt of one coordinator to run one order. */
struct once_attempt {
	struct gb_str key; /* owned */
	int64_t issued_ms;
	uint64_t epoch;
	struct msg_order_id order;
	uint32_t granters;
	uint32_t majority;
	uint32_t granter_vm[CFG_GRANTERS_MAX];
	bool answered[CFG_GRANTERS_MAX];
	enum msg_vote_status vote[CFG_GRANTERS_MAX];
	struct gb_str outcome; /* owned; for ONCE_REPLAY */
	enum once_verdict verdict;
	bool ran;
};

/* Starts an attempt; fails with GB_ERR_NOT_RUN for too few granters. */
int once_attempt_init(struct once_attempt *attempt, const struct cfg *cfg,
		      struct gb_str key, const struct msg_order_id *order,
		      struct gb_error *err);
void once_attempt_free(struct once_attempt *attempt);
void once_attempt_message(const struct once_attempt *attempt,
			  struct msg_vote *vote);

/* Counts one reply and returns the verdict; ONCE_WAIT after ONCE_RUN. */
enum once_verdict once_attempt_reply(struct once_attempt *attempt, uint32_t vm,
				     const struct msg_vote_reply *reply);

/*
 * Ends the wait for votes; returns a verdict other than ONCE_WAIT. An attempt
 * that was told to run gets ONCE_UNKNOWN, never ONCE_RUN again.
 */
enum once_verdict once_attempt_close(struct once_attempt *attempt);

#endif
