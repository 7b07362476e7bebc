#include "load-simulation.h"

/*
 * Simulates load on the forwarding decisions, without I/O. Each script gives
 * the traffic and checks what share of the requests is answered in time.
 */

static void free_upstream(gpointer data)
{
	struct upstream *upstream = data;

	g_queue_clear(&upstream->waiting);
	for (uint32_t i = 0; i < VMS_MAX; i++)
		g_queue_clear(&upstream->pool[i].waiting);
	g_free(upstream);
}

static void *open_simulation(void)
{
	struct simulation *sim = g_new0(struct simulation, 1);

	sim->events = g_tree_new_full(compare_events, NULL, g_free, NULL);
	sim->upstreams = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       free_upstream);
	sim->allocations = g_ptr_array_new_with_free_func(g_free);
	sim->all_queries = g_ptr_array_new();
	sim->now = GB_SEC;
	sim->rate_factor = 1;
	return sim;
}

static void close_simulation(void *data)
{
	struct simulation *sim = data;

	for (guint i = 0; i < sim->all_queries->len; i++) {
		struct query *query = sim->all_queries->pdata[i];

		if (!query->request)
			continue;
		fw_request_cancel(query->request, sim->now);
		fw_request_free(query->request);
	}
	for (uint32_t i = 0; i < sim->vms; i++) {
		rt_table_unref(sim->vm[i].table);
		fw_engine_clear(&sim->vm[i].engine);
		fl_free(sim->vm[i].fleet);
	}
	g_tree_destroy(sim->events);
	g_hash_table_destroy(sim->upstreams);
	g_ptr_array_free(sim->all_queries, TRUE);
	g_ptr_array_free(sim->allocations, TRUE);
	g_free(sim);
}

static void init_vm(struct simulation *sim, struct vm *vm, double weight)
{
	static const struct fw_ops ops = { .send = on_send,
					   .cancel = on_cancel,
					   .reply = on_reply,
					   .event = ignore_event };
	static const struct fl_ops fleet_ops = {
		.upstream_reset = ignore_upstream_reset
	};
	static const struct fl_membership membership = { .live_vms = live_vms,
							 .rank = rank_of_vm };
	const struct fl_settings settings = { .dc = GB_STR_INIT("here"),
					      .drain_time = 2800 * GB_MSEC,
					      .cold_burst = 5 };

	vm->sim = sim;
	vm->weight = weight;
	vm->rng.state = gb_rng_next(&sim->rng);
	vm->fleet = fl_new(&settings, &fleet_ops, &membership, vm, &vm->rng);
	fw_engine_init(&vm->engine, vm->fleet, &ops, vm, &vm->rng,
		       &vm->metrics);
	vm->engine.budget = (struct bud_limits){ .ratio = 0.2,
						 .extra_total = 58,
						 .window = 10 * GB_SEC,
						 .vms = sim->vms,
						 .vms_confirmed = true };
	vm->table = rt_table_new(1);
}

/* Connections to one upstream, of all VMs. */
#define CONNS_MAX 26

/*
 * simulation seed= vms= handshake=: two of the VMs have twice as many callers
 * as each of the others
 */
static void cmd_simulation(void *data, const struct scr_args *args,
			   struct gb_buf *out)
{
	struct simulation *sim = data;

	(void)out;
	sim->rng.state = scr_int(args, GB_STR("seed"), 1);
	sim->vms = scr_int(args, GB_STR("vms"), 4);
	sim->handshake = scr_int(args, GB_STR("handshake"), 0) * GB_MSEC;
	g_assert(sim->vms <= VMS_MAX);
	for (uint32_t i = 0; i < sim->vms; i++)
		init_vm(sim, &sim->vm[i], i < 2 ? 2 : 1);
}

static void add_upstream(struct simulation *sim, const struct upstream *model,
			 struct gb_str service)
{
	struct upstream *upstream = g_memdup2(model, sizeof(*model));
	const struct fl_entry entry = { .id = gb_str_from_c(upstream->id),
					.service = service,
					.address = GB_STR_INIT("10.0.0.1:80"),
					.dc = GB_STR_INIT("here"),
					.slots = upstream->slots };

	g_queue_init(&upstream->waiting);
	for (uint32_t i = 0; i < VMS_MAX; i++)
		g_queue_init(&upstream->pool[i].waiting);
	g_hash_table_insert(sim->upstreams, upstream->id, upstream);
	for (uint32_t i = 0; i < sim->vms; i++) {
		fl_apply_entry(sim->vm[i].fleet, sim->now, &entry);
		fl_service(sim->vm[i].fleet, service)->conns_max = CONNS_MAX;
	}
}

/* shards n= replicas= slots= queue=: upstreams s0a, s0b, s1a and so on */
static void cmd_shards(void *data, const struct scr_args *args,
		       struct gb_buf *out)
{
	int64_t shards = scr_int(args, GB_STR("n"), 1);
	int64_t replicas = scr_int(args, GB_STR("replicas"), 2);
	struct upstream model = { .slots = scr_int(args, GB_STR("slots"), 2),
				  .queue_max =
					  scr_int(args, GB_STR("queue"), 12),
				  .slowdown = 1 };

