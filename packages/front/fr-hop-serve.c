#include "front/fr-delegate.h"
#include "front/fr-organisation.h"

/* The request was not run, and is better gathered by the VM that sent it. */
#define STATUS_NOT_TAKEN 421

static void refuse(struct ht_exchange *exchange)
{
	ht_reply(exchange, &(struct ht_reply){ .status = STATUS_NOT_TAKEN });
}

/*
 * Fills what the request is forwarded with. Both VMs must have the same
 * configuration, since the other one has chosen the route and checked the key.
 */
static bool prepare(struct fr *fr, struct ht_exchange *exchange,
		    const struct fr_hop *hop, struct rt_route **route,
		    struct fw_request_params *params)
{
	struct rt_table *table = fr->config.table;
	struct fr_request_info info;

	if (fr->phase != FR_RUNNING || !table ||
	    table->version != hop->config_version ||
	    fr->queries_of_others >= hp_queries_max(fr->helpers))
		return false;
	fr->platform->read_request_info(&exchange->request, &info);
	*route = rt_find_route(table, info.host, exchange->request.path);
	if (!*route || !(*route)->fanout)
		return false;
	*params = (struct fw_request_params){
		.id = info.id,
		.fingerprint =
			fr_request_fingerprint(&exchange->request, info.host),
		.received_at = exchange->received_at - hop->elapsed,
		.timeout = info.timeout,
		.rtt = hop->rtt + exchange->network_delay,
		.unread_max = hop->unread_max + exchange->unread_max,
		.attempts_max = hop->attempts_max,
	};
	if (!hop->organisation)
		return true;
	params->org = fr_org_find(fr, hop->organisation);
	return params->org != NULL;
}

bool fr_hop_serve(struct fr *fr, struct ht_exchange *exchange)
{
	struct fw_request_params params;
	struct rt_route *route;
	struct fr_query *query;
	struct fr_hop hop;

	switch (fr_hop_read(&exchange->request, &hop)) {
	case FR_HOP_NONE:
		return false;
	case FR_HOP_BAD:
		refuse(exchange);
		return true;
	case FR_HOP_READ:
		break;
	}
	if (!prepare(fr, exchange, &hop, &route, &params)) {
		refuse(exchange);
		return true;
	}
	met_add(&fr->metrics, MET_GATHERED_FOR_OTHERS, 1);
	query = fr_query_new(fr, exchange, fr->config.table, route, &params);
	query->is_of_other = true;
	fr->queries_of_others++;
	fr_query_run(query);
	return true;
}

bool fr_hop_cancel(struct fr *fr, struct ht_exchange *exchange)
{
	for (GList *at = fr->queries.head; at; at = at->next) {
		struct fr_query *query = at->data;

		if (!query->is_of_other || query->exchange != exchange)
			continue;
		fr_query_cancel(query);
		return true;
	}
	return false;
}
