#ifndef QUO_H
#define QUO_H

/*
 * NAME
 *	quo - leases on units, granted by a majority of the cell's granters
 *
 * DESCRIPTION
 *	Each member sends a heartbeat to each granter, itself included. The
 *	heartbeat lists the units that the member requests. The granter replies
 *	with the units that it grants for the lease time from receipt. A member
 *	holds a unit while grants of a majority of the granters are unexpired.
 *	The holder counts each grant from the send time of its own heartbeat,
 *	less a margin for clock drift.
 *
 *	Mutual exclusion depends on these rules. A granter grants a unit to one
 *	holder process (VM and incarnation) at a time, until the grant expires
 *	or that process sends a newer heartbeat without the unit. A granter
 *	that has just started grants nothing for one lease time. A granter
 *	grants nothing to a heartbeat of another epoch or of an older
 *	configuration version than its own. It ignores heartbeats that are not
 *	newer than the last one of the same incarnation. A holder ignores
 *	replies to heartbeats that it sent before its last request for the
 *	unit.
 *
 *	A sender that is leaving keeps the units it holds while it lists them,
 *	so that it can finish its work, and is granted no others. Only the
 *	newest process of a VM may act as granter: its predecessor must be dead
 *	when the startup wait of the new process begins.
 */

#include "base/gb.h"
#include "config/cfg.h"
#include "msg/msg.h"

struct quo_grant {
	uint32_t vm;
	uint64_t incarnation;
	uint64_t heartbeat_seq; /* of the last heartbeat that got the grant */
	gb_time expires_at; /* 0 when the unit is free */
};

struct quo_member {
	uint32_t vm;
	uint64_t incarnation;
	uint64_t heartbeat_seq; /* of its last heartbeat */
	uint64_t epoch; /* highest epoch that it reported */
	uint64_t config_version;
	gb_time last_heard; /* 0 if it never sent a message */
	gb_time epoch_adopted_at; /* time of its first message of this epoch */
	bool eligible; /* reports that it may own units */
	bool leaving; /* shutting down */
	bool dc_excluded; /* an operator excluded its data centre */
};

/* State of each member, in roster order. */
struct quo_members {
	struct quo_member member[CFG_VMS_MAX];
	uint32_t len;
	gb_time suspect_after; /* without a message, a member is not live */
};

void quo_members_init(struct quo_members *members, gb_time suspect_after);

/* Applies the roster of cfg; members that stay keep their state. */
void quo_members_set_roster(struct quo_members *members, const struct cfg *cfg);
struct quo_member *quo_members_find(struct quo_members *members, uint32_t vm);

/* Tells whether a message of this incarnation comes from a replaced process. */
bool quo_members_is_outdated(const struct quo_members *members,
			     const struct quo_member *member, gb_time now,
			     uint64_t incarnation);

/* Records a heartbeat or a reply of a member. */
void quo_members_record_message(struct quo_members *members, gb_time now,
				uint32_t vm, uint64_t incarnation,
				uint64_t epoch, uint64_t config_version);

/*
 * Bitmaps by roster index: the members heard within the suspicion time, and
 * those of them that may own units.
 */
uint64_t quo_members_live(const struct quo_members *members, gb_time now);
uint64_t quo_members_candidates(const struct quo_members *members, gb_time now);

/*
 * Tells whether the epoch of cfg is settled: a majority of its granters adopted
 * it at least one lease ago. The previous epoch can then form no majority any
 * more and its grants have expired, so that the next epoch may be proposed.
 */
bool quo_epoch_settled(const struct quo_members *members, const struct cfg *cfg,
		       gb_time now, gb_time lease);

/*
 * Chooses the owner of a unit among the candidates by rendezvous hashing.
 * Returns its roster index, or -1 without candidates.
 */
int quo_choose_owner(const struct cfg *cfg, uint64_t candidates, uint32_t unit);

struct quo_granter {
	gb_time lease;
	gb_time startup_wait_until; /* grants nothing before */
	uint64_t incarnation;
	struct quo_grant grant[CFG_UNITS]; /* by unit */
	struct quo_members *members; /* borrowed */
};

void quo_granter_init(struct quo_granter *granter, struct quo_members *members,
		      uint64_t incarnation, gb_time now, gb_time lease);

/* Fills the reply to a heartbeat; returns false if it must be ignored. */
bool quo_granter_handle_heartbeat(struct quo_granter *granter, gb_time now,
				  const struct cfg *cfg, uint32_t vm,
				  const struct msg_heartbeat *heartbeat,
				  struct msg_heartbeat_reply *reply);

#define QUO_SENT_MAX 32 /* heartbeats whose send time is kept */

struct quo_holder {
	gb_time lease;
	gb_time drift_margin; /* subtracted from each lease */
	uint64_t incarnation;
	uint64_t seq; /* of the last heartbeat sent */
	struct msg_units requested; /* units listed in heartbeats */
	uint64_t requested_since_seq[CFG_UNITS]; /* first heartbeat with the
						    unit */
	gb_time sent_at[QUO_SENT_MAX]; /* by sequence modulo QUO_SENT_MAX */
	uint32_t granter_vm[CFG_GRANTERS_MAX];
	gb_time grant_expires_at[CFG_GRANTERS_MAX][CFG_UNITS];
	uint32_t granters_len;
};

void quo_holder_init(struct quo_holder *holder, uint64_t incarnation,
		     gb_time lease, gb_time drift_margin);

/* Applies the granters of cfg; the grants of those that stay are kept. */
void quo_holder_set_granters(struct quo_holder *holder, const struct cfg *cfg);

/* Lists the unit in all heartbeats from the next one on. */
void quo_holder_request_unit(struct quo_holder *holder, uint32_t unit);

/* Gives up a unit; the caller must have finished all work on its shards. */
void quo_holder_release_unit(struct quo_holder *holder, uint32_t unit);

/* Fills the next heartbeat and records its send time. */
void quo_holder_make_heartbeat(struct quo_holder *holder, gb_time now,
			       const struct cfg *cfg, bool eligible,
			       bool leaving, struct msg_heartbeat *heartbeat);

/* Records the grants that a reply carries. */
void quo_holder_handle_reply(struct quo_holder *holder, const struct cfg *cfg,
			     uint32_t vm,
			     const struct msg_heartbeat_reply *reply);

/* Returns when the lease on the unit expires; 0 if it is not held. */
gb_time quo_holder_lease_expiry(const struct quo_holder *holder, uint32_t unit);

#endif