	(void)out;
	for (int64_t i = 0; i < shards * replicas; i++) {
		char service[16];

		snprintf(service, sizeof(service), "s%d", (int)(i / replicas));
		snprintf(model.id, sizeof(model.id), "%.8s%c", service,
			 (char)('a' + i % replicas));
		add_upstream(data, &model, gb_str_from_c(service));
	}
}

static void add_route(struct vm *vm, const struct rt_route *route,
		      uint32_t shards)
{
	struct rt_route *added = rt_add_route(vm->table, route);

	added->data = fw_route_stats(&vm->engine, route->name);
	for (uint32_t i = 0; i < shards; i++) {
		struct rt_service *service;
		char text[16];
		struct gb_str name;

		snprintf(text, sizeof(text), "s%u", i);
		name = gb_str_from_c(text);
		service = rt_find_service(vm->table, name);
		if (!service)
			service = rt_add_service(vm->table, name);
		service->data = fl_service(vm->fleet, name);
		rt_add_target(added, service, 1);
	}
}

/* The organisation has the name of its traffic. */
static void set_organisation(struct traffic *traffic,
			     const struct scr_args *args)
{
	struct gb_str name = scr_str(args, GB_STR("org"), GB_STR(""));

	if (!name.len)
		return;
	traffic->org = (struct og_org){
		.name = gb_str_from_c(traffic->name),
		.id = gb_hash(name, 0),
		.priority = scr_int(args, GB_STR("priority"), 0),
		.rate = scr_double(args, GB_STR("limit"), 0),
	};
}

/*
 * traffic NAME shards= share= work= rate= aim= priority= org= limit=: adds a
 * route; with route=, the requests go to one that other traffic has
 */
static void cmd_traffic(void *data, const struct scr_args *args,
			struct gb_buf *out)
{
	struct simulation *sim = data;
	struct traffic *traffic = &sim->traffic[sim->traffic_len++];
	struct gb_str name = scr_word(args, 0);
	struct gb_str path = scr_str(args, GB_STR("route"), name);
	char prefix[20];
	struct rt_route route = {
		.name = name,
		.host = GB_STR_INIT("h"),
		.kind = RT_IDEMPOTENT,
		.target_latency = scr_int(args, GB_STR("aim"), 100) * GB_MSEC,
		.timeout = 800 * GB_MSEC,
		.priority = scr_int(args, GB_STR("priority"), 0),
		.attempts_max = 2,
		.fanout = true,
		.top_k = 3,
		.shard_share_min = scr_double(args, GB_STR("share"), 1),
	};

	(void)out;
	g_assert(sim->traffic_len <= TRAFFIC_MAX);
	snprintf(traffic->name, sizeof(traffic->name), "%.*s", (int)name.len,
		 name.ptr);
	snprintf(traffic->route, sizeof(traffic->route), "%.*s", (int)path.len,
		 path.ptr);
	snprintf(prefix, sizeof(prefix), "/%s/", traffic->route);
	route.prefix = gb_str_from_c(prefix);
	traffic->work = scr_double(args, GB_STR("work"), 10) * GB_MSEC;
	traffic->rate = scr_double(args, GB_STR("rate"), 10);
	set_organisation(traffic, args);
	if (!gb_str_eq(path, name))
		return;
	for (uint32_t i = 0; i < sim->vms; i++)
		add_route(&sim->vm[i], &route,
			  scr_int(args, GB_STR("shards"), 1));
}

static void reset_counts(struct traffic *traffic)
{
	traffic->asked = 0;
	traffic->in_target = 0;
	traffic->late = 0;
	traffic->refused = 0;
	traffic->failed = 0;
	traffic->slowest_refusal = 0;
}

/*
 * load for= times= TRAFFIC=: resets the counts and generates traffic for some
 * seconds, at a multiple of its rate, and of that of one traffic
 */
static void cmd_load(void *data, const struct scr_args *args,
		     struct gb_buf *out)
{
	struct simulation *sim = data;

	(void)out;
	sim->rate_factor = scr_double(args, GB_STR("times"), 1);
	sim->arrivals_end =
		sim->now + scr_double(args, GB_STR("for"), 1) * GB_SEC;
	for (uint32_t i = 0; i < sim->traffic_len; i++) {
		reset_counts(&sim->traffic[i]);
		sim->traffic[i].factor = scr_double(
			args, gb_str_from_c(sim->traffic[i].name), 1);
		generate_query(sim, &sim->traffic[i]);
	}
	/* All requests are answered before the next load starts. */
	run_until(sim, sim->arrivals_end + GB_SEC);
	if (g_getenv("LOAD_SHOW"))
		for (uint32_t i = 0; i < sim->traffic_len; i++)
			g_test_message(
				"%s: asked %u, in target %u, late %u, refused %u, "
				"failed %u, slowest refusal %lld us",
				sim->traffic[i].name, sim->traffic[i].asked,
				sim->traffic[i].in_target, sim->traffic[i].late,
				sim->traffic[i].refused, sim->traffic[i].failed,
				(long long)sim->traffic[i].slowest_refusal);
}

