#ifndef RT_H
#define RT_H

/*
 * NAME
 *	rt - the routes of one version of the configuration
 *
 * DESCRIPTION
 *	A table holds what one version names: routes, services and limits of
 *	callers. It never changes once it is complete; a request keeps a
 *	reference to the table that it began with, so that all its parts
 *	belong to one version. A book holds the newest table and never takes
 *	an older one.
 */

#include "base/gb.h"

#include <glib.h>

/* Priorities that are told apart; all less urgent ones count as the last. */
#define RT_PRIORITIES 8

enum rt_kind {
	RT_IDEMPOTENT, /* may run more than once */
	RT_ONCE /* runs at most once for each attempt of the caller */
};

struct rt_service {
	struct gb_str name;
	uint32_t conns_max; /* to one upstream, of all VMs */
	double cold_rate; /* requests/s that a cold upstream bears; 0: any */
	/* Least aim of the routes of each priority; 0 if there is none. */
	gb_time aim[RT_PRIORITIES];
	void *data; /* what the user of the table keeps for the service */
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
	gb_time aim; /* 0 if none is given */
	uint32_t priority; /* 0 is the most urgent */
	uint32_t attempts_max; /* upstreams per request, or per shard */
	bool fanout; /* to one upstream of each target, not of one target */
	struct rt_target *targets;
	uint32_t targets_len;
	uint32_t top; /* records in the answer of a fan-out */
	double share_min; /* of the shards that an answer needs */
	uint64_t sent; /* requests so far, for the weights */
	uint64_t *sent_to; /* requests so far by target */
	void *data; /* what the user of the table keeps for the route */
};

struct rt_limits {
	size_t head_max;
	size_t body_max;
	gb_time head_timeout;
	gb_time idle_timeout;
};

/* In force while no configuration is known, or where it names none. */
extern const struct rt_limits rt_limits_default;

struct rt_table {
	int64_t version;
	struct rt_limits limits;
	GPtrArray *routes; /* of struct rt_route */
	GPtrArray *services; /* of struct rt_service */
	GHashTable *by_place; /* host and prefix to struct rt_route */
	GHashTable *by_name; /* name to struct rt_service */
	unsigned int refs;
};

struct rt_table *rt_table_new(int64_t version);
struct rt_table *rt_table_ref(struct rt_table *table);
void rt_table_unref(struct rt_table *table);

/* Adds a service; its strings are copied. NULL if the name is taken. */
struct rt_service *rt_add_service(struct rt_table *table, struct gb_str name);
struct rt_service *rt_find_service(const struct rt_table *table,
				   struct gb_str name);

/* Adds a copy of the route without targets; NULL if its place is taken. */
struct rt_route *rt_add_route(struct rt_table *table,
			      const struct rt_route *route);
void rt_add_target(struct rt_route *route, struct rt_service *service,
		   double weight);

/* Least aim of the routes to the same services; 0 for none. */
gb_time rt_least_aim(const struct rt_route *route);
/* Tells whether a more urgent route leads to the same services. */
bool rt_is_outranked(const struct rt_route *route);

/* The route of that host with the longest prefix of the path, or NULL. */
struct rt_route *rt_find(const struct rt_table *table, struct gb_str host,
			 struct gb_str path);

/* Chooses the target that lags most behind its weight, and counts it. */
const struct rt_target *rt_choose(struct rt_route *route);

/* The least number of parts that an answer of a fan-out may have. */
uint32_t rt_parts_min(const struct rt_route *route);

struct rt_book {
	struct rt_table *table; /* NULL until the first one */
};

/* Takes over the table if it is newer; otherwise frees it. */
bool rt_book_take(struct rt_book *book, struct rt_table *table);

#endif
