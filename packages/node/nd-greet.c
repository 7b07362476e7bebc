#include "node/nd-internal.h"

struct recipient {
	struct node *node;
	uint32_t vm;
};

static void tell_suspect(void *ctx, uint64_t fingerprint, uint32_t crashes);

static void tell_suspect(void *ctx, uint64_t fingerprint, uint32_t crashes)
{
	const struct recipient *to = ctx;
	struct msg msg = {
		.kind = MSG_QUARANTINE,
		.quarantine = { .fingerprint = fingerprint,
				.crashes = crashes },
	};

	nd_send(to->node, to->vm, &msg);
}

/*
 * Tells a member that started or came back what only its peers remember:
 * requests that crashed upstreams, warm upstreams and leaving hosts.
 */
void nd_greet(struct node *node, uint32_t vm)
{
	struct recipient to = { .node = node, .vm = vm };

	if (vm == node->settings.vm)
		return;
	sus_each(node->suspects, tell_suspect, &to);
	nd_warm_send(node, vm);
	nd_leaving_send(node, vm);
}
