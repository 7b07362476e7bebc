#include "node/nd-internal.h"

/* Longest wait for votes. Granters reply within a round trip. */
#define VOTE_TIMEOUT (250 * GB_MSEC)

/* Delay before an order that no owner ran is sent again. */
#define RESEND_DELAY (10 * GB_MSEC)

/*
 * Share of the time until the caller's deadline that the owner gets, so that
 * its refusal can still reach this VM before the deadline.
 */
#define OWNER_TIME_SHARE 0.9

/* An order with an unknown outcome waits this long for a late result. */
#define LATE_RESULT_TIMEOUT (60 * GB_SEC)

static struct nd_order *find_running(struct node *node, struct gb_str key);
static void refuse_request(struct node *node, const struct nd_request *request,
			   enum gb_code code);
static enum gb_code check_request(struct node *node,
				  const struct nd_request *request);
static struct nd_order *order_new(struct node *node,
				  const struct nd_request *request);
static void answer_caller(struct node *node, struct nd_order *order,
			  enum gb_code code, struct gb_str body, bool replayed);
static void remove_order(struct node *node, struct nd_order *order);
static void release_votes(struct node *node, struct nd_order *order);
static void finish_not_run(struct node *node, struct nd_order *order,
			   enum gb_code code);
static void finish_unknown(struct node *node, struct nd_order *order);
static void finish_done(struct node *node, struct nd_order *order,
			struct gb_str body);
static void send_order(struct node *node, struct nd_order *order);
static void apply_verdict(struct node *node, struct nd_order *order,
			  enum once_verdict verdict);
static void tick_order(struct node *node, struct nd_order *order);

void nd_order_free(gpointer data)
{
	struct nd_order *order = data;

	once_attempt_free(&order->attempt);
	gb_str_free(&order->id);
	gb_str_free(&order->service);
	gb_str_free(&order->body);
	g_free(order);
}

/* Drops the answers to a caller that disconnected; its orders still run. */
void nd_order_caller_gone(struct node *node, uint64_t caller)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, node->orders);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct nd_order *order = value;

		if (order->caller == caller)
			order->caller_gone = true;
	}
}

/* Counts the orders in flight, without those answered as unknown. */
uint32_t nd_order_count_running(const struct node *node)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t sum = 0;

	g_hash_table_iter_init(&iter, node->orders);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct nd_order *order = value;

		sum += order->state != ND_ORDER_OUTCOME_UNKNOWN;
	}
	return sum;
}

static struct nd_order *find_running(struct node *node, struct gb_str key)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, node->orders);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct nd_order *order = value;

		if (order->state != ND_ORDER_OUTCOME_UNKNOWN &&
		    gb_str_eq(order->attempt.key, key))
			return order;
	}
	return NULL;
}

static void refuse_request(struct node *node, const struct nd_request *request,
			   enum gb_code code)
{
	struct nd_answer out = {
		.caller = request->caller,
		.id = request->id,
		.code = code,
	};

	met_add(node->metrics, MET_ORDERS_REFUSED, 1);
	nd_event_emit(node, EV_ORDER_REFUSED, request->id, GB_STR(""),
		      GB_STR(""), code, 0);
	node->ops->answer(node->ctx, &out);
}

static void answer_caller(struct node *node, struct nd_order *order,
			  enum gb_code code, struct gb_str body, bool replayed)
{
	struct nd_answer out = {
		.caller = order->caller,
		.id = order->id,
		.code = code,
		.retry_after = code == GB_ERR_OVER_LIMIT ? GB_SEC : 0,
		.elapsed = node->clock.now - order->started_at,
		.sub_requests = order->sends,
		.replayed = replayed,
		.bodies = &body,
		.shards = &order->shard,
		.bodies_len = code == GB_OK,
	};

	if (!order->caller_gone)
		node->ops->answer(node->ctx, &out);
}

static void remove_order(struct node *node, struct nd_order *order)
{
	g_hash_table_remove(node->orders, &order->attempt.order_id.number);
}

