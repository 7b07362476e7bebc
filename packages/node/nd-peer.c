#include "node/nd-internal.h"

typedef void (*handler)(struct node *node, const struct msg *msg);

static const handler handlers[MSG_KINDS] = {
	[MSG_HEARTBEAT] = nd_on_heartbeat,
	[MSG_HEARTBEAT_REPLY] = nd_on_heartbeat_reply,
	[MSG_QUERY_BATCH] = nd_on_batch,
	[MSG_RESULT] = nd_on_result,
	[MSG_CANCEL] = nd_on_cancel,
	[MSG_VOTE] = nd_on_vote,
	[MSG_VOTE_REPLY] = nd_on_vote_reply,
	[MSG_RELEASE] = nd_on_release,
	[MSG_OUTCOME] = nd_on_outcome,
	[MSG_CONFIG_FETCH] = nd_on_config_fetch,
	[MSG_CONFIG] = nd_on_config,
	[MSG_QUARANTINE] = nd_on_quarantine,
	[MSG_WARM] = nd_on_warm,
	[MSG_JOIN] = nd_on_join,
	[MSG_LEAVING] = nd_on_leaving,
};

/* Sends one message; those to this VM are handled at the end of the input. */
void nd_send(struct node *node, uint32_t vm, struct msg *msg)
{
	msg->from = node->settings.vm;
	msg->hlc = ev_clock_tick(&node->hlc, node->clock.wall_ms);
	if (vm == node->settings.vm)
		g_queue_push_tail(node->self_queue, msg_copy(msg));
	else
		node->ops->peer_send(node->ctx, vm, msg);
}

/* Sends to all members but this VM. */
void nd_send_all(struct node *node, struct msg *msg)
{
	const struct cfg *cfg = node->store.current;

	for (guint i = 0; cfg && i < cfg->vms->len; i++)
		if (cfg_vm(cfg, i)->id != node->settings.vm)
			nd_send(node, cfg_vm(cfg, i)->id, msg);
}

/* Sends to all granters, this VM included when it is one. */
void nd_send_granters(struct node *node, struct msg *msg)
{
	const struct cfg *cfg = node->store.current;

	for (uint32_t i = 0; cfg && i < cfg_granters(cfg); i++)
		nd_send(node, cfg_vm(cfg, i)->id, msg);
}

void nd_dispatch(struct node *node, const struct msg *msg)
{
	if (msg->kind < MSG_KINDS)
		handlers[msg->kind](node, msg);
}
