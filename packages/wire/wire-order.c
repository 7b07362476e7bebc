#include "wire/wire-row.h"

bool_t wire_xdr_vote(XDR *xdrs, struct wire_ctx *ctx)
{
	struct msg_vote *m = &ctx->msg->vote;

	return wire_xdr_str(xdrs, ctx, &m->key) &&
	       wire_xdr_i64(xdrs, &m->issued_ms) &&
	       wire_xdr_u64(xdrs, &m->epoch) &&
	       wire_xdr_order_id(xdrs, &m->order);
}

bool_t wire_xdr_vote_reply(XDR *xdrs, struct wire_ctx *ctx)
{
	struct msg_vote_reply *m = &ctx->msg->vote_reply;
	uint32_t status = m->status;

	if (!wire_xdr_str(xdrs, ctx, &m->key) ||
	    !wire_xdr_order_id(xdrs, &m->order) ||
	    !wire_xdr_enum(xdrs, &status, MSG_VOTE_STATUSES) ||
	    !wire_xdr_order_id(xdrs, &m->holder) ||
	    !wire_xdr_str(xdrs, ctx, &m->outcome))
		return FALSE;
	if (xdrs->x_op == XDR_DECODE)
		m->status = status;
	return TRUE;
}

bool_t wire_xdr_release(XDR *xdrs, struct wire_ctx *ctx)
{
	struct msg_release *m = &ctx->msg->release;

	return wire_xdr_str(xdrs, ctx, &m->key) &&
	       wire_xdr_order_id(xdrs, &m->order);
}

bool_t wire_xdr_outcome(XDR *xdrs, struct wire_ctx *ctx)
{
	struct msg_outcome *m = &ctx->msg->outcome;

	return wire_xdr_str(xdrs, ctx, &m->key) &&
	       wire_xdr_order_id(xdrs, &m->order) &&
	       wire_xdr_str(xdrs, ctx, &m->outcome);
}
