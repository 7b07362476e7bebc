#ifndef RT_H
#define RT_H

/*
 * NAME
 *	rt - the routing table of one version of the configuration
 *
 * DESCRIPTION
 *	A table holds the routes, the services and the limits for callers of
 *	one version. Apart from counters and the caller's state, it does not
 *	change once it is complete. A request keeps a reference to the table
 *	that it began with, so that all its parts use one version. struct
 *	rt_current holds the newest table; an older one never replaces it.
 */

#include "organisation/og.h"

#include <glib.h>

/* Distinct priorities; a less urgent one counts as the last of them. */
#define RT_PRIORITY_LEVELS 8

enum rt_kind {
	RT_IDEMPOTENT, /* may run more than once */
	RT_AT_MOST_ONCE /* per attempt of the caller */
};

struct rt_service {
	struct gb_str name;
	uint32_t conns_max; /* to one upstream, from all VMs together */
	double cold_rate; /* requests/s to a cold upstream; 0: no limit */
	/* Lowest among the routes of each priority; 0 if there is none. */
	gb_time target_latency[RT_PRIORITY_LEVELS];
	void *data; /* state of the caller for the service */
};

struct rt_target {
	struct rt_service *service;
	double weight;
};

struct rt_route {
	struct gb_str name;
	struct gb_str host; /* in lower case */
	struct gb_str prefix; /* begins and ends with a slash */
	enum rt_kind kind;
	gb_time timeout;
	gb_time target_latency; /* 0 if none */
	uint32_t priority; /* 0 is the most urgent */
	uint32_t attempts_max; /* upstreams tried per request or shard */
	bool is_public; /* needs no key, if the table has organisations */
	bool fanout; /* to all targets instead of to one of them */
	struct rt_target *targets;
	uint32_t targets_len;
	uint32_t top_k; /* records in the merged answer of a fan-out */
	double shard_share_min; /* fraction of shards that an answer needs */
	uint64_t requests_sent; /* for the traffic split by weight */
	uint64_t *requests_sent_to; /* by target */
	void *data; /* state of the caller for the route */
};

struct rt_limits {
	size_t header_bytes_max;
	size_t body_bytes_max;
	gb_time header_timeout;
	gb_time idle_timeout;
};

/* Used while no configuration is known, and for limits it does not set. */
extern const struct rt_limits rt_limits_default;

struct rt_table {
	int64_t version;
	struct rt_limits limits;
	GPtrArray *routes; /* of struct rt_route */
	GPtrArray *services; /* of struct rt_service */
	/* NULL: requests need no keys; owned */
	struct og_table *organisations;
	GHashTable *by_host_prefix; /* host and prefix to struct rt_route */
	GHashTable *by_name; /* name to struct rt_service */
	unsigned int refs;
};

struct rt_table *rt_table_new(int64_t version);
struct rt_table *rt_table_ref(struct rt_table *table);
void rt_table_unref(struct rt_table *table);

/* Adds a service; copies the name. Returns NULL if the name is in use. */
struct rt_service *rt_add_service(struct rt_table *table, struct gb_str name);
struct rt_service *rt_find_service(const struct rt_table *table,
				   struct gb_str name);

/*
 * Adds a copy of the route, without its targets. Returns NULL if there is a
 * route for that host and prefix.
 */
struct rt_route *rt_add_route(struct rt_table *table,
			      const struct rt_route *route);
void rt_add_target(struct rt_route *route, struct rt_service *service,
		   double weight);

/* Lowest target latency of all routes to the same services; 0 for none. */
gb_time rt_min_target_latency(const struct rt_route *route);

/*
 * Tells whether a more urgent route with a target latency shares one of the
 * services.
 */
bool rt_has_more_urgent_route(const struct rt_route *route);

/*
 * Tells whether requests that are more urgent share the services of the route.
 * The priority of an organisation goes before that of the route; NULL if the
 * request has none.
 */
bool rt_yields(const struct rt_table *table, const struct rt_route *route,
	       const struct og_org *org);

/* Returns the route of the host with the longest matching prefix, or NULL. */
struct rt_route *rt_find_route(const struct rt_table *table, struct gb_str host,
			       struct gb_str path);

/* Returns the target furthest below its weight, which is the next one. */
const struct rt_target *rt_next_target(const struct rt_route *route);

/* Chooses the next target and counts the request. */
const struct rt_target *rt_choose_target(struct rt_route *route);

/* Returns the minimum number of shards in the answer of a fan-out. */
uint32_t rt_parts_min(const struct rt_route *route);

struct rt_current {
	struct rt_table *table; /* NULL until the first one */
};

/* Takes the table over if it is newer; otherwise drops the reference. */
bool rt_current_replace(struct rt_current *current, struct rt_table *table);

#endif
