#include "fleet/fl.h"

void fl_pause_requested(struct fl_upstream *upstream, gb_time now, gb_time wait)
{
	upstream->paused_until = MAX(upstream->paused_until, now + wait);
}

bool fl_is_paused(const struct fl_upstream *upstream, gb_time now)
{
	return upstream->paused_until > now;
}

gb_time fl_service_pause(const struct fl_fleet *fleet,
			 const struct fl_service *service, gb_time now)
{
	gb_time shortest = GB_NEVER;

	for (guint i = 0; i < service->upstreams->len; i++) {
		const struct fl_upstream *upstream =
			service->upstreams->pdata[i];

		if (fl_has_departed(fleet, upstream, now))
			continue;
		if (!fl_is_paused(upstream, now))
			return 0;
		shortest = MIN(shortest, upstream->paused_until - now);
	}
	return shortest == GB_NEVER ? 0 : shortest;
}
