#include "daemon/gd.h"

/*
 * After readiness went off the balancer still sends callers until its next
 * check, so the daemon keeps accepting for at least this time.
 */
#define STOP_GRACE GB_SEC

/* Longest time that the last answers may take to leave once all are made. */
#define FLUSH_MAX (5 * GB_SEC)

/* Interval at which a stopping daemon checks whether it is done. */
#define STOP_POLL (10 * GB_MSEC)

static void on_prepare(uv_prepare_t *prepare);
static void on_tick(uv_timer_t *timer);
static void arm_tick(struct gd *gd);
static void stop_step(struct gd *gd, bool peers_idle);
static void on_idle(uv_idle_t *idle);

void gd_loop_init(struct gd *gd)
{
	struct gd_loop *loop = &gd->loop;

	g_queue_init(&loop->deferred);
	uv_prepare_init(gd->uv, &loop->prepare);
	loop->prepare.data = gd;
	uv_prepare_start(&loop->prepare, on_prepare);
	uv_idle_init(gd->uv, &loop->idle);
	uv_timer_init(gd->uv, &loop->tick);
	loop->tick.data = gd;
}

/* Does the work at the end of a loop turn, before the loop blocks. */
static void on_prepare(uv_prepare_t *prepare)
{
	struct gd *gd = prepare->data;
	bool peers_idle;

	gd_run_deferred(gd);
	peers_idle = gd_peer_flush(gd);
	gd_log_flush(&gd->log);
	arm_tick(gd);
	if (gd->phase != GD_RUNNING)
		stop_step(gd, peers_idle);
	/* An active idle handle keeps the loop from blocking. */
	if (gd->loop.deferred.length)
		uv_idle_start(&gd->loop.idle, on_idle);
	else
		uv_idle_stop(&gd->loop.idle);
}

static void on_tick(uv_timer_t *timer)
{
	struct gd *gd = timer->data;

	nd_tick(gd->node, gd_clock());
}

/* Timers of the loop have 1 ms, so the tick is never early. */
static void arm_tick(struct gd *gd)
{
	gb_time next = nd_next_tick(gd->node);
	gb_time now = ht_now();

	if (gd->phase != GD_RUNNING)
		next = MIN(next, now + STOP_POLL);
	if (next == GB_NEVER) {
		uv_timer_stop(&gd->loop.tick);
		return;
	}
	uv_update_time(gd->uv);
	uv_timer_start(&gd->loop.tick, on_tick,
		       next <= now ? 0 : (next - now + GB_MSEC - 1) / GB_MSEC,
		       0);
}

void gd_stop(struct gd *gd)
{
	if (gd->phase != GD_RUNNING)
		return;
	gd->phase = GD_STOPPING;
	gd->loop.stop_begin = ht_now();
	nd_shutdown(gd->node, gd_clock());
}

/* Moves the stop on when the node, the callers and the peers allow it. */
static void stop_step(struct gd *gd, bool peers_idle)
{
	gb_time now = ht_now();

	if (gd->phase == GD_STOPPING) {
		if (!nd_stopped(gd->node) ||
		    g_hash_table_size(gd->http.waiting) ||
		    now < gd->loop.stop_begin + STOP_GRACE)
			return;
		gd->phase = GD_FLUSHING;
		gd->loop.flush_begin = now;
		gd_http_stop_listening(gd);
	}
	/* A request that came last is answered, which its deadline bounds. */
	if (g_hash_table_size(gd->http.waiting))
		gd->loop.flush_begin = now;
	if (now >= gd->loop.flush_begin + FLUSH_MAX)
		uv_stop(gd->uv);
	else if (gd_http_drain(gd) && peers_idle && !gd->loop.deferred.length)
		uv_stop(gd->uv);
}

static void on_idle(uv_idle_t *idle __attribute__((unused)))
{
}
