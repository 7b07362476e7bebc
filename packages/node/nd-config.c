#include "node/nd-internal.h"

/* Back-off between calls to a platform that does not answer. */
#define BACKOFF_MIN (100 * GB_MSEC)
#define BACKOFF_MAX (5 * GB_SEC)

/* Shortest time between two fetches from peers. */
#define FETCH_INTERVAL_MIN (50 * GB_MSEC)

/* Members of a cell that watch the configuration object at the platform. */
#define WATCHERS 2

static bool is_watcher(const struct node *node);
static void fetch_from_seeds(struct node *node);
static void store_failed(struct node *node);
static void store_answered(struct node *node);

/* Tells whether this VM watches: the live members with the lowest ids do. */
static bool is_watcher(const struct node *node)
{
	uint64_t below;

	if (node->self_index < 0)
		return false;
	below = node->live_vms & ((1ULL << node->self_index) - 1);
	return __builtin_popcountll(below) < WATCHERS;
}

/* Fetches the configuration from the seeds while none is known. */
static void fetch_from_seeds(struct node *node)
{
	struct msg msg = { .kind = MSG_CONFIG_FETCH };

	if (node->clock.now < node->config_source.next_fetch_at)
		return;
	node->config_source.next_fetch_at =
		node->clock.now + 4 * FETCH_INTERVAL_MIN;
	for (uint32_t i = 0; i < node->settings.seeds_len; i++)
		if (node->settings.seed_vm[i] != node->settings.vm)
			nd_send(node, node->settings.seed_vm[i], &msg);
}

void nd_config_tick(struct node *node)
{
	struct nd_config_source *source = &node->config_source;
	bool no_quorum = !node->store.current || !nd_has_quorum(node);

	if (!node->store.current)
		fetch_from_seeds(node);
	if (node->clock.now < source->retry_at)
		return;
	/* Without a quorum a new version may come from the platform only. */
	if (no_quorum && !source->read_tag) {
		source->read_tag = node->tag_next++;
		source->retry_at = node->clock.now + BACKOFF_MAX / 5;
		met_add(node->metrics, MET_STORE_READS, 1);
		node->ops->store_read(node->ctx, source->read_tag);
		return;
	}
	if (!node->store.current || !is_watcher(node) || source->watch_tag)
		return;
	source->watch_tag = node->tag_next++;
	met_add(node->metrics, MET_STORE_WATCHES, 1);
	node->ops->store_watch(node->ctx, source->watch_tag,
			       cfg_store_version(&node->store));
}

/* Adopts a configuration of any source if it is newer than the current one. */
void nd_config_adopt(struct node *node, struct cfg *cfg)
{
	struct gb_error err = { .code = GB_OK };

	if (cfg_store_update(&node->store, cfg, &err)) {
		if (err.code != GB_ERR_STALE_VERSION)
			nd_event_emit_plain(node, EV_CONFIG_REFUSED,
					    cfg->version, err.code);
		return;
	}
	met_add(node->metrics, MET_CONFIG_CHANGES, 1);
	met_set(node->metrics, MET_CONFIG_VERSION, cfg->version);
	nd_event_emit_plain(node, EV_CONFIG_TAKEN, cfg->version, cfg->epoch);
	for (const nd_config_listener *listener = node->config_listeners;
	     *listener; listener++)
		(*listener)(node);
}

/* Fetches the configuration from a peer that has a higher version. */
void nd_config_fetch_if_newer(struct node *node, uint32_t vm, uint64_t version)
{
	struct msg msg = { .kind = MSG_CONFIG_FETCH };

	if (version <= cfg_store_version(&node->store) ||
	    node->clock.now < node->config_source.next_fetch_at)
		return;
	node->config_source.next_fetch_at =
		node->clock.now + FETCH_INTERVAL_MIN;
	msg.config_fetch.known_version = cfg_store_version(&node->store);
	nd_send(node, vm, &msg);
}

void nd_on_config_fetch(struct node *node, const struct msg *msg)
{
	struct msg reply = { .kind = MSG_CONFIG };

	if (cfg_store_version(&node->store) <= msg->config_fetch.known_version)
		return;
	reply.config.cfg = node->store.current;
	nd_send(node, msg->from, &reply);
}

void nd_on_config(struct node *node, const struct msg *msg)
{
	if (msg->config.cfg)
		nd_config_adopt(node, msg->config.cfg);
}

static void store_failed(struct node *node)
{
	struct nd_config_source *source = &node->config_source;

	if (!source->down)
		nd_event_emit_plain(node, EV_STORE_DOWN, 0, 0);
	source->down = true;
	source->backoff = CLAMP(source->backoff * 2, BACKOFF_MIN, BACKOFF_MAX);
	/* Jitter keeps the members from calling all at once after an outage. */
	source->retry_at =
		node->clock.now + source->backoff / 2 +
		(gb_time)gb_rng_below(&node->rng, source->backoff / 2);
}

static void store_answered(struct node *node)
{
	struct nd_config_source *source = &node->config_source;

	if (source->down)
		nd_event_emit_plain(node, EV_STORE_UP, 0, 0);
	source->down = false;
	source->backoff = 0;
	source->retry_at = MAX(source->retry_at, node->clock.now + BACKOFF_MIN);
}

/* Ends a call to the platform and adopts a configuration that it returned. */
void nd_config_store_done(struct node *node,
			  const struct nd_store_result *result)
{
	struct nd_config_source *source = &node->config_source;

	if (result->tag == source->read_tag)
		source->read_tag = 0;
	if (result->tag == source->watch_tag)
		source->watch_tag = 0;
	if (result->op == ND_STORE_LIST_VMS) {
		if (source->down && result->status != ND_STORE_DOWN)
			store_answered(node);
		return;
	}
	if (result->status == ND_STORE_DOWN)
		store_failed(node);
	else
		store_answered(node);
	if (result->status == ND_STORE_OK && result->cfg)
		nd_config_adopt(node, result->cfg);
}
