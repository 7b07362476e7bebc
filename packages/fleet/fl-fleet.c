#include "fleet/fl-internal.h"

/* Latency ratio assumed for a cold upstream until its own is known. */
#define COLD_LATENCY_RATIO 1.6

/*
 * Entries that the directory lost while it was unavailable are back within 2 s
 * of its return. A VM may learn late that an upstream is draining, so with a
 * longer drain time the last resort still ends well before the upstream does.
 */
#define LAST_RESORT_MAX (2500 * GB_MSEC)

/* Kept free at the end of the drain time, for requests in transit. */
#define LAST_RESORT_MARGIN (800 * GB_MSEC)

/*
 * How long an announcement outlasts the time at which the upstream left. A list
 * that was read before it may still be relayed by other VMs.
 */
#define ANNOUNCEMENT_KEPT (600 * GB_SEC)

static void free_service(gpointer data)
{
	struct fl_service *service = data;

	gb_str_free(&service->name);
	gb_str_free(&service->current_version);
	gb_str_free(&service->target_version);
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
	gb_str_free(&upstream->version);
	g_free(upstream);
}

static gb_time last_resort_time_for(gb_time drain_time)
{
	return CLAMP(drain_time - LAST_RESORT_MARGIN, 0, LAST_RESORT_MAX);
}

struct fl_fleet *fl_new(const struct fl_settings *settings,
			const struct fl_ops *ops,
			const struct fl_membership *membership, void *ctx,
			struct gb_rng *rng)
{
	struct fl_fleet *fleet = g_new0(struct fl_fleet, 1);

	fleet->settings = *settings;
	fleet->last_resort_time = last_resort_time_for(settings->drain_time);
	fleet->ops = ops;
	fleet->membership = membership;
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
	upstream->latency_ratio = 1;
	g_hash_table_insert(fleet->upstreams, &upstream->id, upstream);
	return upstream;
}

/* Drops the measurements of the process that had this identity before. */
static void reset_measurements(struct fl_fleet *fleet,
			       struct fl_upstream *upstream, gb_time now)
{
	upstream->latency_ratio = 1;
	upstream->latency_ratio_at = now;
	upstream->failure_rate = 0;
	upstream->last_call_failed = false;
	upstream->avoid_until = 0;
	upstream->abandoned_calls = 0;
	upstream->unreachable_until = 0;
	upstream->failed_connects = 0;
	upstream->other_calls = 0;
	upstream->leaving_announced = false;
	upstream->paused_until = 0;
	fleet->ops->upstream_reset(fleet->ctx, upstream);
}

static void replace_str(struct gb_str *to, struct gb_str from)
{
	if (gb_str_eq(*to, from))
		return;
	gb_str_free(to);
	*to = gb_str_dup(from);
}

static void set_service(struct fl_upstream *upstream,
			struct fl_service *service)
{
	if (upstream->service == service)
		return;
	if (upstream->service)
		g_ptr_array_remove(upstream->service->upstreams, upstream);
	upstream->service = service;
	g_ptr_array_add(service->upstreams, upstream);
}

static void set_cold(struct fl_upstream *upstream, gb_time now,
		     gb_time remaining)
{
	upstream->cold_until = remaining ? now + remaining : 0;
	if (!remaining || upstream->latency_ratio >= COLD_LATENCY_RATIO)
		return;
	upstream->latency_ratio = COLD_LATENCY_RATIO;
	upstream->latency_ratio_at = now;
}

struct fl_upstream *fl_apply_entry(struct fl_fleet *fleet, gb_time now,
				   const struct fl_entry *entry)
{
	struct fl_upstream *upstream =
		g_hash_table_lookup(fleet->upstreams, &entry->id);

	bool is_new = !upstream;
	bool still_leaves;

	if (upstream && entry->process_start < upstream->process_start)
		return NULL;
	/* A copy that is older may not say yet that the upstream leaves. */
	still_leaves = !is_new && entry->restored && upstream->leaving &&
		       entry->process_start == upstream->process_start;
	if (is_new)
		upstream = new_upstream(fleet, entry->id);
	else if (entry->process_start != upstream->process_start ||
		 !gb_str_eq(entry->address, upstream->address))
		reset_measurements(fleet, upstream, now);
	upstream->process_start = entry->process_start;
	upstream->slots = MAX(entry->slots, 1);
	upstream->listed = true;
	replace_str(&upstream->address, entry->address);
	replace_str(&upstream->dc, entry->dc);
	replace_str(&upstream->version, entry->version);
	set_service(upstream, fl_service(fleet, entry->service));
	set_cold(upstream, now, entry->cold_remaining);
	/*
	 * An upstream first seen as draining, or after a time in which changes
	 * were not seen, may have been so for as long.
	 */
	if (entry->leaving && !upstream->leaving)
		upstream->left_at = now - (is_new ? fleet->last_resort_time
						  : entry->unseen);
	upstream->entry_leaving = entry->leaving;
	upstream->leaving =
		entry->leaving || upstream->leaving_announced || still_leaves;
	fl_update_version(fleet, upstream->service, now);
	return upstream;
}

