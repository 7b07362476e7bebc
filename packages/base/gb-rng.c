#include "base/gb.h"

#include <math.h>
#include <xxhash.h>

uint64_t gb_rng_next(struct gb_rng *rng)
{
	uint64_t z = rng->state += 0x9e3779b97f4a7c15ULL;

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

/* Returns a number in [0, bound); 0 for a bound of 0. */
uint64_t gb_rng_below(struct gb_rng *rng, uint64_t bound)
{
	return bound ? gb_rng_next(rng) % bound : 0;
}

/* Returns a number in [0, 1). */
double gb_rng_unit(struct gb_rng *rng)
{
	return (double)(gb_rng_next(rng) >> 11) * 0x1.0p-53;
}

/* Returns an exponentially distributed number. */
double gb_rng_exponential(struct gb_rng *rng, double mean)
{
	return -mean * log(1.0 - gb_rng_unit(rng));
}

uint64_t gb_hash(struct gb_str s, uint64_t seed)
{
	return XXH64(s.ptr ? s.ptr : "", s.len, seed);
}

uint64_t gb_hash_u64(uint64_t a, uint64_t b)
{
	uint64_t pair[2] = { a, b };

	return XXH64(pair, sizeof(pair), 0);
}

unsigned int gb_str_key_hash(const void *key)
{
	return gb_hash(*(const struct gb_str *)key, 0);
}

int gb_str_key_equal(const void *a, const void *b)
{
	return gb_str_eq(*(const struct gb_str *)a, *(const struct gb_str *)b);
}
