#include "query/qry.h"

uint64_t qry_docs_searched(const struct qry_query *query)
{
	return query->docs_searched;
}

uint64_t qry_docs_total(const struct qry_query *query)
{
	return query->docs_total;
}

/* Returns the fraction searched; an empty snapshot is covered in full. */
double qry_coverage(const struct qry_query *query)
{
	uint64_t total = qry_docs_total(query);

	return total ? (double)qry_docs_searched(query) / (double)total : 1.0;
}

/*
 * Returns the most severe reason among the shards that are missing or searched
 * in part. enum qry_degraded is ordered by severity.
 */
enum qry_degraded qry_degraded(const struct qry_query *query)
{
	enum qry_degraded worst = QRY_DEGRADED_NONE;

	for (uint32_t i = 0; i < query->shards_len; i++) {
		const struct qry_shard *shard = &query->shards[i];
		enum qry_degraded reason = shard->degraded_reason;

		if (shard->state == QRY_SHARD_OK &&
		    shard->docs_searched < cfg_shard_docs(query->snapshot, i))
			reason = QRY_DEGRADED_TIMEOUT;
		else if (shard->state == QRY_SHARD_OK)
			continue;
		if (reason > worst)
			worst = reason;
	}
	return worst;
}
