#include "shard/shd-internal.h"

void shd_emit_event(struct shd_shard *shard, enum ev_code code, uint64_t query,
		    const struct shd_replica *replica, int64_t a, int64_t b)
{
	shard->ops->emit_event(shard->ctx, shard, code, query,
			       replica ? (int)replica->index : -1, a, b);
}

/* Sets the current time, which never goes back, and notes a lease expiry. */
void shd_set_now(struct shd_shard *shard, gb_time now)
{
	shard->now = MAX(shard->now, now);
	if (shard->lease_expires && !shd_lease_held(shard))
		shard->lease_lapsed = true;
}

/* Tells whether any upstream is open: not drained, its data centre in use. */
bool shd_has_open_replica(const struct shd_shard *shard)
{
	for (guint i = 0; i < shard->replicas->len; i++) {
		const struct shd_replica *replica = shard->replicas->pdata[i];

		if (!replica->up.disabled)
			return true;
	}
	return false;
}

bool shd_lease_held(const struct shd_shard *shard)
{
	return shard->now < shard->lease_expires;
}

/* The set of replicas that take new work now, with or without a free slot. */
uint64_t shd_usable_replicas(const struct shd_shard *shard)
{
	uint64_t usable = 0;

	for (guint i = 0; i < shard->replicas->len; i++) {
		const struct shd_replica *replica = shard->replicas->pdata[i];

		if (up_limit(&replica->up, shard->now))
			usable |= replica->bit;
	}
	return usable;
}

/* Gives up the reservation of a replica for a suspect. */
void shd_unreserve_replica(struct shd_shard *shard)
{
	if (!shard->isolation_replica)
		return;
	shard->isolation_replica->up.isolated = false;
	shard->isolation_replica = NULL;
	shard->isolation_entry = NULL;
}
