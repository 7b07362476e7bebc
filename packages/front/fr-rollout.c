#include "front/fr-rollout.h"

/*
 * If the order has ended and is not completed, a VM of the next rank decides,
 * after this time each.
 */
#define DECIDER_TURN (1 * GB_SEC)
#define DECIDERS_MAX 4

static void free_entry(gpointer data)
{
	struct fr_rollout *entry = data;

	ro_free(entry->rollout);
	g_free(entry);
}

void fr_rollout_init(struct fr *fr)
{
	fr->rollouts.by_service = g_hash_table_new_full(
		gb_str_key_hash, gb_str_key_equal, NULL, free_entry);
	fr->rollouts.vm = gb_rng_next(&fr->rng);
	fr->engine.exposure = fr->settings.exposure;
}

uint64_t fr_rollout_key(const struct fr_rollout *entry)
{
	return gb_hash(ro_order(entry->rollout)->service, 0);
}

struct fl_service *fr_rollout_service(struct fr *fr,
				      const struct fr_rollout *entry)
{
	return fl_service(fr->fleet, ro_order(entry->rollout)->service);
}

void fr_rollout_log(struct fr *fr, const struct fr_rollout *entry,
		    enum ev_code code)
{
	const struct ro_order *order = ro_order(entry->rollout);
	struct gb_str step = ro_step_name(ro_step(entry->rollout));
	struct gb_str reason = ro_reason_name(ro_reason(entry->rollout));
	struct gb_buf detail = GB_BUF_INIT;
	struct ev_event event = { .code = code };
	uint64_t requests, exposed;

	ro_counts(entry->rollout, &requests, &exposed);
	event.num1 = requests;
	event.num2 = exposed;
	gb_buf_add(&detail, GB_STR("service="));
	ev_quote(order->service, &detail);
	gb_buf_add(&detail, GB_STR(" version="));
	ev_quote(order->target_version, &detail);
	gb_buf_addf(&detail, " step=%.*s reason=%.*s", (int)step.len, step.ptr,
		    (int)reason.len, reason.ptr);
	event.detail = gb_buf_str(&detail);
	fr_log_event(fr, &event);
	gb_buf_free(&detail);
}

void fr_rollout_apply_step(struct fr *fr, struct fr_rollout *entry)
{
	struct fl_service *service = fr_rollout_service(fr, entry);
	enum ro_step step = ro_step(entry->rollout);

	fr_rollout_log(fr, entry, EV_ROLLOUT_STEP);
	fl_set_target_version(fr->fleet, service,
			      ro_order(entry->rollout)->target_version,
			      ht_now());
	service->rollout = ro_is_final(step) ? NULL : entry->rollout;
	if (step == RO_COMPLETED)
		fl_complete_target_version(service);
	else if (step == RO_ROLLED_BACK)
		fl_bar_target_version(service);
}

static bool decides(struct fr *fr, const struct fr_rollout *entry, gb_time now)
{
	const struct ro_order *order = ro_order(entry->rollout);
	uint32_t rank = mem_rank(fr->members, MEM_ALL, fr_rollout_key(entry));
	gb_time overdue = ro_age(entry->rollout, now) - order->duration;

	if (!mem_settled(fr->members, now))
		return false;
	return !rank || (rank < DECIDERS_MAX && overdue >= rank * DECIDER_TURN);
}

static struct ro_state state_of(struct fr *fr, const struct fr_rollout *entry,
				gb_time now)
{
	const struct fl_service *service = fr_rollout_service(fr, entry);

	return (struct ro_state){
		.target_ready = fl_count_ready(fr->fleet, service, true, now),
		.current_ready = fl_count_ready(fr->fleet, service, false, now),
		.calls_current = fl_calls_off_target(service),
		.vms_live = mem_live_count(fr->members),
		.decides = decides(fr, entry, now),
	};
}

void fr_rollout_tick(struct fr *fr)
{
	gb_time now = ht_now();
	GHashTableIter iter;
	gpointer value;
	int64_t running = 0;

	g_hash_table_iter_init(&iter, fr->rollouts.by_service);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct fr_rollout *entry = value;
		struct ro_state state;

		if (ro_is_final(ro_step(entry->rollout)))
			continue;
		running++;
		state = state_of(fr, entry, now);
		if (ro_tick(entry->rollout, &state, now)) {
			fr_rollout_apply_step(fr, entry);
			fr_rollout_spread_step(fr, entry);
		}
		fr_rollout_send_report(fr, entry, state.calls_current);
	}
	met_set(&fr->metrics, MET_ROLLOUTS_RUNNING, running);
	fr_rollout_store_tick(fr);
}

void fr_rollout_text(struct fr *fr, struct gb_buf *out)
{
	gb_time now = ht_now();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fr->rollouts.by_service);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct fr_rollout *entry = value;
		const struct ro_order *order = ro_order(entry->rollout);
		struct gb_str step = ro_step_name(ro_step(entry->rollout));
		struct gb_str reason =
			ro_reason_name(ro_reason(entry->rollout));
		struct ro_state state = state_of(fr, entry, now);
		uint64_t requests, exposed;

		ro_counts(entry->rollout, &requests, &exposed);
		gb_buf_add(out, GB_STR("rollout service="));
		ev_quote(order->service, out);
		gb_buf_add(out, GB_STR(" version="));
		ev_quote(order->target_version, out);
		gb_buf_addf(
			out,
			" step=%.*s reason=%.*s age_ms=%lld duration_ms=%lld "
			"requests=%llu exposed=%llu target_ready=%u "
			"current_ready=%u current_calls=%u decides=%d held=%d\n",
			(int)step.len, step.ptr, (int)reason.len, reason.ptr,
			(long long)(ro_age(entry->rollout, now) / GB_MSEC),
			(long long)(order->duration / GB_MSEC),
			(unsigned long long)requests,
			(unsigned long long)exposed, state.target_ready,
			state.current_ready, state.calls_current, state.decides,
			ro_is_held(entry->rollout));
	}
}
