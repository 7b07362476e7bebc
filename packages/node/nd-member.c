#include "node/nd-internal.h"

#include <string.h>

/* Heartbeats are this much more frequent while units move between VMs. */
#define FAST_HEARTBEAT_FACTOR 20
#define FAST_HEARTBEAT_TIME (2 * GB_SEC)

static bool is_eligible(const struct node *node);
static void update_candidates(struct node *node);
static void update_owners(struct node *node);
static void update_live_vms(struct node *node, uint64_t live);
static void start_unit_drain(struct node *node, uint32_t unit);
static void release_unit(struct node *node, uint32_t unit);
static void update_units(struct node *node);
static uint32_t count_units(const struct msg_units *units);
static void report_units(struct node *node);
static void send_heartbeat(struct node *node);
static bool is_new_process(struct node *node, const struct msg *msg);
static void reset_voter_after_gap(struct node *node);
static void start_voter_when_settled(struct node *node);

/* Tells whether this VM may own units. */
static bool is_eligible(const struct node *node)
{
	const struct cfg *cfg = node->store.current;

	return cfg && node->self_index >= 0 && !node->stopping &&
	       !cfg_dc(cfg, cfg_vm(cfg, node->self_index)->dc)->excluded &&
	       !nd_leaving_includes_self(node);
}

/*
 * Updates which members are live and may own units. A granter gets heartbeats
 * of all members; other VMs use the last reply of a granter.
 */
static void update_candidates(struct node *node)
{
	uint64_t live = node->reply_live_vms;
	uint64_t candidates = node->reply_candidates;

	if (node->is_granter) {
		live = quo_members_live(&node->members, node->clock.now);
		candidates =
			quo_members_candidates(&node->members, node->clock.now);
	}
	if (node->self_index >= 0) {
		live |= 1ULL << node->self_index;
		candidates &= ~(1ULL << node->self_index);
		if (is_eligible(node))
			candidates |= 1ULL << node->self_index;
	}
	if (live != node->live_vms)
		update_live_vms(node, live);
	if (candidates == node->candidates)
		return;
	node->candidates = candidates;
	update_owners(node);
	nd_member_speed_up_heartbeats(node);
}

static void update_owners(struct node *node)
{
	const struct cfg *cfg = node->store.current;

	for (uint32_t i = 0; i < CFG_UNITS; i++)
		node->unit_owner[i] =
			cfg ? quo_choose_owner(cfg, node->candidates, i) : -1;
}

/*
 * Reports members that became live or dead. What a dead member ran for queries
 * is sent again.
 */
static void update_live_vms(struct node *node, uint64_t live)
{
	const struct cfg *cfg = node->store.current;
	uint64_t changed = live ^ node->live_vms;

	node->live_vms = live;
	met_set(node->metrics, MET_MEMBERS_LIVE, __builtin_popcountll(live));
	for (guint i = 0; cfg && i < cfg->vms->len; i++) {
		bool is_live = live >> i & 1;

		if (!(changed >> i & 1) || (int)i == node->self_index)
			continue;
		nd_event_emit_plain(node,
				    is_live ? EV_MEMBER_LIVE : EV_MEMBER_DEAD,
				    cfg_vm(cfg, i)->id, 0);
		if (is_live)
			nd_send_soft_state(node, cfg_vm(cfg, i)->id);
		else
			nd_query_vm_lost(node, cfg_vm(cfg, i)->id);
	}
}

/*
 * Drains a unit that another VM is to own. If there is no other VM, the unit's
 * work runs to its end.
 */
static void start_unit_drain(struct node *node, uint32_t unit)
{
	if (msg_units_has(&node->draining_units, unit))
		return;
	msg_units_set(&node->draining_units, unit);
	if (node->unit_owner[unit] >= 0)
		nd_owner_drain_unit(node, unit);
}

/* Releases a unit whose work has ended. */
static void release_unit(struct node *node, uint32_t unit)
{
	uint64_t bit = 1ULL << (unit % 64);

	quo_holder_release_unit(&node->holder, unit);
	node->draining_units.word[unit / 64] &= ~bit;
	/* A released unit is not reported as lost. */
	node->held_units.word[unit / 64] &= ~bit;
}

/*
 * Requests the units that this VM should own and releases others once their
 * work has ended. A release is sent with an immediate heartbeat.
 */
