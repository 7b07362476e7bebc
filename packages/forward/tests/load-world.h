#ifndef LOAD_WORLD_H
#define LOAD_WORLD_H

/*
 * NAME
 *	load-world - VMs, upstreams and callers on a virtual clock, for
 *load-test
 *
 * DESCRIPTION
 *	Each VM has a fleet and an engine of its own. An upstream runs as many
 *	requests as it has slots, queues a few more and refuses the rest; it
 *	reports its load with each answer. A VM has few connections to each
 *	upstream; one that is cancelled is closed, and the first request on a
 *	new one holds its slot for longer. A caller that is refused comes again
 *	once, at the time that it was told. All is drawn from one seed.
 */

#include "forward-ignore.h"
#include "script/scr.h"

#include <stdio.h>
#include <string.h>

#define VMS_MAX 8
#define KINDS_MAX 4

/* One way, between callers, VMs and upstreams. */
#define HOP (1 * GB_MSEC)

/* Time of a run, as a part of the kind's mean. */
#define WORK_LEAST 0.6
#define WORK_SPREAD 0.8

struct world;

/* Something that happens at a time; events of one time keep their order. */
struct event {
	gb_time at;
	uint64_t order;
	void (*run)(struct world *w, void *data);
	void *data;
};

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
	double slow;
	enum health health;
	uint32_t running;
	GQueue waiting; /* of struct job */
};

struct vm {
	struct world *w;
	struct gb_rng rng;
	struct met_registry metrics;
	struct fl_fleet *fleet;
	struct fw_engine engine;
	struct rt_table *table;
	double weight; /* part of the callers */
	bool gone;
};

struct kind {
	char name[16];
	double work;
	double rate;
	uint32_t asked, in_aim, late, refused, failed;
	gb_time worst_refusal; /* time until a caller learned of it */
};

/* One attempt of a caller. */
struct query {
	struct world *w;
	struct vm *vm;
	struct kind *kind;
	struct fw_request *request;
	char id[24];
	gb_time began; /* the caller's first attempt */
	gb_time deadline;
	bool again;
	gb_time due; /* of the timer that is set */
};

/* A call on its way to an upstream, there, or on its way back. */
struct job {
	struct world *w;
	struct fw_call *call; /* NULL once it was cancelled */
	struct query *query;
	struct upstream *upstream;
	bool connected;
	bool fresh; /* the first on its connection */
	bool queued;
	bool running;
	enum fw_outcome outcome;
	uint32_t load_running, load_waiting; /* as reported */
};

struct world {
	gb_time now;
	gb_time end; /* of the arrivals */
	uint64_t order;
	GTree *events;
	struct gb_rng rng;
	GHashTable *upstreams; /* id to struct upstream */
	struct vm vm[VMS_MAX];
	uint32_t vms;
	struct kind kind[KINDS_MAX];
	uint32_t kinds;
	gb_time handshake; /* time in a slot, for a new connection */
	double burst; /* arrivals, as a multiple of the rate */
	uint32_t queries;
	uint64_t runs; /* that upstreams began */
	GPtrArray *kept; /* memory that is freed at the end */
	GPtrArray *all_queries; /* of struct query, in kept */
};

