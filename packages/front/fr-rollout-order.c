#include "front/fr-rollout.h"

static uint64_t order_id(const struct fr_rollout_order *order)
{
	uint64_t id = gb_hash(order->service, order->created_revision);

	return gb_hash(order->target_version, id);
}

/*
 * The age of the order: by the status, if another VM has written when it came;
 * otherwise it is as old as the time in which it may have gone unseen.
 */
static gb_time order_age(const struct fr_rollout_order *order)
{
	gb_time age =
		g_get_real_time() * GB_USEC - order->ordered_at_ms * GB_MSEC;

	if (!order->has_status || !order->ordered_at_ms)
		return 0;
	return CLAMP(age, 0, order->duration);
}

static struct fr_rollout *add_entry(struct fr *fr,
				    const struct fr_rollout_order *stored)
{
	struct fr_rollout *entry = g_new0(struct fr_rollout, 1);
	const struct ro_order order = {
		.id = order_id(stored),
		.service = stored->service,
		.target_version = stored->target_version,
		.duration = stored->duration,
	};
	struct ev_event event = { .code = EV_ROLLOUT_ORDERED,
				  .num1 = stored->duration,
				  .num2 = order_age(stored) };
	struct gb_buf detail = GB_BUF_INIT;

	entry->rollout = ro_new(&order, ht_now(), event.num2);
	entry->to_store_since = GB_NEVER;
	g_hash_table_insert(fr->rollouts.by_service,
			    (gpointer)&ro_order(entry->rollout)->service,
			    entry);
	gb_buf_add(&detail, GB_STR("service="));
	ev_quote(order.service, &detail);
	gb_buf_add(&detail, GB_STR(" version="));
	ev_quote(order.target_version, &detail);
	event.detail = gb_buf_str(&detail);
	fr_log_event(fr, &event);
	gb_buf_free(&detail);
	return entry;
}

/* Forgets an order. Its target version gets no more requests if it runs. */
static void drop_entry(struct fr *fr, struct fr_rollout *entry)
{
	struct fl_service *service = fr_rollout_service(fr, entry);

	service->rollout = NULL;
	if (!ro_is_final(ro_step(entry->rollout)))
		fl_bar_target_version(service);
	g_hash_table_remove(fr->rollouts.by_service,
			    &ro_order(entry->rollout)->service);
}

static struct fr_rollout *find_entry(struct fr *fr, struct gb_str service)
{
	return g_hash_table_lookup(fr->rollouts.by_service, &service);
}

static void log_bad_status(struct fr *fr, const struct fr_rollout_order *order)
{
	struct gb_buf detail = GB_BUF_INIT;
	struct ev_event event = { .code = EV_ROLLOUT_STATUS_BAD,
				  .num1 = order->revision };

	gb_buf_add(&detail, GB_STR("service="));
	ev_quote(order->service, &detail);
	event.detail = gb_buf_str(&detail);
	fr_log_event(fr, &event);
	gb_buf_free(&detail);
}

/*
 * Tells whether an operator has written the order again after the store was
 * restored; it then has another identity.
 */
static bool is_written_again(const struct fr *fr,
			     const struct fr_rollout *entry,
			     const struct fr_rollout_order *order)
{
	return entry->era < fr->followers[FR_ROLLOUTS].state.era &&
	       gb_str_eq(ro_order(entry->rollout)->target_version,
			 order->target_version);
}

void fr_rollout_ordered(struct fr *fr, const struct fr_rollout_order *order)
{
	struct fr_rollout *entry = find_entry(fr, order->service);
	bool is_new = !entry;

	if (order->is_status_invalid)
		log_bad_status(fr, order);
	if (entry && is_written_again(fr, entry, order))
		ro_set_id(entry->rollout, order_id(order));
	if (entry && ro_order(entry->rollout)->id != order_id(order)) {
		drop_entry(fr, entry);
		is_new = true;
	}
	if (is_new)
		entry = add_entry(fr, order);
	ro_set_duration(entry->rollout, order->duration);
	entry->era = fr->followers[FR_ROLLOUTS].state.era;
	entry->revision = order->revision;
	entry->is_listed = true;
	entry->has_status = order->has_status;
	entry->stored_step = order->step;
	entry->write_at = 0;
	if ((order->has_status &&
	     ro_set_stored(entry->rollout, order->step, ht_now())) ||
	    is_new)
		fr_rollout_apply_step(fr, entry);
	fr_rollout_store_tick(fr);
}

void fr_rollout_withdrawn(struct fr *fr, struct gb_str service)
{
	struct fr_rollout *entry = find_entry(fr, service);

	if (!entry)
		return;
	fr_rollout_log(fr, entry, EV_ROLLOUT_WITHDRAWN);
	drop_entry(fr, entry);
}

void fr_rollout_list_begin(struct fr *fr)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fr->rollouts.by_service);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct fr_rollout *)value)->is_listed = false;
}

void fr_rollout_list_end(struct fr *fr)
{
	GList *entries = g_hash_table_get_values(fr->rollouts.by_service);

	for (GList *at = entries; at; at = at->next) {
		struct fr_rollout *entry = at->data;

		if (!entry->is_listed)
			fr_rollout_withdrawn(fr,
					     ro_order(entry->rollout)->service);
	}
	g_list_free(entries);
}
