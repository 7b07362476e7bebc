#include "node/nd-internal.h"

/* Queries of each lower priority leave more of the VM's limit free. */
#define PRIORITY_SHARE 0.1

static void on_send(void *ctx, struct qry_query *query, const uint32_t *shards,
		    uint32_t len, bool canary);
static void on_cancel(void *ctx, struct qry_query *query);
static void on_done(void *ctx, struct qry_query *query, enum gb_code code);
static void send_batch(struct node *node, struct qry_query *query, uint32_t vm,
		       struct msg_sub *subs, uint32_t len, bool canary);
static void leave(struct node *node, struct qry_query *query, bool overloaded);
static void refuse(struct node *node, const struct nd_request *request,
		   enum gb_code code);
static enum gb_code admit(struct node *node, const struct nd_request *request,
			  struct qry_request *in);
static bool vm_has_room(const struct node *node,
			const struct cfg_service *service);
static void answer(struct node *node, struct qry_query *query,
		   enum gb_code code);
static void take_result(struct node *node, struct qry_query *query,
			const struct msg_sub_result *sub);
static void count_end(struct node *node, const struct qry_query *query,
		      enum gb_code code);

static const struct qry_ops query_ops = {
	.send = on_send,
	.cancel = on_cancel,
	.done = on_done,
};

static void send_batch(struct node *node, struct qry_query *query, uint32_t vm,
		       struct msg_sub *subs, uint32_t len, bool canary)
{
	struct msg msg = {
		.kind = MSG_QUERY_BATCH,
		.batch = {
			.query = query->number,
			.config_version = cfg_store_version(&node->store),
			.request = query->id,
			.service =
				cfg_service(query->cfg, query->service)->name,
			.snapshot = query->snapshot->id,
			.fingerprint = query->fingerprint,
			.time_left = query->deadline - node->clock.now,
			.canary = canary,
			.body = query->body,
			.subs = subs,
			.subs_len = len,
		},
	};

	nd_send(node, vm, &msg);
}

/* Sends one batch to each owner of the shards. */
static void on_send(void *ctx, struct qry_query *query, const uint32_t *shards,
		    uint32_t len, bool canary)
{
	struct node *node = ctx;
	const struct cfg *cfg = node->store.current;
	const struct cfg_service *service =
		cfg_service(query->cfg, query->service);
	struct msg_sub *subs = g_new(struct msg_sub, len);
	int8_t *owner = g_new(int8_t, len);
	uint64_t owners = 0;

	for (uint32_t i = 0; i < len; i++) {
		struct qry_shard *shard = &query->shards[shards[i]];

		owner[i] = nd_owner_of(node, service, shards[i]);
		shard->vm = 0;
		if (owner[i] < 0)
			continue;
		owners |= 1ULL << owner[i];
		shard->vm = cfg_vm(cfg, owner[i])->id;
		shard->attempt = nd_id(node);
	}
	while (owners) {
		int index = __builtin_ctzll(owners);
		uint32_t count = 0;

		owners &= owners - 1;
		for (uint32_t i = 0; i < len; i++)
			if (owner[i] == index)
				subs[count++] = (struct msg_sub){
					.attempt = query->shards[shards[i]]
							   .attempt,
					.shard = shards[i],
				};
		send_batch(node, query, cfg_vm(cfg, index)->id, subs, count,
			   canary);
	}
	g_free(owner);
	g_free(subs);
}

/* Cancels at each owner that still has something of the query. */
static void on_cancel(void *ctx, struct qry_query *query)
{
	struct node *node = ctx;
	struct msg msg = { .kind = MSG_CANCEL,
			   .cancel = { .query = query->number } };
	const struct cfg *cfg = node->store.current;

	for (guint i = 0; i < cfg->vms->len; i++) {
		uint32_t vm = cfg_vm(cfg, i)->id;

		for (uint32_t k = 0; k < query->shards_len; k++) {
			const struct qry_shard *shard = &query->shards[k];

			if (shard->state != QRY_SHARD_SENT || shard->vm != vm)
				continue;
			nd_send(node, vm, &msg);
			break;
		}
	}
}

