#include "forward/fw-internal.h"

#include <stdarg.h>
#include <stdio.h>

/* Time of a kind of request whose answers and aim are unknown. */
#define USUAL_UNKNOWN (20 * GB_MSEC)

/* Part of the aim that a request of an unseen kind is expected to take. */
#define USUAL_OF_AIM 8

/* Step of the running median, relative to its value. */
#define PACE_STEP 0.04

#define DETAIL_MAX 256

/*
 * A hedge is due after this many times the usual time: soon while the budget
 * is full, later the less of it is left.
 */
#define HEDGE_SOON 2.0
#define HEDGE_LATE 5.0
#define BUDGET_FULL 0.6

/* Time on the network that the usual time of a fast kind hides. */
#define HEDGE_EXTRA (3 * GB_MSEC)

void fw_engine_init(struct fw_engine *engine, struct fl_fleet *fleet,
		    const struct fw_ops *ops, void *ctx, struct gb_rng *rng,
		    struct met_registry *metrics)
{
	engine->fleet = fleet;
	engine->ops = ops;
	engine->ctx = ctx;
	engine->rng = rng;
	engine->metrics = metrics;
	engine->paces =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void fw_engine_clear(struct fw_engine *engine)
{
	g_hash_table_destroy(engine->paces);
}

struct fw_pace *fw_pace(struct fw_engine *engine, struct gb_str route)
{
	char *name = gb_str_to_c(route);
	struct fw_pace *pace = g_hash_table_lookup(engine->paces, name);

	if (pace) {
		g_free(name);
		return pace;
	}
	pace = g_new0(struct fw_pace, 1);
	pace->admission.since = GB_NEVER;
	g_hash_table_insert(engine->paces, name, pace);
	return pace;
}

gb_time fw_usual(const struct fw_request *request)
{
	if (request->pace && request->pace->usual > 0)
		return request->pace->usual;
	if (request->route->aim)
		return request->route->aim / USUAL_OF_AIM;
	return USUAL_UNKNOWN;
}

/* Moves the median by a small step towards each sample. */
void fw_pace_add(struct fw_pace *pace, gb_time elapsed)
{
	if (!pace)
		return;
	if (pace->usual <= 0)
		pace->usual = elapsed;
	else if (elapsed > pace->usual)
		pace->usual *= 1 + PACE_STEP;
	else
		pace->usual *= 1 - PACE_STEP;
}

gb_time fw_hedge_delay(const struct fw_call *call, gb_time now)
{
	const struct fw_part *part = call->part;
	const struct fw_request *request = part->request;
	double level =
		bud_level(part->service->data, &request->engine->budget, now);
	double spent = 1 - MIN(level / BUDGET_FULL, 1);
	double times = HEDGE_SOON + (HEDGE_LATE - HEDGE_SOON) * spent;

	return times * fw_usual(request) + HEDGE_EXTRA + fw_waited(call);
}

gb_time fw_waited(const struct fw_call *call)
{
	gb_time usual = fw_usual(call->part->request);

	return call->queued * fl_work(call->part->service, usual);
}

void fw_event(const struct fw_request *request, enum ev_code code,
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
	engine->ops->event(engine->ctx, code, request, upstream,
			   (struct gb_str){ text, len });
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
		[FW_BROKEN] = GB_STR_INIT("broken"),
		[FW_TOO_FEW] = GB_STR_INIT("too_few_parts"),
		[FW_TIMEOUT] = GB_STR_INIT("timeout"),
		[FW_STOPPED] = GB_STR_INIT("stopped"),
	};

	return names[reason];
}
