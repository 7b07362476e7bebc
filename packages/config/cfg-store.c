#include "config/cfg.h"

/*
 * Only a higher version is stored, so that a late watch event, a peer with an
 * older version or a slow read can't bring back an older configuration.
 */
int cfg_store_update(struct cfg_store *store, struct cfg *next,
		     struct gb_error *err)
{
	if (next->version <= cfg_store_version(store))
		return gb_fail(err, GB_ERR_STALE_VERSION, GB_STR(""),
			       next->version);
	if (cfg_check(next, err))
		return -1;
	cfg_unref(store->current);
	store->current = cfg_ref(next);
	return 0;
}

uint64_t cfg_store_version(const struct cfg_store *store)
{
	return store->current ? store->current->version : 0;
}

void cfg_store_free(struct cfg_store *store)
{
	cfg_unref(store->current);
	store->current = NULL;
}
