#include "bench/policy.h"

#include <string.h>

/* One query of a baseline. */
struct plain_query {
	struct scn_request *request;
	uint32_t open;
	uint32_t answered;
	uint32_t shards;
	uint32_t refs;
	bool ended;
};

/* One sub-request; a retry is a second call of it. */
struct plain_sub {
	struct plain_query *query;
	uint32_t shard;
	uint32_t replica;
	uint32_t tries;
	uint32_t pending;
	bool done;
	uint32_t refs;
};

struct baseline {
	const struct bpl_policy *policy;
	GHashTable *calls; /* call identity to struct plain_sub */
	uint64_t next_call;
};

static uint32_t choose_random(struct scn_world *world, uint32_t vm,
			      uint32_t service, uint32_t shard, int32_t avoid);
static uint32_t choose_least(struct scn_world *world, uint32_t vm,
			     uint32_t service, uint32_t shard, int32_t avoid);
static struct scn_upstream *replica_at(struct scn_world *world,
				       uint32_t service, uint32_t shard,
				       uint32_t index);
static uint32_t replicas_of(const struct scn_world *world, uint32_t service);
static void take_request(struct scn_world *world, struct scn_request *request);
static void send_sub(struct scn_world *world, struct plain_sub *sub,
		     int32_t avoid);
static void call_ended(struct scn_world *world, struct scn_call *call,
		       enum nd_upstream_status status, uint64_t docs);
static void sub_timeout(struct scn_world *world, void *data);
static void query_deadline(struct scn_world *world, void *data);
static void sub_settled(struct scn_world *world, struct plain_sub *sub,
			bool answered);
static void end_query(struct scn_world *world, struct plain_query *query);
static void query_unref(struct plain_query *query);
static void sub_unref(struct plain_sub *sub);

/* One world at a time runs a baseline. */
static struct baseline state;

const struct bpl_policy bpl_policies[] = {
	{ .name = GB_STR_INIT("product"), .product = true },
	{ .name = GB_STR_INIT("random+retry"),
	  .choose = choose_random,
	  .timeout = 100 * GB_MSEC },
	{ .name = GB_STR_INIT("least-in-flight"), .choose = choose_least },
};

const size_t bpl_policies_len = G_N_ELEMENTS(bpl_policies);

static uint32_t replicas_of(const struct scn_world *world, uint32_t service)
{
	return cfg_shard(cfg_service(world->plan_cfg, service), 0)
		->replicas->len;
}

static struct scn_upstream *replica_at(struct scn_world *world,
				       uint32_t service, uint32_t shard,
				       uint32_t index)
{
	const struct cfg_shard *config =
		cfg_shard(cfg_service(world->plan_cfg, service), shard);

	return scn_upstream_find(world, cfg_replica(config, index)->name);
}

static uint32_t choose_random(struct scn_world *world, uint32_t vm,
			      uint32_t service, uint32_t shard, int32_t avoid)
{
	uint32_t len = replicas_of(world, service);
	uint32_t index = gb_rng_below(&world->rng, len);

	(void)vm;
	(void)shard;
	if (len > 1 && (int32_t)index == avoid)
		index = (index + 1) % len;
	return index;
}

static uint32_t choose_least(struct scn_world *world, uint32_t vm,
			     uint32_t service, uint32_t shard, int32_t avoid)
{
	uint32_t len = replicas_of(world, service);
	uint32_t first = gb_rng_below(&world->rng, len);
	uint32_t best = first, least = UINT32_MAX;

	for (uint32_t i = 0; i < len; i++) {
		uint32_t index = (first + i) % len;
		const struct scn_upstream *upstream =
			replica_at(world, service, shard, index);

		if ((int32_t)index == avoid || upstream->busy[vm] >= least)
			continue;
		best = index;
		least = upstream->busy[vm];
	}
	return best;
}

static void query_unref(struct plain_query *query)
{
	if (!--query->refs)
		g_free(query);
}

static void sub_unref(struct plain_sub *sub)
{
	if (--sub->refs)
		return;
	query_unref(sub->query);
	g_free(sub);
}

