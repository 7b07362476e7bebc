#ifndef LIMIT_SIMULATION_H
#define LIMIT_SIMULATION_H

/*
 * NAME
 *	limit-simulation - simulated VMs that share a limit, for
 *organisation-test
 *
 * DESCRIPTION
 *	Requests of one organisation come to VMs at random; callers may prefer
 *	some VMs. Messages take a millisecond and may be lost. For some time the
 *	VMs may be cut into two groups; each takes the others for dead after a
 *	while. The VM with the lowest number that a VM takes for live is the
 *	bucket VM. Restarted VMs forget everything.
 */

#include "organisation/og.h"
#include "script/scr.h"

#define SIM_VMS_MAX 320
#define SIM_STEP GB_MSEC
#define SIM_DELAY (2 * GB_MSEC)
#define SIM_DEATH_TIME (6 * GB_SEC) /* until a member counts as dead */
#define SIM_REACH_TIME (2 * GB_SEC) /* until it is known to be out of reach */
#define SIM_VM_TICK (250 * GB_MSEC)

struct sim_plan {
	uint32_t vms;
	uint32_t used_vms; /* those to which callers are connected */
	struct og_org org;
	struct og_settings settings;
	double asked; /* requests/s */
	double hot_from, hot_to; /* s, with so many requests/s: */
	double hot_asked;
	double lost; /* part of the messages */
	uint32_t cut; /* VMs of the smaller group */
	double cut_from, cut_to; /* s */
	double bucket_restarts; /* s between restarts of VM 0; 0: none */
	gb_time duration;
};

struct sim_result {
	uint64_t asked, admitted, refused;
	uint32_t window_max; /* most admitted in one window */
	uint64_t messages;
};

enum sim_kind { SIM_REPORT, SIM_LEVEL, SIM_ASK, SIM_GRANT };

struct sim_message {
	gb_time at;
	uint32_t from, to;
	enum sim_kind kind;
	bool granted;
	struct og_use use;
	struct og_level level;
};

struct sim_vm {
	struct og_limiter *limiter;
	struct og_buckets *buckets;
	uint64_t incarnation;
};

struct sim {
	const struct sim_plan *plan;
	struct gb_rng rng;
	gb_time now;
	struct sim_vm vm[SIM_VMS_MAX];
	GQueue messages; /* of struct sim_message, by time */
	GArray *admitted_at; /* of gb_time */
	struct sim_result result;
	uint32_t self; /* VM that is sending */
};

static inline bool sim_in(const struct sim *sim, double from, double to)
{
	double s = (double)sim->now / GB_SEC;

	return s >= from && s < to;
}

static inline bool sim_group(const struct sim *sim, uint32_t vm)
{
	return vm < sim->plan->cut;
}

static inline bool sim_is_cut(const struct sim *sim)
{
	return sim->plan->cut &&
	       sim_in(sim, sim->plan->cut_from, sim->plan->cut_to);
}

static inline bool sim_knows_cut(const struct sim *sim)
{
	double delay = (double)SIM_DEATH_TIME / GB_SEC;

	return sim->plan->cut &&
	       sim_in(sim, sim->plan->cut_from + delay, sim->plan->cut_to);
}

static inline uint32_t sim_bucket_vm(const struct sim *sim, uint32_t vm)
{
	if (sim_knows_cut(sim) && !sim_group(sim, vm))
		return sim->plan->cut;
	return 0;
}

/* Returns whether the message arrives. */
static inline bool sim_send(struct sim *sim, const struct sim_message *message)
{
	struct sim_message *copy;

	sim->result.messages++;
	if (gb_rng_unit(&sim->rng) < sim->plan->lost ||
	    (sim_is_cut(sim) &&
	     sim_group(sim, message->from) != sim_group(sim, message->to)))
		return false;
	copy = g_memdup2(message, sizeof(*message));
	copy->at = sim->now + (message->from == message->to ? 0 : SIM_DELAY);
	g_queue_push_tail(&sim->messages, copy);
	return true;
}

static inline void sim_send_report(void *ctx, const struct og_use *use)
{
	struct sim *sim = ctx;

	sim_send(sim,
		 &(struct sim_message){ .from = sim->self,
					.to = sim_bucket_vm(sim, sim->self),
					.use = *use });
}

