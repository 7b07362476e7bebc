#include "once/once.h"

static uint32_t count_votes(const struct once_attempt *attempt,
			    enum msg_vote_status status);
static uint32_t count_missing_replies(const struct once_attempt *attempt);
static bool is_not_run_certain(const struct once_attempt *attempt,
			       uint32_t more_granted);
static enum once_verdict compute_verdict(struct once_attempt *attempt);

int once_attempt_init(struct once_attempt *attempt, const struct cfg *cfg,
		      struct gb_str key, const struct msg_order_id *order,
		      struct gb_error *err)
{
	uint32_t granters = cfg_granter_count(cfg);

	*attempt = (struct once_attempt){ .epoch = cfg->epoch,
					  .order_id = *order,
					  .granters = granters,
					  .majority = cfg_majority(cfg) };
	if (granters < ONCE_GRANTERS_MIN)
		return gb_fail(err, GB_ERR_NOT_RUN, GB_STR("granters"),
			       granters);
	if (once_key_issue_time(key, &attempt->issued_ms))
		return gb_fail(err, GB_ERR_BAD_REQUEST, key, 0);
	for (uint32_t i = 0; i < granters; i++)
		attempt->granter_vm[i] = cfg_vm(cfg, i)->id;
	attempt->key = gb_str_dup(key);
	return 0;
}

void once_attempt_free(struct once_attempt *attempt)
{
	gb_str_free(&attempt->key);
	gb_str_free(&attempt->outcome);
}

void once_attempt_vote_request(const struct once_attempt *attempt,
			       struct msg_vote *vote)
{
	*vote = (struct msg_vote){
		.key = attempt->key,
		.issued_ms = attempt->issued_ms,
		.epoch = attempt->epoch,
		.order = attempt->order_id,
	};
}

/* Counts the granters that replied with the status. */
static uint32_t count_votes(const struct once_attempt *attempt,
			    enum msg_vote_status status)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < attempt->granters; i++)
		count += attempt->replied[i] && attempt->votes[i] == status;
	return count;
}

static uint32_t count_missing_replies(const struct once_attempt *attempt)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < attempt->granters; i++)
		count += !attempt->replied[i];
	return count;
}

/*
 * Tells whether "not run" is certain, or would be if more_granted more voters
 * granted their votes. Granted votes keep any other attempt of this epoch from
 * a majority. An attempt of another epoch is excluded only if a majority of
 * voters showed that they are in this epoch and have no vote for another
 * attempt: a voter that abstained never votes on the key, and a majority of the
 * epoch before or after this one includes at least one of these voters.
 */
static bool is_not_run_certain(const struct once_attempt *attempt,
			       uint32_t more_granted)
{
	uint32_t granted =
		count_votes(attempt, MSG_VOTE_GRANTED) + more_granted;
	uint32_t abstained = count_votes(attempt, MSG_VOTE_ABSTAINED);

	return granted >= attempt->granters - attempt->majority + 1 &&
	       granted + abstained >= attempt->majority;
}

static enum once_verdict compute_verdict(struct once_attempt *attempt)
{
	uint32_t missing = count_missing_replies(attempt);
	uint32_t granted = count_votes(attempt, MSG_VOTE_GRANTED);

	if (granted >= attempt->majority) {
		attempt->run_returned = true;
		return ONCE_RUN;
	}
	if (granted + missing >= attempt->majority)
		return ONCE_WAIT;
	if (is_not_run_certain(attempt, 0))
		return ONCE_NOT_RUN;
	return is_not_run_certain(attempt, missing) ? ONCE_WAIT : ONCE_UNKNOWN;
}

enum once_verdict once_attempt_count_reply(struct once_attempt *attempt,
					   uint32_t vm,
					   const struct msg_vote_reply *reply)
{
	uint32_t i = 0;

	if (attempt->run_returned)
		return ONCE_WAIT;
	if (attempt->verdict != ONCE_WAIT)
		return attempt->verdict;
	if (!msg_order_id_eq(&reply->order, &attempt->order_id) ||
	    !gb_str_eq(reply->key, attempt->key))
		return ONCE_WAIT;
	while (i < attempt->granters && attempt->granter_vm[i] != vm)
		i++;
	if (i == attempt->granters || attempt->replied[i])
		return ONCE_WAIT;
	attempt->replied[i] = true;
	attempt->votes[i] = reply->status;
	if (reply->status == MSG_VOTE_DONE) {
		attempt->outcome = gb_str_dup(reply->outcome);
		attempt->verdict = ONCE_REPLAY;
	} else {
		attempt->verdict = compute_verdict(attempt);
	}
	return attempt->verdict;
}

enum once_verdict once_attempt_end_voting(struct once_attempt *attempt)
{
	if (attempt->run_returned)
		return ONCE_UNKNOWN;
	if (attempt->verdict == ONCE_WAIT)
		attempt->verdict = is_not_run_certain(attempt, 0)
					   ? ONCE_NOT_RUN
					   : ONCE_UNKNOWN;
	return attempt->verdict;
}
