#include "node/nd-internal.h"

/* Sends a message; one to this VM is handled when the current input ends. */
void nd_send(struct node *node, uint32_t vm, struct msg *msg)
{
	msg->from = node->settings.vm;
	msg->hlc = ev_clock_tick(&node->hlc, node->clock.wall_ms);
	if (vm == node->settings.vm)
		g_queue_push_tail(node->loopback_queue, msg_copy(msg));
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

	for (uint32_t i = 0; cfg && i < cfg_granter_count(cfg); i++)
		nd_send(node, cfg_vm(cfg, i)->id, msg);
}
