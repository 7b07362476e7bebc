#include "wire/wire.h"
#include "wire/wire-row.h"

#include <arpa/inet.h>
#include <glib.h>

#define LAST_FRAGMENT 0x80000000u
#define SMALL 4096 /* most records fit and need no allocation */

static size_t record_size(struct wire_body *body);
static void put_record(struct wire_body *body, char *bytes, size_t size,
		       struct gb_buf *out);

/* Returns 0 for a message with a value that no reader accepts. */
static size_t record_size(struct wire_body *body)
{
	return xdr_sizeof((xdrproc_t)wire_xdr_record, body);
}

/* Encodes into bytes and appends them after the record mark. */
static void put_record(struct wire_body *body, char *bytes, size_t size,
		       struct gb_buf *out)
{
	uint32_t mark = htonl(LAST_FRAGMENT | size);
	XDR xdrs;

	xdrmem_create(&xdrs, bytes, size, XDR_ENCODE);
	if (!wire_xdr_record(&xdrs, body))
		g_error("record of kind %d passes its own size",
			(int)body->msg->kind);
	xdr_destroy(&xdrs);
	gb_buf_add(out, (struct gb_str){ .ptr = (char *)&mark,
					 .len = sizeof(mark) });
	gb_buf_add(out, (struct gb_str){ .ptr = bytes, .len = size });
}

int wire_encode(const struct msg *msg, struct gb_buf *out)
{
	struct wire_body body = { .msg = (struct msg *)msg };
	const struct wire_row *row = wire_row(msg->kind);
	char small[SMALL];
	char *large = NULL;
	size_t size;
	int ret = -1;

	if (!row)
		return -1;
	if (row->prepare)
		row->prepare(&body);
	size = record_size(&body);
	if (!size || size > WIRE_RECORD_MAX)
		goto out;
	if (size > sizeof(small))
		large = g_malloc(size);
	put_record(&body, large ? large : small, size, out);
	ret = 0;

out:
	g_free(large);
	gb_buf_free(&body.config);
	return ret;
}