static inline void sim_tell_all(void *ctx, const struct og_level *level)
{
	struct sim *sim = ctx;

	for (uint32_t i = 0; i < sim->plan->vms; i++)
		sim_send(sim, &(struct sim_message){ .from = sim->self,
						     .to = i,
						     .kind = SIM_LEVEL,
						     .level = *level });
}

static inline void sim_receive_report(struct sim *sim,
				      const struct sim_message *message)
{
	struct sim_message answer = { .from = message->to,
				      .to = message->from,
				      .kind = SIM_LEVEL };
	struct sim_vm *vm = &sim->vm[message->to];
	uint64_t from =
		gb_hash_u64(message->from, sim->vm[message->from].incarnation);
	struct og_level low;

	if (og_bucket_report(vm->buckets, &sim->plan->org, sim->plan->vms, from,
			     &message->use, sim->now, &answer.level))
		sim_send(sim, &answer);
	sim->self = message->to;
	if (og_low_level(vm->buckets, &sim->plan->org, sim->now, &low))
		sim_tell_all(sim, &low);
}

static inline void sim_receive_level(struct sim *sim,
				     const struct sim_message *message)
{
	struct og_limiter *limiter = sim->vm[message->to].limiter;
	struct og_use report;

	og_receive_level(limiter, &message->level, sim->now);
	sim->self = message->to;
	if (og_report(limiter, &sim->plan->org, sim->now, &report))
		sim_send_report(sim, &report);
}

static inline void sim_count_answer(struct sim *sim, bool admitted)
{
	if (!admitted) {
		sim->result.refused++;
		return;
	}
	sim->result.admitted++;
	g_array_append_val(sim->admitted_at, sim->now);
}

/* The question or its answer is lost. */
static inline void sim_decide_alone(struct sim *sim, uint32_t vm)
{
	gb_time wait;

	sim_count_answer(sim,
			 og_admit_unasked(sim->vm[vm].limiter, &sim->plan->org,
					  sim->plan->vms, sim->now, &wait));
}

static inline void sim_receive_ask(struct sim *sim,
				   const struct sim_message *message)
{
	struct sim_message answer = { .from = message->to,
				      .to = message->from,
				      .kind = SIM_GRANT };
	uint64_t from =
		gb_hash_u64(message->from, sim->vm[message->from].incarnation);
	enum og_verdict verdict;
	gb_time wait;

	verdict = og_bucket_ask(sim->vm[message->to].buckets, &sim->plan->org,
				sim->plan->vms, from, &message->use, sim->now,
				&wait);
	answer.granted = verdict == OG_ADMITTED;
	if (verdict == OG_ASK || !sim_send(sim, &answer))
		sim_decide_alone(sim, message->from);
}

static inline void sim_receive_grant(struct sim *sim,
				     const struct sim_message *message)
{
	og_asked(sim->vm[message->to].limiter, &sim->plan->org,
		 message->granted, sim->now);
	sim_count_answer(sim, message->granted);
}

static inline void sim_receive(struct sim *sim,
			       const struct sim_message *message)
{
	if (message->kind == SIM_REPORT)
		sim_receive_report(sim, message);
	else if (message->kind == SIM_LEVEL)
		sim_receive_level(sim, message);
	else if (message->kind == SIM_ASK)
		sim_receive_ask(sim, message);
	else
		sim_receive_grant(sim, message);
}

static inline void sim_receive_messages(struct sim *sim)
{
	GList *next;

	for (GList *at = sim->messages.head; at; at = next) {
		struct sim_message *message = at->data;

		next = at->next;
		if (message->at > sim->now)
			continue;
		g_queue_unlink(&sim->messages, at);
		g_list_free_1(at);
		sim_receive(sim, message);
		g_free(message);
		next = sim->messages.head;
	}
}