/* Releases the votes, so that a later request with the key may run. */
static void release_votes(struct node *node, struct nd_order *order)
{
	struct msg msg = {
		.kind = MSG_RELEASE,
		.release = { .key = order->attempt.key,
			     .order = order->attempt.order_id },
	};

	nd_send_granters(node, &msg);
}

/* Ends an order that certainly was not run by an upstream. */
static void finish_not_run(struct node *node, struct nd_order *order,
			   enum gb_code code)
{
	release_votes(node, order);
	met_add(node->metrics, MET_ORDERS_REFUSED, 1);
	nd_event_emit(node, EV_ORDER_REFUSED, order->id, GB_STR(""), GB_STR(""),
		      code, 0);
	answer_caller(node, order, code, GB_STR(""), false);
	remove_order(node, order);
}

/*
 * Answers an order as having an unknown outcome. An order that was sent keeps
 * its votes and waits for a late result, which a later request with the key can
 * replay. Any other order releases its votes.
 */
static void finish_unknown(struct node *node, struct nd_order *order)
{
	met_add(node->metrics, MET_ORDERS_UNKNOWN, 1);
	nd_event_emit(node, EV_ORDER_UNKNOWN, order->id, GB_STR(""), GB_STR(""),
		      0, 0);
	answer_caller(node, order, GB_ERR_UNKNOWN_OUTCOME, GB_STR(""), false);
	if (order->state != ND_ORDER_SENT) {
		release_votes(node, order);
		remove_order(node, order);
		return;
	}
	order->state = ND_ORDER_OUTCOME_UNKNOWN;
	order->next_tick = node->clock.now + LATE_RESULT_TIMEOUT;
}

/* Sends the outcome to the voters and answers a caller that still waits. */
static void finish_done(struct node *node, struct nd_order *order,
			struct gb_str body)
{
	struct msg msg = {
		.kind = MSG_OUTCOME,
		.outcome = { .key = order->attempt.key,
			     .order = order->attempt.order_id,
			     .outcome = body },
	};

	nd_send_granters(node, &msg);
	met_add(node->metrics, MET_ORDERS_RUN, 1);
	nd_event_emit(node, EV_ORDER_DONE, order->id, GB_STR(""), GB_STR(""),
		      node->clock.now - order->started_at, 0);
	if (order->state != ND_ORDER_OUTCOME_UNKNOWN)
		answer_caller(node, order, GB_OK, body, false);
	remove_order(node, order);
}

/* Sends the order to the owner of its shard, or retries while it has none. */
static void send_order(struct node *node, struct nd_order *order)
{
	const struct cfg *cfg = node->store.current;
	int index = cfg_find_service(cfg, order->service);
	const struct cfg_service *service;
	struct msg_sub sub;
	struct msg msg = { .kind = MSG_QUERY_BATCH };
	int owner;

	order->state = ND_ORDER_SEND_PENDING;
	order->next_tick = node->clock.now + RESEND_DELAY;
	if (index < 0 || !cfg_service(cfg, index)->shards->len)
		return;
	service = cfg_service(cfg, index);
	order->shard = order->fingerprint % service->shards->len;
	owner = nd_shard_owner(node, service, order->shard);
	if (owner < 0)
		return;
	sub = (struct msg_sub){ .attempt = nd_new_id(node),
				.shard = order->shard };
	msg.batch = (struct msg_batch){
		.query = order->attempt.order_id.number,
		.config_version = cfg->version,
		.request_id = order->id,
		.service = order->service,
		.fingerprint = order->fingerprint,
		.time_left =
			(gb_time)((double)(order->deadline - node->clock.now) *
				  OWNER_TIME_SHARE),
		.order = true,
		.canary = service->canary &&
			  sus_state(node->suspects, node->clock.now,
				    order->fingerprint) != SUS_GOOD,
		.key = order->attempt.key,
		.body = order->body,
		.subs = &sub,
		.subs_len = 1,
	};
	order->sub_attempt = sub.attempt;
	order->sends++;
	order->state = ND_ORDER_SENT;
	order->next_tick = order->deadline;
	nd_event_emit(node, EV_ORDER_RUN, order->id, GB_STR(""), GB_STR(""),
		      cfg_vm(cfg, owner)->id, order->shard);
	nd_send(node, cfg_vm(cfg, owner)->id, &msg);
}

