#include "load-world.h"

/*
 * Replays of loads on the decisions alone. Each script names the load, and
 * what callers are to get of it.
 */

static void free_upstream(gpointer data)
{
	struct upstream *upstream = data;

	g_queue_clear(&upstream->waiting);
	for (uint32_t i = 0; i < VMS_MAX; i++)
		g_queue_clear(&upstream->pool[i].waiting);
	g_free(upstream);
}

static void *open_world(void)
{
	struct world *w = g_new0(struct world, 1);

	w->events = g_tree_new_full(compare_events, NULL, g_free, NULL);
	w->upstreams = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					     free_upstream);
	w->kept = g_ptr_array_new_with_free_func(g_free);
	w->all_queries = g_ptr_array_new();
	w->now = GB_SEC;
	w->burst = 1;
	return w;
}

static void close_world(void *data)
{
	struct world *w = data;

	for (guint i = 0; i < w->all_queries->len; i++) {
		struct query *query = w->all_queries->pdata[i];

		if (!query->request)
			continue;
		fw_gone(query->request, w->now);
		fw_free(query->request);
	}
	for (uint32_t i = 0; i < w->vms; i++) {
		rt_table_unref(w->vm[i].table);
		fw_engine_clear(&w->vm[i].engine);
		fl_free(w->vm[i].fleet);
	}
	g_tree_destroy(w->events);
	g_hash_table_destroy(w->upstreams);
	g_ptr_array_free(w->all_queries, TRUE);
	g_ptr_array_free(w->kept, TRUE);
	g_free(w);
}

static void init_vm(struct world *w, struct vm *vm, double weight)
{
	static const struct fw_ops ops = { .send = on_send,
					   .cancel = on_cancel,
					   .reply = on_reply,
					   .event = ignore_event };
	static const struct fl_ops fleet_ops = { .forget = ignore_forget };
	static const struct fl_share share = { .vms = share_vms,
					       .rank = share_rank };
	const struct fl_settings settings = { .dc = GB_STR_INIT("here"),
					      .drain = 2800 * GB_MSEC,
					      .cold_burst = 5 };

	vm->w = w;
	vm->weight = weight;
	vm->rng.state = gb_rng_next(&w->rng);
	vm->fleet = fl_new(&settings, &fleet_ops, &share, vm, &vm->rng);
	fw_engine_init(&vm->engine, vm->fleet, &ops, vm, &vm->rng,
		       &vm->metrics);
	vm->engine.budget = (struct bud_limits){ .ratio = 0.2,
						 .extra = 58,
						 .window = 10 * GB_SEC,
						 .vms = w->vms,
						 .settled = true };
	vm->table = rt_table_new(1);
}

/* Connections to one upstream, of all VMs. */
#define CONNS_MAX 26

/* world seed= vms=N handshake=: the callers of two VMs are twice those of the
 * others */
static void cmd_world(void *data, const struct scr_args *args,
		      struct gb_buf *out)
{
	struct world *w = data;

	(void)out;
	w->rng.state = scr_int(args, GB_STR("seed"), 1);
	w->vms = scr_int(args, GB_STR("vms"), 4);
	w->handshake = scr_int(args, GB_STR("handshake"), 0) * GB_MSEC;
	g_assert(w->vms <= VMS_MAX);
	for (uint32_t i = 0; i < w->vms; i++)
		init_vm(w, &w->vm[i], i < 2 ? 2 : 1);
}

