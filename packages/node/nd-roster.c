#include "node/nd-internal.h"

/*
 * Keeps the roster in step with the VMs that are there. A VM that is not in
 * it asks the granters; the live granter with the lowest id writes all
 * changes, one VM at a time and only when the last epoch is settled. The
 * platform's list of VMs is not used: it lags, and a VM that asks proves
 * that it is there.
 */

#define LOOK_PAUSE GB_SEC

/* Orders need three granters, so the roster never shrinks below that. */
#define ROSTER_MIN ONCE_GRANTERS_MIN

/* Without a quorum the cell serves nothing, so a silent VM goes sooner. */
#define REMOVE_WITHOUT_QUORUM (5 * GB_SEC)

static void ask_to_join(struct node *node);
static bool may_write(const struct node *node);
static int find_silent(const struct node *node);
static void write_roster(struct node *node, struct cfg *next);

static void ask_to_join(struct node *node)
{
	const struct nd_settings *settings = &node->settings;
	struct msg msg = {
		.kind = MSG_JOIN,
		.join = { .config_version = cfg_store_version(&node->store),
			  .name = settings->name,
			  .host = settings->host,
			  .peer_port = settings->peer_port,
			  .http_port = settings->http_port,
			  .dc = settings->dc },
	};

	if (settings->name.len && !node->stopping)
		nd_send_granters(node, &msg);
}

/* Tells whether this VM writes the roster's changes now. */
static bool may_write(const struct node *node)
{
	const struct cfg *cfg = node->store.current;

	if (!cfg || !node->is_granter || node->stopping || node->confirms->len)
		return false;
	/* A VM that is cut off must not remove those on the other side. */
	if ((uint32_t)__builtin_popcountll(node->live) * 2 < cfg->vms->len)
		return false;
	return !(node->live & ((1ULL << node->self) - 1)) &&
	       quo_epoch_settled(&node->members, cfg, node->clock.now,
				 node->settings.lease);
}

/* Finds a member that was silent for too long; -1 if there is none. */
static int find_silent(const struct node *node)
{
	const struct cfg *cfg = node->store.current;
	gb_time limit = node->settings.remove_after;
	uint32_t len = node->members.len;

	if (cfg->vms->len <= ROSTER_MIN)
		return -1;
	/*
	 * Without a quorum only the removal of a granter helps; that of another
	 * member would wait for the majority that is missing to be settled.
	 */
	if (!nd_quorum(node)) {
		limit = MIN(limit, REMOVE_WITHOUT_QUORUM);
		len = MIN(len, cfg_granters(cfg));
	}
	for (uint32_t i = 0; i < len; i++) {
		const struct quo_member *member = &node->members.member[i];
		gb_time heard = MAX(member->heard, node->started);

		/* Members that are no granters are heard by granters only. */
		if ((int)i != node->self && node->clock.now - heard > limit)
			return (int)i;
	}
	return -1;
}

static void write_roster(struct node *node, struct cfg *next)
{
	uint64_t change = gb_rng_next(&node->rng);

	next->epoch++;
	cfg_add_change(next, change);
	nd_plan_write(node, 0, change, node->store.current->version, next);
}

void nd_roster_tick(struct node *node)
{
	struct cfg *next;
	int silent;

	if (!node->store.current || node->clock.now < node->roster_at)
		return;
	node->roster_at = node->clock.now + LOOK_PAUSE;
	if (node->self < 0) {
		ask_to_join(node);
		return;
	}
	if (!may_write(node))
		return;
	silent = find_silent(node);
	if (silent < 0)
		return;
	nd_event_plain(node, EV_MEMBER_REMOVED,
		       cfg_vm(node->store.current, silent)->id, 0);
	next = cfg_copy(node->store.current);
	cfg_remove_vm(next, silent);
	write_roster(node, next);
}

/* Adds a VM that asks, unless it is known or an operator removed it. */
void nd_on_join(struct node *node, const struct msg *msg)
{
	const struct msg_join *join = &msg->join;
	const struct cfg *cfg = node->store.current;
	struct msg reply = { .kind = MSG_CONFIG };
	struct cfg_vm *vm;
	struct cfg *next;
	int dc;

	if (!cfg)
		return;
	if (join->config_version < cfg->version) {
		reply.config.cfg = node->store.current;
		nd_send(node, msg->from, &reply);
	}
	dc = cfg_find_dc(cfg, join->dc);
	if (dc < 0 || cfg_find_vm(cfg, msg->from) >= 0 ||
	    cfg_is_excluded(cfg, msg->from) || !may_write(node) ||
	    cfg->vms->len >= CFG_VMS_MAX)
		return;
	next = cfg_copy(cfg);
	vm = cfg_add_vm(next, msg->from, join->name, join->host);
	vm->peer_port = join->peer_port;
	vm->http_port = join->http_port;
	vm->dc = dc;
	if (cfg_check(next, NULL)) {
		cfg_unref(next);
		return;
	}
	nd_event_plain(node, EV_MEMBER_ADDED, msg->from, 0);
	write_roster(node, next);
}
