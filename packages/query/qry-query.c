#include "query/qry.h"

#include <glib.h>

/* Pause before a sub-request that its owner did not run is sent again. */
#define RESEND_DELAY (10 * GB_MSEC)

/* Fraction of the timeout that must be left for a restart. */
#define RESTART_TIME_FRACTION 0.3

static gb_time give_up_time(const struct qry_query *query);
static void schedule_tick(struct qry_query *query, gb_time now);
static void send_due(struct qry_query *query, gb_time now);
static void release_held_shards(struct qry_query *query, gb_time now);
static void set_due(struct qry_query *query, struct qry_shard *shard,
		    gb_time due);
static void make_first_due(struct qry_query *query, gb_time now);
static void init_shards(struct qry_query *query);
static void set_final_state(struct qry_query *query, uint32_t shard,
			    enum qry_shard_state state,
			    enum qry_degraded reason);
static bool is_answer_valid(const struct qry_query *query,
			    const struct msg_sub_result *result);
static void accept_answer(struct qry_query *query, gb_time now,
			  const struct msg_sub_result *result);
static bool try_restart(struct qry_query *query, gb_time now,
			struct cfg *current);
static void handle_failure(struct qry_query *query, gb_time now,
			   struct cfg *current,
			   const struct msg_sub_result *result);
static bool any_may_have_run(const struct qry_query *query);
static enum gb_code error_without_answer(const struct qry_query *query);
static void finish_query(struct qry_query *query);
static void end_query(struct qry_query *query, enum gb_code code);

uint64_t qry_fingerprint(struct gb_str service, struct gb_str body)
{
	return gb_hash(body, gb_hash(service, 0));
}

struct qry_query *qry_new(gb_time now, struct cfg *cfg,
			  const struct qry_request *request,
			  const struct pol_ops *policy,
			  const struct qry_ops *ops, void *ctx)
{
	const struct cfg_service *service = cfg_service(cfg, request->service);
	struct qry_query *query = g_new0(struct qry_query, 1);
	gb_time timeout =
		request->timeout ? request->timeout : service->deadline;

	query->number = request->number;
	query->caller = request->caller;
	query->id = gb_str_dup(request->id);
	query->body = gb_str_dup(request->body);
	query->fingerprint = request->fingerprint;
	query->cfg = cfg_ref(cfg);
	query->service = request->service;
	query->policy = policy;
	query->snapshot = cfg_newest_snapshot(service);
	query->started_at = now;
	query->deadline = now + timeout;
	query->min_coverage = request->min_coverage;
	query->canary_pending = service->canary && !request->known_good;
	init_shards(query);
	query->ops = ops;
	query->ctx = ctx;
	return query;
}

void qry_free(struct qry_query *query)
{
	if (!query)
		return;
	for (uint32_t i = 0; i < query->shards_len; i++)
		gb_str_free(&query->shards[i].body);
	g_free(query->shards);
	gb_str_free(&query->id);
	gb_str_free(&query->body);
	cfg_unref(query->cfg);
	g_free(query);
}

/* Allocates the table of shards for the pinned snapshot. */
static void init_shards(struct qry_query *query)
{
	query->shards_len =
		cfg_service(query->cfg, query->service)->shards->len;
	query->shards = g_new0(struct qry_shard, query->shards_len);
	query->pending_shards = query->shards_len;
	query->due_shards = 0;
	query->docs_searched = 0;
	query->docs_total = cfg_snapshot_docs(query->snapshot);
}

static void set_due(struct qry_query *query, struct qry_shard *shard,
		    gb_time due)
{
	shard->state = QRY_SHARD_DUE;
	shard->due_at = due;
	query->due_shards++;
}

/* Returns the time from which missing shards are no longer waited for. */
static gb_time give_up_time(const struct qry_query *query)
{
	double fraction = query->policy->give_up_fraction;

	return query->started_at +
	       (gb_time)((double)(query->deadline - query->started_at) *
			 fraction);
}

/* Sets the time of the next tick. */
static void schedule_tick(struct qry_query *query, gb_time now)
{
	gb_time next = give_up_time(query);

	if (now >= next)
		next = query->deadline;
	for (uint32_t i = 0; query->due_shards && i < query->shards_len; i++)
		if (query->shards[i].state == QRY_SHARD_DUE)
			next = MIN(next, query->shards[i].due_at);
	query->next_tick = next;
}

/* Sends all due shards in one call, so that they share batches. */
static void send_due(struct qry_query *query, gb_time now)
{
	uint32_t *to_send;
	uint32_t len = 0;

	if (!query->due_shards)
		return;
	to_send = g_new(uint32_t, query->shards_len);
	for (uint32_t i = 0; i < query->shards_len; i++) {
		struct qry_shard *shard = &query->shards[i];

		if (shard->state != QRY_SHARD_DUE || shard->due_at > now)
			continue;
		shard->state = QRY_SHARD_SENT;
		query->due_shards--;
		to_send[len++] = i;
	}
	if (len)
		query->ops->send(query->ctx, query, to_send, len,
				 query->canary_pending);
	for (uint32_t i = 0; i < len; i++) {
		struct qry_shard *shard = &query->shards[to_send[i]];

		if (shard->vm) {
			query->sends++;
			continue;
		}
		set_due(query, shard, now + RESEND_DELAY);
		shard->degraded_reason = QRY_DEGRADED_UNAVAILABLE;
	}
	g_free(to_send);
}

