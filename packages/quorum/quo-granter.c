#include "quorum/quo.h"

#include <string.h>

static bool is_holder(const struct quo_grant *grant, uint32_t vm,
		      uint64_t incarnation);
static bool is_eligible(const struct cfg *cfg, const struct quo_member *member,
			const struct msg_heartbeat *heartbeat);
static void free_unlisted(struct quo_granter *granter, uint32_t vm,
			  const struct msg_heartbeat *heartbeat);
static void grant_listed(struct quo_granter *granter, gb_time now, uint32_t vm,
			 const struct msg_heartbeat *heartbeat,
			 struct msg_units *granted);

void quo_granter_init(struct quo_granter *granter, struct quo_members *members,
		      uint64_t incarnation, gb_time now, gb_time lease)
{
	memset(granter, 0, sizeof(*granter));
	granter->lease = lease;
	granter->incarnation = incarnation;
	granter->members = members;
	/* Grants by this VM's previous process may last until then. */
	granter->startup_wait_until = now + lease;
}

/* Tells whether the process got the last grant, even if it has expired. */
static bool is_holder(const struct quo_grant *grant, uint32_t vm,
		      uint64_t incarnation)
{
	return grant->expires_at && grant->vm == vm &&
	       grant->incarnation == incarnation;
}

/* Tells whether units may be granted to the sender of the heartbeat. */
static bool is_eligible(const struct cfg *cfg, const struct quo_member *member,
			const struct msg_heartbeat *heartbeat)
{
	return heartbeat->epoch == cfg->epoch &&
	       heartbeat->config_version >= cfg->version &&
	       !member->dc_excluded &&
	       (heartbeat->eligible || heartbeat->leaving);
}

/* Frees the units granted to the sender that it does not list any more. */
static void free_unlisted(struct quo_granter *granter, uint32_t vm,
			  const struct msg_heartbeat *heartbeat)
{
	for (uint32_t unit = 0; unit < CFG_UNITS; unit++) {
		struct quo_grant *grant = &granter->grant[unit];

		if (is_holder(grant, vm, heartbeat->incarnation) &&
		    heartbeat->seq > grant->heartbeat_seq &&
		    !msg_units_has(&heartbeat->requested, unit))
			*grant = (struct quo_grant){ 0 };
	}
}

/*
 * Grants the listed units that are free and renews those that the sender holds.
 * A leaving sender gets renewals only.
 */
static void grant_listed(struct quo_granter *granter, gb_time now, uint32_t vm,
			 const struct msg_heartbeat *heartbeat,
			 struct msg_units *granted)
{
	for (uint32_t unit = 0; unit < CFG_UNITS; unit++) {
		struct quo_grant *grant = &granter->grant[unit];
		bool unexpired = now < grant->expires_at;
		bool own = unexpired &&
			   is_holder(grant, vm, heartbeat->incarnation);

		if (!msg_units_has(&heartbeat->requested, unit) ||
		    (unexpired && !own) || (heartbeat->leaving && !own))
			continue;
		*grant = (struct quo_grant){
			.vm = vm,
			.incarnation = heartbeat->incarnation,
			.heartbeat_seq = heartbeat->seq,
			.expires_at = now + granter->lease,
		};
		msg_units_set(granted, unit);
	}
}

bool quo_granter_handle_heartbeat(struct quo_granter *granter, gb_time now,
				  const struct cfg *cfg, uint32_t vm,
				  const struct msg_heartbeat *heartbeat,
				  struct msg_heartbeat_reply *reply)
{
	struct quo_member *member = quo_members_find(granter->members, vm);

	if (!member || cfg_find_vm(cfg, vm) < 0 ||
	    quo_members_is_outdated(granter->members, member, now,
				    heartbeat->incarnation))
		return false;
	if (heartbeat->incarnation == member->incarnation &&
	    heartbeat->seq <= member->heartbeat_seq)
		return false;
	quo_members_record_message(granter->members, now, vm,
				   heartbeat->incarnation, heartbeat->epoch,
				   heartbeat->config_version);
	member->heartbeat_seq = heartbeat->seq;
	member->eligible = heartbeat->eligible;
	member->leaving = heartbeat->leaving;
	free_unlisted(granter, vm, heartbeat);

	*reply = (struct msg_heartbeat_reply){
		.incarnation = granter->incarnation,
		.epoch = cfg->epoch,
		.config_version = cfg->version,
		.seq = heartbeat->seq,
		.startup_wait = now < granter->startup_wait_until,
		.live_vms = quo_members_live(granter->members, now),
		.candidates = quo_members_candidates(granter->members, now),
	};
	if (!reply->startup_wait && is_eligible(cfg, member, heartbeat))
		grant_listed(granter, now, vm, heartbeat, &reply->granted);
	return true;
}