static void add_upstream(struct world *w, const struct upstream *model,
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
	g_hash_table_insert(w->upstreams, upstream->id, upstream);
	for (uint32_t i = 0; i < w->vms; i++) {
		fl_put(w->vm[i].fleet, w->now, &entry);
		fl_service(w->vm[i].fleet, service)->conns_max = CONNS_MAX;
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
				  .slow = 1 };

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

	added->data = fw_pace(&vm->engine, route->name);
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

/* kind NAME shards= share= work= rate= aim= priority= */
static void cmd_kind(void *data, const struct scr_args *args,
		     struct gb_buf *out)
{
	struct world *w = data;
	struct kind *kind = &w->kind[w->kinds++];
	struct gb_str name = scr_word(args, 0);
	char prefix[20];
	struct rt_route route = {
		.name = name,
		.host = GB_STR_INIT("h"),
		.kind = RT_IDEMPOTENT,
		.aim = scr_int(args, GB_STR("aim"), 100) * GB_MSEC,
		.timeout = 800 * GB_MSEC,
		.priority = scr_int(args, GB_STR("priority"), 0),
		.attempts_max = 2,
		.fanout = true,
		.top = 3,
		.share_min = scr_double(args, GB_STR("share"), 1),
	};

	(void)out;
	g_assert(w->kinds <= KINDS_MAX);
	snprintf(kind->name, sizeof(kind->name), "%.*s", (int)name.len,
		 name.ptr);
	snprintf(prefix, sizeof(prefix), "/%s/", kind->name);
	route.prefix = gb_str_from_c(prefix);
	kind->work = scr_double(args, GB_STR("work"), 10) * GB_MSEC;
	kind->rate = scr_double(args, GB_STR("rate"), 10);
	for (uint32_t i = 0; i < w->vms; i++)
		add_route(&w->vm[i], &route,
			  scr_int(args, GB_STR("shards"), 1));
}

static void start_over(struct kind *kind)
{
	kind->asked = 0;
	kind->in_aim = 0;
	kind->late = 0;
	kind->refused = 0;
	kind->failed = 0;
	kind->worst_refusal = 0;
}

/*
 * load for= times=: callers come for so many seconds, at so many times the
 * rate; what they get is counted anew.
 */
static void cmd_load(void *data, const struct scr_args *args,
		     struct gb_buf *out)
{
	struct world *w = data;

	(void)out;
	w->burst = scr_double(args, GB_STR("times"), 1);
	w->end = w->now + scr_double(args, GB_STR("for"), 1) * GB_SEC;
	for (uint32_t i = 0; i < w->kinds; i++) {
		start_over(&w->kind[i]);
		next_arrival(w, &w->kind[i]);
	}
	/* Each caller is answered before the next load begins. */
	run_until(w, w->end + GB_SEC);
	if (g_getenv("LOAD_SHOW"))
		for (uint32_t i = 0; i < w->kinds; i++)
			g_test_message(
				"%s: asked %u, in aim %u, late %u, refused %u, "
				"failed %u, slowest refusal %lld us",
				w->kind[i].name, w->kind[i].asked,
				w->kind[i].in_aim, w->kind[i].late,
				w->kind[i].refused, w->kind[i].failed,
				(long long)w->kind[i].worst_refusal);
}

/* upstreams WORD... health=ok|silent|closed slow= */
static void cmd_upstreams(void *data, const struct scr_args *args,
			  struct gb_buf *out)
{
	struct gb_str health = scr_str(args, GB_STR("health"), GB_STR("ok"));
	struct world *w = data;

	(void)out;
	for (size_t i = 0; i < args->len; i++) {
		char *id = gb_str_to_c(args->word[i]);
		struct upstream *upstream =
			g_hash_table_lookup(w->upstreams, id);

		g_free(id);
		if (!upstream)
			continue;
		upstream->slow = scr_double(args, GB_STR("slow"), 1);
		upstream->health = HEALTHY;
		if (gb_str_eq(health, GB_STR("silent")))
			upstream->health = SILENT;
		else if (gb_str_eq(health, GB_STR("closed")))
			upstream->health = CLOSED;
	}
}

static void say(struct gb_buf *out, const char *what, double bound, bool kept)
{
	gb_buf_addf(out, "  %s %g: %s\n", what, bound, kept ? "yes" : "no");
}

static struct kind *find_kind(struct world *w, struct gb_str name)
{
	for (uint32_t i = 0; i < w->kinds; i++)
		if (gb_str_eq(gb_str_from_c(w->kind[i].name), name))
			return &w->kind[i];
	g_error("no kind %.*s", (int)name.len, name.ptr);
}

static double served_share(const struct kind *kind)
{
	return (double)(kind->in_aim + kind->late) / MAX(kind->asked, 1);
}

/* compare URGENT OTHER: the urgent kind is not served less often */
static void cmd_compare(void *data, const struct scr_args *args,
			struct gb_buf *out)
{
	const struct kind *urgent = find_kind(data, scr_word(args, 0));
	const struct kind *other = find_kind(data, scr_word(args, 1));

	gb_buf_addf(out, "  %s is served as often as %s: %s\n", urgent->name,
		    other->name,
		    served_share(urgent) >= served_share(other) ? "yes" : "no");
}

/* expect KIND in_aim= served= failed= refusal_ms=: parts of what was asked */
static void cmd_expect(void *data, const struct scr_args *args,
		       struct gb_buf *out)
{
	const struct kind *kind = find_kind(data, scr_word(args, 0));
	double in_aim = scr_double(args, GB_STR("in_aim"), -1);
	double served = scr_double(args, GB_STR("served"), -1);
	double failed = scr_double(args, GB_STR("failed"), -1);
	double refusal = scr_double(args, GB_STR("refusal_ms"), -1);

	if (in_aim >= 0)
		say(out, "in the aim at least", in_aim,
		    kind->in_aim >= in_aim * kind->asked);
	if (served >= 0)
		say(out, "served at least", served,
		    served_share(kind) >= served);
	if (failed >= 0)
		say(out, "failed at most", failed,
		    kind->failed <= failed * kind->asked);
	if (refusal >= 0)
		say(out, "refused within ms", refusal,
		    kind->worst_refusal <= refusal * GB_MSEC);
}

/* lose VM...: callers come to the other VMs from now on */
static void cmd_lose(void *data, const struct scr_args *args,
		     struct gb_buf *out)
{
	struct world *w = data;
	int64_t number;

	(void)out;
	for (size_t i = 0; i < args->len; i++) {
		g_assert(!gb_str_to_int(args->word[i], 0, w->vms - 1, &number));
		w->vm[number].gone = true;
	}
}

int main(int argc, char **argv)
{
	static const struct scr_command commands[] = {
		{ GB_STR_INIT("world"), cmd_world },
		{ GB_STR_INIT("shards"), cmd_shards },
		{ GB_STR_INIT("kind"), cmd_kind },
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
		.open = open_world,
		.close = close_world,
	};

	return scr_main(argc, argv, &suite);
}