/* Makes all shards due that wait for the canary. */
static void release_held_shards(struct qry_query *query, gb_time now)
{
	query->canary_pending = false;
	for (uint32_t i = 0; i < query->shards_len; i++) {
		if (query->shards[i].state != QRY_SHARD_HELD)
			continue;
		set_due(query, &query->shards[i], now);
	}
}

/* Makes the canary due, or all shards if no canary is needed. */
static void make_first_due(struct qry_query *query, gb_time now)
{
	if (!query->canary_pending || !query->shards_len) {
		release_held_shards(query, now);
		return;
	}
	query->canary_shard = query->fingerprint % query->shards_len;
	set_due(query, &query->shards[query->canary_shard], now);
}

void qry_start(struct qry_query *query, gb_time now)
{
	if (!query->shards_len) {
		end_query(query, GB_ERR_NOT_RUN);
		return;
	}
	make_first_due(query, now);
	send_due(query, now);
	schedule_tick(query, now);
}

/* Sets the final state of a shard. */
static void set_final_state(struct qry_query *query, uint32_t shard,
			    enum qry_shard_state state,
			    enum qry_degraded reason)
{
	query->shards[shard].state = state;
	query->shards[shard].degraded_reason = reason;
	query->pending_shards--;
}

/* Tells whether the snapshot and number of documents can be right. */
static bool is_answer_valid(const struct qry_query *query,
			    const struct msg_sub_result *result)
{
	return result->snapshot == query->snapshot->id &&
	       result->docs_searched <=
		       cfg_shard_docs(query->snapshot, result->shard);
}

static void accept_answer(struct qry_query *query, gb_time now,
			  const struct msg_sub_result *result)
{
	struct qry_shard *shard = &query->shards[result->shard];

	if (!is_answer_valid(query, result)) {
		set_final_state(query, result->shard, QRY_SHARD_FAILED,
				QRY_DEGRADED_FAILED);
		return;
	}
	shard->docs_searched = result->docs_searched;
	query->docs_searched += result->docs_searched;
	shard->body = gb_str_dup(result->body);
	set_final_state(query, result->shard, QRY_SHARD_OK, QRY_DEGRADED_NONE);
	if (query->canary_pending)
		release_held_shards(query, now);
}

/* Restarts on a newer snapshot, if possible; drops the answers so far. */
static bool try_restart(struct qry_query *query, gb_time now,
			struct cfg *current)
{
	struct gb_str name = cfg_service(query->cfg, query->service)->name;
	const struct cfg_snapshot *newest;
	double left = (double)(query->deadline - now);
	int service_index = cfg_find_service(current, name);

	if (query->restarted || service_index < 0 ||
	    left < RESTART_TIME_FRACTION *
			    (double)(query->deadline - query->started_at))
		return false;
	newest = cfg_newest_snapshot(cfg_service(current, service_index));
	if (!newest || newest->id <= query->snapshot->id)
		return false;
	query->ops->cancel(query->ctx, query);
	for (uint32_t i = 0; i < query->shards_len; i++)
		gb_str_free(&query->shards[i].body);
	g_free(query->shards);
	cfg_ref(current);
	cfg_unref(query->cfg);
	query->cfg = current;
	query->service = service_index;
	query->snapshot = newest;
	init_shards(query);
	for (uint32_t i = 0; i < query->shards_len; i++)
		query->shards[i].may_have_run = true;
	query->restarted = true;
	make_first_due(query, now);
	return true;
}

static void handle_failure(struct qry_query *query, gb_time now,
			   struct cfg *current,
			   const struct msg_sub_result *result)
{
	struct qry_shard *shard = &query->shards[result->shard];

	switch (result->status) {
	case MSG_STATUS_MOVED:
		shard->may_have_run = true;
		set_due(query, shard, now + RESEND_DELAY);
		return;
	case MSG_STATUS_NOT_RUN:
	case MSG_STATUS_NOT_OWNER:
		set_due(query, shard, now + RESEND_DELAY);
		shard->degraded_reason = QRY_DEGRADED_UNAVAILABLE;
		return;
	case MSG_STATUS_OVERLOAD:
		set_final_state(query, result->shard, QRY_SHARD_FAILED,
				QRY_DEGRADED_OVERLOAD);
		return;
	case MSG_STATUS_UNAVAILABLE:
		set_final_state(query, result->shard, QRY_SHARD_FAILED,
				QRY_DEGRADED_UNAVAILABLE);
		return;
	case MSG_STATUS_DEADLINE:
		shard->may_have_run = true;
		set_final_state(query, result->shard, QRY_SHARD_FAILED,
				QRY_DEGRADED_TIMEOUT);
		return;
	case MSG_STATUS_SNAPSHOT_GONE:
		shard->may_have_run = true;
		shard->degraded_reason = QRY_DEGRADED_SNAPSHOT;
		if (query->restarted)
			set_final_state(query, result->shard, QRY_SHARD_FAILED,
					QRY_DEGRADED_SNAPSHOT);
		else if (!try_restart(query, now, current))
			shard->state = QRY_SHARD_SNAPSHOT_GONE;
		return;
	default:
		shard->may_have_run = true;
		set_final_state(query, result->shard, QRY_SHARD_FAILED,
				QRY_DEGRADED_FAILED);
		return;
	}
}

