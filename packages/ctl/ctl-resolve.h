#ifndef CTL_RESOLVE_H
#define CTL_RESOLVE_H

/*
 * NAME
 *	ctl-resolve - whether a change of unknown outcome took effect
 *
 * DESCRIPTION
 *	The configuration keeps the identities of its last changes. A version
 *	that has the identity of a plan shows that the plan was accepted. A
 *	version above the base of the plan without it shows that the plan was
 *	not and never will be, since its write was conditional on the base; as
 *	old identities are removed, this holds only if the list shows that
 *	none was removed since the base.
 */

#include "config/cfg.h"

enum ctl_outcome { CTL_OUTCOME_OPEN, CTL_OUTCOME_DONE, CTL_OUTCOME_CONFLICT };

struct ctl_change {
	uint64_t plan;
	uint64_t base_version;
	uint64_t anchor; /* newest change known before the plan; 0 for none */
};

/* Notes the newest change of a version that is not above the base. */
void ctl_resolve_anchor(struct ctl_change *change, const struct cfg *cfg);

enum ctl_outcome ctl_resolve(const struct ctl_change *change,
			     const struct cfg *cfg);

#endif
