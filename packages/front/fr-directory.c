#include "front/fr-organisation.h"

/*
 * A follower that has been failing for longer may have missed changes that are
 * already in force.
 */
#define STALE_AFTER (1 * GB_SEC)

/* A healthy store answers sooner. */
#define HEALTHY_STORE_LATENCY (100 * GB_MSEC)

/*
 * Objects that a list does not name are removed only after its last page was
 * read; a page that cannot be decoded removes none.
 */
static void begin_list(struct fr_follower *follower)
{
	if (follower->state.cursor.len)
		return;
	mir_list_begin(follower->mirror);
	if (follower->kind == FR_UPSTREAMS)
		fl_list_begin(follower->fr->fleet);
	if (follower->kind == FR_EXCLUSIONS)
		fl_exclusions_begin(follower->fr->fleet);
	if (follower->kind == FR_ROLLOUTS)
		fr_rollout_list_begin(follower->fr);
}

static void end_list(struct fr_follower *follower, const struct fr_page *page)
{
	const struct ev_event event = {
		.code = EV_DIRECTORY_LISTED,
		.num1 = page->revision,
		.num2 = page->objects_len,
		.detail = follower->fr->platform->kind_names[follower->kind]
	};

	if (page->more)
		return;
	if (follower->kind == FR_UPSTREAMS)
		fl_list_end(follower->fr->fleet, ht_now(),
			    dir_unseen_time(&follower->state, ht_now()));
	if (follower->kind == FR_EXCLUSIONS)
		fl_exclusions_end(follower->fr->fleet);
	/* Orders that a copy lacks are written again by the operator. */
	if (follower->kind == FR_ROLLOUTS && !follower->state.restored)
		fr_rollout_list_end(follower->fr);
	fr_log_event(follower->fr, &event);
}

/* The age of the routes is that of the proof, which holds for the keys. */
static void take_source_age(struct fr_follower *follower,
			    const struct fr_page *page)
{
	if (follower->kind != FR_ROUTES && page->peer_age > 0)
		dir_set_source_age(&follower->state, page->peer_age);
}

static int apply_list(struct fr_follower *follower)
{
	struct fr_page page = { .min_revision = follower->state.revision };

	begin_list(follower);
	if (follower->fr->platform->read_list(
		    follower->kind, gb_buf_str(&follower->call.body),
		    &fr_object_ops, follower->fr, &page) ||
	    !dir_list_advances(&follower->state, page.more, page.last_name)) {
		gb_str_free(&page.last_name);
		return -1;
	}
	fr_proof_answered(follower, &page);
	take_source_age(follower, &page);
	end_list(follower, &page);
	dir_list_done(&follower->state, ht_now(), page.revision, page.more,
		      page.last_name);
	if (!page.more) {
		mir_list_end(follower->mirror, follower->state.revision);
		fr_silence_listed(follower);
	}
	gb_str_free(&page.last_name);
	return 0;
}

static int apply_changes(struct fr_follower *follower)
{
	struct fr_page page = { 0 };
	gb_time now = ht_now();

	if (follower->fr->platform->read_watch(
		    follower->kind, gb_buf_str(&follower->call.body),
		    &fr_object_ops, follower->fr, &page)) {
		/* The next list shows the changes that could not be decoded. */
		dir_history_lost(&follower->state, now);
		return -1;
	}
	fr_proof_answered(follower, &page);
	take_source_age(follower, &page);
	fr_silence_watched(follower, &page);
	dir_watch_done(&follower->state, now, page.revision, page.objects_len);
	mir_commit_changes(follower->mirror, follower->state.revision);
	return 0;
}

/*
 * Applies the response of the source; returns -1 if its body cannot be decoded.
 */
static int apply_response(struct fr_follower *follower)
{
	if (follower->state.step == DIR_LIST)
		return apply_list(follower);
	return apply_changes(follower);
}

static void log_directory_lost(struct fr_follower *follower)
{
	const struct ev_event event = {
		.code = EV_DIRECTORY_LOST,
		.num1 = !follower->state.from_peer,
		.num2 = ht_now() - follower->requested_at,
		.detail = follower->fr->platform->kind_names[follower->kind],
	};

	if (follower->state.failures == 1)
		fr_log_event(follower->fr, &event);
}

