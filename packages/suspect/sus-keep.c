#include "suspect/sus-keep.h"

#include <glib.h>

/* Pause between two calls, and its bounds after a failure. */
#define CALL_INTERVAL (250 * GB_MSEC)
#define PAUSE_MIN (1 * GB_SEC)
#define PAUSE_MAX (8 * GB_SEC)

/* Time since the last crash after which a record is removed. */
#define KEEP_TIME (600 * GB_SEC)

static struct sus_kept *find_kept(struct sus_keeper *keeper,
				  uint64_t fingerprint)
{
	for (size_t i = 0; i < keeper->kept_len; i++)
		if (keeper->kept[i].fingerprint == fingerprint)
			return &keeper->kept[i];
	return NULL;
}

bool sus_keep(struct sus_keeper *keeper, const struct sus_kept *kept)
{
	struct sus_kept *known = find_kept(keeper, kept->fingerprint);

	if (known && known->crashes >= kept->crashes)
		return true;
	if (!known && keeper->kept_len == SUS_KEPT_MAX)
		return false;
	if (!known)
		known = &keeper->kept[keeper->kept_len++];
	*known = *kept;
	return true;
}

enum sus_keep_step sus_keep_next(const struct sus_keeper *keeper, gb_time now,
				 struct sus_kept *kept)
{
	enum sus_keep_step step = SUS_KEEP_NONE;

	if (now < keeper->due_at)
		return SUS_KEEP_NONE;
	for (size_t i = 0; i < keeper->kept_len; i++) {
		const struct sus_kept *at = &keeper->kept[i];

		if (!at->is_stored) {
			*kept = *at;
			return SUS_KEEP_WRITE;
		}
		if (now - at->crashed_at > KEEP_TIME) {
			*kept = *at;
			step = SUS_KEEP_REMOVE;
		}
	}
	return keeper->has_read ? step : SUS_KEEP_READ;
}

static void apply_success(struct sus_keeper *keeper, enum sus_keep_step step,
			  const struct sus_kept *kept)
{
	struct sus_kept *known;

	if (step == SUS_KEEP_READ) {
		keeper->has_read = true;
		return;
	}
	known = find_kept(keeper, kept->fingerprint);
	if (!known || known->crashes != kept->crashes)
		return;
	if (step == SUS_KEEP_WRITE)
		known->is_stored = true;
	else
		*known = keeper->kept[--keeper->kept_len];
}

void sus_keep_done(struct sus_keeper *keeper, gb_time now,
		   enum sus_keep_step step, const struct sus_kept *kept,
		   bool succeeded)
{
	if (succeeded) {
		keeper->pause = 0;
		keeper->due_at = now + CALL_INTERVAL;
		apply_success(keeper, step, kept);
		return;
	}
	keeper->pause = CLAMP(keeper->pause * 2, PAUSE_MIN, PAUSE_MAX);
	keeper->due_at = now + keeper->pause;
}
