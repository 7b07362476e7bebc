#ifndef LOAD_SIMULATION_H
#define LOAD_SIMULATION_H

/*
 * NAME
 *	load-simulation - simulated VMs, upstreams and callers, for load-test
 *
 * DESCRIPTION
 *	The simulation runs on a virtual clock. Each VM has a fleet and an
 *	engine of its own. An upstream runs as many requests as it has slots,
 *	queues a few more and refuses the rest; it reports its load with each
 *	answer. A VM has few connections to each upstream; one whose call is
 *	cancelled is closed, and the first request on a new one holds its slot
 *	for longer. A refused caller retries once, at the time that it was
 *	told. One seed determines all random values.
 */

#include "forward-ignore.h"
#include "script/scr.h"

#include <stdio.h>
#include <string.h>

#define VMS_MAX 8
#define TRAFFIC_MAX 4

/* Time on the network, one way: between caller and VM, or VM and upstream. */
#define HOP_DELAY (1 * GB_MSEC)

/* A run takes WORK_MIN to WORK_MIN + WORK_SPREAD times the mean. */
#define WORK_MIN 0.6
#define WORK_SPREAD 0.8

struct simulation;

/* A scheduled callback; those of the same time run in order of creation. */
struct event {
	gb_time at;
	uint64_t order;
	void (*run)(struct simulation *sim, void *data);
	void *data;
};

/* A silent upstream never answers; a closed one refuses connections. */
enum health { HEALTHY, SILENT, CLOSED };

/* Connections of one VM to an upstream. */
struct pool {
	uint32_t open;
	uint32_t idle;
	GQueue waiting; /* of struct job */
};

struct upstream {
	char id[16];
	struct pool pool[VMS_MAX];
	uint32_t slots;
	uint32_t queue_max;
	double slowdown; /* factor on the time of a run */
	enum health health;
	uint32_t running;
	GQueue waiting; /* of struct job */
};

struct vm {
	struct simulation *sim;
	struct gb_rng rng;
	struct met_registry metrics;
	struct fl_fleet *fleet;
	struct fw_engine engine;
	struct rt_table *table;
	double weight; /* relative share of the callers */
	bool lost;
};

/* Requests to one route, of one organisation, and how many had which result. */
struct traffic {
	char name[16];
	char route[16];
	double work; /* mean time of a run in us */
	double rate; /* requests per second */
	double factor; /* on the rate, besides that of all traffic */
	struct og_org org; /* without a name: of no organisation */
	uint32_t asked, in_target, late, refused, failed;
	gb_time slowest_refusal; /* time until the caller had it */
};

/* One attempt of a caller. */
struct query {
	struct simulation *sim;
	struct vm *vm;
	struct traffic *traffic;
	struct fw_request *request;
	char id[24];
	gb_time first_sent_at; /* when the caller made its first attempt */
	gb_time timeout; /* from the first attempt on */
	bool is_retry;
	gb_time timer_at; /* when the current timer expires */
};

/* A call from a VM to an upstream, until its response is delivered. */
struct job {
	struct simulation *sim;
	struct fw_call *call; /* NULL once cancelled */
	struct query *query;
	struct upstream *upstream;
	bool connected;
	bool new_connection; /* the first on its connection */
	bool queued;
	bool running;
	enum fw_outcome outcome;
	uint32_t load_running, load_waiting; /* as reported with the response */
};

struct simulation {
	gb_time now;
	gb_time arrivals_end; /* no queries are generated after this */
	uint64_t order;
	GTree *events;
	struct gb_rng rng;
	GHashTable *upstreams; /* id to struct upstream */
	struct vm vm[VMS_MAX];
	uint32_t vms;
	struct traffic traffic[TRAFFIC_MAX];
	uint32_t traffic_len;
	gb_time handshake; /* extra time in a slot on a new connection */
	double rate_factor; /* multiplies the rate of all traffic */
	uint32_t queries;
	uint64_t runs; /* started by all upstreams */
	GPtrArray *allocations; /* memory that is freed with the simulation */
	GPtrArray *all_queries; /* of struct query, owned by allocations */
};

static void *track_allocation(struct simulation *sim, void *data)
{
	g_ptr_array_add(sim->allocations, data);
	return data;
}

static int compare_events(gconstpointer a, gconstpointer b, gpointer ctx)
{
	const struct event *x = a, *y = b;

	(void)ctx;
	if (x->at != y->at)
		return x->at < y->at ? -1 : 1;
	return (x->order > y->order) - (x->order < y->order);
}

static void schedule(struct simulation *sim, gb_time when,
		     void (*run)(struct simulation *sim, void *data),
		     void *data)
{
	struct event *event = g_new(struct event, 1);

	*event = (struct event){ when, sim->order++, run, data };
	g_tree_insert(sim->events, event, event);
}

/* Upstreams. */

static void start_queued_jobs(struct simulation *sim,
			      struct upstream *upstream);
static void update_query(struct simulation *sim, struct query *query);

