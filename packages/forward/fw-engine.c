#include "forward/fw-internal.h"

#include "forward/fw-fair.h"

#include <stdarg.h>
#include <stdio.h>

/* Assumed latency of a route with no target latency and no answer so far. */
#define DEFAULT_LATENCY (20 * GB_MSEC)

/* A route without answers is assumed to take its target divided by this. */
#define DEFAULT_LATENCY_DIVISOR 8

/* Relative step of the running median for each sample. */
#define MEDIAN_STEP 0.04

#define DETAIL_MAX 256

/*
 * A hedge is due after a multiple of the median latency: HEDGE_FACTOR_MIN while
 * at least HEDGE_BUDGET_AMPLE of the retry budget is left, rising to
 * HEDGE_FACTOR_MAX when none is left.
 */
#define HEDGE_FACTOR_MIN 2.0
#define HEDGE_FACTOR_MAX 5.0
#define HEDGE_BUDGET_AMPLE 0.6

/*
 * Added for time on the network, for which multiples of a low median latency
 * leave too little room.
 */
#define HEDGE_MARGIN (3 * GB_MSEC)

void fw_engine_init(struct fw_engine *engine, struct fl_fleet *fleet,
		    const struct fw_ops *ops, void *ctx, struct gb_rng *rng,
		    struct met_registry *metrics)
{
	engine->fleet = fleet;
	engine->ops = ops;
	engine->ctx = ctx;
	engine->rng = rng;
	engine->metrics = metrics;
	engine->route_stats =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	engine->fair = fw_fair_new();
}

void fw_engine_clear(struct fw_engine *engine)
{
	g_hash_table_destroy(engine->route_stats);
	fw_fair_free(engine->fair);
}

struct fw_route_stats *fw_route_stats(struct fw_engine *engine,
				      struct gb_str route)
{
	char *name = gb_str_to_c(route);
	struct fw_route_stats *stats =
		g_hash_table_lookup(engine->route_stats, name);

	if (stats) {
		g_free(name);
		return stats;
	}
	stats = g_new0(struct fw_route_stats, 1);
	stats->admission.threshold_crossed_at = GB_NEVER;
	g_hash_table_insert(engine->route_stats, name, stats);
	return stats;
}

gb_time fw_median_latency(const struct fw_request *request)
{
	if (request->stats && request->stats->median > 0)
		return request->stats->median;
	if (request->route->target_latency)
		return request->route->target_latency / DEFAULT_LATENCY_DIVISOR;
	return DEFAULT_LATENCY;
}

/* Moves the median by a small step towards each sample. */
void fw_stats_add_latency(struct fw_route_stats *stats, gb_time latency)
{
	if (!stats)
		return;
	if (stats->median <= 0)
		stats->median = latency;
	else if (latency > stats->median)
		stats->median *= 1 + MEDIAN_STEP;
	else
		stats->median *= 1 - MEDIAN_STEP;
}

gb_time fw_hedge_delay(const struct fw_call *call, gb_time now)
{
	const struct fw_part *part = call->part;
	const struct fw_request *request = part->request;
	double remaining = bud_remaining(part->service->data,
					 &request->engine->budget, now);
	double spent = 1 - MIN(remaining / HEDGE_BUDGET_AMPLE, 1);
	double factor = HEDGE_FACTOR_MIN +
			(HEDGE_FACTOR_MAX - HEDGE_FACTOR_MIN) * spent;

	return factor * fw_median_latency(request) + HEDGE_MARGIN +
	       fw_queue_wait(call);
}

gb_time fw_queue_wait(const struct fw_call *call)
{
	gb_time median = fw_median_latency(call->part->request);

	return call->queue_rounds *
	       fl_service_time(call->part->service, median);
}

void fw_emit_event(const struct fw_request *request, enum ev_code code,
		   const struct fl_upstream *upstream, const char *fmt, ...)
{
	const struct fw_engine *engine = request->engine;
	char text[DETAIL_MAX];
	va_list ap;
	int len;

	va_start(ap, fmt);
	len = vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	len = CLAMP(len, 0, (int)sizeof(text) - 1);
	engine->ops->event(engine->ctx,
			   &(struct fw_event){ .code = code,
					       .request = request,
					       .upstream = upstream,
					       .detail = { text, len } });
}

struct gb_str fw_reason_name(enum fw_reason reason)
{
	static const struct gb_str names[FW_REASONS] = {
		[FW_COMPLETE] = GB_STR_INIT("complete"),
		[FW_PARTIAL] = GB_STR_INIT("partial"),
		[FW_PASSED_ON] = GB_STR_INIT("passed_on"),
		[FW_NO_UPSTREAM] = GB_STR_INIT("no_upstream"),
		[FW_ALL_REFUSED] = GB_STR_INIT("all_refused"),
		[FW_OVERLOAD] = GB_STR_INIT("overload"),
		[FW_QUARANTINED] = GB_STR_INIT("quarantined"),
		[FW_OUTCOME_UNKNOWN] = GB_STR_INIT("broken"),
		[FW_TOO_FEW_PARTS] = GB_STR_INIT("too_few_parts"),
		[FW_TIMEOUT] = GB_STR_INIT("timeout"),
		[FW_STOPPED] = GB_STR_INIT("stopped"),
	};

	return names[reason];
}
