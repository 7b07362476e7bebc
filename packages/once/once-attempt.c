#include "once/once.h"

static uint32_t votes(const struct once_attempt *attempt,
		      enum msg_vote_status status);
static uint32_t unanswered(const struct once_attempt *attempt);
static bool may_say_not_run(const struct once_attempt *attempt, uint32_t more);
static enum once_verdict decide(struct once_attempt *attempt);

int once_attempt_init(struct once_attempt *attempt, const struct cfg *cfg,
		      struct gb_str key, const struct msg_order_id *order,
		      struct gb_error *err)
{
	uint32_t granters = cfg_granters(cfg);

	*attempt = (struct once_attempt){ .epoch = cfg->epoch,
					  .order = *order,
					  .granters = granters,
					  .majority = cfg_majority(cfg) };
	if (granters < ONCE_GRANTERS_MIN)
		return gb_fail(err, GB_ERR_NOT_RUN, GB_STR("granters"),
			       granters);
	if (once_key_issued(key, &attempt->issued_ms))
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

void once_attempt_message(const struct once_attempt *attempt,
			  struct msg_vote *vote)
{
	*vote = (struct msg_vote){
		.key = attempt->key,
		.issued_ms = attempt->issued_ms,
		.epoch = attempt->epoch,
		.order = attempt->order,
	};
}

/* Counts the granters that answered with the status. */
static uint32_t votes(const struct once_attempt *attempt,
		      enum msg_vote_status status)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < attempt->granters; i++)
		count += attempt->answered[i] && attempt->vote[i] == status;
	return count;
}

static uint32_t unanswered(const struct once_attempt *attempt)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < attempt->granters; i++)
		count += !attempt->answered[i];
	return count;
}

/*
 * Tells whether "not run" is certain, or would be if so many more granted.
 * Granted votes keep any other attempt of this epoch from a majority. An
 * attempt of another epoch is excluded only if a majority proved to be in this
 * epoch and to hold no other vote: an abstaining voter never votes on the key,
 * and the epochs next to this one need a granter of that majority.
 */
static bool may_say_not_run(const struct once_attempt *attempt, uint32_t more)
{
	uint32_t granted = votes(attempt, MSG_VOTE_GRANTED) + more;
	uint32_t abstained = votes(attempt, MSG_VOTE_ABSTAINED);

	return granted >= attempt->granters - attempt->majority + 1 &&
	       granted + abstained >= attempt->majority;
}

static enum once_verdict decide(struct once_attempt *attempt)
{
	uint32_t more = unanswered(attempt);
	uint32_t granted = votes(attempt, MSG_VOTE_GRANTED);

	if (granted >= attempt->majority) {
		attempt->ran = true;
		return ONCE_RUN;
	}
	if (granted + more >= attempt->majority)
		return ONCE_WAIT;
	if (may_say_not_run(attempt, 0))
		return ONCE_NOT_RUN;
	return may_say_not_run(attempt, more) ? ONCE_WAIT : ONCE_UNKNOWN;
}

enum once_verdict once_attempt_reply(struct once_attempt *attempt, uint32_t vm,
				     const struct msg_vote_reply *reply)
{
	uint32_t i = 0;

	if (attempt->ran)
		return ONCE_WAIT;
	if (attempt->verdict != ONCE_WAIT)
		return attempt->verdict;
	if (!msg_order_id_eq(&reply->order, &attempt->order) ||
	    !gb_str_eq(reply->key, attempt->key))
		return ONCE_WAIT;
	while (i < attempt->granters && attempt->granter_vm[i] != vm)
		i++;
	if (i == attempt->granters || attempt->answered[i])
		return ONCE_WAIT;
	attempt->answered[i] = true;
	attempt->vote[i] = reply->status;
	if (reply->status == MSG_VOTE_DONE) {
		attempt->outcome = gb_str_dup(reply->outcome);
		attempt->verdict = ONCE_REPLAY;
	} else {
		attempt->verdict = decide(attempt);
	}
	return attempt->verdict;
}

enum once_verdict once_attempt_close(struct once_attempt *attempt)
{
	if (attempt->ran)
		return ONCE_UNKNOWN;
	if (attempt->verdict == ONCE_WAIT)
		attempt->verdict = may_say_not_run(attempt, 0) ? ONCE_NOT_RUN
							       : ONCE_UNKNOWN;
	return attempt->verdict;
}
