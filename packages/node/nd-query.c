#include "node/nd-internal.h"

/* Each lower priority may use this share less of the VM's query limit. */
#define PRIORITY_RESERVE_SHARE 0.1

static void on_send(void *ctx, struct qry_query *query, const uint32_t *shards,
		    uint32_t len, bool canary);
static void on_cancel(void *ctx, struct qry_query *query);
static void on_done(void *ctx, struct qry_query *query, enum gb_code code);
static void send_batch(struct node *node, struct qry_query *query, uint32_t vm,
		       struct msg_sub *subs, uint32_t len, bool canary);
static void leave_admission(struct node *node, struct qry_query *query,
			    bool overloaded);
static void refuse_request(struct node *node, const struct nd_request *request,
			   enum gb_code code);
static enum gb_code admit_request(struct node *node,
				  const struct nd_request *request,
				  struct qry_request *query_request);
static bool has_query_capacity(const struct node *node,
			       const struct cfg_service *service);
static void answer_caller(struct node *node, struct qry_query *query,
			  enum gb_code code);
static void apply_result(struct node *node, struct qry_query *query,
			 const struct msg_sub_result *sub);
static void count_finished_query(struct node *node,
				 const struct qry_query *query,
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
			.request_id = query->id,
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

		owner[i] = nd_shard_owner(node, service, shards[i]);
		shard->vm = 0;
		if (owner[i] < 0)
			continue;
		owners |= 1ULL << owner[i];
		shard->vm = cfg_vm(cfg, owner[i])->id;
		shard->attempt = nd_new_id(node);
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

/* Cancels the query at each owner that has a sub-request of it in flight. */
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

static void count_finished_query(struct node *node,
				 const struct qry_query *query,
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
		     node->clock.now - query->started_at);
}

static void answer_caller(struct node *node, struct qry_query *query,
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
		.degraded_reason = (enum nd_degraded_reason)qry_degraded(query),
		.elapsed = node->clock.now - query->started_at,
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
		sus_run_succeeded(node->suspects, node->clock.now,
				  query->fingerprint);
	leave_admission(node, query,
			qry_degraded(query) == QRY_DEGRADED_OVERLOAD);
	count_finished_query(node, query, code);
	nd_event_emit(node, EV_QUERY_END, query->id, GB_STR(""), GB_STR(""),
		      code, node->clock.now - query->started_at);
	answer_caller(node, query, code);
}

/* Ends the query's admission and marks the query to be freed. */
static void leave_admission(struct node *node, struct qry_query *query,
			    bool overloaded)
{
	struct nd_service *service = nd_service_find_or_add(
		node, cfg_service(query->cfg, query->service));

	qry_admission_leave(&service->admission, node->clock.now,
			    query->queue_wait_max,
			    query->deadline - query->started_at, overloaded);
	g_ptr_array_add(node->ended_queries, query);
}

/* Refuses a lookup before any sub-request was sent. */
static void refuse_request(struct node *node, const struct nd_request *request,
			   enum gb_code code)
{
	struct nd_answer out = {
		.caller = request->caller,
		.id = request->id,
		.code = code,
		.retry_after = code == GB_ERR_UNKNOWN_SERVICE ? 0 : GB_SEC,
	};

	met_add(node->metrics, MET_QUERIES_REFUSED, 1);
	nd_event_emit(node, EV_QUERY_REFUSED, request->id, GB_STR(""),
		      GB_STR(""), code, 0);
	node->ops->answer(node->ctx, &out);
}

/* Tells whether the VM has capacity left for queries of this priority. */
static bool has_query_capacity(const struct node *node,
			       const struct cfg_service *service)
{
	double share = 1.0 - PRIORITY_RESERVE_SHARE * MIN(service->priority, 8);

	return g_hash_table_size(node->queries) <
	       share * (double)node->settings.queries_max;
}

/* Checks a lookup and fills in its parameters; returns GB_OK if admitted. */
static enum gb_code admit_request(struct node *node,
				  const struct nd_request *request,
				  struct qry_request *query_request)
{
	const struct cfg *cfg = node->store.current;
	const struct cfg_service *service;
	enum sus_state suspicion;
	int index;