static void log_directory_back(struct fr_follower *follower, gb_time since,
			       uint32_t failures)
{
	const struct ev_event event = {
		.code = EV_DIRECTORY_BACK,
		.num1 = failures,
		.num2 = ht_now() - since,
		.detail = follower->fr->platform->kind_names[follower->kind],
	};

	if (failures)
		fr_log_event(follower->fr, &event);
}

static void handle_failure(struct fr_follower *follower)
{
	dir_step_failed(&follower->state, ht_now());
	log_directory_lost(follower);
	fr_mirror_notify(follower);
}

/*
 * Called when the store has answered: repeats calls that it accepted during its
 * outage and never answered. Followers make their attempts with a long timeout
 * at different times, so one of them soon notices that the store is back.
 */
static void retry_store_calls(struct fr *fr)
{
	gb_time now = ht_now();

	for (int kind = 0; kind < fr->kinds; kind++) {
		struct fr_follower *follower = &fr->followers[kind];

		if (follower->state.synced || !follower->call_running ||
		    follower->state.from_peer ||
		    now - follower->requested_at < HEALTHY_STORE_LATENCY)
			continue;
		fr_cancel_step(follower);
		fr_schedule_step(follower, now);
	}
}

/*
 * Once the liveness kind has found a source again, the other kinds try the same
 * one, without waiting for their next attempt.
 */
static void handle_recovery(const struct fr_follower *live)
{
	if (live->kind != fr_liveness_kind(live->fr) || !live->state.synced)
		return;
	for (int kind = 0; kind < live->fr->kinds; kind++) {
		struct fr_follower *follower = &live->fr->followers[kind];

		if (!follower->state.failures)
			continue;
		fr_cancel_step(follower);
		follower->hinted_peer = live->peer;
		fr_schedule_step(follower, ht_now());
	}
}

static void log_bad_era(struct fr_follower *follower)
{
	const struct ev_event event = {
		.code = EV_STORE_ERA_BAD,
		.num1 = !follower->state.from_peer,
		.detail = follower->fr->platform->kind_names[follower->kind],
	};

	if (!follower->state.failures)
		fr_log_event(follower->fr, &event);
}

/* Checks the era of an answer that may change what is known. */
static enum dir_era_verdict check_era(struct fr_follower *follower,
				      bool answered)
{
	if (!answered ||
	    (follower->http_status != 200 && follower->http_status != 410))
		return DIR_ERA_CURRENT;
	if (follower->is_era_bad) {
		log_bad_era(follower);
		return DIR_ERA_PAST;
	}
	return dir_take_era(&follower->state, ht_now(), follower->answer_era);
}

/* Handles the end of a step and schedules the next one. */
static void finish_step(struct fr_follower *follower, bool answered)
{
	gb_time since = follower->state.failing_since;
	uint32_t failures = follower->state.failures;
	enum dir_era_verdict era = check_era(follower, answered);
	bool is_usable = answered && era == DIR_ERA_CURRENT;
	bool is_history_lost = era == DIR_ERA_CHANGED ||
			       (is_usable && follower->http_status == 410);
	bool is_applied = is_usable && follower->http_status == 200 &&
			  !apply_response(follower);

	fr_record_source_result(follower, answered,
				is_applied || is_history_lost);
	if (is_applied) {
		log_directory_back(follower, since, failures);
		if (!follower->state.from_peer && !fr_is_synced(follower->fr))
			retry_store_calls(follower->fr);
		fr_mirror_notify(follower);
	} else if (is_history_lost) {
		log_directory_back(follower, since, failures);
		dir_history_lost(&follower->state, ht_now());
	} else {
		handle_failure(follower);
	}
	if (failures && !follower->state.failures)
		handle_recovery(follower);
	fr_era_seen(follower);
	gb_buf_free(&follower->call.body);
	mem_set_synced(follower->fr->members, fr_is_synced(follower->fr));
	fr_schedule_step(follower, follower->state.due_at);
}

