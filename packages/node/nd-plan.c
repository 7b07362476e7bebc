#include "node/nd-internal.h"

/* Time limit for a write and the reads that find out its outcome. */
#define WRITE_RESOLVE_TIMEOUT (5 * GB_SEC)
#define READ_RETRY_DELAY (100 * GB_MSEC)

static void answer_operator(struct node *node, uint64_t caller,
			    enum gb_code code, uint64_t version,
			    const struct pln_plan *plan);
static struct gb_str intent_dc(const struct pln_intent *intent);
static bool changes_roster(enum pln_kind kind);
static void start_write(struct node *node, struct nd_config_write *pending);
static void read_back(struct node *node, struct nd_config_write *pending);
static void finish_write(struct node *node, struct nd_config_write *pending,
			 enum gb_code code, uint64_t version);
static void on_write_done(struct node *node, struct nd_config_write *pending,
			  const struct nd_store_result *result);
static void on_read_done(struct node *node, struct nd_config_write *pending,
			 const struct nd_store_result *result);

void nd_config_write_free(gpointer data)
{
	struct nd_config_write *pending = data;

	cfg_unref(pending->new_cfg);
	g_free(pending);
}

static void answer_operator(struct node *node, uint64_t caller,
			    enum gb_code code, uint64_t version,
			    const struct pln_plan *plan)
{
	struct nd_admin_result result = {
		.caller = caller, .code = code, .version = version, .plan = plan
	};

	/* Changes of the roster by this VM have no caller. */
	if (!caller)
		return;
	node->ops->admin_answer(node->ctx, &result);
}

/* Returns the data centre that an intent concerns; empty if there is none. */
static struct gb_str intent_dc(const struct pln_intent *intent)
{
	if (intent->kind == PLN_DC_CREATE || intent->kind == PLN_DC_EXCLUDE ||
	    intent->kind == PLN_DC_INCLUDE)
		return intent->target;
	return GB_STR("");
}

void nd_plan_make(struct node *node, uint64_t caller,
		  const struct pln_intent *intent)
{
	struct pln_plan *plan = NULL;
	struct gb_error err = { .code = GB_ERR_NOT_RUN };

	if (!node->store.current ||
	    pln_make(node->store.current, intent, gb_rng_next(&node->rng),
		     &plan, &err)) {
		answer_operator(node, caller, err.code, 0, NULL);
		return;
	}
	nd_event_emit(node, EV_PLAN_MADE, GB_STR(""), GB_STR(""),
		      intent_dc(intent), (int64_t)plan->id, plan->base_version);
	answer_operator(node, caller, GB_OK, plan->base_version, plan);
	pln_free(plan);
}

static bool changes_roster(enum pln_kind kind)
{
	return kind == PLN_VM_ADD || kind == PLN_VM_REMOVE;
}

void nd_plan_confirm(struct node *node, uint64_t caller, uint64_t plan,
		     uint64_t base_version, const struct pln_intent *intent)
{
	const struct cfg *cfg = node->store.current;
	struct cfg *next;
	struct gb_error err = { .code = GB_ERR_NOT_RUN };

	/* An operator who got no answer may confirm the same plan again. */
	if (cfg && cfg_has_change(cfg, plan)) {
		answer_operator(node, caller, GB_OK, cfg->version, NULL);
		return;
	}
	if (cfg && changes_roster(intent->kind) &&
	    !quo_epoch_settled(&node->members, cfg, node->clock.now,
			       node->settings.lease)) {
		answer_operator(node, caller, GB_ERR_IN_PROGRESS, cfg->version,
				NULL);
		return;
	}
	if (!cfg || pln_apply(cfg, intent, plan, base_version,
			      node->clock.wall_ms, &next, &err)) {
		if (err.code == GB_ERR_CONFLICT)
			nd_event_emit_plain(node, EV_PLAN_CONFLICT,
					    (int64_t)plan, base_version);
		answer_operator(node, caller, err.code, cfg ? cfg->version : 0,
				NULL);
		return;
	}
	nd_plan_write(node, caller, plan, base_version, next);
}

/* Writes a changed configuration, then adopts it and answers the caller. */
void nd_plan_write(struct node *node, uint64_t caller, uint64_t plan,
		   uint64_t base_version, struct cfg *next)
{
	struct nd_config_write *pending = g_new0(struct nd_config_write, 1);

	pending->caller = caller;
	pending->plan = plan;
	pending->base_version = base_version;
	pending->new_cfg = next;
	pending->deadline = node->clock.now + WRITE_RESOLVE_TIMEOUT;
	g_ptr_array_add(node->config_writes, pending);
	start_write(node, pending);
}

