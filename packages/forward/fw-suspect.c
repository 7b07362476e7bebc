#include "forward/fw-internal.h"

bool fw_is_quarantined(const struct fw_request *request, gb_time now)
{
	const struct sus_table *suspects = request->engine->suspects;

	return suspects && sus_state(suspects, now, request->fingerprint) ==
				   SUS_QUARANTINED;
}

void fw_record_lost_run(const struct fw_call *call, gb_time now)
{
	const struct fw_request *request = call->part->request;
	struct fw_engine *engine = request->engine;
	uint32_t crashes;

	if (!engine->suspects ||
	    !sus_run_lost(engine->suspects, now, request->fingerprint,
			  call->sent_at))
		return;
	crashes = sus_crashes(engine->suspects, request->fingerprint);
	engine->ops->event(engine->ctx,
			   &(struct fw_event){
				   .code = fw_is_quarantined(request, now)
						   ? EV_SUSPECT_QUARANTINED
						   : EV_SUSPECT_CRASH,
				   .request = request,
				   .upstream = call->upstream,
				   .num1 = request->fingerprint,
				   .num2 = crashes,
			   });
	if (crashes >= FW_CRASHES_REPORTED_MIN)
		engine->ops->report_crashes(engine->ctx, request->fingerprint,
					    crashes);
}

void fw_clear_suspicion(const struct fw_request *request, gb_time now)
{
	struct fw_engine *engine = request->engine;
	uint32_t crashes;

	if (!engine->suspects)
		return;
	crashes = sus_clear(engine->suspects, now, request->fingerprint);
	if (crashes)
		engine->ops->report_answer(engine->ctx, request->fingerprint,
					   crashes);
}
