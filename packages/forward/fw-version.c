#include "forward/fw-internal.h"

/*
 * An answer is slow if it takes longer than this multiple of the median
 * latency of its route, and a margin for the network and for timers.
 */
#define SLOW_FACTOR 2.5
#define SLOW_MARGIN (3 * GB_MSEC)

static struct ro_vms live_vms(const struct fw_part *part)
{
	const struct fl_fleet *fleet = part->request->engine->fleet;

	return (struct ro_vms){
		.count = fl_live_vms(fleet),
		.rank = fl_vm_rank(fleet, gb_hash(part->service->name, 0)),
	};
}

/* Tells whether the other version may take the call, if one has no upstream. */
static bool may_use_other(const struct fw_part *part, bool prefers_target,
			  const struct ro_vms *vms, gb_time now)
{
	return prefers_target ||
	       ro_allows_target(part->service->rollout,
				&part->request->engine->exposure, vms, now);
}

bool fw_prefers_target(const struct fw_part *part, gb_time now)
{
	struct ro_vms vms;

	if (!part->service->rollout)
		return false;
	vms = live_vms(part);
	return ro_prefers_target(part->service->rollout,
				 &part->request->engine->exposure, &vms,
				 !part->calls_len, now);
}

struct fl_upstream *fw_pick_version(const struct fw_part *part,
				    const struct fl_pick_options *options,
				    gb_time now, gb_time *wait)
{
	struct fw_engine *engine = part->request->engine;
	struct fl_service *service = part->service;
	struct fl_pick_options need = *options;
	struct fl_upstream *upstream;
	struct ro_vms vms;

	if (!service->rollout)
		return fl_pick_upstream(engine->fleet, service, options, now,
					wait);
	vms = live_vms(part);
	need.of_target = fw_prefers_target(part, now);
	upstream = fl_pick_upstream(engine->fleet, service, &need, now, wait);
	if (upstream || !may_use_other(part, need.of_target, &vms, now))
		return upstream;
	need.of_target = !need.of_target;
	return fl_pick_upstream(engine->fleet, service, &need, now, wait);
}

void fw_version_chosen(const struct fw_call *call)
{
	struct ro_rollout *rollout = call->part->service->rollout;

	if (!rollout || !fl_is_target(call->upstream))
		return;
	ro_target_chosen(rollout);
	met_add(call->part->request->engine->metrics, MET_ROLLOUT_CALLS, 1);
}

void fw_version_sent(const struct fw_call *call)
{
	struct ro_rollout *rollout = call->part->service->rollout;

	if (rollout)
		ro_call_sent(rollout);
}

/* A cancelled call only tells that it would have been slow. */
void fw_version_answered(const struct fw_call *call, gb_time now, bool failed)
{
	const struct fw_request *request = call->part->request;
	struct ro_rollout *rollout = call->part->service->rollout;
	const struct fl_upstream *upstream = call->upstream;
	gb_time slow_after = SLOW_FACTOR * fw_median_latency(request) +
			     SLOW_MARGIN + fw_queue_wait(call);
	bool is_slow = now - call->sent_at > slow_after;

	if (!rollout || !call->sent_at)
		return;
	if (!failed && !is_slow && call->outcome == FW_LOST)
		return;
	ro_call_ended(rollout,
		      &(struct ro_sample){
			      .route = gb_hash(request->route->name, 0),
			      .upstream = gb_hash(upstream->id,
						  upstream->process_start),
			      .is_target = fl_is_target(upstream),
			      .is_bad = failed || is_slow,
		      });
}