static void count_end(struct node *node, const struct qry_query *query,
		      enum gb_code code)
{
	struct met_registry *metrics = node->metrics;

	if (code == GB_OK && qry_docs_searched(query) == qry_docs_total(query))
		met_add(metrics, MET_QUERIES_COMPLETE, 1);
	else if (code == GB_OK)
		met_add(metrics, MET_QUERIES_PARTIAL, 1);
	else if (code == GB_ERR_DEADLINE)
		met_add(metrics, MET_QUERIES_LATE, 1);
	else
		met_add(metrics, MET_QUERIES_REFUSED, 1);
	if (query->restarted)
		met_add(metrics, MET_QUERIES_RESTARTED, 1);
	met_hist_add(&metrics->histogram[MET_QUERY_TIME],
		     node->clock.now - query->begin);
}

static void answer(struct node *node, struct qry_query *query,
		   enum gb_code code)
{
	struct gb_str *bodies = g_new(struct gb_str, query->shards_len);
	uint32_t *shards = g_new(uint32_t, query->shards_len);
	struct nd_answer out = {
		.caller = query->caller,
		.id = query->id,
		.code = code,
		.retry_after = code == GB_ERR_OVER_LIMIT ? GB_SEC : 0,
		.snapshot = query->snapshot->id,
		.docs_searched = qry_docs_searched(query),
		.docs_total = qry_docs_total(query),
		.degraded = (enum nd_degraded)qry_degraded(query),
		.elapsed = node->clock.now - query->begin,
		.sub_requests = query->sends,
		.bodies = bodies,
		.shards = shards,
	};

	for (uint32_t i = 0; i < query->shards_len; i++) {
		if (query->shards[i].state != QRY_SHARD_OK)
			continue;
		bodies[out.bodies_len] = query->shards[i].body;
		shards[out.bodies_len++] = i;
	}
	node->ops->answer(node->ctx, &out);
	g_free(shards);
	g_free(bodies);
}

static void on_done(void *ctx, struct qry_query *query, enum gb_code code)
{
	struct node *node = ctx;

	if (code == GB_OK)
		sus_success(node->suspects, node->clock.now,
			    query->fingerprint);
	leave(node, query, qry_degraded(query) == QRY_DEGRADED_OVERLOAD);
	count_end(node, query, code);
	nd_event(node, EV_QUERY_END, query->id, GB_STR(""), GB_STR(""), code,
		 node->clock.now - query->begin);
	answer(node, query, code);
}

/* Gives the query's place in its service's admission back. */
static void leave(struct node *node, struct qry_query *query, bool overloaded)
{
	struct nd_service *service =
		nd_service_get(node, cfg_service(query->cfg, query->service));

	qry_admission_leave(&service->admission, node->clock.now,
			    query->wait_max, query->deadline - query->begin,
			    overloaded);
	g_ptr_array_add(node->ended, query);
}

/* Refuses a lookup before any part of it was sent. */
static void refuse(struct node *node, const struct nd_request *request,
		   enum gb_code code)
{
	struct nd_answer out = {
		.caller = request->caller,
		.id = request->id,
		.code = code,
		.retry_after = code == GB_ERR_UNKNOWN_SERVICE ? 0 : GB_SEC,
	};

	met_add(node->metrics, MET_QUERIES_REFUSED, 1);
	nd_event(node, EV_QUERY_REFUSED, request->id, GB_STR(""), GB_STR(""),
		 code, 0);
	node->ops->answer(node->ctx, &out);
}

/* Keeps room for services of higher priority. */
static bool vm_has_room(const struct node *node,
			const struct cfg_service *service)
{
	double share = 1.0 - PRIORITY_SHARE * MIN(service->priority, 8);

	return g_hash_table_size(node->queries) <
	       share * (double)node->settings.queries_max;
}

/* Checks a lookup and completes it; GB_OK admits it. */
static enum gb_code admit(struct node *node, const struct nd_request *request,
			  struct qry_request *in)
{
	const struct cfg *cfg = node->store.current;
	const struct cfg_service *service;
	enum sus_state suspicion;
	int index;