static void *keep(struct world *w, void *data)
{
	g_ptr_array_add(w->kept, data);
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

static void at(struct world *w, gb_time when,
	       void (*run)(struct world *w, void *data), void *data)
{
	struct event *event = g_new(struct event, 1);

	*event = (struct event){ when, w->order++, run, data };
	g_tree_insert(w->events, event, event);
}

/* Upstreams. */

static void start_next(struct world *w, struct upstream *upstream);
static void after(struct world *w, struct query *query);

static struct pool *pool_of(const struct job *job)
{
	const struct vm *vm = job->query->vm;

	return &job->upstream->pool[vm - vm->w->vm];
}

static void connect_next(struct world *w, struct pool *pool);

static void deliver(struct world *w, void *data)
{
	struct job *job = data;
	struct fw_answer answer = { .status = 200, .success = true };
	struct fw_call *call = job->call;
	struct query *query = job->query;

	if (!call)
		return;
	call->data = NULL;
	pool_of(job)->idle++;
	connect_next(w, pool_of(job));
	fl_reported(call->upstream, w->now, job->load_running,
		    job->load_waiting);
	fw_done(call, w->now, job->outcome, &answer);
	after(w, query);
}

static void send_back(struct world *w, struct job *job, enum fw_outcome outcome)
{
	job->outcome = outcome;
	job->load_running = job->upstream->running;
	job->load_waiting = job->upstream->waiting.length;
	at(w, w->now + HOP, deliver, job);
}

static void finish(struct world *w, void *data)
{
	struct job *job = data;
	struct upstream *upstream = job->upstream;

	if (!job->running)
		return; /* cancelled */
	upstream->running--;
	job->running = false;
	if (upstream->health == HEALTHY)
		send_back(w, job, FW_ANSWERED);
	start_next(w, upstream);
}

static void begin(struct world *w, struct job *job)
{
	double work = job->query->kind->work * job->upstream->slow *
		      (WORK_LEAST + WORK_SPREAD * gb_rng_unit(&w->rng));

	if (job->fresh)
		work += w->handshake;
	job->upstream->running++;
	job->running = true;
	w->runs++;
	at(w, w->now + work, finish, job);
}

static void start_next(struct world *w, struct upstream *upstream)
{
	while (upstream->running < upstream->slots &&
	       upstream->waiting.length) {
		struct job *job = g_queue_pop_head(&upstream->waiting);

		job->queued = false;
		begin(w, job);
	}
}

static void arrive(struct world *w, void *data)
{
	struct job *job = data;
	struct upstream *upstream = job->upstream;

	if (!job->call || upstream->health == SILENT)
		return;
	if (upstream->health == CLOSED) {
		send_back(w, job, FW_UNSENT);
	} else if (upstream->running < upstream->slots) {
		begin(w, job);
	} else if (upstream->waiting.length < upstream->queue_max) {
		job->queued = true;
		g_queue_push_tail(&upstream->waiting, job);
	} else {
		send_back(w, job, FW_REFUSED);
	}
}

static void leave(struct world *w, void *data)
{
	struct job *job = data;

	if (!job->call)
		return;
	if (job->upstream->health != CLOSED)
		fw_sent(job->call, w->now);
	at(w, w->now + HOP, arrive, job);
}

/* Gives connections to the calls that wait for one. */
static void connect_next(struct world *w, struct pool *pool)
{
	while (pool->waiting.length) {
		struct job *job = pool->waiting.head->data;
		uint32_t limit =
			fl_conns(job->query->vm->fleet, job->call->upstream);

		if (!pool->idle && pool->open >= limit)
			return;
		g_queue_pop_head(&pool->waiting);
		job->connected = true;
		job->fresh = !pool->idle;
		if (job->fresh)
			pool->open++;
		else
			pool->idle--;
		at(w, w->now + (job->fresh ? 2 * HOP : 0), leave, job);
	}
}

static void on_send(void *data, struct fw_call *call)
{
	struct vm *vm = data;
	struct world *w = vm->w;
	struct job *job = keep(w, g_new0(struct job, 1));
	char *id = gb_str_to_c(call->upstream->id);

	job->w = w;
	job->call = call;
	job->query = call->part->request->data;
	job->upstream = g_hash_table_lookup(w->upstreams, id);
	g_free(id);
	call->data = job;
	g_queue_push_tail(&pool_of(job)->waiting, job);
	connect_next(w, pool_of(job));
}

/* The upstream drops the work when its connection is closed. */
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
	connect_next(vm->w, pool_of(job));
	if (job->queued) {
		g_queue_remove(&job->upstream->waiting, job);
	} else if (job->running) {
		job->running = false;
		job->upstream->running--;
		start_next(vm->w, job->upstream);
	}
}

/* Callers. */

static void ask(struct world *w, void *data);

