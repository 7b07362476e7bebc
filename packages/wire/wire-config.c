#include "json/js.h"
#include "wire/wire-row.h"

#include <glib.h>

static bool_t decode_config(XDR *xdrs, struct wire_ctx *ctx);

bool_t wire_xdr_config_fetch(XDR *xdrs, struct wire_ctx *ctx)
{
	return wire_xdr_u64(xdrs, &ctx->msg->config_fetch.known_version);
}

void wire_prepare_config(struct wire_ctx *ctx)
{
	if (ctx->msg->config.cfg)
		js_config_encode(ctx->msg->config.cfg, &ctx->config_text);
}

/* An empty text means that the sender has no configuration. */
static bool_t decode_config(XDR *xdrs, struct wire_ctx *ctx)
{
	struct gb_str text = { 0 };
	struct cfg *cfg = NULL;
	uint64_t version;
	bool_t ok = FALSE;

	if (!wire_xdr_u64(xdrs, &version) || !wire_xdr_str(xdrs, ctx, &text))
		goto out;
	if (text.len) {
		cfg = js_config_decode(text, ctx->err);
		if (!cfg)
			goto out;
		cfg->version = version;
	}
	ctx->msg->config.cfg = cfg;
	ok = TRUE;

out:
	gb_str_free(&text);
	return ok;
}

bool_t wire_xdr_config(XDR *xdrs, struct wire_ctx *ctx)
{
	struct cfg *cfg = ctx->msg->config.cfg;
	struct gb_str text = gb_buf_str(&ctx->config_text);
	uint64_t version;

	if (xdrs->x_op == XDR_DECODE)
		return decode_config(xdrs, ctx);
	version = cfg ? cfg->version : 0;
	return wire_xdr_u64(xdrs, &version) && wire_xdr_str(xdrs, ctx, &text);
}
