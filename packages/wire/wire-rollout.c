#include "wire/wire-row.h"

#include <glib.h>

#define ROW_SIZE 28 /* bytes of an encoded struct msg_rollout_row */

static bool_t code_row(XDR *xdrs, struct msg_rollout_row *row)
{
	return wire_xdr_u64(xdrs, &row->route) &&
	       wire_xdr_u64(xdrs, &row->upstream) &&
	       wire_xdr_bool(xdrs, &row->is_target) &&
	       wire_xdr_u32(xdrs, &row->answers) &&
	       wire_xdr_u32(xdrs, &row->bad) && row->bad <= row->answers;
}

bool_t wire_xdr_rollout_report(XDR *xdrs, struct wire_ctx *ctx)
{
	struct msg_rollout_report *m = &ctx->msg->rollout_report;
	uint32_t count = m->rows_len;

	if (!wire_xdr_u64(xdrs, &m->order) || !wire_xdr_u64(xdrs, &m->vm) ||
	    !wire_xdr_i64(xdrs, &m->age) || m->age < 0 ||
	    !wire_xdr_enum(xdrs, &m->step, MSG_ROLLOUT_STEPS) ||
	    !wire_xdr_u32(xdrs, &m->calls_current) ||
	    !wire_xdr_count(xdrs, ctx, &count, ROW_SIZE))
		return FALSE;
	if (xdrs->x_op == XDR_DECODE) {
		m->rows = g_new0(struct msg_rollout_row, count);
		m->rows_len = count;
	}
	for (uint32_t i = 0; i < count; i++)
		if (!code_row(xdrs, &m->rows[i]))
			return FALSE;
	return TRUE;
}

bool_t wire_xdr_rollout_step(XDR *xdrs, struct wire_ctx *ctx)
{
	struct msg_rollout_step *m = &ctx->msg->rollout_step;

	return wire_xdr_u64(xdrs, &m->order) && wire_xdr_i64(xdrs, &m->age) &&
	       m->age >= 0 && wire_xdr_enum(xdrs, &m->step, MSG_ROLLOUT_STEPS);
}
