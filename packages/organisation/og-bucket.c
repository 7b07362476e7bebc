#include "organisation/og-internal.h"

/* While a level is low, all VMs are told it in these intervals. */
#define TELL_INTERVAL (200 * GB_MSEC)

/* While a level is low, a VM that has not reported for this long is cut off. */
#define CUT_OFF_AFTER (600 * GB_MSEC)

/* A level that is low for the first time: the VMs have not reported yet. */
#define FIRST_REPORTS_TIME (300 * GB_MSEC)

/*
 * A bucket that this VM has just taken over is not capped for this time, in
 * which the VMs report what they have admitted lately.
 */
#define LEARNING_TIME (200 * GB_MSEC)

/* A bucket without reports for this long is full, or another VM keeps it. */
#define UNUSED_KEPT (60 * GB_SEC)

/* The totals that a VM has reported. */
struct vm_use {
	uint64_t vm; /* hash of its identity and the start of the totals */
	int64_t admitted;
	gb_time reported_at;
};

struct bucket {
	uint64_t org;
	double rate;
	double burst;
	double tokens;
	gb_time tokens_at;
	gb_time learning_until;
	gb_time reported_at;
	gb_time told_at;
	double waiting; /* refused requests that were told to return later */
	gb_time low_since; /* 0 while it is not low */
	gb_time parted_at; /* the last time that VMs were left their parts */
	GHashTable *vms; /* identity of a VM to struct vm_use */
};

struct og_buckets {
	struct og_settings settings;
	double reach; /* part of the VMs that this one reaches */
	GHashTable *buckets; /* organisation to struct bucket */
};

static void free_bucket(gpointer data)
{
	struct bucket *bucket = data;

	g_hash_table_destroy(bucket->vms);
	g_free(bucket);
}

struct og_buckets *og_buckets_new(const struct og_settings *settings)
{
	struct og_buckets *buckets = g_new0(struct og_buckets, 1);

	buckets->settings = *settings;
	buckets->reach = 1;
	buckets->buckets = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 NULL, free_bucket);
	return buckets;
}

void og_buckets_free(struct og_buckets *buckets)
{
	g_hash_table_destroy(buckets->buckets);
	g_free(buckets);
}

void og_buckets_set(struct og_buckets *buckets,
		    const struct og_settings *settings)
{
	buckets->settings = *settings;
}

void og_buckets_set_reach(struct og_buckets *buckets, double part)
{
	buckets->reach = CLAMP(part, 0, 1);
}

/*
 * A new bucket has what a window adds. What the VMs report to have admitted in
 * that window is taken off; the burst may have been used as well.
 */
static struct bucket *add_bucket(struct og_buckets *buckets,
				 const struct og_org *org, gb_time now)
{
	struct bucket *bucket = g_new0(struct bucket, 1);

	bucket->org = org->id;
	bucket->tokens = org->rate * buckets->settings.window / GB_SEC;
	bucket->tokens_at = now;
	bucket->learning_until = now + LEARNING_TIME;
	bucket->vms = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					    g_free);
	g_hash_table_insert(buckets->buckets, &bucket->org, bucket);
	return bucket;
}

static uint32_t count_reporting(const struct bucket *bucket, gb_time now)
{
	uint32_t count = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, bucket->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct vm_use *use = value;

		count += now - use->reported_at <= CUT_OFF_AFTER;
	}
	return count;
}

/*
 * Sets the limit. The parts of the VMs that are out of reach, or do not report
 * while the level is low, are left to them.
 */
static void set_limit(const struct og_buckets *buckets, struct bucket *bucket,
		      const struct og_org *org, uint32_t vms, gb_time now)
{
	double part = buckets->reach;

	if (bucket->low_since && now - bucket->low_since > FIRST_REPORTS_TIME)
		part = MIN((double)count_reporting(bucket, now) / MAX(vms, 1),
			   part);
	if (part < 1)
		bucket->parted_at = now;
	bucket->rate = org->rate * part;
	bucket->burst = org->burst * part;
}

static void refill(struct bucket *bucket, gb_time now)
{
	double refilled = bucket->rate * (now - bucket->tokens_at) / GB_SEC;

	bucket->tokens += refilled;
	bucket->waiting = MAX(bucket->waiting - refilled, 0);
	if (now >= bucket->learning_until)
		bucket->tokens = MIN(bucket->tokens, bucket->burst);
	bucket->tokens_at = now;
}

/* Tells whether a VM was left its own part of the limit since its last report.
 */
static bool was_cut_off(const struct bucket *bucket, const struct vm_use *use,
			gb_time now)
{
	return now - use->reported_at > CUT_OFF_AFTER &&
	       bucket->parted_at > use->reported_at;
}

/*
 * Takes off what a VM has admitted since its last report, but no more than it
 * has admitted in the last window: it may have reported to another VM before.
 * What it admitted while it was cut off came from its own part.
 */
