#include "quorum/quo.h"

#include <string.h>

static int find_granter(const struct quo_holder *holder, uint32_t vm);

void quo_holder_init(struct quo_holder *holder, uint64_t incarnation,
		     gb_time lease, gb_time drift_margin)
{
	memset(holder, 0, sizeof(*holder));
	holder->lease = lease;
	holder->drift_margin = drift_margin;
	holder->incarnation = incarnation;
	/*
	 * A reply does not name the incarnation of its receiver. A first
	 * sequence number hashed from the incarnation keeps a late reply to an
	 * earlier process of the VM from matching a heartbeat of this one.
	 */
	holder->seq = gb_hash_u64(incarnation, 0) >> 8;
}

static int find_granter(const struct quo_holder *holder, uint32_t vm)
{
	for (uint32_t i = 0; i < holder->granters_len; i++)
		if (holder->granter_vm[i] == vm)
			return i;
	return -1;
}

void quo_holder_set_granters(struct quo_holder *holder, const struct cfg *cfg)
{
	struct quo_holder old = *holder;

	holder->granters_len = cfg_granter_count(cfg);
	memset(holder->grant_expires_at, 0, sizeof(holder->grant_expires_at));
	for (uint32_t i = 0; i < holder->granters_len; i++) {
		uint32_t vm = cfg_vm(cfg, i)->id;
		int old_index = find_granter(&old, vm);

		holder->granter_vm[i] = vm;
		if (old_index >= 0)
			memcpy(holder->grant_expires_at[i],
			       old.grant_expires_at[old_index],
			       sizeof(holder->grant_expires_at[i]));
	}
}

void quo_holder_request_unit(struct quo_holder *holder, uint32_t unit)
{
	if (msg_units_has(&holder->requested, unit))
		return;
	msg_units_set(&holder->requested, unit);
	holder->requested_since_seq[unit] = holder->seq + 1;
}

void quo_holder_release_unit(struct quo_holder *holder, uint32_t unit)
{
	holder->requested.word[unit / 64] &= ~(1ULL << (unit % 64));
	for (uint32_t i = 0; i < CFG_GRANTERS_MAX; i++)
		holder->grant_expires_at[i][unit] = 0;
}

void quo_holder_make_heartbeat(struct quo_holder *holder, gb_time now,
			       const struct cfg *cfg, bool eligible,
			       bool leaving, struct msg_heartbeat *heartbeat)
{
	holder->seq++;
	holder->sent_at[holder->seq % QUO_SENT_MAX] = now;
	*heartbeat = (struct msg_heartbeat){
		.incarnation = holder->incarnation,
		.epoch = cfg->epoch,
		.config_version = cfg->version,
		.seq = holder->seq,
		.eligible = eligible,
		.leaving = leaving,
		.requested = holder->requested,
	};
}

void quo_holder_handle_reply(struct quo_holder *holder, const struct cfg *cfg,
			     uint32_t vm,
			     const struct msg_heartbeat_reply *reply)
{
	int index = find_granter(holder, vm);
	gb_time expires;

	if (index < 0 || reply->startup_wait || reply->epoch != cfg->epoch)
		return;
	if (reply->seq > holder->seq ||
	    holder->seq - reply->seq >= QUO_SENT_MAX)
		return;
	expires = holder->sent_at[reply->seq % QUO_SENT_MAX] + holder->lease -
		  holder->drift_margin;
	for (uint32_t unit = 0; unit < CFG_UNITS; unit++) {
		if (!msg_units_has(&reply->granted, unit) ||
		    !msg_units_has(&holder->requested, unit) ||
		    reply->seq < holder->requested_since_seq[unit])
			continue;
		if (expires > holder->grant_expires_at[index][unit])
			holder->grant_expires_at[index][unit] = expires;
	}
}

gb_time quo_holder_lease_expiry(const struct quo_holder *holder, uint32_t unit)
{
	uint32_t majority = holder->granters_len / 2 + 1;
	gb_time latest = 0;

	/* The latest time at which a majority of the grants is unexpired. */
	for (uint32_t i = 0; i < holder->granters_len; i++) {
		gb_time expires = holder->grant_expires_at[i][unit];
		uint32_t unexpired = 0;

		for (uint32_t k = 0; k < holder->granters_len; k++)
			unexpired +=
				holder->grant_expires_at[k][unit] >= expires;
		if (unexpired >= majority && expires > latest)
			latest = expires;
	}
	return latest;
}