	if (!cfg || !nd_quorum(node))
		return GB_ERR_NOT_RUN;
	index = cfg_find_service(cfg, request->service);
	if (index < 0)
		return GB_ERR_UNKNOWN_SERVICE;
	service = cfg_service(cfg, index);
	if (!cfg_newest_snapshot(service))
		return GB_ERR_NOT_RUN;
	in->service = index;
	in->fingerprint = qry_fingerprint(service->name, request->body);
	suspicion = sus_state(node->suspects, node->clock.now, in->fingerprint);
	if (suspicion == SUS_QUARANTINED)
		return GB_ERR_QUARANTINED;
	in->known_good = suspicion == SUS_GOOD;
	if (!vm_has_room(node, service) ||
	    !qry_admission_enter(&nd_service_get(node, service)->admission))
		return GB_ERR_OVER_LIMIT;
	return GB_OK;
}

void nd_query_start(struct node *node, const struct nd_request *request)
{
	struct qry_request in = {
		.caller = request->caller,
		.id = request->id,
		.body = request->body,
		.deadline = request->deadline,
		.min_coverage = request->min_coverage,
	};
	struct cfg *cfg = node->store.current;
	const struct nd_service *service;
	struct qry_query *query;
	enum gb_code code;

	met_add(node->metrics, MET_QUERIES, 1);
	code = admit(node, request, &in);
	if (code != GB_OK) {
		refuse(node, request, code);
		return;
	}
	in.number = nd_id(node);
	service = nd_service_get(node, cfg_service(cfg, in.service));
	query = qry_new(node->clock.now, cfg, &in, service->shared.policy,
			&query_ops, node);
	g_hash_table_insert(node->queries, &query->number, query);
	nd_event(node, EV_QUERY_BEGIN, request->id, GB_STR(""), GB_STR(""),
		 query->snapshot->id, query->shards_len);
	qry_start(query, node->clock.now);
}

static void take_result(struct node *node, struct qry_query *query,
			const struct msg_sub_result *sub)
{
	bool restarted = query->restarted;

	qry_result(query, node->clock.now, node->store.current, sub);
	if (query->restarted != restarted)
		nd_event(node, EV_QUERY_RESTARTED, query->id, GB_STR(""),
			 GB_STR(""), query->snapshot->id, query->shards_len);
}

void nd_on_result(struct node *node, const struct msg *msg)
{
	const struct msg_result *result = &msg->result;
	struct qry_query *query =
		g_hash_table_lookup(node->queries, &result->query);

	for (uint32_t i = 0; i < result->subs_len; i++) {
		const struct msg_sub_result *sub = &result->subs[i];

		if (nd_order_result(node, result->query, sub))
			continue;
		if (query)
			take_result(node, query, sub);
		else
			met_add(node->metrics, MET_ANSWERS_DROPPED, 1);
	}
}

void nd_query_tick(struct node *node)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, node->queries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct qry_query *query = value;

		if (query->next_tick <= node->clock.now)
			qry_tick(query, node->clock.now);
	}
}

void nd_query_caller_gone(struct node *node, uint64_t caller)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, node->queries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct qry_query *query = value;

		if (query->caller != caller || query->ended)
			continue;
		nd_event(node, EV_QUERY_CANCELLED, query->id, GB_STR(""),
			 GB_STR(""), 0, 0);
		qry_abandon(query);
		leave(node, query, false);
	}
}

void nd_query_follow(struct node *node)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, node->queries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		qry_follow(value, node->clock.now, node->store.current);
}

void nd_query_vm_lost(struct node *node, uint32_t vm)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, node->queries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		qry_vm_lost(value, node->clock.now, vm);
}

/* Frees the queries that have ended. */
void nd_query_reap(struct node *node)
{
	for (guint i = 0; i < node->ended->len; i++) {
		struct qry_query *query = g_ptr_array_index(node->ended, i);

		g_hash_table_remove(node->queries, &query->number);
		qry_free(query);
	}
	g_ptr_array_set_size(node->ended, 0);
}
