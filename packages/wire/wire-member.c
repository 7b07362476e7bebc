#include "wire/wire-member.h"
#include "wire/wire-row.h"

/* The first word; distinguishes membership datagrams from others. */
#define MAGIC 0x67626d32

/*
 * One word holds, from its lowest bits on, the state, the refutations, and the
 * halvings of the processor share.
 */
#define STATE_BITS 2
#define REFUTATION_BITS 24
#define HALVINGS_SHIFT (STATE_BITS + REFUTATION_BITS)
#define LOW_BITS(n) ((1u << (n)) - 1)

static bool_t xdr_row(XDR *xdrs, struct mem_row *row)
{
	uint32_t word = MIN(row->halvings, MEM_HALVINGS_MAX) << HALVINGS_SHIFT |
			MIN(row->refutations, LOW_BITS(REFUTATION_BITS))
				<< STATE_BITS |
			row->state;
	char *address = row->address;

	if (!xdr_bytes(xdrs, &address, &row->address_len, MEM_ADDRESS_MAX) ||
	    !wire_xdr_u64(xdrs, &row->incarnation) ||
	    !wire_xdr_u32(xdrs, &row->dc_hash) || !wire_xdr_u32(xdrs, &word))
		return FALSE;
	row->halvings = word >> HALVINGS_SHIFT;
	row->refutations = word >> STATE_BITS & LOW_BITS(REFUTATION_BITS);
	row->state = word & LOW_BITS(STATE_BITS);
	return row->state <= MEM_DEAD;
}

static bool_t xdr_digest(XDR *xdrs, struct mem_digest *digest)
{
	for (uint32_t i = 0; i < MEM_DIGEST_WORDS; i++)
		if (!wire_xdr_u64(xdrs, &digest->word[i]))
			return FALSE;
	return TRUE;
}

static bool_t xdr_message(XDR *xdrs, struct mem_message *message)
{
	uint32_t magic = MAGIC, kind = message->kind;
	bool_t synced = message->synced;

	if (!wire_xdr_u32(xdrs, &magic) || magic != MAGIC ||
	    !wire_xdr_u32(xdrs, &kind) || kind > MEM_ACK ||
	    !wire_xdr_u32(xdrs, &message->live_count) ||
	    !xdr_digest(xdrs, &message->digest) || !xdr_bool(xdrs, &synced) ||
	    !wire_xdr_u32(xdrs, &message->rows_len) ||
	    message->rows_len > MEM_ROWS_MAX)
		return FALSE;
	message->kind = kind;
	message->synced = synced;
	for (uint32_t i = 0; i < message->rows_len; i++)
		if (!xdr_row(xdrs, &message->rows[i]))
			return FALSE;
	return TRUE;
}

void wire_member_encode(const struct mem_message *message, struct gb_buf *out)
{
	char bytes[WIRE_MEMBER_MAX];
	struct mem_message copy = *message;
	XDR xdrs;

	xdrmem_create(&xdrs, bytes, sizeof(bytes), XDR_ENCODE);
	if (xdr_message(&xdrs, &copy))
		gb_buf_add(out, (struct gb_str){ bytes, xdr_getpos(&xdrs) });
	xdr_destroy(&xdrs);
}

int wire_member_decode(struct gb_str bytes, struct mem_message *message)
{
	XDR xdrs;
	int ret;

	/* xdr_message() reads these before it decodes them. */
	message->kind = 0;
	message->synced = false;
	xdrmem_create(&xdrs, (char *)bytes.ptr, bytes.len, XDR_DECODE);
	ret = xdr_message(&xdrs, message) ? 0 : -1;
	xdr_destroy(&xdrs);
	return ret;
}
