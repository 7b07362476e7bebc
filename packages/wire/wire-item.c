#include "wire/wire-row.h"

#include <glib.h>

static size_t bytes_left(XDR *xdrs, const struct wire_ctx *ctx);

/* Returns how many bytes of the record are not decoded yet. */
static size_t bytes_left(XDR *xdrs, const struct wire_ctx *ctx)
{
	return ctx->record_size - MIN(xdr_getpos(xdrs), ctx->record_size);
}

bool_t wire_xdr_bool(XDR *xdrs, bool *value)
{
	uint32_t number = *value;

	if (!wire_xdr_enum(xdrs, &number, 2))
		return FALSE;
	*value = number;
	return TRUE;
}

bool_t wire_xdr_u32(XDR *xdrs, uint32_t *value)
{
	return xdr_uint32_t(xdrs, value);
}

bool_t wire_xdr_u64(XDR *xdrs, uint64_t *value)
{
	return xdr_uint64_t(xdrs, value);
}

bool_t wire_xdr_i64(XDR *xdrs, int64_t *value)
{
	return xdr_int64_t(xdrs, value);
}

bool_t wire_xdr_enum(XDR *xdrs, uint32_t *value, uint32_t end)
{
	return xdr_uint32_t(xdrs, value) && *value < end;
}

bool_t wire_xdr_units(XDR *xdrs, struct msg_units *units)
{
	for (size_t i = 0; i < MSG_UNIT_WORDS; i++)
		if (!wire_xdr_u64(xdrs, &units->word[i]))
			return FALSE;
	return TRUE;
}

bool_t wire_xdr_order_id(XDR *xdrs, struct msg_order_id *order)
{
	return wire_xdr_u32(xdrs, &order->vm) &&
	       wire_xdr_u64(xdrs, &order->incarnation) &&
	       wire_xdr_u64(xdrs, &order->number);
}

bool_t wire_xdr_str(XDR *xdrs, struct wire_ctx *ctx, struct gb_str *s)
{
	uint32_t len = s->len;
	char *bytes;

	if (s->len > UINT32_MAX || !wire_xdr_count(xdrs, ctx, &len, 1))
		return FALSE;
	if (xdrs->x_op == XDR_ENCODE)
		return xdr_opaque(xdrs, (char *)s->ptr, len);
	bytes = g_malloc(len + 1);
	bytes[len] = '\0';
	*s = (struct gb_str){ .ptr = bytes, .len = len };
	return xdr_opaque(xdrs, bytes, len);
}

bool_t wire_xdr_count(XDR *xdrs, struct wire_ctx *ctx, uint32_t *count,
		      size_t min_size)
{
	if (!wire_xdr_u32(xdrs, count))
		return FALSE;
	return xdrs->x_op == XDR_ENCODE ||
	       *count <= bytes_left(xdrs, ctx) / min_size;
}
