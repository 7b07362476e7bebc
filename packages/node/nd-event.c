#include "node/nd-internal.h"

/* Emits an event; an empty string means that it concerns none of that kind. */
void nd_event_emit(struct node *node, enum ev_code code, struct gb_str request,
		   struct gb_str upstream, struct gb_str dc, int64_t a,
		   int64_t b)
{
	struct ev_event event = {
		.hlc = ev_clock_tick(&node->hlc, node->clock.wall_ms),
		.code = code,
		.vm = node->settings.vm,
		.request = request,
		.upstream = upstream,
		.dc = dc,
		.num1 = a,
		.num2 = b,
	};

	node->ops->event(node->ctx, &event);
}

/* Emits an event that concerns no request, upstream or data centre. */
void nd_event_emit_plain(struct node *node, enum ev_code code, int64_t a,
			 int64_t b)
{
	nd_event_emit(node, code, GB_STR(""), GB_STR(""), GB_STR(""), a, b);
}

uint64_t nd_event_stamp(struct node *node, struct nd_clock clock)
{
	return ev_clock_tick(&node->hlc, clock.wall_ms);
}
