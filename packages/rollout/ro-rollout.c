#include "rollout/ro-internal.h"

/* Least time of the promotion, in which the last reports of answers arrive. */
#define PROMOTION_OBSERVED (4 * RO_TICK)

/* A version under suspicion is observed for this long. */
#define SUSPICION_OBSERVED (12 * RO_TICK)

/* A tick comes late by less than this, so that the next ones seem early. */
#define TICK_TOLERANCE (RO_TICK / 2)

/* Before the end of the duration, the time for a write to the store. */
#define WRITE_MARGIN (500 * GB_MSEC)

/*
 * The promotion takes this part of the duration, within bounds. The load test
 * comes before it and takes as long. It begins and ends at a tick, which may
 * each be one after the planned time.
 */
#define PROMOTION_FRACTION 0.2
#define PROMOTION_MIN (PROMOTION_OBSERVED + 2 * RO_TICK + WRITE_MARGIN)
#define PROMOTION_MAX (10 * GB_SEC)

/* The canary takes at least this part of the duration, or this time. */
#define CANARY_FRACTION_MIN 0.25
#define CANARY_MIN (2 * GB_SEC)

struct ro_rollout {
	struct ro_order order;
	enum ro_step step;
	enum ro_reason reason;
	bool is_held; /* until the end of the duration */
	bool may_complete; /* the store is to be told */
	bool is_stored; /* the store has the final step */
	gb_time ordered_at;
	gb_time target_ready_at; /* GB_NEVER while it has too few upstreams */
	gb_time promoting_since;
	struct ro_exposure exposure;
	GArray *rows; /* of struct ro_row: the answers to this VM */
	struct ro_judge *judge;
};

struct ro_rollout *ro_new(const struct ro_order *order, gb_time now,
			  gb_time age)
{
	struct ro_rollout *rollout = g_new0(struct ro_rollout, 1);

	rollout->order = *order;
	rollout->order.service = gb_str_dup(order->service);
	rollout->order.target_version = gb_str_dup(order->target_version);
	rollout->ordered_at = now - age;
	rollout->target_ready_at = GB_NEVER;
	rollout->rows = g_array_new(FALSE, FALSE, sizeof(struct ro_row));
	rollout->judge = ro_judge_new();
	return rollout;
}

void ro_free(struct ro_rollout *rollout)
{
	gb_str_free(&rollout->order.service);
	gb_str_free(&rollout->order.target_version);
	g_array_free(rollout->rows, TRUE);
	ro_judge_free(rollout->judge);
	g_free(rollout);
}

void ro_set_id(struct ro_rollout *rollout, uint64_t id)
{
	rollout->order.id = id;
}

void ro_set_duration(struct ro_rollout *rollout, gb_time duration)
{
	rollout->order.duration = duration;
}

const struct ro_order *ro_order(const struct ro_rollout *rollout)
{
	return &rollout->order;
}

enum ro_step ro_step(const struct ro_rollout *rollout)
{
	return rollout->step;
}

enum ro_reason ro_reason(const struct ro_rollout *rollout)
{
	return rollout->reason;
}

gb_time ro_age(const struct ro_rollout *rollout, gb_time now)
{
	return now - rollout->ordered_at;
}

bool ro_is_held(const struct ro_rollout *rollout)
{
	return rollout->step == RO_CANARY && rollout->is_held;
}

bool ro_is_final(enum ro_step step)
{
	return step == RO_COMPLETED || step == RO_ROLLED_BACK;
}

enum ro_step ro_step_to_store(const struct ro_rollout *rollout)
{
	return rollout->may_complete && rollout->step == RO_PROMOTING
		       ? RO_COMPLETED
		       : rollout->step;
}

static gb_time promotion_time(const struct ro_order *order)
{
	gb_time time = PROMOTION_FRACTION * order->duration;

	return MIN(CLAMP(time, PROMOTION_MIN, PROMOTION_MAX),
		   order->duration / 2);
}

static gb_time promotion_begin(const struct ro_order *order)
{
	return order->duration - promotion_time(order);
}

/* The first half of a short canary is left to few requests. */
static struct ro_load_test load_test(const struct ro_order *order)
{
	gb_time end = promotion_begin(order);

	return (struct ro_load_test){
		.begin = end - MIN(promotion_time(order), end / 2),
		.end = end,
	};
}

