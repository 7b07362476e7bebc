#include "forward/fw-internal.h"

/* Lines of the upstreams of one part, as far as they are written. */
struct listing {
	struct gb_buf *out;
	uint32_t left;
	uint32_t omitted;
};

static void add_upstream(void *ctx, const struct fl_assessment *found)
{
	static const char *const classes[] = { "good", "avoided", "last_resort",
					       "unusable" };
	const struct fl_upstream *upstream = found->upstream;
	struct listing *list = ctx;

	if (!list->left) {
		list->omitted++;
		return;
	}
	list->left--;
	gb_buf_add(list->out, GB_STR("upstream id="));
	ev_quote(upstream->id, list->out);
	gb_buf_add(list->out, GB_STR(" dc="));
	ev_quote(upstream->dc, list->out);
	gb_buf_addf(list->out, " class=%s", classes[found->class]);
	if (found->reason.len)
		gb_buf_addf(list->out, " reason=%.*s", (int)found->reason.len,
			    found->reason.ptr);
	if (found->class == FL_UNUSABLE && found->wait != GB_NEVER)
		gb_buf_addf(list->out, " wait_us=%lld", (long long)found->wait);
	gb_buf_addf(list->out,
		    " expected_us=%.0f load=%.1f slots=%u latency_ratio=%.2f "
		    "failures=%.2f\n",
		    found->expected, found->load, upstream->slots,
		    found->latency_ratio, found->failure_rate);
}

static void add_part(struct fw_part *part, uint32_t upstreams_max, gb_time now,
		     struct gb_buf *out)
{
	const struct fw_request *request = part->request;
	const struct fl_service *service = part->service;
	const struct fl_pick_options options = {
		.median_latency = fw_median_latency(request),
		.of_target = fw_prefers_target(part, now),
	};
	struct listing list = { .out = out, .left = upstreams_max };

	gb_buf_add(out, GB_STR("part service="));
	ev_quote(service->name, out);
	if (service->rollout) {
		struct gb_str step = ro_step_name(ro_step(service->rollout));

		gb_buf_addf(out, " rollout=%.*s to_target=%d", (int)step.len,
			    step.ptr, options.of_target);
	}
	gb_buf_addc(out, '\n');
	fl_explain(request->engine->fleet, service, &options, now, add_upstream,
		   &list);
	if (list.omitted)
		gb_buf_addf(out, "omitted upstreams=%u\n", list.omitted);
}

static void add_admission(struct fw_request *request, gb_time now,
			  struct gb_buf *out)
{
	struct fl_upstream **chosen =
		g_new(struct fl_upstream *, request->parts_len);
	uint32_t needed = fw_parts_needed(request);
	struct fw_admission_view view;
	gb_time wait;
	uint32_t found = fw_choose_upstreams(request, chosen, now, &wait);

	gb_buf_addf(out,
		    "parts all=%u needed=%u with_upstream=%u usual_us=%lld "
		    "target_us=%lld deadline_us=%lld\n",
		    request->parts_len, needed, found,
		    (long long)fw_median_latency(request),
		    (long long)request->route->target_latency,
		    (long long)(request->deadline - now));
	if (found < needed) {
		gb_buf_add(out,
			   GB_STR("admission refused=1 reason=no_upstream\n"));
	} else {
		fw_view_admission(request, chosen, now, &view);
		gb_buf_addf(out,
			    "admission refused=%d delay_us=%lld most_us=%lld "
			    "overload=%d beyond_share=%d\n",
			    view.refused, (long long)view.delay,
			    (long long)view.limit, view.overload, view.yields);
	}
	g_free(chosen);
}

void fw_explain(struct fw_request *request, uint32_t upstreams_max, gb_time now,
		struct gb_buf *out)
{
	add_admission(request, now, out);
	for (uint32_t i = 0; i < request->parts_len; i++)
		add_part(&request->parts[i], upstreams_max, now, out);
}
