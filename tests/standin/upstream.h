#ifndef UPSTREAM_H
#define UPSTREAM_H

/*
 * NAME
 *	ups - stand-in of upstreams: replicas of the shards of one service
 *
 * DESCRIPTION
 *	A process serves any number of replicas, each on a port of its own. A
 *	replica runs at most its slots at once, queues a few more and sheds
 *	the rest with 503 and Not-Run. For a while after its start it is cold:
 *	then only the cold slots may be in flight, and more are shed or make
 *	it fail. A run takes an exponential time; a part of the runs is ten
 *	times slower. Timers have a resolution of 1 ms.
 */

#include "standin/common-http.h"

#include <glib.h>

struct ups_options {
	struct gb_str service;
	const char *records;
	uint32_t slots;
	uint32_t queue;
	uint32_t connections;
	uint32_t connect_ms;
	uint32_t service_us;
	uint32_t slow_permille;
	uint32_t cold_ms;
	uint32_t cold_slots;
	bool cold_fails;
	uint64_t snapshot;
	uint64_t seed;
	GArray *replicas; /* of struct ups_replica, before they start */
};

struct ups_stats {
	uint64_t lookups;
	uint64_t orders;
	uint64_t begun; /* runs, of lookups and orders */
	uint64_t shed;
	uint64_t cancelled;
	uint64_t late;
	uint64_t gone;
	uint64_t deaths;
	uint32_t running_most;
	uint32_t in_flight_most;
	uint32_t cold_most;
	/* In flight with the one that arrives, also if it is then shed. */
	uint32_t offered_most;
	uint32_t cold_offered_most;
};

/* How the next answer to a run is spoilt. */
enum ups_spoil {
	UPS_SPOIL_NONE,
	UPS_SPOIL_ATTEMPT, /* names another attempt */
	UPS_SPOIL_SHARD, /* names another shard */
	UPS_SPOIL_JSON, /* its body is no JSON */
	UPS_SPOIL_CUT, /* its body ends early */
	UPS_SPOIL_LOST, /* the connection is closed instead */
	UPS_SPOILS
};

struct ups_replica {
	const struct ups_options *options;
	struct gb_str name;
	uint32_t shard;
	uint32_t shards;
	struct si_port port;
	GPtrArray *records; /* lines of this shard */
	GArray *snapshots; /* of uint64_t */
	uint64_t instance;
	gb_time cold_until;
	gb_time frozen_until;
	uint32_t slow_permille;
	char *crash_on;
	enum ups_spoil spoil;
	struct gb_rng rng;
	uint32_t running;
	GQueue queue; /* of struct ups_job */
	GHashTable *jobs; /* attempt to struct ups_job */
	GHashTable *runs; /* order key to count; survives a death */
	uv_timer_t *come_back; /* NULL unless dead */
	struct ups_stats stats;
};

/* One request that waits in the queue or runs. */
struct ups_job {
	struct ups_replica *replica;
	h2o_req_t *req;
	uint64_t attempt;
	bool order;
	bool running;
	gb_time begin;
	gb_time deadline; /* GB_NEVER if none */
	gb_time end; /* of the run */
	struct gb_str key;
	uv_timer_t *timer;
};

extern const struct si_route ups_routes[];
extern const size_t ups_routes_len;

/* Starts a replica whose options, name, port and shard are set. */
int ups_start(struct ups_replica *replica, gchar **lines);

/* Cuts everything; the replica returns cold with a new identity. */
void ups_die(struct ups_replica *replica, uint32_t for_ms);

/* Takes in a request of the path .../SHARD/lookup or .../SHARD/order. */
void ups_accept(struct ups_replica *replica, h2o_req_t *req, bool order);

/* Ends a job with 499; returns false if there is none. */
bool ups_cancel(struct ups_replica *replica, uint64_t attempt);
void ups_job_drop_all(struct ups_replica *replica);

/* Makes the body of an answer; NULL if the request is malformed. */
json_t *ups_search(const struct ups_replica *replica, struct gb_str body);
json_t *ups_execute(struct ups_replica *replica, struct gb_str key,
		    struct gb_str body);

/* The shard that a line belongs to. */
uint32_t ups_shard(const char *line, uint32_t shards);
/* Counts a run of an order. */
void ups_note_run(struct ups_replica *replica, struct gb_str key);
bool ups_is_cold(const struct ups_replica *replica);
uint32_t ups_in_flight(const struct ups_replica *replica);

#endif