/* Continues or ends an order according to its votes. */
static void apply_verdict(struct node *node, struct nd_order *order,
			  enum once_verdict verdict)
{
	switch (verdict) {
	case ONCE_RUN:
		send_order(node, order);
		return;
	case ONCE_REPLAY:
		met_add(node->metrics, MET_ORDERS_REPLAYED, 1);
		nd_event_emit(node, EV_ORDER_REPLAYED, order->id, GB_STR(""),
			      GB_STR(""), 0, 0);
		answer_caller(node, order, GB_OK, order->attempt.outcome, true);
		release_votes(node, order);
		remove_order(node, order);
		return;
	case ONCE_NOT_RUN:
		finish_not_run(node, order, GB_ERR_NOT_RUN);
		return;
	case ONCE_UNKNOWN:
		finish_unknown(node, order);
		return;
	default:
		return;
	}
}

/* Checks an order; returns GB_OK if it may ask for votes. */
static enum gb_code check_request(struct node *node,
				  const struct nd_request *request)
{
	const struct cfg *cfg = node->store.current;
	struct gb_error err;

	if (once_key_check(request->key, node->clock.wall_ms,
			   node->settings.key_retention,
			   node->settings.clock_skew, &err))
		return err.code;
	/* Only voters know whether an earlier request with the key ran. */
	if (!cfg)
		return GB_ERR_UNKNOWN_OUTCOME;
	if (cfg_find_service(cfg, request->service) < 0)
		return GB_ERR_UNKNOWN_SERVICE;
	if (find_running(node, request->key))
		return GB_ERR_IN_PROGRESS;
	return GB_OK;
}

/* Creates an order; returns NULL if there are too few granters. */
static struct nd_order *order_new(struct node *node,
				  const struct nd_request *request)
{
	const struct cfg *cfg = node->store.current;
	struct msg_order_id id = { .vm = node->settings.vm,
				   .incarnation = node->settings.incarnation,
				   .number = nd_new_id(node) };
	struct nd_order *order = g_new0(struct nd_order, 1);
	gb_time timeout = request->timeout;

	if (once_attempt_init(&order->attempt, cfg, request->key, &id, NULL)) {
		g_free(order);
		return NULL;
	}
	if (!timeout)
		timeout = cfg_service(cfg,
				      cfg_find_service(cfg, request->service))
				  ->deadline;
	order->state = ND_ORDER_VOTING;
	order->id = gb_str_dup(request->id);
	order->service = gb_str_dup(request->service);
	order->body = gb_str_dup(request->body);
	order->fingerprint = qry_fingerprint(request->service, request->body);
	order->caller = request->caller;
	order->started_at = node->clock.now;
	order->deadline = node->clock.now + timeout;
	order->next_tick = node->clock.now + MIN(VOTE_TIMEOUT, timeout / 2);
	g_hash_table_insert(node->orders, &order->attempt.order_id.number,
			    order);
	return order;
}

void nd_order_start(struct node *node, const struct nd_request *request)
{
	struct msg msg = { .kind = MSG_VOTE };
	struct nd_order *order = NULL;
	enum gb_code code;

	met_add(node->metrics, MET_ORDERS, 1);
	code = check_request(node, request);
	if (code == GB_OK) {
		order = order_new(node, request);
		/* An earlier request with the key may have run. */
		if (!order)
			code = GB_ERR_UNKNOWN_OUTCOME;
	}
	if (code != GB_OK) {
		refuse_request(node, request, code);
		return;
	}
	once_attempt_vote_request(&order->attempt, &msg.vote);
	nd_send_granters(node, &msg);
}

