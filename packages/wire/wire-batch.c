#include "wire/wire-row.h"

#include <glib.h>

/* Minimum encoded size of an element, in bytes. */
#define SUB_SIZE 12 /* attempt, shard */
#define SUB_RESULT_SIZE 44 /* with an empty body */

static bool_t xdr_sub(XDR *xdrs, struct msg_sub *sub);
static bool_t xdr_sub_result(XDR *xdrs, struct wire_ctx *ctx,
			     struct msg_sub_result *sub);

static bool_t xdr_sub(XDR *xdrs, struct msg_sub *sub)
{
	return wire_xdr_u64(xdrs, &sub->attempt) &&
	       wire_xdr_u32(xdrs, &sub->shard);
}

bool_t wire_xdr_batch(XDR *xdrs, struct wire_ctx *ctx)
{
	struct msg_batch *m = &ctx->msg->batch;
	uint32_t count = m->subs_len;

	if (!wire_xdr_u64(xdrs, &m->query) ||
	    !wire_xdr_u64(xdrs, &m->config_version) ||
	    !wire_xdr_str(xdrs, ctx, &m->request_id) ||
	    !wire_xdr_str(xdrs, ctx, &m->service) ||
	    !wire_xdr_u64(xdrs, &m->snapshot) ||
	    !wire_xdr_u64(xdrs, &m->fingerprint) ||
	    !wire_xdr_i64(xdrs, &m->time_left) ||
	    !wire_xdr_bool(xdrs, &m->order) ||
	    !wire_xdr_bool(xdrs, &m->canary) ||
	    !wire_xdr_str(xdrs, ctx, &m->key) ||
	    !wire_xdr_str(xdrs, ctx, &m->body) ||
	    !wire_xdr_count(xdrs, ctx, &count, SUB_SIZE))
		return FALSE;
	if (xdrs->x_op == XDR_DECODE) {
		m->subs = g_new0(struct msg_sub, count);
		m->subs_len = count;
	}
	for (uint32_t i = 0; i < count; i++)
		if (!xdr_sub(xdrs, &m->subs[i]))
			return FALSE;
	return TRUE;
}

static bool_t xdr_sub_result(XDR *xdrs, struct wire_ctx *ctx,
			     struct msg_sub_result *sub)
{
	uint32_t status = sub->status;

	if (!wire_xdr_u64(xdrs, &sub->attempt) ||
	    !wire_xdr_u32(xdrs, &sub->shard) ||
	    !wire_xdr_enum(xdrs, &status, MSG_STATUSES) ||
	    !wire_xdr_u64(xdrs, &sub->snapshot) ||
	    !wire_xdr_u64(xdrs, &sub->docs_searched) ||
	    !wire_xdr_i64(xdrs, &sub->queue_wait) ||
	    !wire_xdr_str(xdrs, ctx, &sub->body))
		return FALSE;
	if (xdrs->x_op == XDR_DECODE)
		sub->status = status;
	return TRUE;
}

bool_t wire_xdr_result(XDR *xdrs, struct wire_ctx *ctx)
{
	struct msg_result *m = &ctx->msg->result;
	uint32_t count = m->subs_len;

	if (!wire_xdr_u64(xdrs, &m->query) ||
	    !wire_xdr_count(xdrs, ctx, &count, SUB_RESULT_SIZE))
		return FALSE;
	if (xdrs->x_op == XDR_DECODE) {
		m->subs = g_new0(struct msg_sub_result, count);
		m->subs_len = count;
	}
	for (uint32_t i = 0; i < count; i++)
		if (!xdr_sub_result(xdrs, ctx, &m->subs[i]))
			return FALSE;
	return TRUE;
}

bool_t wire_xdr_cancel(XDR *xdrs, struct wire_ctx *ctx)
{
	return wire_xdr_u64(xdrs, &ctx->msg->cancel.query);
}
