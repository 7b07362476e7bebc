#include "ctl/ctl-resolve.h"

void ctl_note_last_change(struct ctl_change *change, const struct cfg *cfg)
{
	guint len = cfg->change_ids->len;

	if (len && cfg->version <= change->base_version)
		change->last_change =
			g_array_index(cfg->change_ids, uint64_t, len - 1);
}

enum ctl_outcome ctl_resolve_outcome(const struct ctl_change *change,
				     const struct cfg *cfg)
{
	if (cfg_has_change(cfg, change->plan))
		return CTL_OUTCOME_DONE;
	if (cfg->version <= change->base_version)
		return CTL_OUTCOME_UNKNOWN;
	if (cfg->change_ids->len < CFG_CHANGES_MAX ||
	    (change->last_change && cfg_has_change(cfg, change->last_change)))
		return CTL_OUTCOME_CONFLICT;
	return CTL_OUTCOME_UNKNOWN;
}
