#ifndef WIRE_MEMBER_H
#define WIRE_MEMBER_H

/*
 * NAME
 *	wire_member - XDR encoding of membership datagrams
 */

#include "member/mem.h"

/* Bytes of the largest datagram: a header and MEM_ROWS_BYTES_MAX of rows. */
#define WIRE_MEMBER_MAX 1400

/* Appends the encoded message; nothing if a value is out of range. */
void wire_member_encode(const struct mem_message *message, struct gb_buf *out);

/* Returns -1 if the bytes are not a valid message. */
int wire_member_decode(struct gb_str bytes, struct mem_message *message);

#endif
