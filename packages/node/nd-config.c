#include "node/nd-internal.h"

/* Pauses between calls to a platform that does not answer. */
#define PAUSE_MIN (100 * GB_MSEC)
#define PAUSE_MAX (5 * GB_SEC)

/* Pause between fetches from peers. */
#define FETCH_PAUSE (50 * GB_MSEC)

/* Members of a cell that keep a watch at the platform. */
#define WATCHERS 2

static bool is_watcher(const struct node *node);
static void ask_seeds(struct node *node);
static void store_failed(struct node *node);
static void store_answered(struct node *node);

/* The live members with the lowest positions keep the watches. */
static bool is_watcher(const struct node *node)
{
	uint64_t below;

	if (node->self < 0)
		return false;
	below = node->live & ((1ULL << node->self) - 1);
	return __builtin_popcountll(below) < WATCHERS;
}

/* Asks the peers of the settings while no roster is known. */
static void ask_seeds(struct node *node)
{
	struct msg msg = { .kind = MSG_CONFIG_FETCH };

	if (node->clock.now < node->source.fetch_at)
		return;
	node->source.fetch_at = node->clock.now + 4 * FETCH_PAUSE;
	for (uint32_t i = 0; i < node->settings.seeds_len; i++)
		if (node->settings.seed_vm[i] != node->settings.vm)
			nd_send(node, node->settings.seed_vm[i], &msg);
}

void nd_config_tick(struct node *node)
{
	struct nd_source *source = &node->source;
	bool lost = !node->store.current || !nd_quorum(node);

	if (!node->store.current)
		ask_seeds(node);
	if (node->clock.now < source->retry_at)
		return;
	/* Without a quorum the platform is the only way to news. */
	if (lost && !source->read_tag) {
		source->read_tag = node->tag_next++;
		source->retry_at = node->clock.now + PAUSE_MAX / 5;
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

/* Takes a configuration if it is newer, from whatever source. */
void nd_config_offer(struct node *node, struct cfg *cfg)
{
	struct gb_error err = { .code = GB_OK };

	if (cfg_store_offer(&node->store, cfg, &err)) {
		if (err.code != GB_ERR_STALE_VERSION)
			nd_event_plain(node, EV_CONFIG_REFUSED, cfg->version,
				       err.code);
		return;
	}
	met_add(node->metrics, MET_CONFIG_CHANGES, 1);
	met_set(node->metrics, MET_CONFIG_VERSION, cfg->version);
	nd_event_plain(node, EV_CONFIG_TAKEN, cfg->version, cfg->epoch);
	for (const nd_follower *follow = node->followers; *follow; follow++)
		(*follow)(node);
}

/* Fetches from a peer that has a higher version. */
void nd_config_heard(struct node *node, uint32_t vm, uint64_t version)
{
	struct msg msg = { .kind = MSG_CONFIG_FETCH };

	if (version <= cfg_store_version(&node->store) ||
	    node->clock.now < node->source.fetch_at)
		return;
	node->source.fetch_at = node->clock.now + FETCH_PAUSE;
	msg.config_fetch.have_version = cfg_store_version(&node->store);
	nd_send(node, vm, &msg);
}

void nd_on_config_fetch(struct node *node, const struct msg *msg)
{
	struct msg reply = { .kind = MSG_CONFIG };

	if (cfg_store_version(&node->store) <= msg->config_fetch.have_version)
		return;
	reply.config.cfg = node->store.current;
	nd_send(node, msg->from, &reply);
}

void nd_on_config(struct node *node, const struct msg *msg)
{
	if (msg->config.cfg)
		nd_config_offer(node, msg->config.cfg);
}

static void store_failed(struct node *node)
{
	struct nd_source *source = &node->source;

	if (!source->down)
		nd_event_plain(node, EV_STORE_DOWN, 0, 0);
	source->down = true;
	source->pause = CLAMP(source->pause * 2, PAUSE_MIN, PAUSE_MAX);
	/* Jitter keeps the members from calling in step after an outage. */
	source->retry_at = node->clock.now + source->pause / 2 +
			   (gb_time)gb_rng_below(&node->rng, source->pause / 2);
}

static void store_answered(struct node *node)
{
	struct nd_source *source = &node->source;

	if (source->down)
		nd_event_plain(node, EV_STORE_UP, 0, 0);
	source->down = false;
	source->pause = 0;
	source->retry_at = MAX(source->retry_at, node->clock.now + PAUSE_MIN);
}

/* Notes how a call to the platform ended, and takes what it brought. */
void nd_config_store_done(struct node *node,
			  const struct nd_store_result *result)
{
	struct nd_source *source = &node->source;

	if (result->tag == source->read_tag)
		source->read_tag = 0;
	if (result->tag == source->watch_tag)
		source->watch_tag = 0;
	if (result->op == ND_STORE_VMS) {
		if (source->down && result->status != ND_STORE_DOWN)
			store_answered(node);
		return;
	}
	if (result->status == ND_STORE_DOWN)
		store_failed(node);
	else
		store_answered(node);
	if (result->status == ND_STORE_OK && result->cfg)
		nd_config_offer(node, result->cfg);
}
