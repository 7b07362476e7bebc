#include "shard/shd-internal.h"

void shd_emit(struct shd_shard *shard, enum ev_code code, uint64_t query,
	      const struct shd_replica *replica, int64_t a, int64_t b)
{
	shard->ops->event(shard->ctx, shard, code, query,
			  replica ? (int)replica->index : -1, a, b);
}

/* Takes over the time of an input and notes an expiry of the lease. */
void shd_set_now(struct shd_shard *shard, gb_time now)
{
	shard->now = MAX(shard->now, now);
	if (shard->lease && !shd_lease_held(shard))
		shard->lease_lapsed = true;
}

/* Tells whether any upstream may receive new work at all. */
bool shd_any_open(const struct shd_shard *shard)
{
	for (guint i = 0; i < shard->replicas->len; i++) {
		const struct shd_replica *replica = shard->replicas->pdata[i];

		if (!replica->up.closed)
			return true;
	}
	return false;
}

bool shd_lease_held(const struct shd_shard *shard)
{
	return shard->now < shard->lease;
}

/* The replicas that take new work now, whether or not they have room. */
uint64_t shd_usable(const struct shd_shard *shard)
{
	uint64_t usable = 0;

	for (guint i = 0; i < shard->replicas->len; i++) {
		const struct shd_replica *replica = shard->replicas->pdata[i];

		if (up_limit(&replica->up, shard->now))
			usable |= replica->bit;
	}
	return usable;
}

void shd_unreserve(struct shd_shard *shard)
{
	if (!shard->alone)
		return;
	shard->alone->up.exclusive = false;
	shard->alone = NULL;
	shard->alone_entry = NULL;
}
