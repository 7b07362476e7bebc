#ifndef RO_H
#define RO_H

/*
 * NAME
 *	ro - moves a service to another version of its upstreams
 *
 * DESCRIPTION
 *	An operator's order names a service, the target version and a duration.
 *	The target version first gets a small share of the requests (canary),
 *	then all of them (promotion). The roll-out is completed when no VM has a
 *	call at an upstream of another version, near the end of the duration. It
 *	is rolled back as soon as the target version answers worse than the
 *	current one.
 *
 *	Exposure: of the requests to the service, the target version may get a
 *	share and some more. Each VM divides both like the retry budget: the
 *	requests that it has sent raise its own share only. Most of the canary
 *	is sent in slices of time, in which the target version gets everything:
 *a fault that only shows under load does not show at a tenth of it. The canary
 *takes half of the exposure; the other half is left for a load test before the
 *promotion, which is sent at once.
 *
 *	Evidence: each VM counts the answers of the target version by route and
 *	upstream, and those of the current version by route. An answer is bad if
 *	it is a failure or several times slower than usual. The VMs report their
 *	totals to the first ones by rendezvous hashing; totals are repeated, so
 *	a lost report does no harm. Each VM also judges by what it has seen
 *	itself, so that it stops even if it reaches no other one.
 *
 *	Verdict: a CUSUM test (Page, 1954) of the rate of bad answers against
 *	that of the current version on the same route at the same time, for each
 *	route and for all together. It also finds a version that turns bad
 *	later.
 *
 *	The package reads no clock and does no I/O.
 */

#include "base/gb.h"

#include <glib.h>

enum ro_step {
	RO_CANARY,
	RO_PROMOTING,
	RO_COMPLETED,
	RO_ROLLED_BACK,
	RO_STEPS
};

struct ro_order {
	uint64_t id; /* a later order for the same service has another one */
	struct gb_str service;
	struct gb_str target_version;
	gb_time duration;
};

/* What the target version may get until the end of the duration. */
struct ro_exposure_limits {
	double share; /* of the requests to the service */
	double extra_total; /* further requests of all VMs */
};

/* The live VMs, among which the exposure is divided. */
struct ro_vms {
	uint32_t count;
	uint32_t rank; /* of this VM for the service, from 0 */
};

/* How a call to an upstream ended. */
struct ro_sample {
	uint64_t route; /* hash of its name */
	uint64_t upstream; /* hash of its identity */
	bool is_target; /* of the target version */
	bool is_bad;
};

/* Totals of the answers of one upstream on one route, since the order. */
struct ro_row {
	uint64_t route;
	uint64_t upstream; /* 0: all of the current version */
	bool is_target;
	uint32_t answers;
	uint32_t bad;
};

#define RO_ROWS_MAX 40 /* of a report; more upstreams share a row */

struct ro_report {
	uint64_t order;
	uint64_t vm; /* identity of the reporting process */
	gb_time age; /* of the order, as far as it is known there */
	enum ro_step step; /* in which the VM is */
	uint32_t calls_current; /* in flight at the current version */
	struct ro_row rows[RO_ROWS_MAX];
	uint32_t rows_len;
};

/* What this VM knows besides, at the time of a tick. */
struct ro_state {
	uint32_t target_ready; /* upstreams that take requests */
	uint32_t current_ready;
	uint32_t calls_current;
	uint32_t vms_live;
	bool decides; /* this VM promotes and completes */
};

enum ro_reason {
	RO_NO_REASON,
	RO_WORSE_OVERALL,
	RO_WORSE_ON_ROUTE,
	RO_TOLD, /* by another VM */
	RO_STORED, /* by the platform's store */
	RO_ALL_MOVED, /* no VM has calls at the current version */
	RO_TIME_OVER,
	RO_REASONS
};

struct ro_rollout;

/* The age is that of the order, as far as it is known. */
struct ro_rollout *ro_new(const struct ro_order *order, gb_time now,
			  gb_time age);
void ro_free(struct ro_rollout *rollout);

/* Sets the identity of the order, which was written again. */
void ro_set_id(struct ro_rollout *rollout, uint64_t id);

/* Sets the duration, which an operator may change. */
void ro_set_duration(struct ro_rollout *rollout, gb_time duration);

const struct ro_order *ro_order(const struct ro_rollout *rollout);
enum ro_step ro_step(const struct ro_rollout *rollout);
enum ro_reason ro_reason(const struct ro_rollout *rollout);
gb_time ro_age(const struct ro_rollout *rollout, gb_time now);

/* Tells whether it is under suspicion, and waits for the end of its duration.
 */
bool ro_is_held(const struct ro_rollout *rollout);
bool ro_is_final(enum ro_step step);

/*
 * The step that the store is to have. A roll-out is completed only once the
 * store has it, since the other versions stop then.
 */
enum ro_step ro_step_to_store(const struct ro_rollout *rollout);

/*
 * Tells whether a new call is to go to the target version. A request that was
 * sent before is repeated at the current version during the canary.
 */
bool ro_prefers_target(const struct ro_rollout *rollout,
		       const struct ro_exposure_limits *limits,
		       const struct ro_vms *vms, bool first_try, gb_time now);

/* Tells whether a call may go there if the current version has no upstream. */
bool ro_allows_target(const struct ro_rollout *rollout,
		      const struct ro_exposure_limits *limits,
		      const struct ro_vms *vms, gb_time now);

/* Count calls: of the target version when chosen, any when sent. */
void ro_target_chosen(struct ro_rollout *rollout);
void ro_call_sent(struct ro_rollout *rollout);
void ro_call_ended(struct ro_rollout *rollout, const struct ro_sample *sample);

/*
 * Judges by the reports since the last tick. Returns whether the step changed.
 * Called once per RO_TICK.
 */
#define RO_TICK (250 * GB_MSEC)
bool ro_tick(struct ro_rollout *rollout, const struct ro_state *state,
	     gb_time now);

void ro_write_report(const struct ro_rollout *rollout, uint64_t vm,
		     uint32_t calls_current, gb_time now,
		     struct ro_report *report);
void ro_receive_report(struct ro_rollout *rollout,
		       const struct ro_report *report, gb_time now);

/*
 * Takes over the step of another VM, which may only be a later one. Returns
 * whether the step changed.
 */
bool ro_receive_step(struct ro_rollout *rollout, enum ro_step step, gb_time age,
		     gb_time now);

/*
 * Takes over the step that the store has. A final one is never changed, and
 * replaces what VMs have told each other.
 */
bool ro_set_stored(struct ro_rollout *rollout, enum ro_step step, gb_time now);

/* Requests sent to the service, and of these to the target version. */
void ro_counts(const struct ro_rollout *rollout, uint64_t *requests,
	       uint64_t *exposed);

struct gb_str ro_step_name(enum ro_step step);
struct gb_str ro_reason_name(enum ro_reason reason);

#endif
