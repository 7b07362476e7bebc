#ifndef UP_H
#define UP_H

/*
 * NAME
 *	up - concurrency limit and circuit breaker of one upstream
 *
 * DESCRIPTION
 *	An upstream starts at its cold limit: when it is unknown, after its
 *	instance identity changed, and after a refused or lost connection. From
 *	its first success the limit rises from the cold slots to the slots
 *	over the ramp time (slow start), and only as far as successes confirm
 *	each step. When warm it may also be sent the length of its queue beyond
 *	its slots.
 *
 *	An instance that is known to have taken its full load, from before or
 *	from the shard's previous owner, is warm again with its first success:
 *	its unchanged identity proves that it did not restart.
 *
 *	An upstream that was idle for a while, or to which a request could not
 *	be sent, may have restarted. It is limited to its cold slots until an
 *	answer shows that its instance is the same.
 *
 *	A circuit breaker opens after consecutive failures; after a pause,
 *	which doubles each time, it lets one trial request pass.
 *
 *	The mean service time orders the upstreams. It loses its weight while
 *	there are no samples, so that one that was slow is tried again with a
 *	single request, whose time then counts for the most part.
 *
 *	Reported load only breaks ties between upstreams; health endpoints are
 *	not used.
 */

#include "base/gb.h"
#include "config/cfg.h"

enum up_state { UP_COLD, UP_RAMPING, UP_WARM };

enum up_outcome {
	UP_OK,
	UP_REFUSED, /* by the upstream, because of overload; not run */
	UP_RESET, /* connection refused or lost */
	UP_TIMEOUT,
	UP_ERROR, /* ran and failed; no sign of overload */
	UP_CANCELLED,
	UP_NOT_SENT
};

struct up_upstream {
	struct cfg_limits limits;
	enum up_state state;
	uint64_t instance; /* 0 until known */
	uint64_t warm_instance; /* that has taken its full load; 0 if none */
	uint32_t in_flight;
	/* When the last answered request was sent. */
	gb_time last_answered_sent_at;
	bool instance_unverified; /* may have restarted since its last answer */
	uint32_t successes; /* since the current step of the ramp */
	gb_time ramp_start;
	uint32_t ramp_slots; /* limit while cold or ramping */
	uint32_t failures; /* consecutive */
	bool unreachable; /* its last connection was refused or reset */
	gb_time breaker_open_until; /* 0 when closed */
	gb_time breaker_pause; /* doubles each time the breaker opens */
	double service_time_mean; /* in microseconds; 0 until known */
	gb_time service_time_at; /* time of its last sample */
	uint32_t reported_load;
	bool isolated; /* runs one suspect request and no other */
	bool disabled; /* drained, or its data centre is excluded */
};

void up_init(struct up_upstream *up, const struct cfg_limits *limits);
void up_set_limits(struct up_upstream *up, const struct cfg_limits *limits);

/* Returns the upstream to its cold limit. */
void up_set_cold(struct up_upstream *up);

/* Returns it to its cold limit and forgets which instance was warm. */
void up_reset(struct up_upstream *up);

/* Maximum number of requests in flight at this time. */
uint32_t up_limit(const struct up_upstream *up, gb_time now);
bool up_can_send(const struct up_upstream *up, gb_time now);
void up_attempt_sent(struct up_upstream *up, gb_time now);

/*
 * Records the end of one attempt and its duration; instance 0 if unknown.
 * Returns true if the upstream became cold by it.
 */
bool up_attempt_done(struct up_upstream *up, gb_time now,
		     enum up_outcome outcome, uint64_t instance,
		     gb_time duration);

/* Orders candidates: one with a lower score should answer sooner. */
double up_score(const struct up_upstream *up, gb_time now);

#endif
