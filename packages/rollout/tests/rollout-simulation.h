#ifndef ROLLOUT_SIMULATION_H
#define ROLLOUT_SIMULATION_H

/*
 * NAME
 *	rollout-simulation - simulated roll-outs, for rollout-test
 *
 * DESCRIPTION
 *	Several VMs send requests to a service with some upstreams of each
 *version. An answer is good or bad at random. An upstream pauses for 100 ms
 *every 2.4 s on average, and its answers are bad then. Reports reach the first
 *	VM in the next tick, unless they are lost; so do its answers.
 */

#include "rollout/ro.h"
#include "script/scr.h"

#include <math.h>

#define SIM_VMS_MAX 128
#define SIM_UPSTREAMS_MAX 3
#define SIM_PAUSE (100 * GB_MSEC)
#define SIM_PAUSE_INTERVAL (2400 * GB_MSEC)
#define SIM_OVERTIME (4 * GB_SEC)
#define SIM_RATE_HALF_LIFE (100 * GB_MSEC)

/* Bounds of the operators, see docs/design/rollout.md. */
#define SIM_BAD_ANSWERS_KNOWN 50
#define SIM_ROLL_BACK_TIME (5 * GB_SEC)

struct sim_plan {
	uint32_t vms;
	uint32_t upstreams; /* of each version */
	double rate; /* requests/s of all VMs */
	double usual_bad; /* rate of bad answers of the current version */
	double target_bad;
	double bad_from; /* part of the duration after which it is bad */
	double bad_above_rate; /* requests/s from which it is bad */
	int64_t bad_routes; /* routes on which it is bad */
	int64_t routes;
	gb_time duration;
	double lost_reports;
	struct ro_exposure_limits limits;
};

struct sim_result {
	uint32_t completed, rolled_back, neither;
	uint32_t late; /* completed after the end of the duration */
	uint32_t over_exposure;
	uint32_t sent_late;
	/* Sums over the runs, but the verdict only if there was one. */
	uint64_t exposed, bad;
	gb_time verdict_time;
};

struct sim {
	const struct sim_plan *plan;
	struct gb_rng rng;
	struct ro_rollout *vm[SIM_VMS_MAX];
	gb_time now;
	gb_time paused_until[2 * SIM_UPSTREAMS_MAX];
	uint64_t requests, exposed;
	double exposed_rate; /* requests/s, moving average */
	gb_time exposed_at;
	uint32_t bad_answers;
	gb_time known_bad_at; /* 0: not yet */
	gb_time rolled_back_at; /* the same, by the first VM */
	bool sent_late;
};

static inline void sim_pause_upstreams(struct sim *sim)
{
	for (uint32_t i = 0; i < 2 * sim->plan->upstreams; i++)
		if (gb_rng_unit(&sim->rng) <
		    (double)RO_TICK / SIM_PAUSE_INTERVAL)
			sim->paused_until[i] =
				sim->now + gb_rng_below(&sim->rng, RO_TICK) +
				SIM_PAUSE;
}

static inline bool sim_is_target_bad(const struct sim *sim, int64_t route)
{
	const struct sim_plan *plan = sim->plan;

	return sim->now >= plan->bad_from * plan->duration &&
	       sim->exposed_rate >= plan->bad_above_rate &&
	       route < plan->bad_routes;
}

static inline bool sim_is_answer_bad(struct sim *sim, bool is_target,
				     uint32_t upstream, int64_t route)
{
	double rate = is_target && sim->plan->target_bad &&
				      sim_is_target_bad(sim, route)
			      ? sim->plan->target_bad
			      : sim->plan->usual_bad;
	bool is_paused = sim->now + SIM_PAUSE > sim->paused_until[upstream] &&
			 sim->now < sim->paused_until[upstream];

	return is_paused || gb_rng_unit(&sim->rng) < rate;
}

static inline void sim_count_target(struct sim *sim, bool is_bad)
{
	double weight = exp2(-(double)(sim->now - sim->exposed_at) /
			     SIM_RATE_HALF_LIFE);

	sim->exposed += sim->now <= sim->plan->duration;
	sim->exposed_rate = sim->exposed_rate * weight +
			    M_LN2 * GB_SEC / SIM_RATE_HALF_LIFE;
	sim->exposed_at = sim->now;
	if (sim->known_bad_at &&
	    sim->now > sim->known_bad_at + SIM_ROLL_BACK_TIME)
		sim->sent_late = true;
	sim->bad_answers += is_bad;
	if (sim->bad_answers == SIM_BAD_ANSWERS_KNOWN && !sim->known_bad_at)
		sim->known_bad_at = sim->now;
}

