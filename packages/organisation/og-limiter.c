#include "organisation/og-internal.h"

/* A report without an answer for this long: the bucket VM is out of reach. */
#define CONTACT_LOST_AFTER (250 * GB_MSEC)

/* A low level counts for this long; it is told again before that. */
#define LEVEL_KEPT (600 * GB_MSEC)

/* Least time between two reports of an organisation. */
#define REPORT_INTERVAL (50 * GB_MSEC)

/* The same while a level is low, also if there is nothing new to report. */
#define REPORT_LOW_INTERVAL (150 * GB_MSEC)

/* Part of the burst that a VM may admit until its report is answered. */
#define UNANSWERED_FRACTION 0.5

/* Without an answer, a report is repeated after this time. */
#define REPORT_AGAIN_AFTER (100 * GB_MSEC)

/* An organisation without requests for this long is forgotten. */
#define UNUSED_KEPT (60 * GB_SEC)

/* Seconds of the count of recent requests; at least those of a window. */
#define SLOTS_MAX 16

/* What this VM has admitted of one organisation. */
struct use {
	uint64_t org;
	gb_time since;
	int64_t admitted; /* less those refunded */
	uint64_t refused;
	gb_time used_at;
	uint32_t slot[SLOTS_MAX]; /* admitted, by second */
	int64_t slot_second[SLOTS_MAX];
	/* Reports. */
	int64_t answered; /* totals that the bucket VM has answered */
	bool is_changed; /* since the last report */
	gb_time reported_at;
	gb_time unanswered_since; /* 0: all reports are answered */
	/* The last level. */
	double tokens;
	gb_time tokens_at; /* 0: none was told */
	/* Equal part of the limit, for the time without contact. */
	double own_tokens;
	gb_time own_tokens_at;
	bool uses_own; /* the contact was lost at the last request */
};

struct og_limiter {
	struct og_settings settings;
	GHashTable *uses; /* organisation to struct use */
};

struct og_limiter *og_limiter_new(const struct og_settings *settings)
{
	struct og_limiter *limiter = g_new0(struct og_limiter, 1);

	limiter->settings = *settings;
	limiter->uses = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      g_free);
	return limiter;
}

void og_limiter_free(struct og_limiter *limiter)
{
	g_hash_table_destroy(limiter->uses);
	g_free(limiter);
}

void og_limiter_set(struct og_limiter *limiter,
		    const struct og_settings *settings)
{
	limiter->settings = *settings;
}

static struct use *get_use(struct og_limiter *limiter, uint64_t org,
			   gb_time now)
{
	struct use *use = g_hash_table_lookup(limiter->uses, &org);

	if (use)
		return use;
	use = g_new0(struct use, 1);
	use->org = org;
	use->since = now;
	g_hash_table_insert(limiter->uses, &use->org, use);
	return use;
}

static bool is_contact_lost(const struct use *use, gb_time now)
{
	return use->unanswered_since &&
	       now - use->unanswered_since > CONTACT_LOST_AFTER;
}

/*
 * Refills this VM's equal part of the limit. The burst may have been used when
 * the contact is lost, so all VMs together begin with the overdraft; later a
 * part may be saved up for one request.
 */
static void refill_own(const struct og_limiter *limiter, struct use *use,
		       const struct og_org *org, uint32_t vms, gb_time now)
{
	double burst = org->burst / MAX(vms, 1);
	double rate = org->rate / MAX(vms, 1);

	if (!use->uses_own)
		use->own_tokens =
			og_overdraft(&limiter->settings) / MAX(vms, 1);
	else
		use->own_tokens += rate * (now - use->own_tokens_at) / GB_SEC;
	use->own_tokens = MIN(use->own_tokens, MAX(burst, 1));
	use->own_tokens_at = now;
}

static void count_admitted(struct use *use, gb_time now);

/* Takes this VM's own part, since the bucket VM is out of reach. */
static bool take_own(struct og_limiter *limiter, struct use *use,
		     const struct og_org *org, uint32_t vms, gb_time now,
		     gb_time *wait)
{
	refill_own(limiter, use, org, vms, now);
	use->uses_own = true;
	*wait = og_time_until(1 - use->own_tokens, org->rate / MAX(vms, 1));
	if (use->own_tokens < 1)
		return false;
	use->own_tokens -= 1;
	return true;
}

/* Admits while the reports are answered, or a few until the first one is. */
static bool has_room_unanswered(const struct og_limiter *limiter,
				const struct use *use, const struct og_org *org)
{
	return use->admitted - use->answered <
	       MAX(org->burst * UNANSWERED_FRACTION,
		   1 + og_overdraft(&limiter->settings));
}

static bool is_level_low(const struct og_limiter *limiter,
			 const struct use *use, gb_time now)
{
	return use->tokens_at && now - use->tokens_at <= LEVEL_KEPT &&
	       use->tokens < og_low_level_max(&limiter->settings);
}

static enum og_verdict decide(struct og_limiter *limiter, struct use *use,
			      const struct og_org *org, uint32_t vms,
			      gb_time now, gb_time *wait)
{
	if (is_contact_lost(use, now))
		return take_own(limiter, use, org, vms, now, wait) ? OG_ADMITTED
								   : OG_REFUSED;
	use->uses_own = false;
	if (is_level_low(limiter, use, now))
		return OG_ASK;
	*wait = OG_WAIT_MIN;
	return has_room_unanswered(limiter, use, org) ? OG_ADMITTED
						      : OG_REFUSED;
}