static void update_units(struct node *node)
{
	uint32_t released = 0;

	/*
	 * Without a quorum no unit is held, and a request for one would keep
	 * a granter that this VM still reaches from granting it to others.
	 */
	bool has_quorum = node->store.current && nd_has_quorum(node);

	node->units_moving = false;
	for (uint32_t i = 0; i < CFG_UNITS; i++) {
		bool should_own =
			has_quorum && node->unit_owner[i] == node->self_index;

		if (should_own) {
			quo_holder_request_unit(&node->holder, i);
			node->draining_units.word[i / 64] &=
				~(1ULL << (i % 64));
			node->units_moving |=
				quo_holder_lease_expiry(&node->holder, i) <=
				node->clock.now;
			continue;
		}
		if (!msg_units_has(&node->holder.requested, i))
			continue;
		start_unit_drain(node, i);
		if (!nd_owner_is_unit_idle(node, i)) {
			node->units_moving = true;
			continue;
		}
		release_unit(node, i);
		released++;
	}
	if (!released)
		return;
	nd_event_emit_plain(node, EV_LEASE_RELEASED, released,
			    count_units(&node->held_units));
	node->next_heartbeat_at = node->clock.now;
}

static uint32_t count_units(const struct msg_units *units)
{
	uint32_t sum = 0;

	for (uint32_t i = 0; i < MSG_UNIT_WORDS; i++)
		sum += __builtin_popcountll(units->word[i]);
	return sum;
}

/* Reports which units were gained and lost since the last report. */
static void report_units(struct node *node)
{
	struct msg_units held = { .word = { 0 } };
	uint32_t gained = 0, lost = 0, total;

	for (uint32_t i = 0; i < CFG_UNITS; i++)
		if (quo_holder_lease_expiry(&node->holder, i) > node->clock.now)
			msg_units_set(&held, i);
	for (uint32_t i = 0; i < MSG_UNIT_WORDS; i++) {
		uint64_t changed = held.word[i] ^ node->held_units.word[i];

		gained += __builtin_popcountll(changed & held.word[i]);
		lost += __builtin_popcountll(changed &
					     node->held_units.word[i]);
	}
	total = count_units(&held);
	node->held_units = held;
	met_set(node->metrics, MET_UNITS_HELD, total);
	met_add(node->metrics, MET_LEASES_GAINED, gained);
	met_add(node->metrics, MET_LEASES_LOST, lost);
	if (gained)
		nd_event_emit_plain(node, EV_LEASE_GAINED, gained, total);
	if (lost)
		nd_event_emit_plain(node, EV_LEASE_LOST, lost, total);
}

static void send_heartbeat(struct node *node)
{
	struct msg msg = { .kind = MSG_HEARTBEAT };
	/* A VM without a quorum cannot hold units. */
	bool eligible = is_eligible(node) && nd_has_quorum(node);

	quo_holder_make_heartbeat(&node->holder, node->clock.now,
				  node->store.current, eligible, node->stopping,
				  &msg.heartbeat);
	nd_send_granters(node, &msg);
}

/* Sends the next heartbeat at once and raises the rate for a while. */
void nd_member_speed_up_heartbeats(struct node *node)
{
	node->fast_heartbeat_until = node->clock.now + FAST_HEARTBEAT_TIME;
	node->next_heartbeat_at = MIN(node->next_heartbeat_at, node->clock.now);
}

void nd_member_tick(struct node *node)
{
	gb_time interval = node->settings.heartbeat_interval;

	update_candidates(node);
	start_voter_when_settled(node);
	if (node->units_moving || node->clock.now >= node->next_heartbeat_at)
		update_units(node);
	if (node->clock.now < node->next_heartbeat_at)
		return;
	report_units(node);
	if (node->units_moving && node->clock.now < node->fast_heartbeat_until)
		interval /= FAST_HEARTBEAT_FACTOR;
	node->next_heartbeat_at = node->clock.now + interval;
	if (node->store.current && node->self_index >= 0)
		send_heartbeat(node);
	once_voter_expire(node->voter, node->clock.wall_ms);
}

/*
 * Discards this granter's votes if it was not a granter in the epoch before,
 * since it did not see the votes of the epochs that it missed.
 */
