#include "route/rt.h"

#include <math.h>

#define DEFAULT_HEADER_BYTES_MAX (16 * 1024)
#define DEFAULT_BODY_BYTES_MAX (256 * 1024)
#define DEFAULT_HEADER_TIMEOUT (3 * GB_SEC)
#define DEFAULT_IDLE_TIMEOUT (15 * GB_SEC)

static guint host_prefix_hash(gconstpointer key)
{
	const struct rt_route *route = key;

	return gb_hash(route->prefix, gb_hash(route->host, 0));
}

static gboolean host_prefix_equal(gconstpointer a, gconstpointer b)
{
	const struct rt_route *x = a, *y = b;

	return gb_str_eq(x->host, y->host) && gb_str_eq(x->prefix, y->prefix);
}

static void free_route(gpointer data)
{
	struct rt_route *route = data;

	gb_str_free(&route->name);
	gb_str_free(&route->host);
	gb_str_free(&route->prefix);
	g_free(route->targets);
	g_free(route->requests_sent_to);
	g_free(route);
}

static void free_service(gpointer data)
{
	struct rt_service *service = data;

	gb_str_free(&service->name);
	g_free(service);
}

const struct rt_limits rt_limits_default = {
	.header_bytes_max = DEFAULT_HEADER_BYTES_MAX,
	.body_bytes_max = DEFAULT_BODY_BYTES_MAX,
	.header_timeout = DEFAULT_HEADER_TIMEOUT,
	.idle_timeout = DEFAULT_IDLE_TIMEOUT,
};

struct rt_table *rt_table_new(int64_t version)
{
	struct rt_table *table = g_new0(struct rt_table, 1);

	table->version = version;
	table->limits = rt_limits_default;
	table->routes = g_ptr_array_new_with_free_func(free_route);
	table->services = g_ptr_array_new_with_free_func(free_service);
	table->by_host_prefix =
		g_hash_table_new(host_prefix_hash, host_prefix_equal);
	table->by_name = g_hash_table_new(gb_str_key_hash, gb_str_key_equal);
	table->refs = 1;
	return table;
}

struct rt_table *rt_table_ref(struct rt_table *table)
{
	table->refs++;
	return table;
}

void rt_table_unref(struct rt_table *table)
{
	if (!table || --table->refs)
		return;
	g_hash_table_destroy(table->by_host_prefix);
	g_hash_table_destroy(table->by_name);
	g_ptr_array_free(table->routes, TRUE);
	g_ptr_array_free(table->services, TRUE);
	og_table_free(table->organisations);
	g_free(table);
}

struct rt_service *rt_add_service(struct rt_table *table, struct gb_str name)
{
	struct rt_service *service;

	if (g_hash_table_contains(table->by_name, &name))
		return NULL;
	service = g_new0(struct rt_service, 1);
	service->name = gb_str_dup(name);
	g_ptr_array_add(table->services, service);
	g_hash_table_insert(table->by_name, &service->name, service);
	return service;
}

struct rt_service *rt_find_service(const struct rt_table *table,
				   struct gb_str name)
{
	return g_hash_table_lookup(table->by_name, &name);
}

struct rt_route *rt_add_route(struct rt_table *table,
			      const struct rt_route *route)
{
	struct rt_route *copy;

	if (g_hash_table_contains(table->by_host_prefix, route))
		return NULL;
	copy = g_memdup2(route, sizeof(*route));
	copy->name = gb_str_dup(route->name);
	copy->host = gb_str_dup(route->host);
	copy->prefix = gb_str_dup(route->prefix);
	copy->targets = NULL;
	copy->targets_len = 0;
	copy->requests_sent_to = NULL;
	g_ptr_array_add(table->routes, copy);
	g_hash_table_insert(table->by_host_prefix, copy, copy);
	return copy;
}

/* Returns the lower of two target latencies, where 0 is none. */
static gb_time min_target_latency(gb_time a, gb_time b)
{
	return a && b ? MIN(a, b) : MAX(a, b);
}

