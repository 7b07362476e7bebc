#ifndef WIRE_H
#define WIRE_H

/*
 * NAME
 *	wire - encoding of the messages between VMs
 *
 * DESCRIPTION
 *	A message is one ONC RPC call (RFC 5531) with an XDR body (RFC 4506)
 *	and record marking; the procedure number is the message kind. A
 *	configuration travels as JSON text in an opaque field.
 */

#include "base/gb.h"
#include "msg/msg.h"

#define WIRE_PROGRAM 0x20676264 /* in the user-defined range of RFC 5531 */
#define WIRE_VERSION 1
#define WIRE_RECORD_MAX (4 * 1024 * 1024) /* bytes */

/*
 * Appends one whole record. Returns -1 and appends nothing for a message that
 * every reader refuses: one that is larger than WIRE_RECORD_MAX or has a value
 * out of range.
 */
int wire_encode(const struct msg *msg, struct gb_buf *out);

/* Buffers the bytes of one connection and splits them into messages. */
struct wire_reader {
	struct gb_buf buf;
	size_t consumed; /* decoded bytes at the start of buf */
	/* offset of the next fragment's mark from the start of the record */
	size_t next_mark;
	/* bytes in the fragments of the record before that, without marks */
	size_t payload_size;
};

void wire_reader_feed(struct wire_reader *reader, struct gb_str bytes);

/*
 * Returns 1 and a message to be freed with msg_free(), 0 when more bytes are
 * needed, or -1 when the connection must be closed.
 */
int wire_reader_next(struct wire_reader *reader, struct msg **msg,
		     struct gb_error *err);
void wire_reader_free(struct wire_reader *reader);

#endif
