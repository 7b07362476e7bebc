#include "plan/pln-row.h"

static int check_needs(const struct pln_kind_ops *ops,
		       const struct pln_intent *intent, struct gb_error *err);

/*
 * Refuses an intent that lacks a member which its kind needs, or that sets one
 * which its kind does not use, since that indicates a mistake of the operator.
 */
static int check_needs(const struct pln_kind_ops *ops,
		       const struct pln_intent *intent, struct gb_error *err)
{
	bool needs_field = ops->needs & PLN_NEED_FIELD;
	bool needs_fragment = ops->needs & PLN_NEED_FRAGMENT;

	if ((ops->needs & PLN_NEED_TARGET) && !intent->target.len)
		return gb_fail(err, GB_ERR_MISSING, GB_STR("target"), 0);
	if (needs_field != (intent->field.len > 0))
		return gb_fail(
			err, needs_field ? GB_ERR_MISSING : GB_ERR_UNKNOWN_KEY,
			GB_STR("field"), 0);
	if (needs_fragment != (intent->fragment != NULL))
		return gb_fail(err,
			       needs_fragment ? GB_ERR_MISSING
					      : GB_ERR_UNKNOWN_KEY,
			       GB_STR("part"), 0);
	return 0;
}

int pln_apply(const struct cfg *cfg, const struct pln_intent *intent,
	      uint64_t id, uint64_t base_version, int64_t wall_ms,
	      struct cfg **next, struct gb_error *err)
{
	const struct pln_kind_ops *ops = pln_kind_ops(intent->kind);
	struct cfg *copy;

	if (base_version != cfg->version)
		return gb_fail(err, GB_ERR_CONFLICT, GB_STR("version"),
			       cfg->version);
	if (!ops)
		return gb_fail(err, GB_ERR_BAD_REQUEST, GB_STR("intent"),
			       intent->kind);
	if (check_needs(ops, intent, err))
		return -1;
	if (cfg_has_change(cfg, id))
		return gb_fail(err, GB_ERR_DUPLICATE, GB_STR("plan"), id);
	copy = cfg_copy(cfg);
	if (ops->apply(copy, intent, wall_ms, err))
		goto fail;
	cfg_add_change(copy, id);
	if (cfg_check(copy, err) || cfg_check_successor(cfg, copy, err))
		goto fail;
	*next = copy;
	return 0;

fail:
	cfg_unref(copy);
	return -1;
}
