#ifndef ONCE_H
#define ONCE_H

/*
 * NAME
 *	once - runs an order at most once, by majority votes on its key
 *
 * DESCRIPTION
 *	A key starts with its issue time in milliseconds since 1970 and '-'.
 *	The coordinator is the VM that received the order from the caller. It
 *	asks each granter for its vote. A granter's voter gives its vote on a
 *	key to one attempt only. An attempt runs only with a majority of votes
 *	from one roster epoch.
 *
 *	A voter abstains on keys that were issued before its vote record began
 *	plus twice the clock skew, because an earlier process of the same VM
 *	may have voted on them: a key may be one skew ahead of its
 *	coordinator, whose clock may be one skew ahead of the voter's. The
 *	record begins when the voter knows that the epoch that made it a
 *	granter is settled (quo_epoch_settled()); until then a majority of the
 *	previous epoch may vote without it. The voter drops keys after the
 *	retention time, and coordinators refuse keys older than that.
 *
 *	An attempt without a majority never runs and releases its votes. It
 *	may report "not run" only under two conditions, with n granters whose
 *	majority is m. n - m + 1 granters granted their votes, so that no
 *	other attempt of this epoch can have had a majority. And m granters
 *	granted or abstained, so that no attempt of another epoch can have had
 *	one. Otherwise the outcome is unknown.
 */

#include "base/gb.h"
#include "config/cfg.h"
#include "msg/msg.h"

#define ONCE_KEY_MAX 128

/*
 * Fewer granters cannot guarantee at most one run across roster changes; see
 * docs/design.md, 7.4.
 */
#define ONCE_GRANTERS_MIN 3

/*
 * Limits of a voter's record, about 24 MB in all: a key takes up to 250 bytes
 * besides its outcome. They allow 72 orders/s over 15 minutes. A full voter
 * abstains on new keys; a key whose outcome does not fit stays taken.
 */
#define ONCE_KEYS_MAX 65536
#define ONCE_OUTCOME_BYTES_MAX (8 * 1024 * 1024)
#define ONCE_RELEASED_MAX 4096 /* attempts that get no vote any more */

/* Reads the issue time from a key. */
int once_key_issue_time(struct gb_str key, int64_t *issued_ms);

/* Refuses keys past the retention time or more than the skew in the future. */
int once_key_check(struct gb_str key, int64_t wall_ms, gb_time retention,
		   gb_time skew, struct gb_error *err);

struct once_voter;

struct once_voter *once_voter_new(gb_time retention, gb_time skew);
void once_voter_free(struct once_voter *voter);

/*
 * Begins the vote record at wall_ms. A later call with an earlier time has no
 * effect, so that a clock jump cannot extend the record backwards. Until this
 * call a voter abstains. A VM creates a new voter when it adopts an epoch and
 * was no granter in the previous epoch, or skipped an epoch: keys may have run
 * in that epoch without a vote request to this VM.
 */
void once_voter_start(struct once_voter *voter, int64_t wall_ms);

/* Answers a vote request; the voter owns the outcome in the reply. */
void once_voter_vote(struct once_voter *voter, int64_t wall_ms, uint64_t epoch,
		     const struct msg_vote *vote, struct msg_vote_reply *reply);

/* Frees the vote of an attempt that did not run, and refuses it from now on. */
void once_voter_release(struct once_voter *voter,
			const struct msg_release *release);

/* Stores the outcome of an attempt that ran, for replay. */
void once_voter_record_outcome(struct once_voter *voter,
			       const struct msg_outcome *outcome);

/* Drops keys past the retention time. */
void once_voter_expire(struct once_voter *voter, int64_t wall_ms);
size_t once_voter_key_count(const struct once_voter *voter);

enum once_verdict {
	ONCE_WAIT, /* more votes may come */
	ONCE_RUN, /* run the order now; returned only once */
	ONCE_REPLAY, /* another attempt ran; return its outcome */
	ONCE_NOT_RUN, /* certain: no attempt on this key ran, and this one
			 will not run */
	ONCE_UNKNOWN, /* another attempt may have run */
	ONCE_VERDICTS
};

/* An attempt of a coordinator to run one order. */
struct once_attempt {
	struct gb_str key; /* owned */
	int64_t issued_ms;
	uint64_t epoch;
	struct msg_order_id order_id;
	uint32_t granters;
	uint32_t majority;
	uint32_t granter_vm[CFG_GRANTERS_MAX];
	bool replied[CFG_GRANTERS_MAX];
	enum msg_vote_status votes[CFG_GRANTERS_MAX];
	struct gb_str outcome; /* owned; set with ONCE_REPLAY */
	enum once_verdict verdict;
	bool run_returned; /* ONCE_RUN was returned */
};

/* Starts an attempt; fails with GB_ERR_NOT_RUN for too few granters. */
int once_attempt_init(struct once_attempt *attempt, const struct cfg *cfg,
		      struct gb_str key, const struct msg_order_id *order,
		      struct gb_error *err);
void once_attempt_free(struct once_attempt *attempt);
void once_attempt_vote_request(const struct once_attempt *attempt,
			       struct msg_vote *vote);

/* Counts a vote reply; returns the verdict, ONCE_WAIT after ONCE_RUN. */
enum once_verdict once_attempt_count_reply(struct once_attempt *attempt,
					   uint32_t vm,
					   const struct msg_vote_reply *reply);

/*
 * Ends the wait for votes; returns a verdict other than ONCE_WAIT. After
 * ONCE_RUN it is ONCE_UNKNOWN, never ONCE_RUN again.
 */
enum once_verdict once_attempt_end_voting(struct once_attempt *attempt);

#endif