bool ro_prefers_target(const struct ro_rollout *rollout,
		       const struct ro_exposure_limits *limits,
		       const struct ro_vms *vms, bool first_try, gb_time now)
{
	const struct ro_load_test test = load_test(&rollout->order);

	switch (rollout->step) {
	case RO_CANARY:
		return first_try &&
		       ro_exposure_fits(&rollout->exposure, limits, vms, &test,
					ro_age(rollout, now));
	case RO_PROMOTING:
	case RO_COMPLETED:
		return true;
	default:
		return false;
	}
}

bool ro_allows_target(const struct ro_rollout *rollout,
		      const struct ro_exposure_limits *limits,
		      const struct ro_vms *vms, gb_time now)
{
	const struct ro_exposure *exposure = &rollout->exposure;
	const struct ro_load_test test = load_test(&rollout->order);

	if (rollout->step != RO_CANARY)
		return rollout->step != RO_ROLLED_BACK;
	return exposure->exposed + 1 <=
	       ro_exposure_allowed(exposure, limits, vms,
				   ro_age(rollout, now) >= test.begin);
}

void ro_target_chosen(struct ro_rollout *rollout)
{
	rollout->exposure.exposed++;
}

void ro_call_sent(struct ro_rollout *rollout)
{
	rollout->exposure.requests++;
}

void ro_call_ended(struct ro_rollout *rollout, const struct ro_sample *sample)
{
	ro_evidence_add(rollout->rows, sample);
}

void ro_counts(const struct ro_rollout *rollout, uint64_t *requests,
	       uint64_t *exposed)
{
	*requests = rollout->exposure.requests;
	*exposed = rollout->exposure.exposed;
}

static void set_step(struct ro_rollout *rollout, enum ro_step step,
		     enum ro_reason reason, gb_time now)
{
	rollout->step = step;
	rollout->reason = reason;
	if (step == RO_PROMOTING)
		rollout->promoting_since = now;
}

/* The other versions stop when the roll-out is completed. */
static bool has_enough_upstreams(const struct ro_state *state)
{
	return state->target_ready &&
	       state->target_ready * 2 >= state->current_ready;
}

/*
 * A version under suspicion after the load test waits until the end of the
 * duration: later, the limit of its exposure does not count any more. Good
 * answers in between do not clear it, as a fault may show only under load. All
 * VMs note it, since another one may decide later.
 */
static void hold_if_suspicious(struct ro_rollout *rollout, gb_time now)
{
	if (ro_age(rollout, now) >= promotion_begin(&rollout->order) &&
	    ro_judge_is_suspicious(rollout->judge))
		rollout->is_held = true;
}

static bool should_promote(const struct ro_rollout *rollout,
			   const struct ro_state *state, gb_time now)
{
	const struct ro_order *order = &rollout->order;
	gb_time canary_min = MIN(
		CANARY_MIN, (gb_time)(CANARY_FRACTION_MIN * order->duration));

	if (rollout->is_held && ro_age(rollout, now) < order->duration)
		return false;
	return has_enough_upstreams(state) &&
	       now - rollout->target_ready_at >= canary_min &&
	       ro_age(rollout, now) >= promotion_begin(order);
}

/* Returns why the roll-out may be completed, or RO_NO_REASON. */
static enum ro_reason reason_to_complete(const struct ro_rollout *rollout,
					 const struct ro_state *state,
					 gb_time now)
{
	gb_time observed = now - rollout->promoting_since;
	gb_time end = rollout->order.duration - WRITE_MARGIN;

	if (observed < PROMOTION_OBSERVED - TICK_TOLERANCE ||
	    !has_enough_upstreams(state))
		return RO_NO_REASON;
	if (ro_judge_is_suspicious(rollout->judge) &&
	    observed < SUSPICION_OBSERVED - TICK_TOLERANCE)
		return RO_NO_REASON;
	if (ro_judge_all_moved(rollout->judge, state->vms_live, now))
		return RO_ALL_MOVED;
	if (ro_age(rollout, now) >= end)
		return RO_TIME_OVER;
	return RO_NO_REASON;
}