static void mark_leaving(struct fl_upstream *upstream, gb_time now)
{
	if (upstream->leaving)
		return;
	upstream->leaving = true;
	upstream->left_at = now;
}

static bool has_others_listed(const struct fl_upstream *upstream)
{
	const GPtrArray *all = upstream->service->upstreams;

	for (guint i = 0; i < all->len; i++) {
		const struct fl_upstream *other = all->pdata[i];

		if (other != upstream && !other->leaving)
			return true;
	}
	return false;
}

/* Tells whether another upstream of the service has said that it leaves. */
static bool has_others_draining(const struct fl_upstream *upstream)
{
	const GPtrArray *all = upstream->service->upstreams;

	for (guint i = 0; i < all->len; i++) {
		const struct fl_upstream *other = all->pdata[i];

		if (other != upstream &&
		    (other->entry_leaving || other->leaving_announced))
			return true;
	}
	return false;
}

/*
 * The upstream may have said that it leaves, and have left, while changes went
 * unseen. The last one of a service stays usable for longer: when leases lapse
 * in an outage of the store, the upstreams still serve. If others drain, it has
 * left as well.
 */
static void mark_removed(struct fl_upstream *upstream, gb_time now,
			 gb_time unseen)
{
	bool may_have_lapsed =
		!has_others_listed(upstream) && !has_others_draining(upstream);

	mark_leaving(upstream, may_have_lapsed ? now : now - unseen);
}

void fl_remove_entry(struct fl_fleet *fleet, gb_time now, struct gb_str id,
		     gb_time unseen)
{
	struct fl_upstream *upstream =
		g_hash_table_lookup(fleet->upstreams, &id);

	if (upstream)
		mark_removed(upstream, now, unseen);
}

void fl_list_begin(struct fl_fleet *fleet)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct fl_upstream *)value)->listed = false;
}

void fl_list_end(struct fl_fleet *fleet, gb_time now, gb_time unseen)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct fl_upstream *upstream = value;

		if (!upstream->listed)
			mark_removed(upstream, now, unseen);
	}
}

size_t fl_upstream_count(const struct fl_fleet *fleet)
{
	return g_hash_table_size(fleet->upstreams);
}

bool fl_leaving_announced(struct fl_upstream *upstream, gb_time now)
{
	bool is_news = !upstream->leaving_announced;

	upstream->leaving_announced = true;
	mark_leaving(upstream, now);
	return is_news;
}

bool fl_has_departed(const struct fl_fleet *fleet,
		     const struct fl_upstream *upstream, gb_time now)
{
	return fl_is_barred(fleet, upstream) ||
	       (upstream->leaving &&
		now - upstream->left_at >= fleet->last_resort_time);
}

/* Time for which an upstream that is leaving is remembered. */
static gb_time kept_time(const struct fl_fleet *fleet,
			 const struct fl_upstream *upstream)
{
	return upstream->leaving_announced ? ANNOUNCEMENT_KEPT
					   : 2 * fleet->last_resort_time;
}

void fl_hold(struct fl_upstream *upstream)
{
	upstream->holders++;
}

void fl_release(struct fl_upstream *upstream)
{
	upstream->holders--;
}

static bool may_be_freed(const struct fl_fleet *fleet,
			 const struct fl_upstream *upstream, gb_time now)
{
	return upstream->leaving && !upstream->in_flight &&
	       !upstream->holders &&
	       now - upstream->left_at >= kept_time(fleet, upstream);
}

void fl_purge_departed(struct fl_fleet *fleet, gb_time now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct fl_upstream *upstream = value;

		if (!may_be_freed(fleet, upstream, now))
			continue;
		fleet->ops->upstream_reset(fleet->ctx, upstream);
		g_ptr_array_remove(upstream->service->upstreams, upstream);
		g_hash_table_iter_remove(&iter);
	}
}
