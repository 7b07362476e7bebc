#include "wire/wire.h"
#include "wire/wire-row.h"

static bool_t xdr_header(XDR *xdrs, struct msg *msg);

/*
 * Codes the header of an RPC call. Buffers on the stack for credentials and
 * verifier keep the library from allocating them; all but AUTH_NONE are
 * refused.
 */
static bool_t xdr_header(XDR *xdrs, struct msg *msg)
{
	char cred[MAX_AUTH_BYTES], verf[MAX_AUTH_BYTES];
	struct rpc_msg call = { .rm_xid = (uint32_t)msg->hlc,
				.rm_direction = CALL };
	struct call_body *body = &call.rm_call;

	body->cb_rpcvers = RPC_MSG_VERSION;
	body->cb_prog = WIRE_PROGRAM;
	body->cb_vers = WIRE_VERSION;
	body->cb_proc = msg->kind;
	body->cb_cred.oa_flavor = AUTH_NONE;
	body->cb_cred.oa_base = cred;
	body->cb_verf.oa_flavor = AUTH_NONE;
	body->cb_verf.oa_base = verf;
	if (!xdr_callmsg(xdrs, &call))
		return FALSE;
	if (body->cb_rpcvers != RPC_MSG_VERSION ||
	    body->cb_prog != WIRE_PROGRAM || body->cb_vers != WIRE_VERSION ||
	    body->cb_proc >= MSG_KINDS ||
	    body->cb_cred.oa_flavor != AUTH_NONE || body->cb_cred.oa_length ||
	    body->cb_verf.oa_flavor != AUTH_NONE || body->cb_verf.oa_length)
		return FALSE;
	if (xdrs->x_op == XDR_DECODE)
		msg->kind = body->cb_proc;
	return TRUE;
}

bool_t wire_xdr_record(XDR *xdrs, struct wire_ctx *ctx)
{
	struct msg *msg = ctx->msg;

	if (!xdr_header(xdrs, msg)) {
		gb_fail(ctx->err, GB_ERR_SYNTAX, GB_STR("header"), 0);
		return FALSE;
	}
	return wire_xdr_u32(xdrs, &msg->from) &&
	       wire_xdr_u64(xdrs, &msg->hlc) &&
	       wire_row(msg->kind)->xdr(xdrs, ctx);
}
