#include "front/fr-rollout.h"

/* A call without an answer for this time has failed. */
#define CALL_TIMEOUT (1 * GB_SEC)

/* Time until a write that failed, or came too late, is repeated. */
#define RETRY_AFTER (1 * GB_SEC)

/*
 * The VM with the first rank for the service writes. Those after it write if
 * the store has not got the status after this time each.
 */
#define WRITER_TURN (1500 * GB_MSEC)
#define WRITERS_MAX 4

static const struct ht_call_ops call_ops;

static struct fr *vm_of(struct ht_call *call)
{
	return (struct fr *)((char *)call - offsetof(struct fr, rollouts.call));
}

/* The roll-out that the running call is about; NULL if the order has changed.
 */
static struct fr_rollout *find_written(struct fr *fr)
{
	struct fr_rollout *entry = g_hash_table_lookup(
		fr->rollouts.by_service, &fr->rollouts.written_service);

	if (!entry ||
	    ro_order(entry->rollout)->id != fr->rollouts.written_order)
		return NULL;
	return entry;
}

static void log_write(struct fr *fr, const struct fr_rollout *entry,
		      enum ev_code code)
{
	struct gb_str step = ro_step_name(fr->rollouts.written_step);
	struct gb_buf detail = GB_BUF_INIT;
	struct ev_event event = { .code = code, .num1 = entry->revision };

	if (code == EV_ROLLOUT_STORE_FAILED)
		event.num2 = fr->rollouts.http_status;
	gb_buf_add(&detail, GB_STR("service="));
	ev_quote(fr->rollouts.written_service, &detail);
	gb_buf_addf(&detail, " step=%.*s", (int)step.len, step.ptr);
	event.detail = gb_buf_str(&detail);
	fr_log_event(fr, &event);
	gb_buf_free(&detail);
}

/* The store has the step now, unless another VM's write came first. */
static void take_result(struct fr *fr, struct fr_rollout *entry, bool written)
{
	entry->write_at = ht_now() + RETRY_AFTER;
	log_write(fr, entry,
		  written ? EV_ROLLOUT_STORED : EV_ROLLOUT_STORE_FAILED);
	if (!written)
		return;
	entry->has_status = true;
	entry->stored_step = fr->rollouts.written_step;
	if (ro_set_stored(entry->rollout, entry->stored_step, ht_now()))
		fr_rollout_apply_step(fr, entry);
}

static void finish_call(struct fr *fr, bool answered)
{
	int status = answered ? fr->rollouts.http_status : 0;
	struct fr_rollout *entry = find_written(fr);

	fr->rollouts.call_running = false;
	gb_buf_free(&fr->rollouts.call.body);
	if (entry)
		take_result(fr, entry, status >= 200 && status < 300);
	gb_str_free(&fr->rollouts.written_service);
}

static bool on_encode(struct ht_call *call, struct gb_buf *out)
{
	struct fr *fr = vm_of(call);
	struct fr_rollout *entry = find_written(fr);
	gb_time now = g_get_real_time() * GB_USEC;
	struct fr_rollout_status status;

	if (!entry)
		return false;
	status = (struct fr_rollout_status){
		.service = fr->rollouts.written_service,
		.target_version = ro_order(entry->rollout)->target_version,
		.revision = entry->revision,
		.step = fr->rollouts.written_step,
		.ordered_at_ms =
			(now - ro_age(entry->rollout, ht_now())) / GB_MSEC,
	};
	met_add(&fr->metrics, MET_STORE_WRITES, 1);
	fr->platform->write_rollout_status(&status, out);
	return true;
}

static enum ht_verdict on_head(struct ht_call *call,
			       const struct ht_response *response)
{
	vm_of(call)->rollouts.http_status = response->status;
	return HT_ACCEPT;
}

static void on_done(struct ht_call *call, enum ht_outcome outcome)
{
	finish_call(vm_of(call), outcome == HT_ANSWERED);
}

static const struct ht_call_ops call_ops = {
	.encode = on_encode,
	.head = on_head,
	.done = on_done,
};

/* Tells whether the store lacks a step, and it is this VM's turn to write. */
static bool should_write(struct fr *fr, struct fr_rollout *entry, gb_time now)
{
	uint32_t rank = mem_rank(fr->members, MEM_ALL, fr_rollout_key(entry));

	if (entry->has_status &&
	    (ro_is_final(entry->stored_step) ||
	     entry->stored_step == ro_step_to_store(entry->rollout))) {
		entry->to_store_since = GB_NEVER;
		return false;
	}
	if (entry->to_store_since == GB_NEVER)
		entry->to_store_since = now;
	return mem_settled(fr->members, now) && now >= entry->write_at &&
	       rank < WRITERS_MAX &&
	       now - entry->to_store_since >= rank * WRITER_TURN;
}

static void start_write(struct fr *fr, const struct fr_rollout *entry)
{
	const struct ro_order *order = ro_order(entry->rollout);
	struct ht_target *store = fr_store_target(fr);

	if (!store)
		return;
	fr->rollouts.call_running = true;
	fr->rollouts.http_status = 0;
	fr->rollouts.started_at = ht_now();
	fr->rollouts.written_service = gb_str_dup(order->service);
	fr->rollouts.written_order = order->id;
	fr->rollouts.written_step = ro_step_to_store(entry->rollout);
	ht_call_start(&fr->rollouts.call, store, &call_ops);
}

void fr_rollout_store_tick(struct fr *fr)
{
	gb_time now = ht_now();
	GHashTableIter iter;
	gpointer value;

	if (fr->rollouts.call_running &&
	    now - fr->rollouts.started_at > CALL_TIMEOUT) {
		ht_call_cancel(&fr->rollouts.call);
		finish_call(fr, false);
	}
	g_hash_table_iter_init(&iter, fr->rollouts.by_service);
	while (!fr->rollouts.call_running &&
	       g_hash_table_iter_next(&iter, NULL, &value))
		if (should_write(fr, value, now))
			start_write(fr, value);
}
