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

/* Returns the record of a request, a new one if there is room, or NULL. */
static struct sus_kept *find_or_add_kept(struct sus_keeper *keeper,
					 uint64_t fingerprint)
{
	struct sus_kept *known = find_kept(keeper, fingerprint);

	if (known)
		return known;
	if (keeper->kept_len == SUS_KEPT_MAX)
		return NULL;
	known = &keeper->kept[keeper->kept_len++];
	*known = (struct sus_kept){ .fingerprint = fingerprint };
	return known;
}

bool sus_keep(struct sus_keeper *keeper, const struct sus_kept *kept)
{
	struct sus_kept *known = find_or_add_kept(keeper, kept->fingerprint);

	if (!known)
		return false;
	if (known->is_cleared || known->crashes < kept->crashes)
		*known = *kept;
	return true;
}

void sus_keep_told(struct sus_keeper *keeper, const struct sus_kept *told)
{
	struct sus_kept *known = find_kept(keeper, told->fingerprint);

	if (!known || told->crashed_at <= known->crashed_at)
		return;
	known->crashes = told->crashes;
	known->crashed_at = told->crashed_at;
	known->is_cleared = false;
}

void sus_keep_cleared(struct sus_keeper *keeper, uint64_t fingerprint,
		      bool is_responsible)
{
	struct sus_kept *known = is_responsible
					 ? find_or_add_kept(keeper, fingerprint)
					 : find_kept(keeper, fingerprint);

	if (!known)
		return;
	known->is_cleared = true;
	/* A write that is still due is not needed any more. */
	known->is_stored = true;
}

void sus_keep_restored(struct sus_keeper *keeper)
{
	keeper->has_read = false;
	for (size_t i = 0; i < keeper->kept_len; i++)
		if (!keeper->kept[i].is_cleared)
			keeper->kept[i].is_stored = false;
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
		if (at->is_cleared || now - at->crashed_at > KEEP_TIME) {
			*kept = *at;
			step = SUS_KEEP_REMOVE;
		}
	}
	return keeper->has_read ? step : SUS_KEEP_READ;
}

/* Tells whether nothing was recorded of the request while a call ran. */
static bool is_unchanged(const struct sus_kept *known,
			 const struct sus_kept *kept)
{
	return known->crashes == kept->crashes &&
	       known->crashed_at == kept->crashed_at &&
	       known->is_cleared == kept->is_cleared;
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
	if (!known || !is_unchanged(known, kept))
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