static inline void sim_send(struct sim *sim)
{
	uint32_t i = gb_rng_below(&sim->rng, sim->plan->vms);
	const struct ro_vms vms = { .count = sim->plan->vms, .rank = i };
	struct ro_rollout *vm = sim->vm[i];
	bool is_target =
		ro_prefers_target(vm, &sim->plan->limits, &vms, true, sim->now);
	uint32_t upstream = gb_rng_below(&sim->rng, sim->plan->upstreams) +
			    (is_target ? sim->plan->upstreams : 0);
	int64_t route = gb_rng_below(&sim->rng, sim->plan->routes);
	bool is_bad = sim_is_answer_bad(sim, is_target, upstream, route);

	sim->requests += sim->now <= sim->plan->duration;
	if (is_target) {
		ro_target_chosen(vm);
		sim_count_target(sim, is_bad);
	}
	ro_call_sent(vm);
	ro_call_ended(vm, &(struct ro_sample){ .route = route + 1,
					       .upstream = upstream + 1,
					       .is_target = is_target,
					       .is_bad = is_bad });
}

static inline void sim_report(struct sim *sim)
{
	struct ro_report report;

	for (uint32_t i = 1; i < sim->plan->vms; i++) {
		if (gb_rng_unit(&sim->rng) < sim->plan->lost_reports)
			continue;
		ro_write_report(sim->vm[i], i, 0, sim->now, &report);
		ro_receive_report(sim->vm[0], &report, sim->now);
		ro_receive_step(sim->vm[i], ro_step(sim->vm[0]),
				ro_age(sim->vm[0], sim->now), sim->now);
		/* A VM that has seen enough itself tells all others. */
		ro_receive_step(sim->vm[0],
				ro_step(sim->vm[i]) == RO_ROLLED_BACK
					? RO_ROLLED_BACK
					: RO_CANARY,
				0, sim->now);
	}
}

static inline void sim_tick(struct sim *sim)
{
	struct ro_state state = { .target_ready = sim->plan->upstreams,
				  .current_ready = sim->plan->upstreams,
				  .vms_live = sim->plan->vms };

	for (uint32_t i = 0; i < sim->plan->vms; i++) {
		state.decides = i == 0;
		ro_tick(sim->vm[i], &state, sim->now);
	}
	sim_report(sim);
	if (!sim->rolled_back_at && ro_step(sim->vm[0]) == RO_ROLLED_BACK)
		sim->rolled_back_at = sim->now;
}

static inline void sim_count_result(const struct sim *sim,
				    struct sim_result *sum)
{
	enum ro_step step = ro_step_to_store(sim->vm[0]);
	double allowed = sim->plan->limits.share * sim->requests +
			 sim->plan->limits.extra_total;

	sum->completed += step == RO_COMPLETED;
	sum->rolled_back += step == RO_ROLLED_BACK;
	sum->neither += !ro_is_final(step);
	sum->late += step == RO_COMPLETED && sim->now > sim->plan->duration;
	sum->over_exposure += step != RO_COMPLETED && sim->exposed > allowed;
	sum->sent_late += step != RO_COMPLETED && sim->sent_late;
	sum->exposed += sim->exposed;
	sum->bad += sim->bad_answers;
	sum->verdict_time += sim->rolled_back_at;
}

/* Simulates a roll-out until its end, and the requests up to the duration. */
static inline void sim_run(const struct sim_plan *plan, uint64_t seed,
			   struct sim_result *sum)
{
	const struct ro_order order = { .id = 1,
					.service = GB_STR("s"),
					.target_version = GB_STR("v2"),
					.duration = plan->duration };
	struct sim sim = { .plan = plan, .rng = { .state = seed } };
	gb_time next_tick = RO_TICK, next_send = 0;

	g_assert(plan->vms <= SIM_VMS_MAX);
	g_assert(plan->upstreams <= SIM_UPSTREAMS_MAX);
	for (uint32_t i = 0; i < plan->vms; i++)
		sim.vm[i] = ro_new(&order, 0, 0);
	while (sim.now < plan->duration + SIM_OVERTIME &&
	       ro_step_to_store(sim.vm[0]) != RO_COMPLETED) {
		if (next_send >= next_tick) {
			sim.now = next_tick;
			next_tick += RO_TICK;
			sim_pause_upstreams(&sim);
			sim_tick(&sim);
			continue;
		}
		sim.now = next_send;
		sim_send(&sim);
		next_send += gb_rng_exponential(&sim.rng, GB_SEC / plan->rate);
	}
	sim_count_result(&sim, sum);
	for (uint32_t i = 0; i < plan->vms; i++)
		ro_free(sim.vm[i]);
}

#endif
