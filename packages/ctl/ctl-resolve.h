#ifndef CTL_RESOLVE_H
#define CTL_RESOLVE_H

/*
 * NAME
 *	ctl-resolve - finds out whether a change of unknown outcome was made
 *
 * DESCRIPTION
 *	The configuration keeps the ids of its last changes. A version
 *	that has the id of a plan shows that the plan was accepted. A
 *	version above the base of the plan without it shows that the plan was
 *	not accepted and never will be, since its write was conditional on the
 *	base. As old ids are removed, this holds only if the list shows
 *	that none was removed since the base.
 */

#include "config/cfg.h"

enum ctl_outcome {
	CTL_OUTCOME_UNKNOWN,
	CTL_OUTCOME_DONE,
	CTL_OUTCOME_CONFLICT
};

struct ctl_change {
	uint64_t plan; /* plan id */
	uint64_t base_version;
	uint64_t last_change; /* newest known before the plan; 0: none */
};

/* Notes the newest change in cfg if its version is not above the base. */
void ctl_note_last_change(struct ctl_change *change, const struct cfg *cfg);

/* Returns the outcome of a change as far as cfg shows it. */
enum ctl_outcome ctl_resolve_outcome(const struct ctl_change *change,
				     const struct cfg *cfg);

#endif
