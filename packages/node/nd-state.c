#include "node/nd-internal.h"

/* Returns an identity unique to this VM and process. */
uint64_t nd_id(struct node *node)
{
	return node->id_base | ++node->id_next;
}

/*
 * Tells whether a majority of granters, with no newer configuration than this
 * VM's, answered within the last lease time.
 */
bool nd_quorum(const struct node *node)
{
	const struct cfg *cfg = node->store.current;
	uint32_t heard = 0;

	for (uint32_t i = 0; i < cfg_granters(cfg); i++)
		heard += node->reply_at[i] &&
			 node->clock.now - node->reply_at[i] <
				 node->settings.lease;
	return heard >= cfg_majority(cfg);
}

/* Roster index of the owner of a shard; -1 if it has none. */
int nd_owner_of(const struct node *node, const struct cfg_service *service,
		uint32_t shard)
{
	return node->owner[cfg_unit(service, shard)];
}