static void on_reply(void *data, struct fw_request *request,
		     const struct fw_reply *reply)
{
	struct vm *vm = data;
	struct world *w = vm->w;
	struct query *query = request->data;
	struct kind *kind = query->kind;
	gb_time taken = w->now + HOP - query->began;

	if (reply->status < 300) {
		if (taken <= request->route->aim)
			kind->in_aim++;
		else
			kind->late++;
		return;
	}
	if (reply->status == 503)
		kind->worst_refusal = MAX(kind->worst_refusal,
					  w->now + HOP - request->received);
	if (reply->retry_after && !query->again &&
	    taken + reply->retry_after < query->deadline) {
		struct query *next = keep(w, g_memdup2(query, sizeof(*query)));

		next->again = true;
		next->request = NULL;
		g_ptr_array_add(w->all_queries, next);
		at(w, w->now + HOP + reply->retry_after, ask, next);
		return;
	}
	if (reply->status == 503)
		kind->refused++;
	else
		kind->failed++;
}

static void on_timer(struct world *w, void *data)
{
	struct query *query = data;

	if (query->request && query->due <= w->now) {
		fw_tick(query->request, w->now);
		after(w, query);
	}
}

/* Frees what was answered; otherwise waits for what is due next. */
static void after(struct world *w, struct query *query)
{
	if (!query->request)
		return;
	if (query->request->ended) {
		fw_free(query->request);
		query->request = NULL;
		return;
	}
	query->due = fw_next(query->request);
	at(w, MAX(query->due, w->now), on_timer, query);
}

/* A caller's connections stay with a VM by weight, and leave a dead one. */
static struct vm *choose_vm(struct world *w)
{
	double total = 0, drawn;

	for (uint32_t i = 0; i < w->vms; i++)
		total += w->vm[i].gone ? 0 : w->vm[i].weight;
	drawn = gb_rng_unit(&w->rng) * total;
	for (uint32_t i = 0; i < w->vms; i++) {
		drawn -= w->vm[i].gone ? 0 : w->vm[i].weight;
		if (drawn < 0)
			return &w->vm[i];
	}
	return &w->vm[0];
}

static void ask(struct world *w, void *data)
{
	struct query *query = data;
	struct vm *vm = choose_vm(w);
	char path[20];
	struct fw_ask fw_ask = { .received = w->now,
				 .deadline = query->began + query->deadline -
					     w->now,
				 .way = 2 * HOP,
				 .data = query };

	query->vm = vm;
	snprintf(query->id, sizeof(query->id), "q%u", w->queries++);
	snprintf(path, sizeof(path), "/%s/", query->kind->name);
	fw_ask.id = gb_str_from_c(query->id);
	query->request = fw_new(
		&vm->engine, vm->table,
		rt_find(vm->table, GB_STR("h"), gb_str_from_c(path)), &fw_ask);
	fw_start(query->request, w->now);
	after(w, query);
}

static void next_arrival(struct world *w, void *data)
{
	struct kind *kind = data;
	double rate = kind->rate * w->burst;
	struct query *query;

	if (w->now >= w->end)
		return;
	query = keep(w, g_new0(struct query, 1));
	g_ptr_array_add(w->all_queries, query);
	query->w = w;
	query->kind = kind;
	query->began = w->now;
	query->deadline = 800 * GB_MSEC;
	kind->asked++;
	at(w, w->now + HOP, ask, query);
	at(w, w->now + gb_rng_exponential(&w->rng, GB_SEC / rate), next_arrival,
	   kind);
}

static uint32_t share_vms(void *ctx)
{
	const struct vm *vm = ctx;

	return vm->w->vms;
}

static uint32_t share_rank(void *ctx, uint64_t key)
{
	const struct vm *vm = ctx;

	return (key + (vm - vm->w->vm)) % vm->w->vms;
}

static void run_until(struct world *w, gb_time until)
{
	for (;;) {
		GTreeNode *node = g_tree_node_first(w->events);
		struct event *event = node ? g_tree_node_key(node) : NULL;

		if (!event || event->at > until)
			break;
		g_tree_steal(w->events, event);
		w->now = event->at;
		event->run(w, event->data);
		g_free(event);
	}
	w->now = until;
}

#endif
