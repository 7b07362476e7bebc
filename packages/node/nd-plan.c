#include "node/nd-internal.h"

/* How long the outcome of a lost write is looked for. */
#define RESOLVE_TIME (5 * GB_SEC)
#define RETRY_PAUSE (100 * GB_MSEC)

static void respond(struct node *node, uint64_t caller, enum gb_code code,
		    uint64_t version, const struct pln_plan *plan);
static struct gb_str dc_of(const struct pln_intent *intent);
static bool changes_roster(enum pln_kind kind);
static void write_next(struct node *node, struct nd_confirm *confirm);
static void read_back(struct node *node, struct nd_confirm *confirm);
static void finish(struct node *node, struct nd_confirm *confirm,
		   enum gb_code code, uint64_t version);
static void written(struct node *node, struct nd_confirm *confirm,
		    const struct nd_store_result *result);
static void was_read(struct node *node, struct nd_confirm *confirm,
		     const struct nd_store_result *result);

void nd_confirm_free(gpointer data)
{
	struct nd_confirm *confirm = data;

	cfg_unref(confirm->next);
	g_free(confirm);
}

static void respond(struct node *node, uint64_t caller, enum gb_code code,
		    uint64_t version, const struct pln_plan *plan)
{
	struct nd_admin_result result = {
		.caller = caller, .code = code, .version = version, .plan = plan
	};

	/* Changes of the roster have no caller. */
	if (!caller)
		return;
	node->ops->admin_answer(node->ctx, &result);
}

/* The data centre that an intent concerns; empty if it is about others. */
static struct gb_str dc_of(const struct pln_intent *intent)
{
	if (intent->kind == PLN_DC_CREATE || intent->kind == PLN_DC_OUT ||
	    intent->kind == PLN_DC_BACK)
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
		respond(node, caller, err.code, 0, NULL);
		return;
	}
	nd_event(node, EV_PLAN_MADE, GB_STR(""), GB_STR(""), dc_of(intent),
		 (int64_t)plan->id, plan->base_version);
	respond(node, caller, GB_OK, plan->base_version, plan);
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

	/* An operator who lost the answer may confirm the same plan again. */
	if (cfg && cfg_has_change(cfg, plan)) {
		respond(node, caller, GB_OK, cfg->version, NULL);
		return;
	}
	if (cfg && changes_roster(intent->kind) &&
	    !quo_epoch_settled(&node->members, cfg, node->clock.now,
			       node->settings.lease)) {
		respond(node, caller, GB_ERR_IN_PROGRESS, cfg->version, NULL);
		return;
	}
	if (!cfg || pln_apply(cfg, intent, plan, base_version,
			      node->clock.wall_ms, &next, &err)) {
		if (err.code == GB_ERR_CONFLICT)
			nd_event_plain(node, EV_PLAN_CONFLICT, (int64_t)plan,
				       base_version);
		respond(node, caller, err.code, cfg ? cfg->version : 0, NULL);
		return;
	}
	nd_plan_write(node, caller, plan, base_version, next);
}

/* Writes a changed configuration, takes it over, and answers the caller. */
void nd_plan_write(struct node *node, uint64_t caller, uint64_t plan,
		   uint64_t base_version, struct cfg *next)
{
	struct nd_confirm *confirm = g_new0(struct nd_confirm, 1);

	confirm->caller = caller;
	confirm->plan = plan;
	confirm->base_version = base_version;
	confirm->next = next;
	confirm->deadline = node->clock.now + RESOLVE_TIME;
	g_ptr_array_add(node->confirms, confirm);
	write_next(node, confirm);
}

static void write_next(struct node *node, struct nd_confirm *confirm)
{
	confirm->tag = node->tag_next++;
	confirm->next_tick = GB_NEVER;
	met_add(node->metrics, MET_STORE_WRITES, 1);
	node->ops->store_write(node->ctx, confirm->tag, confirm->next,
			       confirm->base_version);
}

static void read_back(struct node *node, struct nd_confirm *confirm)
{
	confirm->tag = node->tag_next++;
	confirm->next_tick = GB_NEVER;
	met_add(node->metrics, MET_STORE_READS, 1);
	node->ops->store_read(node->ctx, confirm->tag);
}

static void finish(struct node *node, struct nd_confirm *confirm,
		   enum gb_code code, uint64_t version)
{
	switch (code) {
	case GB_OK:
		nd_event_plain(node, EV_PLAN_CONFIRMED, (int64_t)confirm->plan,
			       version);
		break;
	case GB_ERR_CONFLICT:
		nd_event_plain(node, EV_PLAN_CONFLICT, (int64_t)confirm->plan,
			       version);
		break;
	case GB_ERR_TOO_LARGE:
		nd_event_plain(node, EV_CONFIG_REFUSED, version, code);
		break;
	default:
		nd_event_plain(node, EV_CONFIG_WRITE_UNKNOWN,
			       (int64_t)confirm->plan, version);
		break;
	}
	respond(node, confirm->caller, code, version, NULL);
	g_ptr_array_remove(node->confirms, confirm);
}

static void written(struct node *node, struct nd_confirm *confirm,
		    const struct nd_store_result *result)
{
	struct cfg *next;

	if (result->status == ND_STORE_TOO_LARGE) {
		finish(node, confirm, GB_ERR_TOO_LARGE, confirm->base_version);
		return;
	}
	if (result->status != ND_STORE_OK) {
		if (result->status == ND_STORE_CONFLICT)
			nd_event_plain(node, EV_CONFIG_CONFLICT,
				       (int64_t)confirm->plan,
				       confirm->base_version);
		/* Also a conflict may be with an earlier try of this write. */
		confirm->next_tick = node->clock.now;
		return;
	}
	next = cfg_copy(confirm->next);
	next->version = result->version;
	nd_event_plain(node, EV_CONFIG_WRITTEN, (int64_t)confirm->plan,
		       result->version);
	nd_config_offer(node, next);
	cfg_unref(next);
	finish(node, confirm, GB_OK, result->version);
}

/* Decides by what the platform holds now. */
static void was_read(struct node *node, struct nd_confirm *confirm,
		     const struct nd_store_result *result)
{
	const struct cfg *cfg = result->cfg;

	if (result->status != ND_STORE_OK || !cfg) {
		confirm->next_tick = node->clock.now + RETRY_PAUSE;
		return;
	}
	if (cfg_has_change(cfg, confirm->plan)) {
		finish(node, confirm, GB_OK, cfg->version);
		return;
	}
	if (cfg->version != confirm->base_version) {
		finish(node, confirm, GB_ERR_CONFLICT, cfg->version);
		return;
	}
	/* Nothing was written: the same conditional write can be repeated. */
	write_next(node, confirm);
}

void nd_plan_store_done(struct node *node, const struct nd_store_result *result)
{
	for (guint i = 0; i < node->confirms->len; i++) {
		struct nd_confirm *confirm =
			g_ptr_array_index(node->confirms, i);

		if (confirm->tag != result->tag)
			continue;
		confirm->tag = 0;
		if (result->op == ND_STORE_WRITE)
			written(node, confirm, result);
		else
			was_read(node, confirm, result);
		return;
	}
}

void nd_plan_tick(struct node *node)
{
	for (guint i = node->confirms->len; i-- > 0;) {
		struct nd_confirm *confirm =
			g_ptr_array_index(node->confirms, i);

		if (node->clock.now >= confirm->deadline)
			finish(node, confirm, GB_ERR_UNKNOWN_OUTCOME,
			       confirm->base_version);
		else if (confirm->next_tick <= node->clock.now)
			read_back(node, confirm);
	}
}