static void reset_voter_after_gap(struct node *node)
{
	uint64_t epoch = node->store.current->epoch;

	if (!node->is_granter)
		return;
	if (epoch > node->granter_epoch + 1) {
		once_voter_free(node->voter);
		node->voter = once_voter_new(node->settings.key_retention,
					     node->settings.clock_skew);
		node->voter_started = false;
	}
	node->granter_epoch = epoch;
}

/*
 * Starts the voter when the epoch is settled. Until then attempts may still run
 * with votes of the epoch before, which this VM did not see.
 */
static void start_voter_when_settled(struct node *node)
{
	const struct cfg *cfg = node->store.current;

	if (!cfg || !node->is_granter || node->voter_started ||
	    !quo_epoch_settled(&node->members, cfg, node->clock.now,
			       node->settings.lease))
		return;
	once_voter_start(node->voter, node->clock.wall_ms);
	node->voter_started = true;
	nd_event_emit_plain(node, EV_EPOCH_ACTIVE, cfg->epoch, 0);
}

/* Applies a new configuration. */
void nd_member_apply_config(struct node *node)
{
	const struct cfg *cfg = node->store.current;

	quo_members_set_roster(&node->members, cfg);
	quo_holder_set_granters(&node->holder, cfg);
	node->self_index = cfg_find_vm(cfg, node->settings.vm);
	node->is_granter = node->self_index >= 0 &&
			   node->self_index < (int)cfg_granter_count(cfg);
	reset_voter_after_gap(node);
	quo_members_record_message(
		&node->members, node->clock.now, node->settings.vm,
		node->settings.incarnation, cfg->epoch, cfg->version);
	/* Roster indexes are not comparable between epochs. */
	if (node->reply_epoch != cfg->epoch) {
		memset(node->reply_at, 0, sizeof(node->reply_at));
		node->reply_live_vms = 0;
		node->reply_candidates = 0;
		node->reply_epoch = cfg->epoch;
	}
	node->candidates = 0;
	update_candidates(node);
	update_owners(node);
	nd_member_speed_up_heartbeats(node);
}

/* Tells whether the sender is a newer process than the last one heard. */
static bool is_new_process(struct node *node, const struct msg *msg)
{
	const struct quo_member *member =
		quo_members_find(&node->members, msg->from);

	return member && msg->heartbeat.incarnation > member->incarnation;
}

void nd_on_heartbeat(struct node *node, const struct msg *msg)
{
	const struct msg_heartbeat *heartbeat = &msg->heartbeat;
	const struct cfg *cfg = node->store.current;
	struct msg reply = { .kind = MSG_HEARTBEAT_REPLY };

	nd_config_fetch_if_newer(node, msg->from, heartbeat->config_version);
	if (!cfg)
		return;
	/* A new process must know of crashes before it is granted units. */
	if (is_new_process(node, msg))
		nd_send_soft_state(node, msg->from);
	quo_members_record_message(&node->members, node->clock.now, msg->from,
				   heartbeat->incarnation, heartbeat->epoch,
				   heartbeat->config_version);
	if (!node->is_granter)
		return;
	if (!quo_granter_handle_heartbeat(&node->granter, node->clock.now, cfg,
					  msg->from, heartbeat,
					  &reply.heartbeat_reply))
		return;
	nd_send(node, msg->from, &reply);
}

void nd_on_heartbeat_reply(struct node *node, const struct msg *msg)
{
	const struct msg_heartbeat_reply *reply = &msg->heartbeat_reply;
	const struct cfg *cfg = node->store.current;
	int index;

	nd_config_fetch_if_newer(node, msg->from, reply->config_version);
	if (!cfg)
		return;
	index = cfg_find_vm(cfg, msg->from);
	if (index < 0)
		return;
	quo_members_record_message(&node->members, node->clock.now, msg->from,
				   reply->incarnation, reply->epoch,
				   reply->config_version);
	quo_holder_handle_reply(&node->holder, cfg, msg->from, reply);
	/* A granter in its startup wait grants nothing and is not counted. */
	if (reply->epoch == cfg->epoch && !reply->startup_wait &&
	    reply->config_version <= cfg->version)
		node->reply_at[index] = node->clock.now;
	if (reply->epoch == cfg->epoch) {
		node->reply_live_vms = reply->live_vms;
		node->reply_candidates = reply->candidates;
	}
	nd_owner_update_leases(node);
	report_units(node);
}
