#include "node/nd-internal.h"

#include <string.h>

/* Resolution of the timers while requests are in flight. */
#define BUSY_TICK_INTERVAL GB_MSEC

/* Interval of the check whether the epoch is settled. */
#define VOTER_CHECK_INTERVAL (20 * GB_MSEC)

/* Fingerprints remembered, and duration of a first quarantine. */
#define SUSPECTS_MAX 65536
#define QUARANTINE_TIME (600 * GB_SEC)

static bool has_pending_work(const struct node *node);

/* In the order in which a new configuration is applied. */
static const nd_config_listener config_listeners[] = {
	nd_member_apply_config,
	nd_leaving_apply_config,
	nd_query_apply_config,
	NULL,
};

void nd_settings_default(struct nd_settings *settings)
{
	*settings = (struct nd_settings){
		.vm = 1,
		.heartbeat_interval = 300 * GB_MSEC,
		.lease = 1200 * GB_MSEC,
		.drift_margin = 50 * GB_MSEC,
		.suspect_after = 900 * GB_MSEC,
		.remove_after = 30 * GB_SEC,
		.key_retention = 900 * GB_SEC,
		.clock_skew = 5 * GB_SEC,
		.queries_max = 4096,
	};
}

struct node *nd_new(const struct nd_settings *settings,
		    const struct nd_ops *ops, void *ctx,
		    struct met_registry *metrics, struct nd_clock clock)
{
	struct node *node = g_new0(struct node, 1);

	node->settings = *settings;
	node->settings.dc = gb_str_dup(settings->dc);
	node->settings.name = gb_str_dup(settings->name);
	node->settings.host = gb_str_dup(settings->host);
	node->started_at = clock.now;
	node->ops = ops;
	node->config_listeners = config_listeners;
	node->ctx = ctx;
	node->metrics = metrics;
	node->clock = clock;
	node->rng.state = settings->seed;
	node->self_index = -1;
	quo_members_init(&node->members, settings->suspect_after);
	quo_granter_init(&node->granter, &node->members, settings->incarnation,
			 clock.now, settings->lease);
	quo_holder_init(&node->holder, settings->incarnation, settings->lease,
			settings->drift_margin);
	node->voter =
		once_voter_new(settings->key_retention, settings->clock_skew);
	node->suspects = sus_new(SUSPECTS_MAX, ND_CRASHES_MAX, QUARANTINE_TIME);
	node->services = g_ptr_array_new();
	node->shards = g_ptr_array_new();
	node->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					    NULL);
	node->leaving.hosts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	node->warm_instances = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, g_free);
	node->works = g_hash_table_new(g_int64_hash, g_int64_equal);
	node->works_to_send = g_ptr_array_new();
	node->queries = g_hash_table_new(g_int64_hash, g_int64_equal);
	node->ended_queries = g_ptr_array_new();
	node->orders = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					     nd_order_free);
	node->seen_orders = g_hash_table_new(g_int64_hash, g_int64_equal);
	node->seen_orders_by_age = g_queue_new();
	node->config_writes =
		g_ptr_array_new_with_free_func(nd_config_write_free);
	node->loopback_queue = g_queue_new();
	node->id_base = (uint64_t)(settings->vm & 0xfff) << 52 |
			(gb_hash_u64(settings->incarnation, 0) & 0xfffff) << 32;
	node->tag_next = 1;
	memset(node->unit_owner, -1, sizeof(node->unit_owner));
	nd_event_emit_plain(node, EV_START, settings->vm, 0);
	return node;
}

void nd_free(struct node *node)
{
	GHashTableIter iter;
	gpointer value;

	if (!node)
		return;
	nd_work_free_all(node);
	nd_owner_free(node);
	g_hash_table_iter_init(&iter, node->queries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(node->ended_queries, value);
	for (guint i = 0; i < node->ended_queries->len; i++)
		qry_free(g_ptr_array_index(node->ended_queries, i));
	g_ptr_array_free(node->ended_queries, TRUE);
	g_hash_table_destroy(node->queries);
	g_hash_table_destroy(node->leaving.hosts);
	cfg_unref(node->effective_cfg);
	g_hash_table_destroy(node->warm_instances);
	g_hash_table_destroy(node->orders);
	g_hash_table_destroy(node->seen_orders);
	g_queue_free_full(node->seen_orders_by_age, g_free);
	g_ptr_array_free(node->config_writes, TRUE);
	g_queue_free_full(node->loopback_queue, (GDestroyNotify)msg_free);
	once_voter_free(node->voter);
	sus_free(node->suspects);
	cfg_store_free(&node->store);
	gb_str_free(&node->settings.dc);
	gb_str_free(&node->settings.name);
	gb_str_free(&node->settings.host);
	g_free(node);
}

/* Tells whether a timer may expire before the next heartbeat. */
static bool has_pending_work(const struct node *node)
{
	return g_hash_table_size(node->queries) ||
	       g_hash_table_size(node->works) ||
	       g_hash_table_size(node->calls) ||
	       g_hash_table_size(node->orders) || node->config_writes->len;
}

gb_time nd_next_tick(const struct node *node)
{
	gb_time next = node->next_heartbeat_at;

	/* Orders wait for the voter to start, which a heartbeat would delay. */
	if (node->is_granter && !node->voter_started)
		next = MIN(next, node->clock.now + VOTER_CHECK_INTERVAL);
	if (node->units_moving || has_pending_work(node))
		next = MIN(next, (node->clock.now / BUSY_TICK_INTERVAL + 1) *
					 BUSY_TICK_INTERVAL);
	return next;
}

/*
 * A node has stopped when its queries and orders and its work for other VMs
 * have ended, and all units were released or their leases have expired.
 */
bool nd_stopped(const struct node *node)
{
	if (!node->stopping || g_hash_table_size(node->queries) ||
	    nd_order_count_running(node) || nd_owner_count_running(node) ||
	    node->config_writes->len)
		return false;
	for (uint32_t i = 0; i < CFG_UNITS; i++)
		if (quo_holder_lease_expiry(&node->holder, i) > node->clock.now)
			return false;
	return true;
}

bool nd_ready(const struct node *node)
{
	const struct cfg *cfg = node->store.current;

	if (!cfg || node->stopping || node->self_index < 0)
		return false;
	if (cfg_dc(cfg, cfg_vm(cfg, node->self_index)->dc)->excluded)
		return false;
	return nd_has_quorum(node);
}

void nd_status(const struct node *node, struct nd_clock clock,
	       struct nd_status *status)
{
	*status = (struct nd_status){
		.vm = node->settings.vm,
		.incarnation = node->settings.incarnation,
		.config_version = cfg_store_version(&node->store),
		.epoch = node->store.current ? node->store.current->epoch : 0,
		.ready = nd_ready(node),
		.stopping = node->stopping,
		.queries_running = g_hash_table_size(node->queries),
		.calls_running = g_hash_table_size(node->calls),
		.live_vms = node->live_vms,
	};
	for (uint32_t i = 0; i < CFG_UNITS; i++)
		status->units_held +=
			quo_holder_lease_expiry(&node->holder, i) > clock.now;
}

struct cfg *nd_current_config(const struct node *node)
{
	return node->store.current;
}
