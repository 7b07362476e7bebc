#include "fleet/fl-internal.h"

/* Part of the upstream's connections that all VMs together open. */
#define CONNS_SHARE 0.9

/* Part of a cold upstream's burst that is used. */
#define COLD_SHARE 0.6

/* Number of VMs that may send to a cold upstream, those of the first ranks. */
static uint32_t cold_holders(const struct fl_fleet *fleet)
{
	uint32_t vms = MAX(fleet->share->vms(fleet->ctx), 1);
	double burst = MAX(fleet->settings.cold_burst * COLD_SHARE, 1);

	return MIN(vms, (uint32_t)burst);
}

/* Refills the tokens of this VM's part of the rate. */
static void refill(const struct fl_fleet *fleet, struct fl_upstream *upstream,
		   gb_time now)
{
	uint32_t holders = cold_holders(fleet);
	double most = MAX(fleet->settings.cold_burst * COLD_SHARE / holders, 1);
	double rate = upstream->service->cold_rate / holders;
	double passed = (double)(now - upstream->cold_at) / GB_SEC;

	upstream->cold_tokens += rate * CLAMP(passed, 0, 1);
	upstream->cold_tokens = MIN(upstream->cold_tokens, most);
	upstream->cold_at = now;
}

bool fl_cold_room(const struct fl_fleet *fleet, struct fl_upstream *upstream,
		  gb_time now)
{
	uint64_t key = gb_hash(upstream->id, upstream->born);

	if (upstream->service->cold_rate <= 0)
		return true;
	if (fleet->share->rank(fleet->ctx, key) >= cold_holders(fleet))
		return false;
	refill(fleet, upstream, now);
	return upstream->cold_tokens >= 1;
}

void fl_cold_take(const struct fl_fleet *fleet, struct fl_upstream *upstream,
		  gb_time now)
{
	if (upstream->service->cold_rate <= 0)
		return;
	refill(fleet, upstream, now);
	upstream->cold_tokens -= 1;
}

uint32_t fl_conns(const struct fl_fleet *fleet,
		  const struct fl_upstream *upstream)
{
	uint32_t vms = MAX(fleet->share->vms(fleet->ctx), 1);
	double all = upstream->service->conns_max * CONNS_SHARE;

	if (!upstream->service->conns_max)
		return 1;
	return MAX(1, (uint32_t)(all / vms));
}
