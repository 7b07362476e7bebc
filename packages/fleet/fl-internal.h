#ifndef FL_INTERNAL_H
#define FL_INTERNAL_H

/*
 * NAME
 *	fl-internal - the state of a fleet, within the package
 */

#include "fleet/fl.h"

struct fl_fleet {
	struct fl_settings settings;
	gb_time linger; /* last resort after an upstream has left */
	const struct fl_ops *ops;
	const struct fl_share *share;
	void *ctx;
	struct gb_rng *rng;
	GHashTable *services; /* name to struct fl_service */
	GHashTable *upstreams; /* id to struct fl_upstream */
	GHashTable *excluded; /* data centre to struct exclusion */
};

GHashTable *fl_exclusions_new(void);
bool fl_is_excluded(const struct fl_fleet *fleet, struct gb_str dc);

/* Tells whether this VM's part of a cold upstream's rate has room. */
bool fl_cold_room(const struct fl_fleet *fleet, struct fl_upstream *upstream,
		  gb_time now);
void fl_cold_take(const struct fl_fleet *fleet, struct fl_upstream *upstream,
		  gb_time now);

#endif
