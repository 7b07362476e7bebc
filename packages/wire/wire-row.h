#ifndef WIRE_ROW_H
#define WIRE_ROW_H

/*
 * NAME
 *	wire-row - the table of XDR functions by message kind
 *
 * DESCRIPTION
 *	As usual with XDR, one function both encodes and decodes, by the
 *	operation of the stream. It returns FALSE on failure; msg_free() frees
 *	what it had stored in the message by then.
 */

#include "base/gb.h"
#include "msg/msg.h"

#include <rpc/rpc.h>

/* The state of coding one record. */
struct wire_ctx {
	struct msg *msg; /* not changed while encoding */
	size_t record_size; /* when decoding */
	struct gb_buf config_text; /* JSON text of a configuration to encode */
	struct gb_error *err; /* set by a decoder that can name the cause */
};

struct wire_row {
	bool_t (*xdr)(XDR *xdrs, struct wire_ctx *ctx);
	void (*prepare)(struct wire_ctx *ctx); /* before encoding */
};

/* Returns the row of a kind; NULL if the kind is unknown. */
const struct wire_row *wire_row(uint32_t kind);

/* Codes the call header, the members of struct msg and the body of its kind. */
bool_t wire_xdr_record(XDR *xdrs, struct wire_ctx *ctx);

bool_t wire_xdr_heartbeat(XDR *xdrs, struct wire_ctx *ctx);
bool_t wire_xdr_heartbeat_reply(XDR *xdrs, struct wire_ctx *ctx);
bool_t wire_xdr_batch(XDR *xdrs, struct wire_ctx *ctx);
bool_t wire_xdr_result(XDR *xdrs, struct wire_ctx *ctx);
bool_t wire_xdr_cancel(XDR *xdrs, struct wire_ctx *ctx);
bool_t wire_xdr_vote(XDR *xdrs, struct wire_ctx *ctx);
bool_t wire_xdr_vote_reply(XDR *xdrs, struct wire_ctx *ctx);
bool_t wire_xdr_release(XDR *xdrs, struct wire_ctx *ctx);
bool_t wire_xdr_outcome(XDR *xdrs, struct wire_ctx *ctx);
bool_t wire_xdr_config_fetch(XDR *xdrs, struct wire_ctx *ctx);
bool_t wire_xdr_config(XDR *xdrs, struct wire_ctx *ctx);
bool_t wire_xdr_quarantine(XDR *xdrs, struct wire_ctx *ctx);
bool_t wire_xdr_warm(XDR *xdrs, struct wire_ctx *ctx);
bool_t wire_xdr_join(XDR *xdrs, struct wire_ctx *ctx);
bool_t wire_xdr_leaving(XDR *xdrs, struct wire_ctx *ctx);
bool_t wire_xdr_suspects_ask(XDR *xdrs, struct wire_ctx *ctx);
bool_t wire_xdr_suspects(XDR *xdrs, struct wire_ctx *ctx);
bool_t wire_xdr_run_end(XDR *xdrs, struct wire_ctx *ctx);
bool_t wire_xdr_rollout_report(XDR *xdrs, struct wire_ctx *ctx);
bool_t wire_xdr_rollout_step(XDR *xdrs, struct wire_ctx *ctx);
bool_t wire_xdr_quota_report(XDR *xdrs, struct wire_ctx *ctx);
bool_t wire_xdr_quota_level(XDR *xdrs, struct wire_ctx *ctx);
bool_t wire_xdr_quota_grant(XDR *xdrs, struct wire_ctx *ctx);
bool_t wire_xdr_helpers(XDR *xdrs, struct wire_ctx *ctx);
void wire_prepare_config(struct wire_ctx *ctx);

/* Values. They fail if a decoded value is out of range. */
bool_t wire_xdr_bool(XDR *xdrs, bool *value);
bool_t wire_xdr_u32(XDR *xdrs, uint32_t *value);
bool_t wire_xdr_u64(XDR *xdrs, uint64_t *value);
bool_t wire_xdr_i64(XDR *xdrs, int64_t *value);
bool_t wire_xdr_enum(XDR *xdrs, uint32_t *value, uint32_t end);
bool_t wire_xdr_units(XDR *xdrs, struct msg_units *units);
bool_t wire_xdr_order_id(XDR *xdrs, struct msg_order_id *order);

/* Allocates a decoded string only if its bytes are in the record. */
bool_t wire_xdr_str(XDR *xdrs, struct wire_ctx *ctx, struct gb_str *s);

/*
 * Fails if the rest of the record is too short for a decoded count of elements
 * of at least min_size bytes, so that no memory is allocated for them.
 */
bool_t wire_xdr_count(XDR *xdrs, struct wire_ctx *ctx, uint32_t *count,
		      size_t min_size);

#endif
