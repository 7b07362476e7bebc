#include "wire/wire-row.h"

#include <glib.h>

/* Minimum encoded size of an element, in bytes. */
#define WARM_UPSTREAM_SIZE 16 /* upstream, instance */
#define HOST_SIZE 4 /* an empty string */

bool_t wire_xdr_warm(XDR *xdrs, struct wire_ctx *ctx)
{
	struct msg_warm *m = &ctx->msg->warm;
	uint32_t count = m->upstreams_len;

	if (!wire_xdr_count(xdrs, ctx, &count, WARM_UPSTREAM_SIZE))
		return FALSE;
	if (xdrs->x_op == XDR_DECODE) {
		m->upstreams = g_new0(struct msg_warm_upstream, count);
		m->upstreams_len = count;
	}
	for (uint32_t i = 0; i < count; i++)
		if (!wire_xdr_u64(xdrs, &m->upstreams[i].upstream_hash) ||
		    !wire_xdr_u64(xdrs, &m->upstreams[i].instance))
			return FALSE;
	return TRUE;
}

bool_t wire_xdr_join(XDR *xdrs, struct wire_ctx *ctx)
{
	struct msg_join *m = &ctx->msg->join;

	return wire_xdr_u64(xdrs, &m->config_version) &&
	       wire_xdr_str(xdrs, ctx, &m->name) &&
	       wire_xdr_str(xdrs, ctx, &m->host) &&
	       wire_xdr_u32(xdrs, &m->peer_port) &&
	       wire_xdr_u32(xdrs, &m->http_port) &&
	       wire_xdr_str(xdrs, ctx, &m->dc);
}

bool_t wire_xdr_leaving(XDR *xdrs, struct wire_ctx *ctx)
{
	struct msg_leaving *m = &ctx->msg->leaving;
	uint32_t count = m->hosts_len;

	if (!wire_xdr_count(xdrs, ctx, &count, HOST_SIZE))
		return FALSE;
	if (xdrs->x_op == XDR_DECODE) {
		m->hosts = g_new0(struct gb_str, count);
		m->hosts_len = count;
	}
	for (uint32_t i = 0; i < count; i++)
		if (!wire_xdr_str(xdrs, ctx, &m->hosts[i]))
			return FALSE;
	return TRUE;
}
