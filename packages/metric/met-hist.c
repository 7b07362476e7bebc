#include "metric/met.h"

#include <math.h>

/* Each power of two is divided into this many buckets. */
#define SUB_BITS 3
#define SUB_COUNT (1 << SUB_BITS)

static unsigned int bucket_of(gb_time value);

/*
 * Returns the bucket of a value. Upper bounds are inclusive, as in the
 * Prometheus text format, so the value minus one selects the bucket.
 */
static unsigned int bucket_of(gb_time value)
{
	uint64_t v = value > 0 ? value - 1 : 0;
	unsigned int exp, index;

	if (v < SUB_COUNT)
		return v;
	exp = 63 - __builtin_clzll(v);
	index = (exp - SUB_BITS + 1) * SUB_COUNT +
		((v >> (exp - SUB_BITS)) & (SUB_COUNT - 1));
	return index < MET_BUCKETS ? index : MET_BUCKETS - 1;
}

gb_time met_hist_upper_bound(unsigned int bucket)
{
	unsigned int exp = bucket / SUB_COUNT;

	if (!exp)
		return bucket + 1;
	return (gb_time)(SUB_COUNT + bucket % SUB_COUNT + 1) << (exp - 1);
}

void met_hist_add(struct met_hist *hist, gb_time value)
{
	hist->count++;
	hist->sum += value > 0 ? value : 0;
	hist->bucket[bucket_of(value)]++;
}

gb_time met_hist_quantile(const struct met_hist *hist, double quantile)
{
	uint64_t rank, cumulative = 0;

	if (!hist->count)
		return 0;
	quantile = quantile > 0 ? fmin(quantile, 1) : 0;
	rank = ceil(quantile * hist->count);
	if (!rank)
		rank = 1;
	for (unsigned int i = 0; i < MET_BUCKETS; i++) {
		cumulative += hist->bucket[i];
		if (cumulative >= rank)
			return met_hist_upper_bound(i);
	}
	return met_hist_upper_bound(MET_BUCKETS - 1);
}

void met_hist_decay(struct met_hist *hist)
{
	hist->count = 0;
	hist->sum /= 2;
	for (unsigned int i = 0; i < MET_BUCKETS; i++) {
		hist->bucket[i] /= 2;
		hist->count += hist->bucket[i];
	}
}