/* Handles a result of an order; returns false if the number is not of one. */
bool nd_order_handle_result(struct node *node, uint64_t number,
			    const struct msg_sub_result *result)
{
	struct nd_order *order = g_hash_table_lookup(node->orders, &number);

	if (!order)
		return false;
	if (order->sub_attempt != result->attempt ||
	    (order->state != ND_ORDER_SENT &&
	     order->state != ND_ORDER_OUTCOME_UNKNOWN))
		return true;
	switch (result->status) {
	case MSG_STATUS_OK:
		finish_done(node, order, result->body);
		break;
	case MSG_STATUS_NOT_RUN:
	case MSG_STATUS_NOT_OWNER:
		if (order->state == ND_ORDER_OUTCOME_UNKNOWN) {
			release_votes(node, order);
			remove_order(node, order);
			break;
		}
		order->state = ND_ORDER_SEND_PENDING;
		order->next_tick = node->clock.now + RESEND_DELAY;
		break;
	case MSG_STATUS_OVERLOAD:
		finish_not_run(node, order, GB_ERR_OVER_LIMIT);
		break;
	case MSG_STATUS_UNAVAILABLE:
		finish_not_run(node, order, GB_ERR_NOT_RUN);
		break;
	case MSG_STATUS_QUARANTINED:
		finish_not_run(node, order, GB_ERR_QUARANTINED);
		break;
	default:
		if (order->state == ND_ORDER_SENT)
			finish_unknown(node, order);
		break;
	}
	return true;
}

static void tick_order(struct node *node, struct nd_order *order)
{
	switch (order->state) {
	case ND_ORDER_VOTING:
		apply_verdict(node, order,
			      once_attempt_end_voting(&order->attempt));
		return;
	case ND_ORDER_SEND_PENDING:
		if (node->clock.now >= order->deadline)
			finish_not_run(node, order, GB_ERR_NOT_RUN);
		else
			send_order(node, order);
		return;
	case ND_ORDER_SENT:
		finish_unknown(node, order);
		return;
	case ND_ORDER_OUTCOME_UNKNOWN:
		remove_order(node, order);
		return;
	}
}

void nd_order_tick(struct node *node)
{
	GHashTableIter iter;
	gpointer value;
	GPtrArray *due;

	if (!g_hash_table_size(node->orders))
		return;
	due = g_ptr_array_new();
	g_hash_table_iter_init(&iter, node->orders);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct nd_order *order = value;

		if (order->next_tick <= node->clock.now)
			g_ptr_array_add(due, order);
	}
	for (guint i = 0; i < due->len; i++)
		tick_order(node, g_ptr_array_index(due, i));
	g_ptr_array_free(due, TRUE);
}

void nd_on_vote(struct node *node, const struct msg *msg)
{
	const struct cfg *cfg = node->store.current;
	struct msg reply = { .kind = MSG_VOTE_REPLY };

	if (!cfg || !node->is_granter)
		return;
	once_voter_vote(node->voter, node->clock.wall_ms, cfg->epoch,
			&msg->vote, &reply.vote_reply);
	nd_send(node, msg->from, &reply);
}

void nd_on_vote_reply(struct node *node, const struct msg *msg)
{
	const struct msg_vote_reply *reply = &msg->vote_reply;
	struct nd_order *order =
		g_hash_table_lookup(node->orders, &reply->order.number);

	if (!order || order->state != ND_ORDER_VOTING ||
	    !msg_order_id_eq(&order->attempt.order_id, &reply->order))
		return;
	apply_verdict(
		node, order,
		once_attempt_count_reply(&order->attempt, msg->from, reply));
}

void nd_on_release(struct node *node, const struct msg *msg)
{
	once_voter_release(node->voter, &msg->release);
}

void nd_on_outcome(struct node *node, const struct msg *msg)
{
	once_voter_record_outcome(node->voter, &msg->outcome);
}
