#include "fleet/fl-internal.h"

static bool has_version(const struct fl_upstream *upstream,
			struct gb_str version)
{
	return gb_str_eq(upstream->version, version);
}

bool fl_is_target(const struct fl_upstream *upstream)
{
	return upstream->service->target_version.len &&
	       has_version(upstream, upstream->service->target_version);
}

bool fl_is_barred(const struct fl_fleet *fleet,
		  const struct fl_upstream *upstream)
{
	const struct fl_service *service = upstream->service;

	if (!fleet->settings.checks_versions)
		return false;
	if (fl_is_target(upstream))
		return service->target_barred;
	return !has_version(upstream, service->current_version);
}

/* Tells whether the upstream has left, whatever its version is. */
static bool is_gone(const struct fl_fleet *fleet,
		    const struct fl_upstream *upstream, gb_time now)
{
	return upstream->leaving &&
	       now - upstream->left_at >= fleet->last_resort_time;
}

static bool is_current_left(const struct fl_fleet *fleet,
			    const struct fl_service *service, gb_time now)
{
	for (guint i = 0; i < service->upstreams->len; i++) {
		const struct fl_upstream *upstream =
			service->upstreams->pdata[i];

		if (has_version(upstream, service->current_version) &&
		    !is_gone(fleet, upstream, now))
			return true;
	}
	return false;
}

/* Returns the upstream that started first and is not of the target version. */
static const struct fl_upstream *find_oldest(const struct fl_fleet *fleet,
					     const struct fl_service *service,
					     gb_time now)
{
	const struct fl_upstream *oldest = NULL;

	for (guint i = 0; i < service->upstreams->len; i++) {
		const struct fl_upstream *upstream =
			service->upstreams->pdata[i];

		if (fl_is_target(upstream) || is_gone(fleet, upstream, now))
			continue;
		if (!oldest || upstream->process_start < oldest->process_start)
			oldest = upstream;
	}
	return oldest;
}

static void set_version(struct gb_str *to, struct gb_str version)
{
	struct gb_str copy = gb_str_dup(version);

	gb_str_free(to);
	*to = copy;
}

void fl_update_version(const struct fl_fleet *fleet, struct fl_service *service,
		       gb_time now)
{
	const struct fl_upstream *oldest;

	if (!fleet->settings.checks_versions ||
	    is_current_left(fleet, service, now))
		return;
	oldest = find_oldest(fleet, service, now);
	if (oldest)
		set_version(&service->current_version, oldest->version);
}

/*
 * A VM that starts during a roll-out may have read an entry of the target
 * version first, and taken that for the current one.
 */
void fl_set_target_version(struct fl_fleet *fleet, struct fl_service *service,
			   struct gb_str version, gb_time now)
{
	const struct fl_upstream *oldest;

	set_version(&service->target_version, version);
	service->target_barred = false;
	if (!gb_str_eq(version, service->current_version))
		return;
	oldest = find_oldest(fleet, service, now);
	if (oldest)
		set_version(&service->current_version, oldest->version);
}

void fl_bar_target_version(struct fl_service *service)
{
	service->target_barred = true;
}

void fl_complete_target_version(struct fl_service *service)
{
	if (!service->target_version.len)
		return;
	set_version(&service->current_version, service->target_version);
	gb_str_free(&service->target_version);
}

static bool is_ready(const struct fl_fleet *fleet,
		     const struct fl_upstream *upstream, gb_time now)
{
	return !upstream->leaving && !fl_is_excluded(fleet, upstream->dc) &&
	       upstream->unreachable_until <= now;
}

uint32_t fl_count_ready(const struct fl_fleet *fleet,
			const struct fl_service *service, bool is_target,
			gb_time now)
{
	uint32_t count = 0;

	for (guint i = 0; i < service->upstreams->len; i++) {
		const struct fl_upstream *upstream =
			service->upstreams->pdata[i];

		count += is_ready(fleet, upstream, now) &&
			 (is_target ? fl_is_target(upstream)
				    : has_version(upstream,
						  service->current_version));
	}
	return count;
}

uint32_t fl_calls_off_target(const struct fl_service *service)
{
	uint32_t calls = 0;

	for (guint i = 0; i < service->upstreams->len; i++) {
		const struct fl_upstream *upstream =
			service->upstreams->pdata[i];

		if (!fl_is_target(upstream))
			calls += upstream->in_flight;
	}
	return calls;
}

uint32_t fl_live_vms(const struct fl_fleet *fleet)
{
	return MAX(fleet->membership->live_vms(fleet->ctx), 1);
}

uint32_t fl_vm_rank(const struct fl_fleet *fleet, uint64_t key)
{
	return fleet->membership->rank(fleet->ctx, key);
}
