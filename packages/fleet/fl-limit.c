#include "fleet/fl-internal.h"

/* Fraction of an upstream's connections that all VMs together may open. */
#define CONNS_FRACTION 0.9

/* Fraction of a cold upstream's burst that all VMs together may use. */
#define COLD_BURST_FRACTION 0.6

/* VMs that may send to a cold upstream: those with the first ranks. */
static uint32_t cold_senders(const struct fl_fleet *fleet)
{
	uint32_t vms = MAX(fleet->membership->live_vms(fleet->ctx), 1);
	double burst = MAX(fleet->settings.cold_burst * COLD_BURST_FRACTION, 1);

	return MIN(vms, (uint32_t)burst);
}

/* Refills this VM's token bucket for a cold upstream. */
static void refill_cold_tokens(const struct fl_fleet *fleet,
			       struct fl_upstream *upstream, gb_time now)
{
	uint32_t senders = cold_senders(fleet);
	double capacity = MAX(
		fleet->settings.cold_burst * COLD_BURST_FRACTION / senders, 1);
	double rate = upstream->service->cold_rate / senders;
	double elapsed_s = (double)(now - upstream->cold_tokens_at) / GB_SEC;

	upstream->cold_tokens += rate * CLAMP(elapsed_s, 0, 1);
	upstream->cold_tokens = MIN(upstream->cold_tokens, capacity);
	upstream->cold_tokens_at = now;
}

bool fl_cold_has_token(const struct fl_fleet *fleet,
		       struct fl_upstream *upstream, gb_time now)
{
	uint64_t key = gb_hash(upstream->id, upstream->process_start);

	if (upstream->service->cold_rate <= 0)
		return true;
	if (fleet->membership->rank(fleet->ctx, key) >= cold_senders(fleet))
		return false;
	refill_cold_tokens(fleet, upstream, now);
	return upstream->cold_tokens >= 1;
}

void fl_cold_take_token(const struct fl_fleet *fleet,
			struct fl_upstream *upstream, gb_time now)
{
	if (upstream->service->cold_rate <= 0)
		return;
	refill_cold_tokens(fleet, upstream, now);
	upstream->cold_tokens -= 1;
}

uint32_t fl_conns_max(const struct fl_fleet *fleet,
		      const struct fl_upstream *upstream)
{
	uint32_t vms = MAX(fleet->membership->live_vms(fleet->ctx), 1);
	double total = upstream->service->conns_max * CONNS_FRACTION;

	if (!upstream->service->conns_max)
		return 1;
	return MAX(1, (uint32_t)(total / vms));
}
