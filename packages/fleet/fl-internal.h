#ifndef FL_INTERNAL_H
#define FL_INTERNAL_H

/*
 * NAME
 *	fl-internal - the state of a fleet, private to the package
 */

#include "fleet/fl.h"

struct fl_fleet {
	struct fl_settings settings;
	gb_time last_resort_time; /* how long a leaving upstream is used */
	const struct fl_ops *ops;
	const struct fl_membership *membership;
	void *ctx;
	struct gb_rng *rng;
	GHashTable *services; /* name to struct fl_service */
	GHashTable *upstreams; /* id to struct fl_upstream */
	GHashTable *excluded; /* data centre to struct exclusion */
};

/*
 * Tells whether the version of the upstream is neither the current nor the
 * target version of its service.
 */
bool fl_is_barred(const struct fl_fleet *fleet,
		  const struct fl_upstream *upstream);

/* Determines the current version again if no upstream has it any more. */
void fl_update_version(const struct fl_fleet *fleet, struct fl_service *service,
		       gb_time now);

GHashTable *fl_exclusions_new(void);
bool fl_is_excluded(const struct fl_fleet *fleet, struct gb_str dc);

/* Tells whether this VM's share of a cold upstream's rate has a token left. */
bool fl_cold_has_token(const struct fl_fleet *fleet,
		       struct fl_upstream *upstream, gb_time now);
/* Takes one token for a call to a cold upstream. */
void fl_cold_take_token(const struct fl_fleet *fleet,
			struct fl_upstream *upstream, gb_time now);

#endif
