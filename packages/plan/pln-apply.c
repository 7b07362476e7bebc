#include "plan/pln-row.h"

static int check_needs(const struct pln_row *row,
		       const struct pln_intent *intent, struct gb_error *err);

/* A member that the kind does not use is refused, as it hides a mistake. */
static int check_needs(const struct pln_row *row,
		       const struct pln_intent *intent, struct gb_error *err)
{
	bool field = row->needs & PLN_NEED_FIELD;
	bool part = row->needs & PLN_NEED_PART;

	if ((row->needs & PLN_NEED_TARGET) && !intent->target.len)
		return gb_fail(err, GB_ERR_MISSING, GB_STR("target"), 0);
	if (field != (intent->field.len > 0))
		return gb_fail(err, field ? GB_ERR_MISSING : GB_ERR_UNKNOWN_KEY,
			       GB_STR("field"), 0);
	if (part != (intent->part != NULL))
		return gb_fail(err, part ? GB_ERR_MISSING : GB_ERR_UNKNOWN_KEY,
			       GB_STR("part"), 0);
	return 0;
}

int pln_apply(const struct cfg *cfg, const struct pln_intent *intent,
	      uint64_t id, uint64_t base_version, int64_t wall_ms,
	      struct cfg **next, struct gb_error *err)
{
	const struct pln_row *row = pln_row(intent->kind);
	struct cfg *copy;

	if (base_version != cfg->version)
		return gb_fail(err, GB_ERR_CONFLICT, GB_STR("version"),
			       cfg->version);
	if (!row)
		return gb_fail(err, GB_ERR_BAD_REQUEST, GB_STR("intent"),
			       intent->kind);
	if (check_needs(row, intent, err))
		return -1;
	if (cfg_has_change(cfg, id))
		return gb_fail(err, GB_ERR_DUPLICATE, GB_STR("plan"), id);
	copy = cfg_copy(cfg);
	if (row->apply(copy, intent, wall_ms, err))
		goto fail;
	cfg_add_change(copy, id);
	if (cfg_check(copy, err) || cfg_check_step(cfg, copy, err))
		goto fail;
	*next = copy;
	return 0;

fail:
	cfg_unref(copy);
	return -1;
}