static void count_admitted(struct use *use, gb_time now)
{
	int64_t second = now / GB_SEC;
	uint32_t i = second % SLOTS_MAX;

	if (use->slot_second[i] != second)
		use->slot[i] = 0;
	use->slot_second[i] = second;
	use->slot[i]++;
	use->admitted++;
}

enum og_verdict og_admit(struct og_limiter *limiter, const struct og_org *org,
			 uint32_t vms, gb_time now, gb_time *wait)
{
	enum og_verdict verdict;
	struct use *use;

	if (org->rate <= 0)
		return OG_ADMITTED;
	use = get_use(limiter, org->id, now);
	use->used_at = now;
	verdict = decide(limiter, use, org, vms, now, wait);
	if (verdict == OG_ASK)
		return verdict;
	use->is_changed = true;
	if (verdict == OG_ADMITTED)
		count_admitted(use, now);
	else
		use->refused++;
	return verdict;
}

/* The bucket VM has counted the request already. */
void og_asked(struct og_limiter *limiter, const struct og_org *org,
	      bool granted, gb_time now)
{
	struct use *use = get_use(limiter, org->id, now);

	use->unanswered_since = 0;
	if (!granted) {
		use->refused++;
		return;
	}
	count_admitted(use, now);
	use->answered++;
}

bool og_admit_unasked(struct og_limiter *limiter, const struct og_org *org,
		      uint32_t vms, gb_time now, gb_time *wait)
{
	struct use *use = get_use(limiter, org->id, now);
	bool admitted = take_own(limiter, use, org, vms, now, wait);

	if (!use->unanswered_since)
		use->unanswered_since = now - CONTACT_LOST_AFTER;
	use->is_changed = true;
	if (admitted)
		count_admitted(use, now);
	else
		use->refused++;
	return admitted;
}

void og_refund(struct og_limiter *limiter, const struct og_org *org,
	       gb_time now)
{
	struct use *use = g_hash_table_lookup(limiter->uses, &org->id);

	if (!use)
		return;
	use->admitted--;
	use->used_at = now;
	use->is_changed = true;
}

static uint32_t recent_of(const struct og_limiter *limiter,
			  const struct use *use, gb_time now)
{
	int64_t first = (now - limiter->settings.window) / GB_SEC;
	uint32_t recent = 0;

	for (uint32_t i = 0; i < SLOTS_MAX; i++)
		if (use->slot_second[i] >= first)
			recent += use->slot[i];
	return recent;
}

static bool is_report_due(const struct use *use, gb_time now)
{
	if (use->unanswered_since &&
	    now - use->reported_at >= REPORT_AGAIN_AFTER)
		return true;
	return use->is_changed && now - use->reported_at >= REPORT_INTERVAL;
}

static struct og_use totals_of(const struct og_limiter *limiter,
			       const struct use *use, gb_time now)
{
	return (struct og_use){ .org = use->org,
				.since = use->since,
				.admitted = use->admitted,
				.recent = recent_of(limiter, use, now) };
}

void og_totals(const struct og_limiter *limiter, const struct og_org *org,
	       gb_time now, struct og_use *totals)
{
	const struct use *use = g_hash_table_lookup(limiter->uses, &org->id);

	*totals = (struct og_use){ .org = org->id, .since = now };
	if (use)
		*totals = totals_of(limiter, use, now);
}

static void write_report(const struct og_limiter *limiter, struct use *use,
			 gb_time now, struct og_use *report)
{
	*report = totals_of(limiter, use, now);
	use->reported_at = now;
	use->is_changed = false;
	if (!use->unanswered_since)
		use->unanswered_since = now;
}

bool og_report(struct og_limiter *limiter, const struct og_org *org,
	       gb_time now, struct og_use *report)
{
	struct use *use = g_hash_table_lookup(limiter->uses, &org->id);

	if (!use || !is_report_due(use, now))
		return false;
	write_report(limiter, use, now, report);
	return true;
}

void og_each_report(struct og_limiter *limiter, gb_time now, og_use_fn visit,
		    void *ctx)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, limiter->uses);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct use *use = value;
		struct og_use report;

		if (!is_report_due(use, now))
			continue;
		write_report(limiter, use, now, &report);
		visit(ctx, &report);
	}
}

void og_receive_level(struct og_limiter *limiter, const struct og_level *level,
		      gb_time now)
{
	struct use *use = get_use(limiter, level->org, now);

	if (!use->used_at)
		use->used_at = now;
	if (level->is_answer) {
		use->answered = level->admitted;
		use->unanswered_since = 0;
	} else if (now - use->reported_at >= REPORT_LOW_INTERVAL) {
		use->is_changed = true;
	}
	use->tokens = level->tokens;
	use->tokens_at = now;
}

void og_limiter_purge(struct og_limiter *limiter, gb_time now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, limiter->uses);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct use *use = value;

		if (!use->is_changed && now - use->used_at > UNUSED_KEPT)
			g_hash_table_iter_remove(&iter);
	}
}

void og_each_view(const struct og_limiter *limiter, gb_time now,
		  og_view_fn visit, void *ctx)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, limiter->uses);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct use *use = value;

		visit(ctx, &(struct og_view){
				   .org = use->org,
				   .admitted = use->admitted,
				   .refused = use->refused,
				   .tokens = use->tokens,
				   .is_low = is_level_low(limiter, use, now),
				   .contact_lost = is_contact_lost(use, now),
			   });
	}
}
