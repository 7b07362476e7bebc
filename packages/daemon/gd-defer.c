#include "daemon/gd.h"

struct gd_deferred {
	void (*run)(struct gd *gd, void *arg);
	void *arg;
};

void gd_defer(struct gd *gd, void (*run)(struct gd *gd, void *arg), void *arg)
{
	struct gd_deferred *deferred = g_new(struct gd_deferred, 1);

	deferred->run = run;
	deferred->arg = arg;
	g_queue_push_tail(&gd->loop.deferred, deferred);
}

/* Functions that are deferred meanwhile run in the next loop iteration. */
void gd_run_deferred(struct gd *gd)
{
	for (guint n = gd->loop.deferred.length; n > 0; n--) {
		struct gd_deferred *deferred =
			g_queue_pop_head(&gd->loop.deferred);

		deferred->run(gd, deferred->arg);
		g_free(deferred);
	}
}
