#include "front/fr-organisation.h"

static void log_renewal(const struct fr_follower *follower)
{
	const struct ev_event event = {
		.code = EV_WATCH_RENEWED,
		.num1 = follower->state.revision,
		.num2 = ht_now() - follower->requested_at,
		.detail = follower->fr->platform->kind_names[follower->kind],
	};

	fr_log_event(follower->fr, &event);
}

/*
 * A connection may fall silent without a reset. A watch that waits for changes
 * then looks like one to which nothing has changed, so it is ended and sent
 * again over another connection, to be answered at once.
 */
static void renew_watch(struct fr_follower *follower)
{
	log_renewal(follower);
	fr_cancel_step(follower);
	dir_doubt_source(&follower->state);
	fr_schedule_step(follower, ht_now());
}

/* Tells whether a watch waits at the store, for at least that time in all. */
static bool waits_for_store(const struct fr_follower *follower,
			    gb_time min_wait)
{
	return follower->call_running && !follower->state.from_peer &&
	       follower->state.step == DIR_WATCH &&
	       follower->state.watch_wait >= min_wait;
}

/*
 * Renews the watches that wait at the store for at least that time. Connections
 * that were idle meanwhile may be silent as well.
 */
static void renew_watches(struct fr *fr, gb_time min_wait)
{
	for (int kind = 0; kind < fr->kinds; kind++)
		if (waits_for_store(&fr->followers[kind], min_wait))
			renew_watch(&fr->followers[kind]);
	ht_target_close_idle(fr->store_target);
}

bool fr_silence_handle_timeout(struct fr_follower *follower)
{
	if (follower->state.step != DIR_WATCH || !follower->state.watch_wait)
		return false;
	if (!follower->state.from_peer) {
		renew_watches(follower->fr, GB_MSEC);
		return true;
	}
	fr_record_source_result(follower, false, false);
	renew_watch(follower);
	return true;
}

bool fr_silence_handle_cut(struct fr_follower *follower)
{
	if (!dir_watch_cut(&follower->state, ht_now()))
		return false;
	log_renewal(follower);
	gb_buf_free(&follower->call.body);
	fr_schedule_step(follower, follower->state.due_at);
	return true;
}

void fr_silence_source_chosen(const struct fr_follower *follower)
{
	if (follower->kind == fr_liveness_kind(follower->fr) &&
	    follower->state.from_peer && follower->fr->store_target)
		renew_watches(follower->fr, FR_WATCH_WAIT_QUIET);
}

/* Renews the watches that have not returned the missing changes. */
static void on_changes_missing(uv_timer_t *timer)
{
	struct fr *fr = timer->data;

	for (int kind = 0; kind < fr->kinds; kind++)
		if (fr->followers[kind].state.revision < fr->audit.newest &&
		    waits_for_store(&fr->followers[kind], GB_MSEC))
			renew_watch(&fr->followers[kind]);
	dir_audit_restart(&fr->audit, 0);
}

static void arm_audit_timer(struct fr *fr)
{
	gb_time due = dir_audit_due(&fr->audit, fr->timing.arrival_time);
	gb_time left = due - ht_now();

	if (due == GB_NEVER)
		uv_timer_stop(&fr->audit_timer);
	else
		uv_timer_start(&fr->audit_timer, on_changes_missing,
			       left > 0 ? (left + GB_MSEC - 1) / GB_MSEC : 0,
			       0);
}

void fr_silence_listed(struct fr_follower *follower)
{
	struct fr *fr = follower->fr;

	dir_audit_restart(&fr->audit, follower->state.revision);
	arm_audit_timer(fr);
}

void fr_silence_watched(struct fr_follower *follower,
			const struct fr_page *page)
{
	struct fr *fr = follower->fr;

	dir_audit_watched(&fr->audit, ht_now(), follower->state.revision,
			  page->revision, page->objects_len);
	arm_audit_timer(fr);
}

void fr_silence_init(struct fr *fr)
{
	uv_timer_init(fr->loop, &fr->audit_timer);
	fr->audit_timer.data = fr;
}