static void start_write(struct node *node, struct nd_config_write *pending)
{
	pending->call_tag = node->tag_next++;
	pending->read_back_at = GB_NEVER;
	met_add(node->metrics, MET_STORE_WRITES, 1);
	node->ops->store_write(node->ctx, pending->call_tag, pending->new_cfg,
			       pending->base_version);
}

static void read_back(struct node *node, struct nd_config_write *pending)
{
	pending->call_tag = node->tag_next++;
	pending->read_back_at = GB_NEVER;
	met_add(node->metrics, MET_STORE_READS, 1);
	node->ops->store_read(node->ctx, pending->call_tag);
}

static void finish_write(struct node *node, struct nd_config_write *pending,
			 enum gb_code code, uint64_t version)
{
	switch (code) {
	case GB_OK:
		nd_event_emit_plain(node, EV_PLAN_CONFIRMED,
				    (int64_t)pending->plan, version);
		break;
	case GB_ERR_CONFLICT:
		nd_event_emit_plain(node, EV_PLAN_CONFLICT,
				    (int64_t)pending->plan, version);
		break;
	case GB_ERR_TOO_LARGE:
		nd_event_emit_plain(node, EV_CONFIG_REFUSED, version, code);
		break;
	default:
		nd_event_emit_plain(node, EV_CONFIG_WRITE_UNKNOWN,
				    (int64_t)pending->plan, version);
		break;
	}
	answer_operator(node, pending->caller, code, version, NULL);
	g_ptr_array_remove(node->config_writes, pending);
}

static void on_write_done(struct node *node, struct nd_config_write *pending,
			  const struct nd_store_result *result)
{
	struct cfg *next;

	if (result->status == ND_STORE_TOO_LARGE) {
		finish_write(node, pending, GB_ERR_TOO_LARGE,
			     pending->base_version);
		return;
	}
	if (result->status != ND_STORE_OK) {
		if (result->status == ND_STORE_CONFLICT)
			nd_event_emit_plain(node, EV_CONFIG_CONFLICT,
					    (int64_t)pending->plan,
					    pending->base_version);
		/* Even a conflict may be with an earlier try of this write. */
		pending->read_back_at = node->clock.now;
		return;
	}
	next = cfg_copy(pending->new_cfg);
	next->version = result->version;
	nd_event_emit_plain(node, EV_CONFIG_WRITTEN, (int64_t)pending->plan,
			    result->version);
	nd_config_adopt(node, next);
	cfg_unref(next);
	finish_write(node, pending, GB_OK, result->version);
}

/* Decides by the configuration that the platform has now. */
static void on_read_done(struct node *node, struct nd_config_write *pending,
			 const struct nd_store_result *result)
{
	const struct cfg *cfg = result->cfg;

	if (result->status != ND_STORE_OK || !cfg) {
		pending->read_back_at = node->clock.now + READ_RETRY_DELAY;
		return;
	}
	if (cfg_has_change(cfg, pending->plan)) {
		finish_write(node, pending, GB_OK, cfg->version);
		return;
	}
	if (cfg->version != pending->base_version) {
		finish_write(node, pending, GB_ERR_CONFLICT, cfg->version);
		return;
	}
	/* Nothing was written, so the same conditional write is repeated. */
	start_write(node, pending);
}

void nd_plan_store_done(struct node *node, const struct nd_store_result *result)
{
	for (guint i = 0; i < node->config_writes->len; i++) {
		struct nd_config_write *pending =
			g_ptr_array_index(node->config_writes, i);

		if (pending->call_tag != result->tag)
			continue;
		pending->call_tag = 0;
		if (result->op == ND_STORE_WRITE)
			on_write_done(node, pending, result);
		else
			on_read_done(node, pending, result);
		return;
	}
}

void nd_plan_tick(struct node *node)
{
	for (guint i = node->config_writes->len; i-- > 0;) {
		struct nd_config_write *pending =
			g_ptr_array_index(node->config_writes, i);

		if (node->clock.now >= pending->deadline)
			finish_write(node, pending, GB_ERR_UNKNOWN_OUTCOME,
				     pending->base_version);
		else if (pending->read_back_at <= node->clock.now)
			read_back(node, pending);
	}
}