	if (!cfg || !nd_has_quorum(node))
		return GB_ERR_NOT_RUN;
	index = cfg_find_service(cfg, request->service);
	if (index < 0)
		return GB_ERR_UNKNOWN_SERVICE;
	service = cfg_service(cfg, index);
	if (!cfg_newest_snapshot(service))
		return GB_ERR_NOT_RUN;
	query_request->service = index;
	query_request->fingerprint =
		qry_fingerprint(service->name, request->body);
	suspicion = sus_state(node->suspects, node->clock.now,
			      query_request->fingerprint);
	if (suspicion == SUS_QUARANTINED)
		return GB_ERR_QUARANTINED;
	query_request->known_good = suspicion == SUS_GOOD;
	if (!has_query_capacity(node, service) ||
	    !qry_admission_enter(
		    &nd_service_find_or_add(node, service)->admission))
		return GB_ERR_OVER_LIMIT;
	return GB_OK;
}

void nd_query_start(struct node *node, const struct nd_request *request)
{
	struct qry_request query_request = {
		.caller = request->caller,
		.id = request->id,
		.body = request->body,
		.timeout = request->timeout,
		.min_coverage = request->min_coverage,
	};
	struct cfg *cfg = node->store.current;
	const struct nd_service *service;
	struct qry_query *query;
	enum gb_code code;

	met_add(node->metrics, MET_QUERIES, 1);
	code = admit_request(node, request, &query_request);
	if (code != GB_OK) {
		refuse_request(node, request, code);
		return;
	}
	query_request.number = nd_new_id(node);
	service = nd_service_find_or_add(
		node, cfg_service(cfg, query_request.service));
	query = qry_new(node->clock.now, cfg, &query_request,
			service->shared.policy, &query_ops, node);
	g_hash_table_insert(node->queries, &query->number, query);
	nd_event_emit(node, EV_QUERY_BEGIN, request->id, GB_STR(""), GB_STR(""),
		      query->snapshot->id, query->shards_len);
	qry_start(query, node->clock.now);
}

static void apply_result(struct node *node, struct qry_query *query,
			 const struct msg_sub_result *sub)
{
	bool restarted = query->restarted;

	qry_handle_result(query, node->clock.now, node->store.current, sub);
	if (query->restarted != restarted)
		nd_event_emit(node, EV_QUERY_RESTARTED, query->id, GB_STR(""),
			      GB_STR(""), query->snapshot->id,
			      query->shards_len);
}

void nd_on_result(struct node *node, const struct msg *msg)
{
	const struct msg_result *result = &msg->result;
	struct qry_query *query =
		g_hash_table_lookup(node->queries, &result->query);

	for (uint32_t i = 0; i < result->subs_len; i++) {
		const struct msg_sub_result *sub = &result->subs[i];

		if (nd_order_handle_result(node, result->query, sub))
			continue;
		if (query)
			apply_result(node, query, sub);
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
		nd_event_emit(node, EV_QUERY_CANCELLED, query->id, GB_STR(""),
			      GB_STR(""), 0, 0);
		qry_cancel(query);
		leave_admission(node, query, false);
	}
}

void nd_query_apply_config(struct node *node)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, node->queries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		qry_config_changed(value, node->clock.now, node->store.current);
}

/* Sends again, to new owners, the sub-requests that a dead VM had. */
void nd_query_vm_lost(struct node *node, uint32_t vm)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, node->queries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		qry_vm_dead(value, node->clock.now, vm);
}

/* Frees the queries that have ended. */
void nd_query_free_ended(struct node *node)
{
	for (guint i = 0; i < node->ended_queries->len; i++) {
		struct qry_query *query =
			g_ptr_array_index(node->ended_queries, i);

		g_hash_table_remove(node->queries, &query->number);
		qry_free(query);
	}
	g_ptr_array_set_size(node->ended_queries, 0);
}