/* upstreams ID... health=ok|silent|closed slow= */
static void cmd_upstreams(void *data, const struct scr_args *args,
			  struct gb_buf *out)
{
	struct gb_str health = scr_str(args, GB_STR("health"), GB_STR("ok"));
	struct simulation *sim = data;

	(void)out;
	for (size_t i = 0; i < args->len; i++) {
		char *id = gb_str_to_c(args->word[i]);
		struct upstream *upstream =
			g_hash_table_lookup(sim->upstreams, id);

		g_free(id);
		if (!upstream)
			continue;
		upstream->slowdown = scr_double(args, GB_STR("slow"), 1);
		upstream->health = HEALTHY;
		if (gb_str_eq(health, GB_STR("silent")))
			upstream->health = SILENT;
		else if (gb_str_eq(health, GB_STR("closed")))
			upstream->health = CLOSED;
	}
}

static void print_check(struct gb_buf *out, const char *what, double bound,
			bool passed)
{
	gb_buf_addf(out, "  %s %g: %s\n", what, bound, passed ? "yes" : "no");
}

static struct traffic *find_traffic(struct simulation *sim, struct gb_str name)
{
	for (uint32_t i = 0; i < sim->traffic_len; i++)
		if (gb_str_eq(gb_str_from_c(sim->traffic[i].name), name))
			return &sim->traffic[i];
	g_error("no traffic named %.*s", (int)name.len, name.ptr);
}

static double served_share(const struct traffic *traffic)
{
	return (double)(traffic->in_target + traffic->late) /
	       MAX(traffic->asked, 1);
}

/* compare URGENT OTHER: URGENT must not be served less often than OTHER */
static void cmd_compare(void *data, const struct scr_args *args,
			struct gb_buf *out)
{
	const struct traffic *urgent = find_traffic(data, scr_word(args, 0));
	const struct traffic *other = find_traffic(data, scr_word(args, 1));

	gb_buf_addf(out, "  %s is served as often as %s: %s\n", urgent->name,
		    other->name,
		    served_share(urgent) >= served_share(other) ? "yes" : "no");
}

/*
 * expect TRAFFIC in_aim= served= failed= refusal_ms=: checks bounds on shares
 * of the requests, and on the slowest refusal
 */
static void cmd_expect(void *data, const struct scr_args *args,
		       struct gb_buf *out)
{
	const struct traffic *traffic = find_traffic(data, scr_word(args, 0));
	double in_target = scr_double(args, GB_STR("in_aim"), -1);
	double served = scr_double(args, GB_STR("served"), -1);
	double failed = scr_double(args, GB_STR("failed"), -1);
	double refusal = scr_double(args, GB_STR("refusal_ms"), -1);

	if (in_target >= 0)
		print_check(out, "in target at least", in_target,
			    traffic->in_target >= in_target * traffic->asked);
	if (served >= 0)
		print_check(out, "served at least", served,
			    served_share(traffic) >= served);
	if (failed >= 0)
		print_check(out, "failed at most", failed,
			    traffic->failed <= failed * traffic->asked);
	if (refusal >= 0)
		print_check(out, "refused within ms", refusal,
			    traffic->slowest_refusal <= refusal * GB_MSEC);
}

/* lose VM...: further requests go to the other VMs */
static void cmd_lose(void *data, const struct scr_args *args,
		     struct gb_buf *out)
{
	struct simulation *sim = data;
	int64_t number;

	(void)out;
	for (size_t i = 0; i < args->len; i++) {
		g_assert(!gb_str_to_int(args->word[i], 0, sim->vms - 1,
					&number));
		sim->vm[number].lost = true;
	}
}

int main(int argc, char **argv)
{
	static const struct scr_command commands[] = {
		{ GB_STR_INIT("simulation"), cmd_simulation },
		{ GB_STR_INIT("shards"), cmd_shards },
		{ GB_STR_INIT("traffic"), cmd_traffic },
		{ GB_STR_INIT("load"), cmd_load },
		{ GB_STR_INIT("upstreams"), cmd_upstreams },
		{ GB_STR_INIT("lose"), cmd_lose },
		{ GB_STR_INIT("expect"), cmd_expect },
		{ GB_STR_INIT("compare"), cmd_compare },
	};
	static const struct scr_suite suite = {
		.name = "load",
		.folder = "packages/forward/tests/load",
		.commands = commands,
		.commands_len = G_N_ELEMENTS(commands),
		.context_new = open_simulation,
		.context_free = close_simulation,
	};

	return scr_main(argc, argv, &suite);
}
