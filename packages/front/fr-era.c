#include "front/fr-internal.h"

static void log_restored(struct fr *fr, int64_t before)
{
	const struct ev_event event = { .code = EV_STORE_RESTORED,
					.num1 = fr->store_era,
					.num2 = before };

	fr_log_event(fr, &event);
}

/* Lists a kind anew whose last answer was of an earlier era. */
static void relist(struct fr_follower *follower, int64_t era)
{
	if (follower->state.era >= era)
		return;
	dir_take_era(&follower->state, ht_now(), era);
	fr_cancel_step(follower);
	fr_schedule_step(follower, ht_now());
}

/*
 * What other kinds have read may be gone as well, and their watches may wait
 * for long. Records of this VM that the store had may be gone, too.
 */
void fr_era_seen(struct fr_follower *follower)
{
	struct fr *fr = follower->fr;
	int64_t before = fr->store_era;

	if (follower->state.era <= before)
		return;
	fr->store_era = follower->state.era;
	if (!before)
		return;
	log_restored(fr, before);
	fr->audit = (struct dir_audit){ 0 };
	sus_keep_restored(&fr->keep.keeper);
	for (int kind = 0; kind < fr->kinds; kind++)
		if (&fr->followers[kind] != follower)
			relist(&fr->followers[kind], fr->store_era);
}