static struct pool *pool_of(const struct job *job)
{
	const struct vm *vm = job->query->vm;

	return &job->upstream->pool[vm - vm->sim->vm];
}

static void assign_connections(struct simulation *sim, struct pool *pool);

static void deliver_response(struct simulation *sim, void *data)
{
	struct job *job = data;
	struct fw_answer answer = { .status = 200, .success = true };
	struct fw_call *call = job->call;
	struct query *query = job->query;

	if (!call)
		return;
	call->data = NULL;
	pool_of(job)->idle++;
	assign_connections(sim, pool_of(job));
	fl_load_reported(call->upstream, sim->now, job->load_running,
			 job->load_waiting);
	fw_call_done(call, sim->now, job->outcome, &answer);
	update_query(sim, query);
}

static void send_response(struct simulation *sim, struct job *job,
			  enum fw_outcome outcome)
{
	job->outcome = outcome;
	job->load_running = job->upstream->running;
	job->load_waiting = job->upstream->waiting.length;
	schedule(sim, sim->now + HOP_DELAY, deliver_response, job);
}

static void finish_job(struct simulation *sim, void *data)
{
	struct job *job = data;
	struct upstream *upstream = job->upstream;

	if (!job->running)
		return; /* cancelled */
	upstream->running--;
	job->running = false;
	if (upstream->health == HEALTHY)
		send_response(sim, job, FW_ANSWERED);
	start_queued_jobs(sim, upstream);
}

static void start_job(struct simulation *sim, struct job *job)
{
	double work = job->query->traffic->work * job->upstream->slowdown *
		      (WORK_MIN + WORK_SPREAD * gb_rng_unit(&sim->rng));

	if (job->new_connection)
		work += sim->handshake;
	job->upstream->running++;
	job->running = true;
	sim->runs++;
	schedule(sim, sim->now + work, finish_job, job);
}

static void start_queued_jobs(struct simulation *sim, struct upstream *upstream)
{
	while (upstream->running < upstream->slots &&
	       upstream->waiting.length) {
		struct job *job = g_queue_pop_head(&upstream->waiting);

		job->queued = false;
		start_job(sim, job);
	}
}

static void arrive_at_upstream(struct simulation *sim, void *data)
{
	struct job *job = data;
	struct upstream *upstream = job->upstream;

	if (!job->call || upstream->health == SILENT)
		return;
	if (upstream->health == CLOSED) {
		send_response(sim, job, FW_UNSENT);
	} else if (upstream->running < upstream->slots) {
		start_job(sim, job);
	} else if (upstream->waiting.length < upstream->queue_max) {
		job->queued = true;
		g_queue_push_tail(&upstream->waiting, job);
	} else {
		send_response(sim, job, FW_REFUSED);
	}
}

static void leave_vm(struct simulation *sim, void *data)
{
	struct job *job = data;

	if (!job->call)
		return;
	if (job->upstream->health != CLOSED)
		fw_call_sent(job->call, sim->now);
	schedule(sim, sim->now + HOP_DELAY, arrive_at_upstream, job);
}

/* Assigns idle or new connections to the calls that wait for one. */
static void assign_connections(struct simulation *sim, struct pool *pool)
{
	while (pool->waiting.length) {
		struct job *job = pool->waiting.head->data;
		uint32_t limit = fl_conns_max(job->query->vm->fleet,
					      job->call->upstream);

		if (!pool->idle && pool->open >= limit)
			return;
		g_queue_pop_head(&pool->waiting);
		job->connected = true;
		job->new_connection = !pool->idle;
		if (job->new_connection)
			pool->open++;
		else
			pool->idle--;
		schedule(sim,
			 sim->now + (job->new_connection ? 2 * HOP_DELAY : 0),
			 leave_vm, job);
	}
}

static void on_send(void *data, struct fw_call *call)
{
	struct vm *vm = data;
	struct simulation *sim = vm->sim;
	struct job *job = track_allocation(sim, g_new0(struct job, 1));
	char *id = gb_str_to_c(call->upstream->id);

	job->sim = sim;
	job->call = call;
	job->query = call->part->request->data;
	job->upstream = g_hash_table_lookup(sim->upstreams, id);
	g_free(id);
	call->data = job;
	g_queue_push_tail(&pool_of(job)->waiting, job);
	assign_connections(sim, pool_of(job));
}

/* Closes the connection of a cancelled call, which ends its run. */
static void on_cancel(void *data, struct fw_call *call)
{
	struct vm *vm = data;
	struct job *job = call->data;

	call->data = NULL;
	if (!job)
		return;
	job->call = NULL;
	if (!job->connected) {
		g_queue_remove(&pool_of(job)->waiting, job);
		return;
	}
	pool_of(job)->open--;
	assign_connections(vm->sim, pool_of(job));
	if (job->queued) {
		g_queue_remove(&job->upstream->waiting, job);
	} else if (job->running) {
		job->running = false;
		job->upstream->running--;
		start_queued_jobs(vm->sim, job->upstream);
	}
}

