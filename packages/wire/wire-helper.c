#include "wire/wire-row.h"

#include <glib.h>

#define HELPER_SIZE_MIN 24 /* bytes of an encoded struct msg_helper */

static bool_t code_helper(XDR *xdrs, struct wire_ctx *ctx,
			  struct msg_helper *helper)
{
	return wire_xdr_str(xdrs, ctx, &helper->address) &&
	       wire_xdr_u32(xdrs, &helper->dc_hash) &&
	       wire_xdr_u32(xdrs, &helper->share) &&
	       wire_xdr_u32(xdrs, &helper->queries) &&
	       wire_xdr_i64(xdrs, &helper->age) && helper->age >= 0;
}

bool_t wire_xdr_helpers(XDR *xdrs, struct wire_ctx *ctx)
{
	struct msg_helpers *m = &ctx->msg->helpers;
	uint32_t count = m->helpers_len;

	if (!wire_xdr_count(xdrs, ctx, &count, HELPER_SIZE_MIN))
		return FALSE;
	if (xdrs->x_op == XDR_DECODE) {
		m->helpers = g_new0(struct msg_helper, count);
		m->helpers_len = count;
	}
	for (uint32_t i = 0; i < count; i++)
		if (!code_helper(xdrs, ctx, &m->helpers[i]))
			return FALSE;
	return TRUE;
}
