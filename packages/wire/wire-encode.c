#include "wire/wire.h"
#include "wire/wire-row.h"

#include <arpa/inet.h>
#include <glib.h>

#define LAST_FRAGMENT 0x80000000u
#define STACK_RECORD_MAX 4096 /* larger records are allocated */

static size_t compute_size(struct wire_ctx *ctx);
static void put_record(struct wire_ctx *ctx, char *bytes, size_t size,
		       struct gb_buf *out);

/* Returns the size of the record; 0 if a value is out of range. */
static size_t compute_size(struct wire_ctx *ctx)
{
	return xdr_sizeof((xdrproc_t)wire_xdr_record, ctx);
}

/* Appends a record mark and the record, which is encoded into bytes first. */
static void put_record(struct wire_ctx *ctx, char *bytes, size_t size,
		       struct gb_buf *out)
{
	uint32_t mark = htonl(LAST_FRAGMENT | size);
	XDR xdrs;

	xdrmem_create(&xdrs, bytes, size, XDR_ENCODE);
	if (!wire_xdr_record(&xdrs, ctx))
		g_error("record of kind %d exceeds its computed size",
			(int)ctx->msg->kind);
	xdr_destroy(&xdrs);
	gb_buf_add(out, (struct gb_str){ .ptr = (char *)&mark,
					 .len = sizeof(mark) });
	gb_buf_add(out, (struct gb_str){ .ptr = bytes, .len = size });
}

int wire_encode(const struct msg *msg, struct gb_buf *out)
{
	struct wire_ctx ctx = { .msg = (struct msg *)msg };
	const struct wire_row *row = wire_row(msg->kind);
	char stack_bytes[STACK_RECORD_MAX];
	char *heap_bytes = NULL;
	size_t size;
	int ret = -1;

	if (!row)
		return -1;
	if (row->prepare)
		row->prepare(&ctx);
	size = compute_size(&ctx);
	if (!size || size > WIRE_RECORD_MAX)
		goto out;
	if (size > sizeof(stack_bytes))
		heap_bytes = g_malloc(size);
	put_record(&ctx, heap_bytes ? heap_bytes : stack_bytes, size, out);
	ret = 0;

out:
	g_free(heap_bytes);
	gb_buf_free(&ctx.config_text);
	return ret;
}
