#ifndef QUO_H
#define QUO_H

/*
 * NAME
 *	quo - leases on units, granted by a majority of the cell's granters
 *
 * DESCRIPTION
 *	Each member sends a heartbeat to each granter, itself included. It
 *	names the units that the member wants. The granter answers with the
 *	units that it grants for the lease time from receipt. A unit is held
 *	while grants of a majority of the granters are unexpired, counted by
 *	the holder from its own send time less a margin for clock drift.
 *
 *	Safety rests on these rules. A granter grants a unit to one holder
 *	process (VM and incarnation) at a time until the grant expires or that
 *	process sends a newer heartbeat without the unit. A granter that starts
 *	grants nothing for one lease time. It grants nothing to a heartbeat of
 *	another epoch or of an older configuration version than its own. It
 *	ignores heartbeats that are not newer than the last one of the same
 *	incarnation. A holder counts no reply to a heartbeat that was sent
 *	before it last began to want the unit.
 *
 *	A sender that is leaving keeps the units it holds while it lists them,
 *	so that it can finish its work, and is granted no others. Of one VM
 *	only the newest process may act as granter: the process before it must
 *	be dead when the silence of the new one begins.
 */

#include "base/gb.h"
#include "config/cfg.h"
#include "msg/msg.h"

struct quo_grant {
	uint32_t vm;
	uint64_t incarnation;
	uint64_t seq; /* of the heartbeat last granted */
	gb_time expires; /* 0 when free */
};

struct quo_member {
	uint32_t vm;
	uint64_t incarnation;
	uint64_t seq;
	uint64_t epoch; /* last epoch heard of from it */
	uint64_t config_version;
	gb_time heard; /* 0 for never */
	gb_time adopted; /* when it was first heard at its epoch */
	bool ready;
	bool leaving;
	bool out; /* its data centre is taken out */
};

/* The table of members, in roster order. */
struct quo_members {
	struct quo_member member[CFG_VMS_MAX];
	uint32_t len;
	gb_time suspect_after;
};

void quo_members_init(struct quo_members *members, gb_time suspect_after);

/* Follows a change of the roster; members that stay keep their state. */
void quo_members_follow(struct quo_members *members, const struct cfg *cfg);
struct quo_member *quo_members_find(struct quo_members *members, uint32_t vm);

/* Tells whether a message comes from a process before the newest one. */
bool quo_members_outdated(const struct quo_members *members,
			  const struct quo_member *member, gb_time now,
			  uint64_t incarnation);

/* Notes a heartbeat or a reply of a member. */
void quo_members_heard(struct quo_members *members, gb_time now, uint32_t vm,
		       uint64_t incarnation, uint64_t epoch,
		       uint64_t config_version);

/* Bitmaps by roster index: heard lately, and those that may own units. */
uint64_t quo_members_live(const struct quo_members *members, gb_time now);
uint64_t quo_members_ready(const struct quo_members *members, gb_time now);

/*
 * Tells whether the epoch before that of cfg can form no majority any more
 * and all its grants have expired, so that a next epoch may be proposed: a
 * majority of cfg's granters adopted its epoch one lease ago or earlier.
 */
bool quo_epoch_settled(const struct quo_members *members, const struct cfg *cfg,
		       gb_time now, gb_time lease);

/* Roster index of the owner of a unit among the candidates; -1 if none. */
int quo_owner(const struct cfg *cfg, uint64_t candidates, uint32_t unit);

struct quo_granter {
	gb_time lease;
	gb_time silent_until;
	uint64_t incarnation;
	struct quo_grant grant[CFG_UNITS];
	struct quo_members *members; /* borrowed */
};

void quo_granter_init(struct quo_granter *granter, struct quo_members *members,
		      uint64_t incarnation, gb_time now, gb_time lease);

/* Answers a heartbeat; returns false when it is to be ignored. */
bool quo_granter_heartbeat(struct quo_granter *granter, gb_time now,
			   const struct cfg *cfg, uint32_t vm,
			   const struct msg_heartbeat *heartbeat,
			   struct msg_heartbeat_reply *reply);

#define QUO_SENT_MAX 32 /* heartbeats whose send time is remembered */

struct quo_holder {
	gb_time lease;
	gb_time drift;
	uint64_t incarnation;
	uint64_t seq;
	struct msg_units wanted;
	uint64_t wanted_since[CFG_UNITS]; /* sequence number */
	gb_time sent[QUO_SENT_MAX]; /* by sequence modulo QUO_SENT_MAX */
	uint32_t granter_vm[CFG_GRANTERS_MAX];
	gb_time expires[CFG_GRANTERS_MAX][CFG_UNITS];
	uint32_t granters;
};

void quo_holder_init(struct quo_holder *holder, uint64_t incarnation,
		     gb_time lease, gb_time drift);
void quo_holder_follow(struct quo_holder *holder, const struct cfg *cfg);
void quo_holder_want(struct quo_holder *holder, uint32_t unit);

/* Gives a unit up; the caller has finished all work under it. */
void quo_holder_release(struct quo_holder *holder, uint32_t unit);

/* Makes the next heartbeat and notes its send time. */
void quo_holder_heartbeat(struct quo_holder *holder, gb_time now,
			  const struct cfg *cfg, bool ready, bool leaving,
			  struct msg_heartbeat *heartbeat);
void quo_holder_reply(struct quo_holder *holder, const struct cfg *cfg,
		      uint32_t vm, const struct msg_heartbeat_reply *reply);

/* Time until which the unit may be used; 0 if it is not held. */
gb_time quo_holder_expires(const struct quo_holder *holder, uint32_t unit);

#endif