static void take_report(struct bucket *bucket, uint64_t vm,
			const struct og_use *use, gb_time now)
{
	uint64_t key = gb_hash_u64(vm, use->since);
	struct vm_use *last = g_hash_table_lookup(bucket->vms, &key);

	if (last) {
		if (!was_cut_off(bucket, last, now))
			bucket->tokens -= MIN(use->admitted - last->admitted,
					      (int64_t)use->recent);
		last->admitted = use->admitted;
		last->reported_at = now;
		return;
	}
	last = g_new0(struct vm_use, 1);
	*last = (struct vm_use){ .vm = key,
				 .admitted = use->admitted,
				 .reported_at = now };
	g_hash_table_insert(bucket->vms, &last->vm, last);
	bucket->tokens -= use->recent;
}

/* Takes the totals of a VM over, and refills the bucket. */
static struct bucket *take_totals(struct og_buckets *buckets,
				  const struct og_org *org, uint32_t vms,
				  uint64_t vm, const struct og_use *use,
				  gb_time now)
{
	struct bucket *bucket = g_hash_table_lookup(buckets->buckets, &org->id);

	if (!bucket)
		bucket = add_bucket(buckets, org, now);
	set_limit(buckets, bucket, org, vms, now);
	refill(bucket, now);
	take_report(bucket, vm, use, now);
	bucket->reported_at = now;
	return bucket;
}

bool og_bucket_report(struct og_buckets *buckets, const struct og_org *org,
		      uint32_t vms, uint64_t vm, const struct og_use *use,
		      gb_time now, struct og_level *level)
{
	const struct bucket *bucket =
		take_totals(buckets, org, vms, vm, use, now);

	*level = (struct og_level){ .org = org->id,
				    .is_answer = true,
				    .admitted = use->admitted,
				    .tokens = bucket->tokens };
	return now >= bucket->learning_until;
}

/* Counts a request that the VM is about to admit, before it reports it. */
static void count_granted(struct bucket *bucket, uint64_t vm,
			  const struct og_use *use)
{
	uint64_t key = gb_hash_u64(vm, use->since);
	struct vm_use *last = g_hash_table_lookup(bucket->vms, &key);

	last->admitted++;
	bucket->tokens -= 1;
}

enum og_verdict og_bucket_ask(struct og_buckets *buckets,
			      const struct og_org *org, uint32_t vms,
			      uint64_t vm, const struct og_use *use,
			      gb_time now, gb_time *wait)
{
	struct bucket *bucket = take_totals(buckets, org, vms, vm, use, now);
	double needed = 1 - og_overdraft(&buckets->settings);

	if (now < bucket->learning_until)
		return OG_ASK;
	if (bucket->tokens < needed) {
		*wait = og_time_until(needed - bucket->tokens + bucket->waiting,
				      bucket->rate);
		bucket->waiting = MIN(bucket->waiting + 1,
				      bucket->rate * OG_WAIT_MAX / GB_SEC);
		return OG_REFUSED;
	}
	count_granted(bucket, vm, use);
	return OG_ADMITTED;
}

/* Tells whether VMs that act by themselves could overdraw the bucket. */
static bool is_low(const struct og_buckets *buckets,
		   const struct bucket *bucket)
{
	return bucket->tokens_at >= bucket->learning_until &&
	       bucket->tokens < 1 - og_overdraft(&buckets->settings) *
						TELL_AFTER_FRACTION;
}

static bool should_tell(const struct og_buckets *buckets, struct bucket *bucket,
			gb_time now)
{
	if (!is_low(buckets, bucket)) {
		bucket->low_since = 0;
		return false;
	}
	if (!bucket->low_since)
		bucket->low_since = now;
	return now - bucket->told_at >= TELL_INTERVAL;
}

static void write_low_level(struct bucket *bucket, gb_time now,
			    struct og_level *level)
{
	bucket->told_at = now;
	*level = (struct og_level){ .org = bucket->org,
				    .tokens = bucket->tokens };
}

bool og_low_level(struct og_buckets *buckets, const struct og_org *org,
		  gb_time now, struct og_level *level)
{
	struct bucket *bucket = g_hash_table_lookup(buckets->buckets, &org->id);

	if (!bucket)
		return false;
	refill(bucket, now);
	if (!should_tell(buckets, bucket, now))
		return false;
	write_low_level(bucket, now, level);
	return true;
}

void og_each_low_level(struct og_buckets *buckets, gb_time now,
		       og_level_fn visit, void *ctx)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, buckets->buckets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct bucket *bucket = value;
		struct og_level level;

		refill(bucket, now);
		if (!should_tell(buckets, bucket, now))
			continue;
		write_low_level(bucket, now, &level);
		visit(ctx, &level);
	}
}

void og_buckets_purge(struct og_buckets *buckets, gb_time now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, buckets->buckets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct bucket *bucket = value;

		if (now - bucket->reported_at > UNUSED_KEPT)
			g_hash_table_iter_remove(&iter);
	}
}
