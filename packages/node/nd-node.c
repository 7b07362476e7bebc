#include "node/nd-internal.h"

#include <string.h>

/* Work that is due is looked for at this resolution. */
#define TICK GB_MSEC

/* Pause between two looks whether the epoch has settled. */
#define VOTER_CHECK (20 * GB_MSEC)

/* Fingerprints remembered, and how long a quarantine lasts. */
#define SUSPECTS_MAX 65536
#define QUARANTINE (600 * GB_SEC)

static bool busy(const struct node *node);

/* In the order in which they take a new configuration over. */
static const nd_follower followers[] = {
	nd_member_follow,
	nd_leaving_follow,
	nd_query_follow,
	NULL,
};

void nd_settings_default(struct nd_settings *settings)
{
	*settings = (struct nd_settings){
		.vm = 1,
		.heartbeat = 300 * GB_MSEC,
		.lease = 1200 * GB_MSEC,
		.drift = 50 * GB_MSEC,
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
	node->started = clock.now;
	node->ops = ops;
	node->followers = followers;
	node->ctx = ctx;
	node->metrics = metrics;
	node->clock = clock;
	node->rng.state = settings->seed;
	node->self = -1;
	quo_members_init(&node->members, settings->suspect_after);
	quo_granter_init(&node->granter, &node->members, settings->incarnation,
			 clock.now, settings->lease);
	quo_holder_init(&node->holder, settings->incarnation, settings->lease,
			settings->drift);
	node->voter =
		once_voter_new(settings->key_retention, settings->clock_skew);
	node->suspects = sus_new(SUSPECTS_MAX, ND_CRASHES_MAX, QUARANTINE);
	node->services = g_ptr_array_new();
	node->shards = g_ptr_array_new();
	node->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					    NULL);
	node->leaving.hosts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	node->warm = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					   g_free);
	node->works = g_hash_table_new(g_int64_hash, g_int64_equal);
	node->results = g_ptr_array_new();
	node->queries = g_hash_table_new(g_int64_hash, g_int64_equal);
	node->ended = g_ptr_array_new();
	node->orders = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					     nd_order_free);
	node->orders_seen = g_hash_table_new(g_int64_hash, g_int64_equal);
	node->orders_seen_age = g_queue_new();
	node->confirms = g_ptr_array_new_with_free_func(nd_confirm_free);
	node->self_queue = g_queue_new();
	node->id_base = (uint64_t)(settings->vm & 0xfff) << 52 |
			(gb_hash_u64(settings->incarnation, 0) & 0xfffff) << 32;
	node->tag_next = 1;
	memset(node->owner, -1, sizeof(node->owner));
	nd_event_plain(node, EV_START, settings->vm, 0);
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
		g_ptr_array_add(node->ended, value);
	for (guint i = 0; i < node->ended->len; i++)
		qry_free(g_ptr_array_index(node->ended, i));
	g_ptr_array_free(node->ended, TRUE);
	g_hash_table_destroy(node->queries);
	g_hash_table_destroy(node->leaving.hosts);
	cfg_unref(node->view);
	g_hash_table_destroy(node->warm);
	g_hash_table_destroy(node->orders);
	g_hash_table_destroy(node->orders_seen);
	g_queue_free_full(node->orders_seen_age, g_free);
	g_ptr_array_free(node->confirms, TRUE);
	g_queue_free_full(node->self_queue, (GDestroyNotify)msg_free);
	once_voter_free(node->voter);
	sus_free(node->suspects);
	cfg_store_free(&node->store);
	gb_str_free(&node->settings.dc);
	gb_str_free(&node->settings.name);
	gb_str_free(&node->settings.host);
	g_free(node);
}

/* Tells whether something may fall due before the next heartbeat. */
static bool busy(const struct node *node)
{
	return g_hash_table_size(node->queries) ||
	       g_hash_table_size(node->works) ||
	       g_hash_table_size(node->calls) ||
	       g_hash_table_size(node->orders) || node->confirms->len;
}

gb_time nd_next_tick(const struct node *node)
{
	gb_time next = node->heartbeat_at;

	/* Orders wait for the voter, so its start is not left to heartbeats. */
	if (node->is_granter && !node->voter_started)
		next = MIN(next, node->clock.now + VOTER_CHECK);
	if (node->moving || busy(node))
		next = MIN(next, (node->clock.now / TICK + 1) * TICK);
	return next;
}

/*
 * All own queries and orders have ended, and so has the work for other VMs;
 * units without work have been released.
 */
bool nd_stopped(const struct node *node)
{
	if (!node->stopping || g_hash_table_size(node->queries) ||
	    nd_order_running(node) || nd_owner_running(node) ||
	    node->confirms->len)
		return false;
	for (uint32_t i = 0; i < CFG_UNITS; i++)
		if (quo_holder_expires(&node->holder, i) > node->clock.now)
			return false;
	return true;
}

bool nd_ready(const struct node *node)
{
	const struct cfg *cfg = node->store.current;

	if (!cfg || node->stopping || node->self < 0)
		return false;
	if (cfg_dc(cfg, cfg_vm(cfg, node->self)->dc)->out)
		return false;
	return nd_quorum(node);
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
		.live = node->live,
	};
	for (uint32_t i = 0; i < CFG_UNITS; i++)
		status->units_held +=
			quo_holder_expires(&node->holder, i) > clock.now;
}

struct cfg *nd_config(const struct node *node)
{
	return node->store.current;
}
