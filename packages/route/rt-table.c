#include "route/rt.h"

#include <math.h>

#define DEFAULT_HEAD_MAX (16 * 1024)
#define DEFAULT_BODY_MAX (256 * 1024)
#define DEFAULT_HEAD_TIMEOUT (3 * GB_SEC)
#define DEFAULT_IDLE_TIMEOUT (15 * GB_SEC)

static guint place_hash(gconstpointer key)
{
	const struct rt_route *route = key;

	return gb_hash(route->prefix, gb_hash(route->host, 0));
}

static gboolean place_equal(gconstpointer a, gconstpointer b)
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
	g_free(route->sent_to);
	g_free(route);
}

static void free_service(gpointer data)
{
	struct rt_service *service = data;

	gb_str_free(&service->name);
	g_free(service);
}

const struct rt_limits rt_limits_default = {
	.head_max = DEFAULT_HEAD_MAX,
	.body_max = DEFAULT_BODY_MAX,
	.head_timeout = DEFAULT_HEAD_TIMEOUT,
	.idle_timeout = DEFAULT_IDLE_TIMEOUT,
};

struct rt_table *rt_table_new(int64_t version)
{
	struct rt_table *table = g_new0(struct rt_table, 1);

	table->version = version;
	table->limits = rt_limits_default;
	table->routes = g_ptr_array_new_with_free_func(free_route);
	table->services = g_ptr_array_new_with_free_func(free_service);
	table->by_place = g_hash_table_new(place_hash, place_equal);
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
	g_hash_table_destroy(table->by_place);
	g_hash_table_destroy(table->by_name);
	g_ptr_array_free(table->routes, TRUE);
	g_ptr_array_free(table->services, TRUE);
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

	if (g_hash_table_contains(table->by_place, route))
		return NULL;
	copy = g_memdup2(route, sizeof(*route));
	copy->name = gb_str_dup(route->name);
	copy->host = gb_str_dup(route->host);
	copy->prefix = gb_str_dup(route->prefix);
	copy->targets = NULL;
	copy->targets_len = 0;
	copy->sent_to = NULL;
	g_ptr_array_add(table->routes, copy);
	g_hash_table_insert(table->by_place, copy, copy);
	return copy;
}

/* The shorter of two aims, of which 0 is none. */
static gb_time least_aim(gb_time a, gb_time b)
{
	return a && b ? MIN(a, b) : MAX(a, b);
}

void rt_add_target(struct rt_route *route, struct rt_service *service,
		   double weight)
{
	gb_time *aim = &service->aim[MIN(route->priority, RT_PRIORITIES - 1)];
	uint32_t len = route->targets_len + 1;

	route->targets = g_renew(struct rt_target, route->targets, len);
	route->sent_to = g_renew(uint64_t, route->sent_to, len);
	route->targets[len - 1] =
		(struct rt_target){ .service = service, .weight = weight };
	route->sent_to[len - 1] = 0;
	route->targets_len = len;
	*aim = least_aim(*aim, route->aim);
}

gb_time rt_least_aim(const struct rt_route *route)
{
	gb_time aim = 0;

	for (uint32_t i = 0; i < route->targets_len; i++)
		for (uint32_t j = 0; j < RT_PRIORITIES; j++)
			aim = least_aim(aim, route->targets[i].service->aim[j]);
	return aim;
}

bool rt_is_outranked(const struct rt_route *route)
{
	uint32_t rank = MIN(route->priority, RT_PRIORITIES - 1);

	for (uint32_t i = 0; i < route->targets_len; i++)
		for (uint32_t j = 0; j < rank; j++)
			if (route->targets[i].service->aim[j])
				return true;
	return false;
}

/* Tries each part of the path that ends with a slash, the longest first. */
struct rt_route *rt_find(const struct rt_table *table, struct gb_str host,
			 struct gb_str path)
{
	struct rt_route key = { .host = host };

	for (size_t len = path.len; len; len--) {
		struct rt_route *route;

		if (path.ptr[len - 1] != '/')
			continue;
		key.prefix = gb_str_sub(path, 0, len);
		route = g_hash_table_lookup(table->by_place, &key);
		if (route)
			return route;
	}
	return NULL;
}

const struct rt_target *rt_choose(struct rt_route *route)
{
	double total = 0, most = -INFINITY;
	uint32_t chosen = 0;

	if (route->targets_len == 1)
		return &route->targets[0];
	for (uint32_t i = 0; i < route->targets_len; i++)
		total += route->targets[i].weight;
	for (uint32_t i = 0; i < route->targets_len; i++) {
		double due =
			route->targets[i].weight / total * (route->sent + 1) -
			route->sent_to[i];

		if (route->targets[i].weight > 0 && due > most) {
			most = due;
			chosen = i;
		}
	}
	route->sent++;
	route->sent_to[chosen]++;
	return &route->targets[chosen];
}

uint32_t rt_parts_min(const struct rt_route *route)
{
	/* The margin keeps 0.89 * 100 from becoming 90. */
	double least = ceil(route->share_min * route->targets_len - 1e-9);

	return MAX(1, (uint32_t)MAX(least, 0));
}

bool rt_book_take(struct rt_book *book, struct rt_table *table)
{
	if (book->table && table->version <= book->table->version) {
		rt_table_unref(table);
		return false;
	}
	rt_table_unref(book->table);
	book->table = table;
	return true;
}