/* Callers. */

static void send_request(struct simulation *sim, void *data);

static void on_reply(void *data, struct fw_request *request,
		     const struct fw_reply *reply)
{
	struct vm *vm = data;
	struct simulation *sim = vm->sim;
	struct query *query = request->data;
	struct traffic *traffic = query->traffic;
	gb_time taken = sim->now + HOP_DELAY - query->first_sent_at;

	if (reply->status < 300) {
		if (taken <= request->route->target_latency)
			traffic->in_target++;
		else
			traffic->late++;
		return;
	}
	if (reply->status == 503)
		traffic->slowest_refusal =
			MAX(traffic->slowest_refusal,
			    sim->now + HOP_DELAY - request->received_at);
	if (reply->retry_after && !query->is_retry &&
	    taken + reply->retry_after < query->timeout) {
		struct query *next =
			track_allocation(sim, g_memdup2(query, sizeof(*query)));

		next->is_retry = true;
		next->request = NULL;
		g_ptr_array_add(sim->all_queries, next);
		schedule(sim, sim->now + HOP_DELAY + reply->retry_after,
			 send_request, next);
		return;
	}
	if (reply->status == 503)
		traffic->refused++;
	else
		traffic->failed++;
}

static void on_timer(struct simulation *sim, void *data)
{
	struct query *query = data;

	if (query->request && query->timer_at <= sim->now) {
		fw_request_tick(query->request, sim->now);
		update_query(sim, query);
	}
}

/* Frees an answered request; otherwise sets the timer for its next tick. */
static void update_query(struct simulation *sim, struct query *query)
{
	if (!query->request)
		return;
	if (query->request->ended) {
		fw_request_free(query->request);
		query->request = NULL;
		return;
	}
	query->timer_at = fw_request_next_tick(query->request);
	schedule(sim, MAX(query->timer_at, sim->now), on_timer, query);
}

/* Draws the VM that a query is sent to, by weight; a lost VM gets none. */
static struct vm *choose_vm(struct simulation *sim)
{
	double total = 0, drawn;

	for (uint32_t i = 0; i < sim->vms; i++)
		total += sim->vm[i].lost ? 0 : sim->vm[i].weight;
	drawn = gb_rng_unit(&sim->rng) * total;
	for (uint32_t i = 0; i < sim->vms; i++) {
		drawn -= sim->vm[i].lost ? 0 : sim->vm[i].weight;
		if (drawn < 0)
			return &sim->vm[i];
	}
	return &sim->vm[0];
}

static void send_request(struct simulation *sim, void *data)
{
	struct query *query = data;
	struct vm *vm = choose_vm(sim);
	char path[20];
	struct fw_request_params params = {
		.received_at = sim->now,
		.timeout = query->first_sent_at + query->timeout - sim->now,
		.rtt = 2 * HOP_DELAY,
		.data = query
	};

	query->vm = vm;
	snprintf(query->id, sizeof(query->id), "q%u", sim->queries++);
	snprintf(path, sizeof(path), "/%s/", query->traffic->route);
	params.id = gb_str_from_c(query->id);
	if (query->traffic->org.name.len)
		params.org = &query->traffic->org;
	query->request = fw_request_new(
		&vm->engine, vm->table,
		rt_find_route(vm->table, GB_STR("h"), gb_str_from_c(path)),
		&params);
	fw_request_start(query->request, sim->now);
	update_query(sim, query);
}

static void generate_query(struct simulation *sim, void *data)
{
	struct traffic *traffic = data;
	double rate = traffic->rate * traffic->factor * sim->rate_factor;
	struct query *query;

	if (sim->now >= sim->arrivals_end)
		return;
	query = track_allocation(sim, g_new0(struct query, 1));
	g_ptr_array_add(sim->all_queries, query);
	query->sim = sim;
	query->traffic = traffic;
	query->first_sent_at = sim->now;
	query->timeout = 800 * GB_MSEC;
	traffic->asked++;
	schedule(sim, sim->now + HOP_DELAY, send_request, query);
	schedule(sim, sim->now + gb_rng_exponential(&sim->rng, GB_SEC / rate),
		 generate_query, traffic);
}

static uint32_t live_vms(void *ctx)
{
	const struct vm *vm = ctx;

	return vm->sim->vms;
}

static uint32_t rank_of_vm(void *ctx, uint64_t key)
{
	const struct vm *vm = ctx;

	return (key + (vm - vm->sim->vm)) % vm->sim->vms;
}

static void run_until(struct simulation *sim, gb_time until)
{
	for (;;) {
		GTreeNode *node = g_tree_node_first(sim->events);
		struct event *event = node ? g_tree_node_key(node) : NULL;

		if (!event || event->at > until)
			break;
		g_tree_steal(sim->events, event);
		sim->now = event->at;
		event->run(sim, event->data);
		g_free(event);
	}
	sim->now = until;
}

#endif
