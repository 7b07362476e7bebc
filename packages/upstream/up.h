#ifndef UP_H
#define UP_H

/*
 * NAME
 *	up - what one upstream may be sent, judged from its own answers
 *
 * DESCRIPTION
 *	An upstream starts at its cold limit: as unknown, after a change of
 *	its instance identity, and after a refused or lost connection. From
 *	its first success the limit rises from the cold slots to the slots
 *	over the ramp time, and only as far as successes confirm each step.
 *	When warm it may also hold the accepted queue beyond its slots.
 *
 *	An upstream process that is known to have borne its full load, from
 *	before or from its former owner, is warm again with its first success:
 *	its unchanged instance identity proves that it did not restart.
 *
 *	An upstream that had nothing to do for a while, or to which a request
 *	could not be sent, may have started again. It takes its cold slots
 *	until an answer shows that its instance is the same.
 *
 *	A circuit breaker opens after consecutive failures; after a growing
 *	pause it lets one trial pass.
 *
 *	Reported load breaks ties between upstreams only; health endpoints are
 *	not used.
 */

#include "base/gb.h"
#include "config/cfg.h"

enum up_state { UP_COLD, UP_RAMPING, UP_WARM };

enum up_outcome {
	UP_OK,
	UP_REFUSED, /* shed by the upstream, not run */
	UP_RESET, /* connection refused or lost */
	UP_TIMEOUT,
	UP_ERROR, /* ran and failed; says nothing about load */
	UP_CANCELLED,
	UP_NOT_SENT
};

struct up_upstream {
	struct cfg_limits limits;
	enum up_state state;
	uint64_t instance; /* 0 until known */
	uint64_t known_warm; /* instance that bore its full load; 0 if none */
	uint32_t in_flight;
	gb_time answered; /* sending of the request last answered */
	bool doubted; /* idle since; the next answer shows the instance */
	uint32_t successes; /* since the current step of the ramp */
	gb_time ramp_start;
	uint32_t step; /* slots allowed while ramping */
	uint32_t failures; /* consecutive */
	gb_time open_until; /* circuit breaker; 0 when closed */
	gb_time pause; /* of the breaker, doubles */
	double time_mean; /* expected service time, in microseconds */
	uint32_t reported_load;
	bool exclusive; /* in use by one suspect request alone */
	bool closed; /* drained or its data centre is out: no new work */
};

void up_init(struct up_upstream *up, const struct cfg_limits *limits);
void up_set_limits(struct up_upstream *up, const struct cfg_limits *limits);

/* Puts the upstream at its cold limit. */
void up_set_cold(struct up_upstream *up);

/* The same, and forgets which instance was warm. */
void up_set_idle(struct up_upstream *up);

/* Most requests in flight at this time. */
uint32_t up_limit(const struct up_upstream *up, gb_time now);
bool up_can_send(const struct up_upstream *up, gb_time now);
void up_sent(struct up_upstream *up, gb_time now);

/*
 * Notes the end of one attempt after the time taken; instance 0 if unknown.
 * Returns true if the upstream became cold by it.
 */
bool up_done(struct up_upstream *up, gb_time now, enum up_outcome outcome,
	     uint64_t instance, gb_time taken);

/* Orders candidates: the smaller, the sooner it is likely to answer. */
double up_score(const struct up_upstream *up, gb_time now);

#endif