static void take_request(struct scn_world *world, struct scn_request *request)
{
	int service = cfg_find_service(world->plan_cfg, request->service);
	struct plain_query *query = g_new0(struct plain_query, 1);

	query->request = request;
	query->shards = cfg_service(world->plan_cfg, service)->shards->len;
	query->open = query->shards;
	query->refs = 1;
	for (uint32_t i = 0; i < query->shards; i++) {
		struct plain_sub *sub = g_new0(struct plain_sub, 1);

		sub->query = query;
		query->refs++;
		sub->shard = i;
		sub->refs = 1;
		send_sub(world, sub, -1);
		sub_unref(sub);
	}
	scn_after(world, request->deadline, query_deadline, query);
}

static void send_sub(struct scn_world *world, struct plain_sub *sub,
		     int32_t avoid)
{
	struct scn_request *request = sub->query->request;
	int service = cfg_find_service(world->plan_cfg, request->service);
	struct scn_upstream *upstream;
	struct nd_upstream_call call = {
		.call = ++state.next_call,
		.shard = sub->shard,
		.connections = 1000,
		.snapshot = 1,
		.timeout = request->deadline,
		.expires = GB_NEVER,
		.body = request->body,
	};
	uint64_t *key = g_memdup2(&call.call, sizeof(call.call));

	sub->replica = state.policy->choose(world, request->vm, service,
					    sub->shard, avoid);
	upstream = replica_at(world, service, sub->shard, sub->replica);
	call.replica = upstream->name;
	sub->tries++;
	sub->pending++;
	sub->refs++;
	g_hash_table_insert(state.calls, key, sub);
	if (state.policy->timeout && sub->tries == 1) {
		sub->refs++;
		scn_after(world, state.policy->timeout, sub_timeout, sub);
	}
	scn_upstream_send(world, request->vm, &call);
}

/* The first call goes on; the plain way has no cancellation. */
static void sub_timeout(struct scn_world *world, void *data)
{
	struct plain_sub *sub = data;

	if (!sub->done && !sub->query->ended && sub->tries == 1)
		send_sub(world, sub, (int32_t)sub->replica);
	sub_unref(sub);
}

static void call_ended(struct scn_world *world, struct scn_call *call,
		       enum nd_upstream_status status, uint64_t docs)
{
	struct plain_sub *sub = g_hash_table_lookup(state.calls, &call->call);

	(void)docs;
	if (!sub)
		return;
	g_hash_table_remove(state.calls, &call->call);
	sub->pending--;
	if (status == ND_UPSTREAM_OK)
		sub_settled(world, sub, true);
	else if (!sub->done && state.policy->timeout && sub->tries == 1)
		send_sub(world, sub, (int32_t)sub->replica);
	else if (!sub->pending)
		sub_settled(world, sub, false);
	sub_unref(sub);
}

static void sub_settled(struct scn_world *world, struct plain_sub *sub,
			bool answered)
{
	if (sub->done)
		return;
	sub->done = true;
	sub->query->answered += answered;
	if (!--sub->query->open)
		end_query(world, sub->query);
}

static void query_deadline(struct scn_world *world, void *data)
{
	struct plain_query *query = data;

	end_query(world, query);
	query_unref(query);
}

static void end_query(struct scn_world *world, struct plain_query *query)
{
	struct scn_request *request = query->request;
	struct scn_load *load =
		g_ptr_array_index(world->loads, (request->caller >> 40) - 1);

	if (query->ended)
		return;
	query->ended = true;
	if (request->answered)
		return;
	request->answered = true;
	scn_tally_done(&load->tally, world, request,
		       query->answered ? GB_OK : GB_ERR_DEADLINE,
		       (double)query->answered / (double)query->shards);
}

void bpl_baseline_start(struct scn_world *world,
			const struct bpl_policy *policy)
{
	state = (struct baseline){
		.policy = policy,
		.calls = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       g_free, NULL),
	};
	world->take_request = take_request;
	world->call_ended = call_ended;
}

void bpl_baseline_free(struct scn_world *world)
{
	GHashTableIter iter;
	gpointer value;

	(void)world;
	g_hash_table_iter_init(&iter, state.calls);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		sub_unref(value);
	g_hash_table_destroy(state.calls);
}
