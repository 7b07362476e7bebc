#ifndef WIRE_ROW_H
#define WIRE_ROW_H

/*
 * NAME
 *	wire-row - the table of XDR functions by message kind
 *
 * DESCRIPTION
 *	As usual with XDR, one function serves both directions; the stream
 *	says which. A function returns FALSE on failure; what it had stored in
 *	the message by then is freed by msg_free().
 */

#include "base/gb.h"
#include "msg/msg.h"

#include <rpc/rpc.h>

struct wire_body {
	struct msg *msg; /* not changed while encoding */
	size_t size; /* of the record, when decoding */
	struct gb_buf config; /* JSON text of a configuration to encode */
	struct gb_error *err; /* set by a decoder that knows more */
};

struct wire_row {
	bool_t (*xdr)(XDR *xdrs, struct wire_body *body);
	void (*prepare)(struct wire_body *body); /* before encoding */
};

/* NULL for a kind outside the table. */
const struct wire_row *wire_row(uint32_t kind);

/* The call header, the common members and the body of any kind. */
bool_t wire_xdr_record(XDR *xdrs, struct wire_body *body);

bool_t wire_xdr_heartbeat(XDR *xdrs, struct wire_body *body);
bool_t wire_xdr_heartbeat_reply(XDR *xdrs, struct wire_body *body);
bool_t wire_xdr_batch(XDR *xdrs, struct wire_body *body);
bool_t wire_xdr_result(XDR *xdrs, struct wire_body *body);
bool_t wire_xdr_cancel(XDR *xdrs, struct wire_body *body);
bool_t wire_xdr_vote(XDR *xdrs, struct wire_body *body);
bool_t wire_xdr_vote_reply(XDR *xdrs, struct wire_body *body);
bool_t wire_xdr_release(XDR *xdrs, struct wire_body *body);
bool_t wire_xdr_outcome(XDR *xdrs, struct wire_body *body);
bool_t wire_xdr_config_fetch(XDR *xdrs, struct wire_body *body);
bool_t wire_xdr_config(XDR *xdrs, struct wire_body *body);
bool_t wire_xdr_quarantine(XDR *xdrs, struct wire_body *body);
bool_t wire_xdr_warm(XDR *xdrs, struct wire_body *body);
bool_t wire_xdr_join(XDR *xdrs, struct wire_body *body);
bool_t wire_xdr_leaving(XDR *xdrs, struct wire_body *body);
void wire_prepare_config(struct wire_body *body);

/* Items. A decoded value outside its range is a failure. */
bool_t wire_xdr_bool(XDR *xdrs, bool *value);
bool_t wire_xdr_u32(XDR *xdrs, uint32_t *value);
bool_t wire_xdr_u64(XDR *xdrs, uint64_t *value);
bool_t wire_xdr_i64(XDR *xdrs, int64_t *value);
bool_t wire_xdr_enum(XDR *xdrs, uint32_t *value, uint32_t end);
bool_t wire_xdr_units(XDR *xdrs, struct msg_units *units);
bool_t wire_xdr_order_id(XDR *xdrs, struct msg_order_id *order);

/* Allocates a decoded string only after it was found to be in the record. */
bool_t wire_xdr_str(XDR *xdrs, struct wire_body *body, struct gb_str *s);

/*
 * A decoded count fails unless as many elements of the least size can follow
 * in the record.
 */
bool_t wire_xdr_count(XDR *xdrs, struct wire_body *body, uint32_t *count,
		      size_t least);

#endif