static bool on_encode(struct ht_call *call, struct gb_buf *out)
{
	struct fr_follower *follower =
		(struct fr_follower *)((char *)call -
				       offsetof(struct fr_follower, call));
	const struct fr_platform *platform = follower->fr->platform;

	if (follower->state.step == DIR_LIST) {
		met_add(&follower->fr->metrics, MET_STORE_READS, 1);
		platform->write_list(follower->kind, follower->state.cursor,
				     dir_allows_stale(&follower->state), out);
	} else {
		met_add(&follower->fr->metrics, MET_STORE_WATCHES, 1);
		platform->write_watch(follower->kind, follower->state.revision,
				      follower->state.watch_wait, out);
	}
	return true;
}

static enum ht_verdict on_head(struct ht_call *call,
			       const struct ht_response *response)
{
	struct fr_follower *follower =
		(struct fr_follower *)((char *)call -
				       offsetof(struct fr_follower, call));

	follower->http_status = response->status;
	follower->is_era_bad = follower->fr->platform->read_era(
				       response, &follower->answer_era) < 0;
	return HT_ACCEPT;
}

static void on_done(struct ht_call *call, enum ht_outcome outcome)
{
	struct fr_follower *follower =
		(struct fr_follower *)((char *)call -
				       offsetof(struct fr_follower, call));

	follower->call_running = false;
	if (outcome == HT_LOST && fr_silence_handle_cut(follower))
		return;
	finish_step(follower, outcome == HT_ANSWERED);
}

static const struct ht_call_ops call_ops = {
	.encode = on_encode,
	.head = on_head,
	.done = on_done,
};

/* The next step is due, or the running call has timed out. */
static void on_timer(uv_timer_t *timer)
{
	struct fr_follower *follower = timer->data;
	struct ht_target *source;

	if (follower->call_running) {
		if (fr_silence_handle_timeout(follower))
			return;
		fr_cancel_step(follower);
		finish_step(follower, false);
		return;
	}
	follower->call_running = true;
	follower->requested_at = ht_now();
	follower->requested_at_boot = fr_boot_now();
	source = fr_choose_source(follower, ht_now());
	fr_silence_source_chosen(follower);
	fr_schedule_step(follower,
			 ht_now() + dir_step_timeout(&follower->state));
	ht_call_start(&follower->call, source, &call_ops);
}

/*
 * Replaces a call to an unresponsive store by one to a VM that has the objects.
 */
static void switch_to_member(struct fr_follower *follower, struct fr_peer *peer)
{
	if (follower->state.synced || !peer)
		return;
	/*
	 * The peer may have failed before, when it did not have the objects
	 * yet.
	 */
	peer->avoid_until = 0;
	follower->hinted_peer = peer;
	if (follower->call_running && follower->state.from_peer)
		return;
	fr_cancel_step(follower);
	fr_schedule_step(follower, ht_now());
}

void fr_directory_try_member(struct fr *fr, struct gb_str member)
{
	if (fr_is_synced(fr) || !fr->settings.control_address.len)
		return;
	for (int kind = 0; kind < fr->kinds; kind++)
		switch_to_member(&fr->followers[kind], fr_get_peer(fr, member));
}

int fr_directory_start(struct fr *fr)
{
	struct sockaddr_storage addr;

	if (ht_parse_address(fr->settings.store_address, &addr))
		return UV_EINVAL;
	/* A changed setting takes effect when the process starts again. */
	fr->kinds = fr->settings.exposure.share > 0 ? FR_KINDS : FR_ROLLOUTS;
	fr_update_timing(fr);
	fr_silence_init(fr);
	fr->peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (int kind = 0; kind < fr->kinds; kind++) {
		struct fr_follower *follower = &fr->followers[kind];

		follower->fr = fr;
		follower->kind = kind;
		dir_init(&follower->state, &fr->timing,
			 kind % DIR_TIMEOUT_PHASES);
		follower->mirror = mir_new();
		g_queue_init(&follower->long_polls);
		uv_timer_init(fr->loop, &follower->timer);
		follower->timer.data = follower;
		follower->on_timer = on_timer;
		fr_schedule_step(follower, ht_now());
	}
	return 0;
}

bool fr_is_synced(const struct fr *fr)
{
	for (int kind = 0; kind < fr->kinds; kind++)
		if (!fr->followers[kind].state.synced)
			return false;
	return fr->config.table != NULL;
}

bool fr_routes_may_be_stale(const struct fr *fr)
{
	gb_time since = fr->followers[FR_ROUTES].state.failing_since;

	return since && ht_now() - since > STALE_AFTER;
}
