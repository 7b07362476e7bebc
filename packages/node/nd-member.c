#include "node/nd-internal.h"

#include <string.h>

/* Heartbeats go this much faster while units move between VMs. */
#define HURRY_FACTOR 20
#define HURRY_TIME (2 * GB_SEC)

static bool eligible(const struct node *node);
static void update_candidates(struct node *node);
static void update_owners(struct node *node);
static void report_members(struct node *node, uint64_t live);
static void start_drain(struct node *node, uint32_t unit);
static void release_unit(struct node *node, uint32_t unit);
static void update_units(struct node *node);
static uint32_t count_units(const struct msg_units *units);
static void report_units(struct node *node);
static void send_heartbeat(struct node *node);
static bool is_new_process(struct node *node, const struct msg *msg);
static void follow_voter(struct node *node);
static void start_voter(struct node *node);

/* Tells whether this VM may own units. */
static bool eligible(const struct node *node)
{
	const struct cfg *cfg = node->store.current;

	return cfg && node->self >= 0 && !node->stopping &&
	       !cfg_dc(cfg, cfg_vm(cfg, node->self)->dc)->out &&
	       !nd_leaving_self(node);
}

/*
 * Granters hear every member themselves; other VMs go by the last reply of a
 * granter.
 */
static void update_candidates(struct node *node)
{
	uint64_t live = node->reply_live;
	uint64_t ready = node->reply_ready;

	if (node->is_granter) {
		live = quo_members_live(&node->members, node->clock.now);
		ready = quo_members_ready(&node->members, node->clock.now);
	}
	if (node->self >= 0) {
		live |= 1ULL << node->self;
		ready &= ~(1ULL << node->self);
		if (eligible(node))
			ready |= 1ULL << node->self;
	}
	if (live != node->live)
		report_members(node, live);
	if (ready == node->candidates)
		return;
	node->candidates = ready;
	update_owners(node);
	nd_member_hurry(node);
}

static void update_owners(struct node *node)
{
	const struct cfg *cfg = node->store.current;

	for (uint32_t i = 0; i < CFG_UNITS; i++)
		node->owner[i] = cfg ? quo_owner(cfg, node->candidates, i) : -1;
}

/* Notes which members came or went; queries send again what a dead one had. */
static void report_members(struct node *node, uint64_t live)
{
	const struct cfg *cfg = node->store.current;
	uint64_t changed = live ^ node->live;

	node->live = live;
	met_set(node->metrics, MET_MEMBERS_LIVE, __builtin_popcountll(live));
	for (guint i = 0; cfg && i < cfg->vms->len; i++) {
		bool is = live >> i & 1;

		if (!(changed >> i & 1) || (int)i == node->self)
			continue;
		nd_event_plain(node, is ? EV_MEMBER_LIVE : EV_MEMBER_DEAD,
			       cfg_vm(cfg, i)->id, 0);
		if (is)
			nd_greet(node, cfg_vm(cfg, i)->id);
		else
			nd_query_vm_lost(node, cfg_vm(cfg, i)->id);
	}
}

/*
 * Ends the work of a unit that another VM is to own. Without another VM its
 * work runs to the end.
 */
static void start_drain(struct node *node, uint32_t unit)
{
	if (msg_units_has(&node->draining, unit))
		return;
	msg_units_set(&node->draining, unit);
	if (node->owner[unit] >= 0)
		nd_owner_unit_drain(node, unit);
}

/* Gives a unit back; its work has ended. */
static void release_unit(struct node *node, uint32_t unit)
{
	uint64_t bit = 1ULL << (unit % 64);

	quo_holder_release(&node->holder, unit);
	node->draining.word[unit / 64] &= ~bit;
	/* A unit that was given back is not lost. */
	node->held.word[unit / 64] &= ~bit;
}

/*
 * Wants the units that this VM should own and releases others once their work
 * is done; a release goes out with a heartbeat at once.
 */
static void update_units(struct node *node)
{
	uint32_t released = 0;

	/*
	 * Without a majority no unit is held, and wanting one would keep a
	 * granter that still hears this VM from granting it to others.
	 */
	bool heard = node->store.current && nd_quorum(node);

	node->moving = false;
	for (uint32_t i = 0; i < CFG_UNITS; i++) {
		bool mine = heard && node->owner[i] == node->self;

		if (mine) {
			quo_holder_want(&node->holder, i);
			node->draining.word[i / 64] &= ~(1ULL << (i % 64));
			node->moving |= quo_holder_expires(&node->holder, i) <=
					node->clock.now;
			continue;
		}
		if (!msg_units_has(&node->holder.wanted, i))
			continue;
		start_drain(node, i);
		if (!nd_owner_unit_idle(node, i)) {
			node->moving = true;
			continue;
		}
		release_unit(node, i);
		released++;
	}
	if (!released)
		return;
	nd_event_plain(node, EV_LEASE_RELEASED, released,
		       count_units(&node->held));
	node->heartbeat_at = node->clock.now;
}

static uint32_t count_units(const struct msg_units *units)
{
	uint32_t sum = 0;

	for (uint32_t i = 0; i < MSG_UNIT_WORDS; i++)
		sum += __builtin_popcountll(units->word[i]);
	return sum;
}

