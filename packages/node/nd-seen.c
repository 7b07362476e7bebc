#include "node/nd-internal.h"

/* Sub-requests of orders that arrived, so that a doubled message runs once. */

/*
 * One is remembered for longer than any copy of its message can be accepted:
 * the longest deadline plus the clock skew, twice.
 */
#define ORDER_MEMORY (130 * GB_SEC)

struct seen_order {
	uint64_t attempt;
	gb_time at;
};

/*
 * Tells whether an order's sub-request arrives for the first time and soon
 * enough to be sure of that.
 */
bool nd_seen_is_new(struct node *node, const struct msg *msg, uint64_t attempt)
{
	int64_t sent_ms = (int64_t)(msg->hlc >> 16);
	int64_t age_max =
		(msg->batch.time_left + node->settings.clock_skew) / GB_MSEC;
	struct seen_order *seen;

	if (node->clock.wall_ms - sent_ms > age_max)
		return false;
	if (g_hash_table_contains(node->orders_seen, &attempt))
		return false;
	seen = g_new(struct seen_order, 1);
	*seen = (struct seen_order){ .attempt = attempt,
				     .at = node->clock.now };
	g_hash_table_add(node->orders_seen, &seen->attempt);
	g_queue_push_tail(node->orders_seen_age, seen);
	return true;
}

void nd_seen_tick(struct node *node)
{
	struct seen_order *seen;

	while ((seen = g_queue_peek_head(node->orders_seen_age))) {
		if (node->clock.now - seen->at < ORDER_MEMORY)
			return;
		g_queue_pop_head(node->orders_seen_age);
		g_hash_table_remove(node->orders_seen, &seen->attempt);
		g_free(seen);
	}
}
