#include "forward/fw-internal.h"

/* Reserved for merging and writing the answer, and for late timers. */
#define REPLY_MARGIN (4 * GB_MSEC)

/* Least share of the target latency for which a fan-out waits for all parts. */
#define TARGET_SHARE_MIN 0.6

gb_time fw_deadline_of(const struct rt_route *route,
		       const struct fw_request_params *params)
{
	gb_time timeout = route->timeout ? route->timeout : GB_NEVER / 2;

	/* An answer that leaves later does not reach the caller in time. */
	if (params->timeout)
		timeout = MIN(timeout,
			      MAX(params->timeout - params->rtt - REPLY_MARGIN,
				  params->timeout / 2) -
				      params->unread_max);
	return params->received_at + timeout;
}

/* Time at which a fan-out is answered although parts are pending. */
static gb_time soft_deadline_of(const struct rt_route *route,
				const struct fw_request_params *params)
{
	gb_time min_wait = TARGET_SHARE_MIN * route->target_latency;

	return params->received_at +
	       MAX(route->target_latency - params->rtt - REPLY_MARGIN,
		   min_wait);
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

struct fw_request *fw_request_new(struct fw_engine *engine,
				  struct rt_table *table,
				  struct rt_route *route,
				  const struct fw_request_params *params)
{
	struct fw_request *request = g_new0(struct fw_request, 1);

	request->engine = engine;
	request->table = rt_table_ref(table);
	request->route = route;
	request->org = params->org;
	request->attempts_max = params->attempts_max ? params->attempts_max
						     : route->attempts_max;
	request->is_repeat = params->is_repeat;
	request->may_have_run = params->is_repeat;
	request->stats = route->data;
	request->id = params->id;
	request->fingerprint = params->fingerprint;
	request->data = params->data;
	request->received_at = params->received_at;
	request->deadline = fw_deadline_of(route, params);
	request->soft_deadline = route->target_latency
					 ? soft_deadline_of(route, params)
					 : request->deadline;
	request->parts_len = route->fanout ? route->targets_len : 1;
	request->parts = g_new0(struct fw_part, request->parts_len);
	if (!route->fanout) {
		init_part(&request->parts[0], request,
			  params->is_explained ? rt_next_target(route)
					       : rt_choose_target(route));
		return request;
	}
	for (uint32_t i = 0; i < request->parts_len; i++)
		init_part(&request->parts[i], request, &route->targets[i]);
	return request;
}

uint32_t fw_parts_needed(const struct fw_request *request)
{
	return request->route->fanout ? rt_parts_min(request->route) : 1;
}

uint32_t fw_choose_upstreams(struct fw_request *request,
			     struct fl_upstream **chosen, gb_time now,
			     gb_time *wait)
{
	uint32_t found = 0;

	*wait = GB_NEVER;
	for (uint32_t i = 0; i < request->parts_len; i++) {
		gb_time part_wait;

		chosen[i] = fw_choose_upstream(&request->parts[i], false, now,
					       &part_wait);
		found += chosen[i] != NULL;
		*wait = MIN(*wait, part_wait);
	}
	return found;
}

/* Another VM may have sent the parts of a repeat before. */
static bool may_send(struct fw_part *part, gb_time now)
{
	return !part->request->is_repeat ||
	       bud_take_repeat(part->service->data,
			       &part->request->engine->budget, now);
}

/* Sends each part that has an upstream, or refuses the request. */
static void send_parts(struct fw_request *request, gb_time now)
{
	struct fl_upstream **chosen =
		g_new(struct fl_upstream *, request->parts_len);
	uint32_t parts_needed = fw_parts_needed(request);
	gb_time wait;

	if (fw_choose_upstreams(request, chosen, now, &wait) < parts_needed) {
		/* No answer is possible, so no part is sent or held. */
		fw_fail(request, FW_NO_UPSTREAM, wait, now);
		goto out;
	}
	if (fw_should_shed(request, chosen, parts_needed, now, &wait)) {
		fw_fail(request, FW_OVERLOAD, wait, now);
		goto out;
	}
	for (uint32_t i = 0; i < request->parts_len; i++) {
		if (chosen[i] && may_send(&request->parts[i], now))
			fw_call_start(&request->parts[i], chosen[i],
				      request->is_repeat ? FW_RETRY : FW_FIRST,
				      now);
		else
			fw_part_set_missing(&request->parts[i]);
	}
	fw_settle(request, now);
out:
	g_free(chosen);
}

void fw_request_start(struct fw_request *request, gb_time now)
{
	if (request->deadline <= now)
		fw_fail(request, FW_TIMEOUT, GB_NEVER, now);
	else if (fw_is_quarantined(request, now))
		fw_fail(request, FW_QUARANTINED, GB_NEVER, now);
	else
		send_parts(request, now);
}

void fw_request_tick(struct fw_request *request, gb_time now)
{
	for (uint32_t i = 0; i < request->parts_len && !request->ended; i++) {
		struct fw_part *part = &request->parts[i];

		if (part->state != FW_PART_PENDING)
			continue;
		if (part->retry_at <= now)
			fw_part_retry(part, true, now);
		else if (part->hedge_at <= now)
			fw_part_hedge(part, now);
	}
	fw_settle(request, now);
}

gb_time fw_request_next_tick(const struct fw_request *request)
{
	gb_time next = request->deadline;

	if (request->route->fanout &&
	    request->parts_answered >= rt_parts_min(request->route))
		next = MIN(next, request->soft_deadline);
	for (uint32_t i = 0; i < request->parts_len; i++) {
		const struct fw_part *part = &request->parts[i];

		if (part->state != FW_PART_PENDING)
			continue;
		next = MIN(next, MIN(part->hedge_at, part->retry_at));
	}
	return next;
}

void fw_request_stop(struct fw_request *request, gb_time now)
{
	fw_settle(request, MAX(now, request->soft_deadline));
	if (!request->ended)
		fw_fail(request, FW_STOPPED, GB_NEVER, now);
}

void fw_request_cancel(struct fw_request *request, gb_time now)
{
	request->ended = true;
	for (uint32_t i = 0; i < request->parts_len; i++)
		fw_part_cancel_calls(&request->parts[i], now);
}

void fw_answer_clear(struct fw_answer *answer)
{
	gb_buf_free(&answer->signature);
	gb_buf_free(&answer->fields);
	gb_buf_free(&answer->body);
}

static void clear_part(struct fw_part *part)
{
	for (uint32_t i = 0; i < part->calls_len; i++)
		fl_release(part->calls[i].upstream);
	fw_answer_clear(&part->answer);
}

void fw_request_free(struct fw_request *request)
{
	for (uint32_t i = 0; i < request->parts_len; i++)
		clear_part(&request->parts[i]);
	rt_table_unref(request->table);
	g_free(request->parts);
	g_free(request);
}
