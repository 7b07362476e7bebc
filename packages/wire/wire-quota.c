#include "wire/wire-row.h"

bool_t wire_xdr_quota_report(XDR *xdrs, struct wire_ctx *ctx)
{
	struct msg_quota_report *m = &ctx->msg->quota_report;

	return wire_xdr_u64(xdrs, &m->vm) && wire_xdr_u64(xdrs, &m->org) &&
	       wire_xdr_i64(xdrs, &m->since) &&
	       wire_xdr_i64(xdrs, &m->admitted) &&
	       wire_xdr_u32(xdrs, &m->recent) && wire_xdr_u64(xdrs, &m->number);
}

bool_t wire_xdr_quota_level(XDR *xdrs, struct wire_ctx *ctx)
{
	struct msg_quota_level *m = &ctx->msg->quota_level;

	return wire_xdr_u64(xdrs, &m->org) &&
	       wire_xdr_bool(xdrs, &m->is_answer) &&
	       wire_xdr_i64(xdrs, &m->admitted) &&
	       wire_xdr_i64(xdrs, &m->level);
}

bool_t wire_xdr_quota_grant(XDR *xdrs, struct wire_ctx *ctx)
{
	struct msg_quota_grant *m = &ctx->msg->quota_grant;

	return wire_xdr_u64(xdrs, &m->org) && wire_xdr_u64(xdrs, &m->number) &&
	       wire_xdr_bool(xdrs, &m->granted) &&
	       wire_xdr_i64(xdrs, &m->wait) && m->wait >= 0;
}