/* Reports which units were gained and lost since the last look. */
static void report_units(struct node *node)
{
	struct msg_units held = { .word = { 0 } };
	uint32_t gained = 0, lost = 0, total;

	for (uint32_t i = 0; i < CFG_UNITS; i++)
		if (quo_holder_expires(&node->holder, i) > node->clock.now)
			msg_units_set(&held, i);
	for (uint32_t i = 0; i < MSG_UNIT_WORDS; i++) {
		uint64_t changed = held.word[i] ^ node->held.word[i];

		gained += __builtin_popcountll(changed & held.word[i]);
		lost += __builtin_popcountll(changed & node->held.word[i]);
	}
	total = count_units(&held);
	node->held = held;
	met_set(node->metrics, MET_UNITS_HELD, total);
	met_add(node->metrics, MET_LEASES_GAINED, gained);
	met_add(node->metrics, MET_LEASES_LOST, lost);
	if (gained)
		nd_event_plain(node, EV_LEASE_GAINED, gained, total);
	if (lost)
		nd_event_plain(node, EV_LEASE_LOST, lost, total);
}

static void send_heartbeat(struct node *node)
{
	struct msg msg = { .kind = MSG_HEARTBEAT };
	/* A VM that hears no majority cannot hold units. */
	bool ready = eligible(node) && nd_quorum(node);

	quo_holder_heartbeat(&node->holder, node->clock.now,
			     node->store.current, ready, node->stopping,
			     &msg.heartbeat);
	nd_send_granters(node, &msg);
}

/* Lets the next heartbeats go at once and fast for a while. */
void nd_member_hurry(struct node *node)
{
	node->hurry_until = node->clock.now + HURRY_TIME;
	node->heartbeat_at = MIN(node->heartbeat_at, node->clock.now);
}

void nd_member_tick(struct node *node)
{
	gb_time interval = node->settings.heartbeat;

	update_candidates(node);
	start_voter(node);
	if (node->moving || node->clock.now >= node->heartbeat_at)
		update_units(node);
	if (node->clock.now < node->heartbeat_at)
		return;
	report_units(node);
	if (node->moving && node->clock.now < node->hurry_until)
		interval /= HURRY_FACTOR;
	node->heartbeat_at = node->clock.now + interval;
	if (node->store.current && node->self >= 0)
		send_heartbeat(node);
	once_voter_expire(node->voter, node->clock.wall_ms);
}

/*
 * A granter whose memory does not reach back to the epoch before forgets what
 * it has: votes of the epochs between were not seen here.
 */
static void follow_voter(struct node *node)
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
 * The memory of votes starts when the epoch is settled: until then attempts
 * may still run by the votes of the epoch before, which this VM did not see.
 */
static void start_voter(struct node *node)
{
	const struct cfg *cfg = node->store.current;

	if (!cfg || !node->is_granter || node->voter_started ||
	    !quo_epoch_settled(&node->members, cfg, node->clock.now,
			       node->settings.lease))
		return;
	once_voter_start(node->voter, node->clock.wall_ms);
	node->voter_started = true;
	nd_event_plain(node, EV_EPOCH_ACTIVE, cfg->epoch, 0);
}

/* Follows a new configuration. */
void nd_member_follow(struct node *node)
{
	const struct cfg *cfg = node->store.current;

	quo_members_follow(&node->members, cfg);
	quo_holder_follow(&node->holder, cfg);
	node->self = cfg_find_vm(cfg, node->settings.vm);
	node->is_granter =
		node->self >= 0 && node->self < (int)cfg_granters(cfg);
	follow_voter(node);
	quo_members_heard(&node->members, node->clock.now, node->settings.vm,
			  node->settings.incarnation, cfg->epoch, cfg->version);
	/* Roster positions mean something else in another epoch. */
	if (node->reply_epoch != cfg->epoch) {
		memset(node->reply_at, 0, sizeof(node->reply_at));
		node->reply_live = 0;
		node->reply_ready = 0;
		node->reply_epoch = cfg->epoch;
	}
	node->candidates = 0;
	update_candidates(node);
	update_owners(node);
	nd_member_hurry(node);
}

/* Tells whether the sender has started since it was last heard. */
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

	nd_config_heard(node, msg->from, heartbeat->config_version);
	if (!cfg)
		return;
	/* A new process must know of crashes before it is granted units. */
	if (is_new_process(node, msg))
		nd_greet(node, msg->from);
	quo_members_heard(&node->members, node->clock.now, msg->from,
			  heartbeat->incarnation, heartbeat->epoch,
			  heartbeat->config_version);
	if (!node->is_granter)
		return;
	if (!quo_granter_heartbeat(&node->granter, node->clock.now, cfg,
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

	nd_config_heard(node, msg->from, reply->config_version);
	if (!cfg)
		return;
	index = cfg_find_vm(cfg, msg->from);
	if (index < 0)
		return;
	quo_members_heard(&node->members, node->clock.now, msg->from,
			  reply->incarnation, reply->epoch,
			  reply->config_version);
	quo_holder_reply(&node->holder, cfg, msg->from, reply);
	/* A silent granter grants nothing, so it does not make a VM ready. */
	if (reply->epoch == cfg->epoch && !reply->silent &&
	    reply->config_version <= cfg->version)
		node->reply_at[index] = node->clock.now;
	if (reply->epoch == cfg->epoch) {
		node->reply_live = reply->live;
		node->reply_ready = reply->ready;
	}
	nd_owner_leases(node);
	report_units(node);
}
