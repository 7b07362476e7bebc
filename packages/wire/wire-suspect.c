#include "wire/wire-row.h"

#include <glib.h>

#define SUSPECT_SIZE 20 /* bytes of an encoded struct msg_suspect */

bool_t wire_xdr_quarantine(XDR *xdrs, struct wire_ctx *ctx)
{
	struct msg_quarantine *m = &ctx->msg->quarantine;

	return wire_xdr_u64(xdrs, &m->fingerprint) &&
	       wire_xdr_u32(xdrs, &m->crashes);
}

/* The request for the suspects has no body. */
bool_t wire_xdr_suspects_ask(XDR *xdrs, struct wire_ctx *ctx)
{
	(void)xdrs;
	(void)ctx;
	return TRUE;
}

static bool_t code_suspect(XDR *xdrs, struct msg_suspect *suspect)
{
	return wire_xdr_u64(xdrs, &suspect->fingerprint) &&
	       wire_xdr_u32(xdrs, &suspect->crashes) &&
	       wire_xdr_i64(xdrs, &suspect->age) && suspect->age >= 0;
}

bool_t wire_xdr_suspects(XDR *xdrs, struct wire_ctx *ctx)
{
	struct msg_suspects *m = &ctx->msg->suspects;
	uint32_t count = m->suspects_len;

	if (!wire_xdr_count(xdrs, ctx, &count, SUSPECT_SIZE))
		return FALSE;
	if (xdrs->x_op == XDR_DECODE) {
		m->suspects = g_new0(struct msg_suspect, count);
		m->suspects_len = count;
	}
	for (uint32_t i = 0; i < count; i++)
		if (!code_suspect(xdrs, &m->suspects[i]))
			return FALSE;
	return TRUE;
}

bool_t wire_xdr_run_end(XDR *xdrs, struct wire_ctx *ctx)
{
	struct msg_run_end *m = &ctx->msg->run_end;

	return wire_xdr_u64(xdrs, &m->fingerprint) &&
	       wire_xdr_bool(xdrs, &m->answered) &&
	       wire_xdr_i64(xdrs, &m->sent_age) &&
	       wire_xdr_i64(xdrs, &m->end_age) && m->end_age >= 0 &&
	       m->sent_age >= m->end_age;
}
