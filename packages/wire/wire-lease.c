#include "wire/wire-row.h"

bool_t wire_xdr_heartbeat(XDR *xdrs, struct wire_ctx *ctx)
{
	struct msg_heartbeat *m = &ctx->msg->heartbeat;

	return wire_xdr_u64(xdrs, &m->incarnation) &&
	       wire_xdr_u64(xdrs, &m->epoch) &&
	       wire_xdr_u64(xdrs, &m->config_version) &&
	       wire_xdr_u64(xdrs, &m->seq) &&
	       wire_xdr_bool(xdrs, &m->eligible) &&
	       wire_xdr_bool(xdrs, &m->leaving) &&
	       wire_xdr_units(xdrs, &m->requested);
}

bool_t wire_xdr_heartbeat_reply(XDR *xdrs, struct wire_ctx *ctx)
{
	struct msg_heartbeat_reply *m = &ctx->msg->heartbeat_reply;

	return wire_xdr_u64(xdrs, &m->incarnation) &&
	       wire_xdr_u64(xdrs, &m->epoch) &&
	       wire_xdr_u64(xdrs, &m->config_version) &&
	       wire_xdr_u64(xdrs, &m->seq) &&
	       wire_xdr_bool(xdrs, &m->startup_wait) &&
	       wire_xdr_units(xdrs, &m->granted) &&
	       wire_xdr_u64(xdrs, &m->live_vms) &&
	       wire_xdr_u64(xdrs, &m->candidates);
}
