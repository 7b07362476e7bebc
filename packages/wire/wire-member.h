#ifndef WIRE_MEMBER_H
#define WIRE_MEMBER_H

/*
 * NAME
 *	wire_member - datagrams of the membership, in XDR
 */

#include "member/mem.h"

/* Largest datagram: a header and MEM_ROWS_MAX rows. */
#define WIRE_MEMBER_MAX 1400

/* Appends the encoded message. */
void wire_member_encode(const struct mem_message *message, struct gb_buf *out);

/* Returns -1 for bytes that are no message. */
int wire_member_decode(struct gb_str bytes, struct mem_message *message);

#endif
