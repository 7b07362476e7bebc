#ifndef SHARD_WORLD_H
#define SHARD_WORLD_H

#include "script/scr.h"
#include "shard/shd.h"

#include <glib.h>
#include <inttypes.h>

struct sim;

/* One shard of one service, with what it sent and answered. */
struct world {
	struct cfg *cfg;
	struct shd_service shared;
	struct sus_table *suspects;
	struct met_registry metrics;
	struct shd_shard *shard;
	gb_time now;
	gb_time lease;
	uint64_t calls;
	bool hedging; /* the next send is a hedge */
	bool quiet;
	struct gb_buf *out;
	GArray *sent; /* of uint64_t, calls of the quiet phase */
	struct sim *sim; /* of a random run */
};

/* Makes the configuration and the shard from "name=value" arguments. */
static void world_service(struct world *w, const struct scr_args *args,
			  const struct shd_ops *shd_ops, void *ctx)
{
	struct cfg_service *service;
	struct cfg_shard *shard;
	int replicas = (int)scr_int(args, GB_STR("replicas"), 2);

	w->cfg = cfg_new();
	cfg_add_dc(w->cfg, GB_STR("a"));
	cfg_add_dc(w->cfg, GB_STR("b"));
	service = cfg_add_service(w->cfg, GB_STR("ledger"));
	cfg_set_policy(service,
		       scr_str(args, GB_STR("policy"), GB_STR("latency")));
	service->hedge_permille = scr_int(args, GB_STR("permille"), 30);
	service->canary = scr_int(args, GB_STR("canary"), 0);
	service->limits = (struct cfg_limits){
		.slots = scr_int(args, GB_STR("slots"), 2),
		.queue = scr_int(args, GB_STR("queue"), 1),
		.connections = scr_int(args, GB_STR("connections"), 100),
		.cold_slots = scr_int(args, GB_STR("cold"), 1),
		.ramp = scr_int(args, GB_STR("ramp"), 50) * GB_MSEC,
	};
	shard = cfg_add_shard(service);
	for (int i = 0; i < replicas; i++) {
		char name[] = { 'r', (char)('0' + i) };
		struct gb_str s = { .ptr = name, .len = 2 };

		cfg_add_replica(shard, s, GB_STR("127.0.0.1"))->dc = i % 2;
	}
	shd_service_init(&w->shared, service);
	w->suspects = sus_new(1000, 2, 600 * GB_SEC);
	w->shard = shd_new(0, 0, &w->shared, w->suspects, &w->metrics, shd_ops,
			   ctx);
	shd_follow(w->shard, w->now, w->cfg);
	w->lease = scr_int(args, GB_STR("lease"), 100000) * GB_MSEC;
	shd_set_lease(w->shard, w->lease);
}

static void world_clear(struct world *w)
{
	shd_free(w->shard);
	sus_free(w->suspects);
	if (w->cfg)
		cfg_unref(w->cfg);
	*w = (struct world){ .sent = w->sent };
}

/* Changes or removes the replica or data centre; the shard follows. */
static void world_close(struct world *w, int replica, int dc, bool closed,
			bool removed)
{
	struct cfg *next = cfg_copy(w->cfg);
	struct cfg_service *service =
		&g_array_index(next->services, struct cfg_service, 0);
	struct cfg_shard *shard =
		&g_array_index(service->shards, struct cfg_shard, 0);

	if (replica >= 0 && removed)
		g_array_remove_index(shard->replicas, replica);
	else if (replica >= 0)
		g_array_index(shard->replicas, struct cfg_replica, replica)
			.draining = closed;
	if (dc >= 0)
		g_array_index(next->dcs, struct cfg_dc, dc).out = closed;
	cfg_unref(w->cfg);
	w->cfg = next;
	shd_follow(w->shard, w->now, w->cfg);
}

#endif
