#include "wire/wire-row.h"

static const struct wire_row rows[MSG_KINDS] = {
	[MSG_HEARTBEAT] = { .xdr = wire_xdr_heartbeat },
	[MSG_HEARTBEAT_REPLY] = { .xdr = wire_xdr_heartbeat_reply },
	[MSG_QUERY_BATCH] = { .xdr = wire_xdr_batch },
	[MSG_RESULT] = { .xdr = wire_xdr_result },
	[MSG_CANCEL] = { .xdr = wire_xdr_cancel },
	[MSG_VOTE] = { .xdr = wire_xdr_vote },
	[MSG_VOTE_REPLY] = { .xdr = wire_xdr_vote_reply },
	[MSG_RELEASE] = { .xdr = wire_xdr_release },
	[MSG_OUTCOME] = { .xdr = wire_xdr_outcome },
	[MSG_CONFIG_FETCH] = { .xdr = wire_xdr_config_fetch },
	[MSG_CONFIG] = { .xdr = wire_xdr_config,
			 .prepare = wire_prepare_config },
	[MSG_QUARANTINE] = { .xdr = wire_xdr_quarantine },
	[MSG_WARM] = { .xdr = wire_xdr_warm },
	[MSG_JOIN] = { .xdr = wire_xdr_join },
	[MSG_LEAVING] = { .xdr = wire_xdr_leaving },
	[MSG_SUSPECTS_ASK] = { .xdr = wire_xdr_suspects_ask },
	[MSG_SUSPECTS] = { .xdr = wire_xdr_suspects },
	[MSG_RUN_END] = { .xdr = wire_xdr_run_end },
	[MSG_ROLLOUT_REPORT] = { .xdr = wire_xdr_rollout_report },
	[MSG_ROLLOUT_STEP] = { .xdr = wire_xdr_rollout_step },
	[MSG_QUOTA_REPORT] = { .xdr = wire_xdr_quota_report },
	[MSG_QUOTA_LEVEL] = { .xdr = wire_xdr_quota_level },
	[MSG_QUOTA_ASK] = { .xdr = wire_xdr_quota_report },
	[MSG_QUOTA_GRANT] = { .xdr = wire_xdr_quota_grant },
	[MSG_HELPERS] = { .xdr = wire_xdr_helpers },
};

const struct wire_row *wire_row(uint32_t kind)
{
	return kind < MSG_KINDS ? &rows[kind] : NULL;
}