void qry_handle_result(struct qry_query *query, gb_time now,
		       struct cfg *current, const struct msg_sub_result *result)
{
	struct qry_shard *shard;

	if (query->ended || result->shard >= query->shards_len)
		return;
	shard = &query->shards[result->shard];
	/* A late or duplicate result belongs to another attempt. */
	if (shard->state != QRY_SHARD_SENT || shard->attempt != result->attempt)
		return;
	query->queue_wait_max = MAX(query->queue_wait_max, result->queue_wait);
	if (result->status == MSG_STATUS_QUARANTINED) {
		end_query(query, GB_ERR_QUARANTINED);
		return;
	}
	if (result->status == MSG_STATUS_OK) {
		shard->may_have_run = true;
		accept_answer(query, now, result);
	} else {
		handle_failure(query, now, current, result);
	}
	/* The other shards are never sent after a failed canary. */
	if (query->canary_pending &&
	    query->shards[query->canary_shard].state == QRY_SHARD_FAILED) {
		finish_query(query);
		return;
	}
	if (!query->pending_shards) {
		finish_query(query);
		return;
	}
	send_due(query, now);
	schedule_tick(query, now);
}

void qry_config_changed(struct qry_query *query, gb_time now,
			struct cfg *current)
{
	for (uint32_t i = 0; !query->ended && i < query->shards_len; i++) {
		if (query->shards[i].state != QRY_SHARD_SNAPSHOT_GONE)
			continue;
		if (try_restart(query, now, current)) {
			send_due(query, now);
			schedule_tick(query, now);
		}
		return;
	}
}

void qry_vm_dead(struct qry_query *query, gb_time now, uint32_t vm)
{
	for (uint32_t i = 0; i < query->shards_len; i++) {
		struct qry_shard *shard = &query->shards[i];

		if (shard->state != QRY_SHARD_SENT || shard->vm != vm)
			continue;
		shard->may_have_run = true;
		set_due(query, shard, now);
	}
	schedule_tick(query, now);
}

void qry_tick(struct qry_query *query, gb_time now)
{
	if (query->ended)
		return;
	if (now >= query->deadline) {
		finish_query(query);
		return;
	}
	if (now >= give_up_time(query) && qry_docs_searched(query) &&
	    qry_coverage(query) >= query->min_coverage) {
		finish_query(query);
		return;
	}
	send_due(query, now);
	schedule_tick(query, now);
}

void qry_cancel(struct qry_query *query)
{
	if (query->ended)
		return;
	query->ended = true;
	query->ops->cancel(query->ctx, query);
}

/* Tells whether any sub-request may have reached an upstream. */
static bool any_may_have_run(const struct qry_query *query)
{
	for (uint32_t i = 0; i < query->shards_len; i++)
		if (query->shards[i].may_have_run ||
		    query->shards[i].state == QRY_SHARD_SENT)
			return true;
	return false;
}

/* Returns the error code of a query that no shard answered. */
static enum gb_code error_without_answer(const struct qry_query *query)
{
	if (any_may_have_run(query))
		return GB_ERR_DEADLINE;
	if (qry_degraded(query) == QRY_DEGRADED_OVERLOAD)
		return GB_ERR_OVER_LIMIT;
	return GB_ERR_NOT_RUN;
}

/* Ends the query with the answers received so far. */
static void finish_query(struct qry_query *query)
{
	enum gb_code code = GB_OK;

	if (!qry_docs_searched(query) && qry_docs_total(query))
		code = error_without_answer(query);
	else if (qry_coverage(query) < query->min_coverage)
		code = GB_ERR_COVERAGE;
	for (uint32_t i = 0; i < query->shards_len; i++) {
		struct qry_shard *shard = &query->shards[i];

		if (shard->state == QRY_SHARD_SENT)
			shard->degraded_reason = QRY_DEGRADED_TIMEOUT;
	}
	end_query(query, code);
}

static void end_query(struct qry_query *query, enum gb_code code)
{
	if (query->ended)
		return;
	query->ended = true;
	query->ops->cancel(query->ctx, query);
	query->ops->done(query->ctx, query, code);
}