void rt_add_target(struct rt_route *route, struct rt_service *service,
		   double weight)
{
	gb_time *target_latency = &service->target_latency[MIN(
		route->priority, RT_PRIORITY_LEVELS - 1)];
	uint32_t len = route->targets_len + 1;

	route->targets = g_renew(struct rt_target, route->targets, len);
	route->requests_sent_to =
		g_renew(uint64_t, route->requests_sent_to, len);
	route->targets[len - 1] =
		(struct rt_target){ .service = service, .weight = weight };
	route->requests_sent_to[len - 1] = 0;
	route->targets_len = len;
	*target_latency =
		min_target_latency(*target_latency, route->target_latency);
}

gb_time rt_min_target_latency(const struct rt_route *route)
{
	gb_time target_latency = 0;

	for (uint32_t i = 0; i < route->targets_len; i++)
		for (uint32_t j = 0; j < RT_PRIORITY_LEVELS; j++)
			target_latency = min_target_latency(
				target_latency,
				route->targets[i].service->target_latency[j]);
	return target_latency;
}

bool rt_has_more_urgent_route(const struct rt_route *route)
{
	uint32_t level = MIN(route->priority, RT_PRIORITY_LEVELS - 1);

	for (uint32_t i = 0; i < route->targets_len; i++)
		for (uint32_t j = 0; j < level; j++)
			if (route->targets[i].service->target_latency[j])
				return true;
	return false;
}

bool rt_yields(const struct rt_table *table, const struct rt_route *route,
	       const struct og_org *org)
{
	if (!org || !table->organisations)
		return rt_has_more_urgent_route(route);
	if (og_table_has_more_urgent(table->organisations, org->priority))
		return true;
	return !og_table_has_less_urgent(table->organisations, org->priority) &&
	       rt_has_more_urgent_route(route);
}

/* Looks up each prefix that ends with a slash, the longest first. */
struct rt_route *rt_find_route(const struct rt_table *table, struct gb_str host,
			       struct gb_str path)
{
	struct rt_route key = { .host = host };

	for (size_t len = path.len; len; len--) {
		struct rt_route *route;

		if (path.ptr[len - 1] != '/')
			continue;
		key.prefix = gb_str_sub(path, 0, len);
		route = g_hash_table_lookup(table->by_host_prefix, &key);
		if (route)
			return route;
	}
	return NULL;
}

const struct rt_target *rt_next_target(const struct rt_route *route)
{
	double total = 0, max_deficit = -INFINITY;
	uint32_t chosen = 0;

	for (uint32_t i = 0; i < route->targets_len; i++)
		total += route->targets[i].weight;
	for (uint32_t i = 0; i < route->targets_len; i++) {
		double deficit = route->targets[i].weight / total *
					 (route->requests_sent + 1) -
				 route->requests_sent_to[i];

		if (route->targets[i].weight > 0 && deficit > max_deficit) {
			max_deficit = deficit;
			chosen = i;
		}
	}
	return &route->targets[chosen];
}

const struct rt_target *rt_choose_target(struct rt_route *route)
{
	const struct rt_target *target = rt_next_target(route);

	if (route->targets_len == 1)
		return target;
	route->requests_sent++;
	route->requests_sent_to[target - route->targets]++;
	return target;
}

uint32_t rt_parts_min(const struct rt_route *route)
{
	/* Without the margin, rounding errors make 0.89 * 100 become 90. */
	double needed =
		ceil(route->shard_share_min * route->targets_len - 1e-9);

	return MAX(1, (uint32_t)MAX(needed, 0));
}

bool rt_current_replace(struct rt_current *current, struct rt_table *table)
{
	if (current->table && table->version <= current->table->version) {
		rt_table_unref(table);
		return false;
	}
	rt_table_unref(current->table);
	current->table = table;
	return true;
}
