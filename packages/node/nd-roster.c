#include "node/nd-internal.h"

/*
 * Adds running VMs to the roster and removes dead ones. A VM that is not in the
 * roster asks the granters to add it. The live granter with the lowest id
 * writes all changes, one VM at a time and only when the last epoch is settled.
 * The platform's list of VMs is not used: it lags, and the request to join
 * proves that a VM is running.
 */

#define CHECK_INTERVAL GB_SEC

/* Orders need three granters, so the roster never shrinks below that. */
#define ROSTER_VMS_MIN ONCE_GRANTERS_MIN

/* Without a quorum the cell serves nothing: remove silent VMs sooner. */
#define REMOVE_AFTER_WITHOUT_QUORUM (5 * GB_SEC)

static void request_join(struct node *node);
static bool may_change_roster(const struct node *node);
static int find_silent_vm(const struct node *node);
static void write_roster(struct node *node, struct cfg *next);

static void request_join(struct node *node)
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

/* Tells whether this VM may write a change of the roster now. */
static bool may_change_roster(const struct node *node)
{
	const struct cfg *cfg = node->store.current;

	if (!cfg || !node->is_granter || node->stopping ||
	    node->config_writes->len)
		return false;
	/* A partitioned VM must not remove the VMs on the other side. */
	if ((uint32_t)__builtin_popcountll(node->live_vms) * 2 < cfg->vms->len)
		return false;
	return !(node->live_vms & ((1ULL << node->self_index) - 1)) &&
	       quo_epoch_settled(&node->members, cfg, node->clock.now,
				 node->settings.lease);
}

/* Returns the index of a member that was silent for too long, or -1. */
static int find_silent_vm(const struct node *node)
{
	const struct cfg *cfg = node->store.current;
	gb_time limit = node->settings.remove_after;
	uint32_t len = node->members.len;

	if (cfg->vms->len <= ROSTER_VMS_MIN)
		return -1;
	/*
	 * Without a quorum only granters are removed. The epoch of any other
	 * removal would wait for the missing majority to be settled.
	 */
	if (!nd_has_quorum(node)) {
		limit = MIN(limit, REMOVE_AFTER_WITHOUT_QUORUM);
		len = MIN(len, cfg_granter_count(cfg));
	}
	for (uint32_t i = 0; i < len; i++) {
		const struct quo_member *member = &node->members.member[i];
		gb_time heard = MAX(member->last_heard, node->started_at);

		/* Members other than granters are heard by granters only. */
		if ((int)i != node->self_index &&
		    node->clock.now - heard > limit)
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

	if (!node->store.current || node->clock.now < node->next_roster_check)
		return;
	node->next_roster_check = node->clock.now + CHECK_INTERVAL;
	if (node->self_index < 0) {
		request_join(node);
		return;
	}
	if (!may_change_roster(node))
		return;
	silent = find_silent_vm(node);
	if (silent < 0)
		return;
	nd_event_emit_plain(node, EV_MEMBER_REMOVED,
			    cfg_vm(node->store.current, silent)->id, 0);
	next = cfg_copy(node->store.current);
	cfg_remove_vm(next, silent);
	write_roster(node, next);
}

/* Adds a VM that asks to join, unless an operator removed it. */
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
	    cfg_is_vm_excluded(cfg, msg->from) || !may_change_roster(node) ||
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
	nd_event_emit_plain(node, EV_MEMBER_ADDED, msg->from, 0);
	write_roster(node, next);
}
