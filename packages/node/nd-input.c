#include "node/nd-internal.h"

typedef void (*msg_handler)(struct node *node, const struct msg *msg);

static const msg_handler handlers[MSG_KINDS] = {
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

static void dispatch(struct node *node, const struct msg *msg)
{
	/* Some kinds are sent between VMs of role front only. */
	if (msg->kind < MSG_KINDS && handlers[msg->kind])
		handlers[msg->kind](node, msg);
}

static void begin_input(struct node *node, struct nd_clock clock)
{
	node->clock = clock;
}

/* Sends results, handles messages to this VM and frees queries that ended. */
static void end_input(struct node *node)
{
	struct msg *msg;

	for (;;) {
		nd_work_send_results(node);
		msg = g_queue_pop_head(node->loopback_queue);
		if (!msg)
			break;
		dispatch(node, msg);
		msg_free(msg);
	}
	nd_query_free_ended(node);
	met_set(node->metrics, MET_QUERIES_RUNNING,
		g_hash_table_size(node->queries));
	met_set(node->metrics, MET_CALLS_RUNNING,
		g_hash_table_size(node->calls));
}

void nd_tick(struct node *node, struct nd_clock clock)
{
	bool ready;

	begin_input(node, clock);
	nd_member_tick(node);
	nd_config_tick(node);
	nd_leaving_tick(node);
	nd_owner_tick(node);
	nd_query_tick(node);
	nd_order_tick(node);
	nd_plan_tick(node);
	nd_roster_tick(node);
	ready = nd_ready(node);
	if (ready != node->was_ready)
		nd_event_emit_plain(node, ready ? EV_READY : EV_UNREADY, 0, 0);
	node->was_ready = ready;
	end_input(node);
}

void nd_peer_msg(struct node *node, struct nd_clock clock,
		 const struct msg *msg)
{
	begin_input(node, clock);
	met_add(node->metrics, MET_PEER_MESSAGES, 1);
	ev_clock_merge(&node->hlc, clock.wall_ms, msg->hlc);
	dispatch(node, msg);
	end_input(node);
}

void nd_caller_gone(struct node *node, struct nd_clock clock, uint64_t caller)
{
	begin_input(node, clock);
	nd_query_caller_gone(node, caller);
	nd_order_caller_gone(node, caller);
	end_input(node);
}

void nd_shutdown(struct node *node, struct nd_clock clock)
{
	begin_input(node, clock);
	if (!node->stopping) {
		node->stopping = true;
		nd_event_emit_plain(node, EV_STOP_BEGIN, 0, 0);
		nd_member_speed_up_heartbeats(node);
	}
	end_input(node);
}

void nd_lookup(struct node *node, struct nd_clock clock,
	       const struct nd_request *request)
{
	begin_input(node, clock);
	nd_query_start(node, request);
	end_input(node);
}

void nd_order(struct node *node, struct nd_clock clock,
	      const struct nd_request *request)
{
	begin_input(node, clock);
	nd_order_start(node, request);
	end_input(node);
}

void nd_upstream_done(struct node *node, struct nd_clock clock,
		      const struct nd_upstream_result *result)
{
	begin_input(node, clock);
	nd_owner_upstream_done(node, result);
	end_input(node);
}

void nd_store_done(struct node *node, struct nd_clock clock,
		   const struct nd_store_result *result)
{
	begin_input(node, clock);
	nd_config_store_done(node, result);
	if (result->op == ND_STORE_LIST_VMS)
		nd_leaving_store_done(node, result);
	else
		nd_plan_store_done(node, result);
	end_input(node);
}

void nd_plan(struct node *node, struct nd_clock clock, uint64_t caller,
	     const struct pln_intent *intent)
{
	begin_input(node, clock);
	nd_plan_make(node, caller, intent);
	end_input(node);
}

void nd_confirm(struct node *node, struct nd_clock clock, uint64_t caller,
		uint64_t plan, uint64_t base_version,
		const struct pln_intent *intent)
{
	begin_input(node, clock);
	nd_plan_confirm(node, caller, plan, base_version, intent);
	end_input(node);
}
