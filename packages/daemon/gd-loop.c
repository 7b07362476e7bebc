#include "daemon/gd.h"
#include "http/ht-listener.h"

/*
 * The load balancer sends requests until its next readiness check, so a
 * stopping daemon keeps accepting connections for at least this time.
 */
#define STOP_ACCEPT_TIME GB_SEC

/* Time limit for writing the last answers once all requests have ended. */
#define FLUSH_TIMEOUT (5 * GB_SEC)

/* Interval at which a stopping daemon checks whether it can exit. */
#define STOP_POLL_INTERVAL (10 * GB_MSEC)

static void on_prepare(uv_prepare_t *prepare);
static void on_tick(uv_timer_t *timer);
static void arm_tick(struct gd *gd);
static void advance_stop(struct gd *gd, bool peers_idle);
static void on_idle(uv_idle_t *idle);

void gd_loop_init(struct gd *gd)
{
	struct gd_loop *loop = &gd->loop;

	g_queue_init(&loop->deferred);
	uv_prepare_init(gd->uv, &loop->prepare);
	loop->prepare.data = gd;
	uv_prepare_start(&loop->prepare, on_prepare);
	uv_idle_init(gd->uv, &loop->idle);
	uv_timer_init(gd->uv, &loop->tick_timer);
	loop->tick_timer.data = gd;
}

/* Runs at the end of each loop iteration, before the loop blocks. */
static void on_prepare(uv_prepare_t *prepare)
{
	struct gd *gd = prepare->data;
	bool peers_idle;

	gd_run_deferred(gd);
	peers_idle = gd_peer_flush(gd);
	gd_log_flush(&gd->log);
	arm_tick(gd);
	if (gd->phase != GD_RUNNING)
		advance_stop(gd, peers_idle);
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

/* Rounds up to the timer resolution of 1 ms, so that no tick is early. */
static void arm_tick(struct gd *gd)
{
	gb_time next = nd_next_tick(gd->node);
	gb_time now = ht_now();

	if (gd->phase != GD_RUNNING)
		next = MIN(next, now + STOP_POLL_INTERVAL);
	if (next == GB_NEVER) {
		uv_timer_stop(&gd->loop.tick_timer);
		return;
	}
	uv_update_time(gd->uv);
	uv_timer_start(&gd->loop.tick_timer, on_tick,
		       next <= now ? 0 : (next - now + GB_MSEC - 1) / GB_MSEC,
		       0);
}

void gd_stop(struct gd *gd)
{
	if (gd->phase != GD_RUNNING)
		return;
	gd->phase = GD_STOPPING;
	gd->loop.stop_started_at = ht_now();
	nd_shutdown(gd->node, gd_clock());
}

/* Drops attempts to connect; what was accepted is still answered. */
static void begin_flushing(struct gd *gd, gb_time now)
{
	gd->phase = GD_FLUSHING;
	gd->loop.flush_started_at = now;
	gd->loop.closing_since = now;
	gd_event(gd, EV_STOP_CONNECTIONS, GB_STR(""), GB_STR(""),
		 -gd_http_drop_attempts(gd), 0);
}

/* Advances the graceful stop as the node, callers and peers permit. */
static void advance_stop(struct gd *gd, bool peers_idle)
{
	gb_time now = ht_now();

	if (gd->phase == GD_STOPPING) {
		if (!nd_stopped(gd->node) ||
		    g_hash_table_size(gd->http.pending_requests) ||
		    now < gd->loop.stop_started_at + STOP_ACCEPT_TIME)
			return;
		begin_flushing(gd, now);
	}
	if (now < gd->loop.closing_since + HT_HANDSHAKE_TIME)
		return;
	gd_http_stop_listening(gd);
	/* Requests that arrive late are answered within their deadlines. */
	if (g_hash_table_size(gd->http.pending_requests))
		gd->loop.flush_started_at = now;
	if (now >= gd->loop.flush_started_at + FLUSH_TIMEOUT)
		uv_stop(gd->uv);
	else if (gd_http_drain(gd) && peers_idle && !gd->loop.deferred.length)
		uv_stop(gd->uv);
}

static void on_idle(uv_idle_t *idle __attribute__((unused)))
{
}
