#include "fleet/fl-internal.h"

/* A cold upstream takes longer for each request, until its times are known. */
#define COLD_SLOWNESS 1.6

/*
 * An entry that the directory lost while it was away is back within 2 s of its
 * return. A VM may learn late that an upstream leaves, so one that is drained
 * for longer is given up before it ends.
 */
#define LINGER_MAX (2500 * GB_MSEC)

/* Of the time that a leaving upstream serves; the rest is on its way. */
#define LINGER_MARGIN (800 * GB_MSEC)

static void free_service(gpointer data)
{
	struct fl_service *service = data;

	gb_str_free(&service->name);
	g_ptr_array_free(service->upstreams, TRUE);
	g_free(service->data);
	g_free(service);
}

static void free_upstream(gpointer data)
{
	struct fl_upstream *upstream = data;

	gb_str_free(&upstream->id);
	gb_str_free(&upstream->address);
	gb_str_free(&upstream->dc);
	g_free(upstream);
}

static gb_time linger_of(gb_time drain)
{
	return CLAMP(drain - LINGER_MARGIN, 0, LINGER_MAX);
}

struct fl_fleet *fl_new(const struct fl_settings *settings,
			const struct fl_ops *ops, const struct fl_share *share,
			void *ctx, struct gb_rng *rng)
{
	struct fl_fleet *fleet = g_new0(struct fl_fleet, 1);

	fleet->settings = *settings;
	fleet->linger = linger_of(settings->drain);
	fleet->ops = ops;
	fleet->share = share;
	fleet->ctx = ctx;
	fleet->rng = rng;
	fleet->services = g_hash_table_new_full(
		gb_str_key_hash, gb_str_key_equal, NULL, free_service);
	fleet->upstreams = g_hash_table_new_full(
		gb_str_key_hash, gb_str_key_equal, NULL, free_upstream);
	fleet->excluded = fl_exclusions_new();
	return fleet;
}

void fl_free(struct fl_fleet *fleet)
{
	g_hash_table_destroy(fleet->upstreams);
	g_hash_table_destroy(fleet->services);
	g_hash_table_destroy(fleet->excluded);
	g_free(fleet);
}

struct fl_service *fl_service(struct fl_fleet *fleet, struct gb_str name)
{
	struct fl_service *service =
		g_hash_table_lookup(fleet->services, &name);

	if (service)
		return service;
	service = g_new0(struct fl_service, 1);
	service->name = gb_str_dup(name);
	service->upstreams = g_ptr_array_new();
	g_hash_table_insert(fleet->services, &service->name, service);
	return service;
}

static struct fl_upstream *new_upstream(struct fl_fleet *fleet,
					struct gb_str id)
{
	struct fl_upstream *upstream = g_new0(struct fl_upstream, 1);

	upstream->id = gb_str_dup(id);
	upstream->slow = 1;
	g_hash_table_insert(fleet->upstreams, &upstream->id, upstream);
	return upstream;
}

/* Forgets what was learned of the process that had this identity before. */
static void start_anew(struct fl_fleet *fleet, struct fl_upstream *upstream,
		       gb_time now)
{
	upstream->slow = 1;
	upstream->slow_at = now;
	upstream->failures = 0;
	upstream->avoid_until = 0;
	upstream->abandoned = 0;
	upstream->down_until = 0;
	upstream->unreachable = 0;
	upstream->others = 0;
	fleet->ops->forget(fleet->ctx, upstream);
}

static void replace(struct gb_str *to, struct gb_str from)
{
	if (gb_str_eq(*to, from))
		return;
	gb_str_free(to);
	*to = gb_str_dup(from);
}

static void move_service(struct fl_upstream *upstream,
			 struct fl_service *service)
{
	if (upstream->service == service)
		return;
	if (upstream->service)
		g_ptr_array_remove(upstream->service->upstreams, upstream);
	upstream->service = service;
	g_ptr_array_add(service->upstreams, upstream);
}

static void take_cold(struct fl_upstream *upstream, gb_time now, gb_time cold)
{
	upstream->cold_until = cold ? now + cold : 0;
	if (!cold || upstream->slow >= COLD_SLOWNESS)
		return;
	upstream->slow = COLD_SLOWNESS;
	upstream->slow_at = now;
}

struct fl_upstream *fl_put(struct fl_fleet *fleet, gb_time now,
			   const struct fl_entry *entry)
{
	struct fl_upstream *upstream =
		g_hash_table_lookup(fleet->upstreams, &entry->id);

	bool is_new = !upstream;

	if (upstream && entry->born < upstream->born)
		return NULL;
	if (is_new)
		upstream = new_upstream(fleet, entry->id);
	else if (entry->born != upstream->born ||
		 !gb_str_eq(entry->address, upstream->address))
		start_anew(fleet, upstream, now);
	upstream->born = entry->born;
	upstream->slots = MAX(entry->slots, 1);
	upstream->listed = true;
	replace(&upstream->address, entry->address);
	replace(&upstream->dc, entry->dc);
	move_service(upstream, fl_service(fleet, entry->service));
	take_cold(upstream, now, entry->cold);
	/* One that is leaving when it is first seen may have left long ago. */
	if (entry->leaving && !upstream->leaving)
		upstream->left_at = is_new ? now - fleet->linger : now;
	upstream->leaving = entry->leaving;
	return upstream;
}

static void leave(struct fl_upstream *upstream, gb_time now)
{
	if (upstream->leaving)
		return;
	upstream->leaving = true;
	upstream->left_at = now;
}

void fl_remove(struct fl_fleet *fleet, gb_time now, struct gb_str id)
{
	struct fl_upstream *upstream =
		g_hash_table_lookup(fleet->upstreams, &id);

	if (upstream)
		leave(upstream, now);
}

void fl_list_begin(struct fl_fleet *fleet)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct fl_upstream *)value)->listed = false;
}

void fl_list_end(struct fl_fleet *fleet, gb_time now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct fl_upstream *upstream = value;

		if (!upstream->listed)
			leave(upstream, now);
	}
}

size_t fl_len(const struct fl_fleet *fleet)
{
	return g_hash_table_size(fleet->upstreams);
}

void fl_sweep(struct fl_fleet *fleet, gb_time now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct fl_upstream *upstream = value;

		if (!upstream->leaving || upstream->in_flight ||
		    now - upstream->left_at < 2 * fleet->linger)
			continue;
		fleet->ops->forget(fleet->ctx, upstream);
		g_ptr_array_remove(upstream->service->upstreams, upstream);
		g_hash_table_iter_remove(&iter);
	}
}
