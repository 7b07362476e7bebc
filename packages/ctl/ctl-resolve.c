#include "ctl/ctl-resolve.h"

void ctl_resolve_anchor(struct ctl_change *change, const struct cfg *cfg)
{
	guint len = cfg->changes->len;

	if (len && cfg->version <= change->base_version)
		change->anchor = g_array_index(cfg->changes, uint64_t, len - 1);
}

enum ctl_outcome ctl_resolve(const struct ctl_change *change,
			     const struct cfg *cfg)
{
	if (cfg_has_change(cfg, change->plan))
		return CTL_OUTCOME_DONE;
	if (cfg->version <= change->base_version)
		return CTL_OUTCOME_OPEN;
	if (cfg->changes->len < CFG_CHANGES_MAX ||
	    (change->anchor && cfg_has_change(cfg, change->anchor)))
		return CTL_OUTCOME_CONFLICT;
	return CTL_OUTCOME_OPEN;
}