static inline void sim_ask(struct sim *sim)
{
	uint32_t vm = sim->plan->vms - 1 -
		      gb_rng_below(&sim->rng, sim->plan->used_vms);
	struct og_use report;
	gb_time wait = 0;

	struct sim_message ask = { .from = vm, .kind = SIM_ASK };
	enum og_verdict verdict;

	sim->result.asked++;
	sim->self = vm;
	verdict = og_admit(sim->vm[vm].limiter, &sim->plan->org, sim->plan->vms,
			   sim->now, &wait);
	if (verdict == OG_ASK) {
		ask.to = sim_bucket_vm(sim, vm);
		og_totals(sim->vm[vm].limiter, &sim->plan->org, sim->now,
			  &ask.use);
		if (!sim_send(sim, &ask))
			sim_decide_alone(sim, vm);
		return;
	}
	g_assert(verdict == OG_ADMITTED || wait > 0);
	sim_count_answer(sim, verdict == OG_ADMITTED);
	if (og_report(sim->vm[vm].limiter, &sim->plan->org, sim->now, &report))
		sim_send_report(sim, &report);
}

static inline double sim_reach(const struct sim *sim, uint32_t vm)
{
	double delay = (double)SIM_REACH_TIME / GB_SEC;
	uint32_t vms = sim->plan->vms, cut = sim->plan->cut;

	if (!cut ||
	    !sim_in(sim, sim->plan->cut_from + delay, sim->plan->cut_to))
		return 1;
	return (double)(sim_group(sim, vm) ? cut : vms - cut) / vms;
}

static inline void sim_tick_vms(struct sim *sim)
{
	for (uint32_t i = 0; i < sim->plan->vms; i++) {
		sim->self = i;
		og_buckets_set_reach(sim->vm[i].buckets, sim_reach(sim, i));
		og_each_report(sim->vm[i].limiter, sim->now, sim_send_report,
			       sim);
		og_each_low_level(sim->vm[i].buckets, sim->now, sim_tell_all,
				  sim);
	}
}

static inline void sim_start_vm(struct sim *sim, uint32_t i)
{
	struct sim_vm *vm = &sim->vm[i];

	if (vm->limiter)
		og_limiter_free(vm->limiter);
	if (vm->buckets)
		og_buckets_free(vm->buckets);
	vm->limiter = og_limiter_new(&sim->plan->settings);
	vm->buckets = og_buckets_new(&sim->plan->settings);
	vm->incarnation++;
}

static inline void sim_find_window(struct sim *sim)
{
	gb_time window = sim->plan->settings.window;
	guint first = 0;

	for (guint i = 0; i < sim->admitted_at->len; i++) {
		gb_time at = g_array_index(sim->admitted_at, gb_time, i);

		while (at - g_array_index(sim->admitted_at, gb_time, first) >
		       window)
			first++;
		sim->result.window_max =
			MAX(sim->result.window_max, i - first + 1);
	}
}

static inline void sim_end(struct sim *sim)
{
	sim_find_window(sim);
	for (uint32_t i = 0; i < sim->plan->vms; i++) {
		og_limiter_free(sim->vm[i].limiter);
		og_buckets_free(sim->vm[i].buckets);
	}
	while (sim->messages.length)
		g_free(g_queue_pop_head(&sim->messages));
	g_array_free(sim->admitted_at, TRUE);
}

static inline struct sim_result sim_run(const struct sim_plan *plan,
					uint64_t seed)
{
	struct sim *sim = g_new0(struct sim, 1);
	gb_time next_ask = 0;
	struct sim_result result;

	sim->plan = plan;
	sim->rng.state = seed;
	sim->now = 100 * GB_SEC;
	sim->admitted_at = g_array_new(FALSE, FALSE, sizeof(gb_time));
	g_queue_init(&sim->messages);
	for (uint32_t i = 0; i < plan->vms; i++)
		sim_start_vm(sim, i);
	for (sim->now = SIM_STEP; sim->now < plan->duration;
	     sim->now += SIM_STEP) {
		double rate = sim_in(sim, plan->hot_from, plan->hot_to)
				      ? plan->hot_asked
				      : plan->asked;

		sim_receive_messages(sim);
		if (sim->now % SIM_VM_TICK == 0)
			sim_tick_vms(sim);
		if (plan->bucket_restarts &&
		    sim->now % (gb_time)(plan->bucket_restarts * GB_SEC) == 0)
			sim_start_vm(sim, 0);
		for (; next_ask <= sim->now;
		     next_ask += gb_rng_exponential(&sim->rng, GB_SEC / rate))
			sim_ask(sim);
	}
	sim_end(sim);
	result = sim->result;
	g_free(sim);
	return result;
}

#endif
