#include "node/nd-internal.h"

/* Rejects duplicates of orders, since a message may be delivered twice. */

/*
 * An attempt is remembered for longer than a copy of its message can be
 * accepted: the longest deadline plus the clock skew, twice.
 */
#define SEEN_ORDER_TIME (130 * GB_SEC)

struct seen_order {
	uint64_t attempt;
	gb_time arrived_at;
};

/*
 * Records an order's attempt. Returns false for a duplicate, and for a message
 * so old that its attempt may have been recorded and forgotten.
 */
bool nd_dedup_accept_order(struct node *node, const struct msg *msg,
			   uint64_t attempt)
{
	int64_t sent_ms = (int64_t)(msg->hlc >> 16);
	int64_t age_max =
		(msg->batch.time_left + node->settings.clock_skew) / GB_MSEC;
	struct seen_order *seen;

	if (node->clock.wall_ms - sent_ms > age_max)
		return false;
	if (g_hash_table_contains(node->seen_orders, &attempt))
		return false;
	seen = g_new(struct seen_order, 1);
	*seen = (struct seen_order){ .attempt = attempt,
				     .arrived_at = node->clock.now };
	g_hash_table_add(node->seen_orders, &seen->attempt);
	g_queue_push_tail(node->seen_orders_by_age, seen);
	return true;
}

/* Forgets the attempts that arrived long ago. */
void nd_dedup_expire_orders(struct node *node)
{
	struct seen_order *seen;

	while ((seen = g_queue_peek_head(node->seen_orders_by_age))) {
		if (node->clock.now - seen->arrived_at < SEEN_ORDER_TIME)
			return;
		g_queue_pop_head(node->seen_orders_by_age);
		g_hash_table_remove(node->seen_orders, &seen->attempt);
		g_free(seen);
	}
}
