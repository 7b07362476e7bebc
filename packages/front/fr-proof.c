#include "front/fr-organisation.h"

#include <time.h>

/* Kept free before the bound, for a clock that runs at another rate. */
#define REVOKE_MARGIN (200 * GB_MSEC)

/*
 * Parts of the bound for a watch at the store, and for one at another VM, whose
 * answer is as old as its own proof. The rest is left for a call that fails.
 */
#define WAIT_DIVISOR 2
#define RELAYED_WAIT_DIVISOR 4

gb_time fr_boot_now(void)
{
	struct timespec now;

	clock_gettime(CLOCK_BOOTTIME, &now);
	return now.tv_sec * GB_SEC + now.tv_nsec / 1000;
}

/* Keys are kept in force by the answers about the routes. */
enum fr_object_kind fr_liveness_kind(const struct fr *fr)
{
	return fr->settings.revoke_time ? FR_ROUTES : FR_UPSTREAMS;
}

void fr_proof_answered(struct fr_follower *follower, const struct fr_page *page)
{
	bool is_watch = follower->state.step == DIR_WATCH;
	const struct dir_proof_answer answer = {
		.sent_at = follower->requested_at_boot,
		.received_at = fr_boot_now(),
		.wait = is_watch ? follower->state.watch_wait : 0,
		.has_changes = is_watch && page->objects_len,
		.from_peer = follower->state.from_peer,
		.peer_age = page->peer_age,
	};

	follower->had_changes = answer.has_changes;
	if (follower->kind == FR_ROUTES)
		dir_proof_take(&follower->fr->routes_proof, &answer);
}

/*
 * After an answer with changes the proof may be as old as that call, so the
 * next one is answered at once. The age adds up over the VM that is followed.
 */
gb_time fr_proof_wait(const struct fr_follower *follower, gb_time wait)
{
	gb_time revoke_time = follower->fr->settings.revoke_time;

	if (!revoke_time || follower->kind != FR_ROUTES)
		return wait;
	if (follower->had_changes)
		return 0;
	if (follower->peer)
		return MIN(wait, revoke_time / RELAYED_WAIT_DIVISOR);
	return MIN(wait, revoke_time / WAIT_DIVISOR);
}

gb_time fr_proof_age(const struct fr *fr)
{
	gb_time age = dir_proof_age(&fr->routes_proof, fr_boot_now());

	return age == GB_NEVER ? -1 : age;
}

bool fr_keys_are_fresh(const struct fr *fr)
{
	gb_time age = fr_proof_age(fr);

	if (!fr->settings.revoke_time)
		return true;
	return age >= 0 && age < fr->settings.revoke_time - REVOKE_MARGIN;
}

/* Logs when requests with keys begin or cease to be served. */
void fr_proof_tick(struct fr *fr)
{
	bool fresh = fr_keys_are_fresh(fr);
	const struct ev_event event = { .code = fresh ? EV_KEYS_FRESH
						      : EV_KEYS_STALE,
					.num1 = fr_proof_age(fr) };

	if (!fr->settings.revoke_time || fresh == fr->keys_were_fresh)
		return;
	fr->keys_were_fresh = fresh;
	fr_log_event(fr, &event);
}