/* The VM that decides moves the roll-out on. */
static void move_on(struct ro_rollout *rollout, const struct ro_state *state,
		    gb_time now)
{
	enum ro_reason reason;

	if (rollout->step == RO_CANARY) {
		if (should_promote(rollout, state, now))
			set_step(rollout, RO_PROMOTING, RO_TIME_OVER, now);
		return;
	}
	reason = reason_to_complete(rollout, state, now);
	if (reason == RO_NO_REASON)
		return;
	rollout->may_complete = true;
	rollout->reason = reason;
}

/* Judges by the answers to this VM, too. */
static void report_to_self(struct ro_rollout *rollout,
			   const struct ro_state *state, gb_time now)
{
	struct ro_report report;

	ro_write_report(rollout, 0, state->calls_current, now, &report);
	ro_judge_add(rollout->judge, &report, now);
}

bool ro_tick(struct ro_rollout *rollout, const struct ro_state *state,
	     gb_time now)
{
	enum ro_step before = rollout->step;
	enum ro_reason worse;

	if (!has_enough_upstreams(state))
		rollout->target_ready_at = GB_NEVER;
	else if (rollout->target_ready_at == GB_NEVER)
		rollout->target_ready_at = now;
	if (ro_is_final(rollout->step))
		return false;
	report_to_self(rollout, state, now);
	worse = ro_judge_test(rollout->judge, state->target_ready);
	hold_if_suspicious(rollout, now);
	if (worse != RO_NO_REASON)
		set_step(rollout, RO_ROLLED_BACK, worse, now);
	else if (state->decides)
		move_on(rollout, state, now);
	return rollout->step != before;
}

void ro_write_report(const struct ro_rollout *rollout, uint64_t vm,
		     uint32_t calls_current, gb_time now,
		     struct ro_report *report)
{
	*report = (struct ro_report){ .order = rollout->order.id,
				      .vm = vm,
				      .age = ro_age(rollout, now),
				      .step = rollout->step,
				      .calls_current = calls_current,
				      .rows_len = rollout->rows->len };
	for (uint32_t i = 0; i < report->rows_len; i++)
		report->rows[i] =
			g_array_index(rollout->rows, struct ro_row, i);
}

/* An order is as old as the VM that knows it longest says. */
static void take_age(struct ro_rollout *rollout, gb_time age, gb_time now)
{
	if (age > ro_age(rollout, now))
		rollout->ordered_at = now - age;
}

void ro_receive_report(struct ro_rollout *rollout,
		       const struct ro_report *report, gb_time now)
{
	take_age(rollout, report->age, now);
	ro_judge_add(rollout->judge, report, now);
}

bool ro_receive_step(struct ro_rollout *rollout, enum ro_step step, gb_time age,
		     gb_time now)
{
	take_age(rollout, age, now);
	if (step <= rollout->step || ro_is_final(rollout->step))
		return false;
	set_step(rollout, step, RO_TOLD, now);
	return true;
}

bool ro_set_stored(struct ro_rollout *rollout, enum ro_step step, gb_time now)
{
	if (rollout->is_stored) {
		/* A store that was restored may have lost the final step. */
		rollout->is_stored = ro_is_final(step);
		return false;
	}
	rollout->is_stored = ro_is_final(step);
	if (step == rollout->step ||
	    (!rollout->is_stored && step < rollout->step))
		return false;
	set_step(rollout, step, RO_STORED, now);
	return true;
}

struct gb_str ro_step_name(enum ro_step step)
{
	static const struct gb_str names[RO_STEPS] = {
		[RO_CANARY] = GB_STR_INIT("canary"),
		[RO_PROMOTING] = GB_STR_INIT("promoting"),
		[RO_COMPLETED] = GB_STR_INIT("completed"),
		[RO_ROLLED_BACK] = GB_STR_INIT("rolled_back"),
	};

	return names[step];
}

struct gb_str ro_reason_name(enum ro_reason reason)
{
	static const struct gb_str names[RO_REASONS] = {
		[RO_NO_REASON] = GB_STR_INIT("none"),
		[RO_WORSE_OVERALL] = GB_STR_INIT("worse_overall"),
		[RO_WORSE_ON_ROUTE] = GB_STR_INIT("worse_on_route"),
		[RO_TOLD] = GB_STR_INIT("told_by_vm"),
		[RO_STORED] = GB_STR_INIT("stored"),
		[RO_ALL_MOVED] = GB_STR_INIT("all_moved"),
		[RO_TIME_OVER] = GB_STR_INIT("time_over"),
	};

	return names[reason];
}
