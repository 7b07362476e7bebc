#include "forward/fw-internal.h"

/* Merging, writing and late timers take some of the aim as well. */
#define ANSWER_TIME (4 * GB_MSEC)

/* Least part of the aim for which a fan-out waits for all of its parts. */
#define AIM_USED_MIN 0.6

static gb_time end_of(const struct rt_route *route, const struct fw_ask *ask)
{
	gb_time most = route->timeout ? route->timeout : GB_NEVER / 2;

	/* An answer that leaves later does not reach the caller in time. */
	if (ask->deadline)
		most = MIN(most, MAX(ask->deadline - ask->way - ANSWER_TIME,
				     ask->deadline / 2));
	return ask->received + most;
}

/* When a fan-out is answered with what is in. */
static gb_time aim_of(const struct rt_route *route, const struct fw_ask *ask)
{
	gb_time least = AIM_USED_MIN * route->aim;

	return ask->received + MAX(route->aim - ask->way - ANSWER_TIME, least);
}

static void init_part(struct fw_part *part, struct fw_request *request,
		      const struct rt_target *target)
{
	part->request = request;
	part->service = target->service->data;
	if (!part->service->data)
		part->service->data = g_new0(struct bud, 1);
	part->hedge_at = GB_NEVER;
	part->retry_at = GB_NEVER;
}

struct fw_request *fw_new(struct fw_engine *engine, struct rt_table *table,
			  struct rt_route *route, const struct fw_ask *ask)
{
	struct fw_request *request = g_new0(struct fw_request, 1);

	request->engine = engine;
	request->table = rt_table_ref(table);
	request->route = route;
	request->pace = route->data;
	request->id = ask->id;
	request->fingerprint = ask->fingerprint;
	request->data = ask->data;
	request->received = ask->received;
	request->end = end_of(route, ask);
	request->aim_at = route->aim ? aim_of(route, ask) : request->end;
	request->parts_len = route->fanout ? route->targets_len : 1;
	request->parts = g_new0(struct fw_part, request->parts_len);
	if (!route->fanout) {
		init_part(&request->parts[0], request, rt_choose(route));
		return request;
	}
	for (uint32_t i = 0; i < request->parts_len; i++)
		init_part(&request->parts[i], request, &route->targets[i]);
	return request;
}

/* Chooses an upstream for each part; returns the number that have one. */
static uint32_t choose_all(struct fw_request *request,
			   struct fl_upstream **chosen, gb_time now,
			   gb_time *wait)
{
	uint32_t found = 0;

	*wait = GB_NEVER;
	for (uint32_t i = 0; i < request->parts_len; i++) {
		gb_time part_wait;

		chosen[i] =
			fw_choose(&request->parts[i], false, now, &part_wait);
		found += chosen[i] != NULL;
		*wait = MIN(*wait, part_wait);
	}
	return found;
}

/* Sends each part that has an upstream, or refuses the request. */
static void send_first(struct fw_request *request, gb_time now)
{
	struct fl_upstream **chosen =
		g_new(struct fl_upstream *, request->parts_len);
	uint32_t need =
		request->route->fanout ? rt_parts_min(request->route) : 1;
	gb_time wait;

	if (choose_all(request, chosen, now, &wait) < need) {
		/* It cannot be served, so nothing is sent and none is kept. */
		fw_fail(request, FW_NO_UPSTREAM, wait, now);
		goto out;
	}
	if (fw_is_overload(request, chosen, need, now, &wait)) {
		fw_fail(request, FW_OVERLOAD, wait, now);
		goto out;
	}
	for (uint32_t i = 0; i < request->parts_len; i++) {
		if (chosen[i])
			fw_call_start(&request->parts[i], chosen[i], FW_FIRST,
				      now);
		else
			fw_part_missing(&request->parts[i]);
	}
	fw_settle(request, now);
out:
	g_free(chosen);
}

void fw_start(struct fw_request *request, gb_time now)
{
	if (fw_is_quarantined(request, now))
		fw_fail(request, FW_QUARANTINED, GB_NEVER, now);
	else
		send_first(request, now);
}

void fw_tick(struct fw_request *request, gb_time now)
{
	for (uint32_t i = 0; i < request->parts_len && !request->ended; i++) {
		struct fw_part *part = &request->parts[i];

		if (part->state != FW_WAITING)
			continue;
		if (part->retry_at <= now)
			fw_part_retry(part, true, now);
		else if (part->hedge_at <= now)
			fw_part_hedge(part, now);
	}
	fw_settle(request, now);
}

gb_time fw_next(const struct fw_request *request)
{
	gb_time next = request->end;

	if (request->route->fanout &&
	    request->parts_in >= rt_parts_min(request->route))
		next = MIN(next, request->aim_at);
	for (uint32_t i = 0; i < request->parts_len; i++) {
		const struct fw_part *part = &request->parts[i];

		if (part->state != FW_WAITING)
			continue;
		next = MIN(next, MIN(part->hedge_at, part->retry_at));
	}
	return next;
}

void fw_stop(struct fw_request *request, gb_time now)
{
	fw_settle(request, MAX(now, request->aim_at));
	if (!request->ended)
		fw_fail(request, FW_STOPPED, GB_NEVER, now);
}

void fw_gone(struct fw_request *request, gb_time now)
{
	request->ended = true;
	for (uint32_t i = 0; i < request->parts_len; i++)
		fw_cancel_running(&request->parts[i], now);
}

void fw_answer_clear(struct fw_answer *answer)
{
	gb_buf_free(&answer->signature);
	gb_buf_free(&answer->fields);
	gb_buf_free(&answer->body);
}

void fw_free(struct fw_request *request)
{
	for (uint32_t i = 0; i < request->parts_len; i++)
		fw_answer_clear(&request->parts[i].answer);
	rt_table_unref(request->table);
	g_free(request->parts);
	g_free(request);
}
