#include "node/nd-internal.h"

struct recipient {
	struct node *node;
	uint32_t vm;
};

static void send_suspect(void *ctx, const struct sus_record *record)
{
	const struct recipient *to = ctx;
	struct msg msg = {
		.kind = MSG_QUARANTINE,
		.quarantine = { .fingerprint = record->fingerprint,
				.crashes = record->crashes },
	};

	nd_send(to->node, to->vm, &msg);
}

/*
 * Sends a member that started or came back the state that only its peers have:
 * requests that crashed upstreams, warm upstreams and leaving hosts.
 */
void nd_send_soft_state(struct node *node, uint32_t vm)
{
	struct recipient to = { .node = node, .vm = vm };

	if (vm == node->settings.vm)
		return;
	sus_each_crashed(node->suspects, node->clock.now, send_suspect, &to);
	nd_warm_send(node, vm);
	nd_leaving_send(node, vm);
}
