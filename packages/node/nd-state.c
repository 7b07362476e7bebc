#include "node/nd-internal.h"

/* Returns an id that is unique to this VM and incarnation. */
uint64_t nd_new_id(struct node *node)
{
	return node->id_base | ++node->id_next;
}

/*
 * Tells whether a majority of the granters replied to heartbeats within the
 * last lease time. Replies with a newer configuration than this VM's do not
 * count.
 */
bool nd_has_quorum(const struct node *node)
{
	const struct cfg *cfg = node->store.current;
	uint32_t heard = 0;

	for (uint32_t i = 0; i < cfg_granter_count(cfg); i++)
		heard += node->reply_at[i] &&
			 node->clock.now - node->reply_at[i] <
				 node->settings.lease;
	return heard >= cfg_majority(cfg);
}

/* Returns the roster index of a shard's owner; -1 if it has none. */
int nd_shard_owner(const struct node *node, const struct cfg_service *service,
		   uint32_t shard)
{
	return node->unit_owner[cfg_shard_unit(service, shard)];
}
