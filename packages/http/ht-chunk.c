#include "http/ht-parser.h"

/*
 * A fixed number of bytes for chunk extensions and trailers, and for each byte
 * of the body as many as a chunk of one byte needs, with some room.
 */
#define FRAMING_BYTES_FIXED_MAX (64 * 1024)
#define FRAMING_BYTES_PER_BODY_BYTE 8

bool ht_has_excess_framing(size_t framing_bytes, size_t body_bytes)
{
	return framing_bytes > FRAMING_BYTES_FIXED_MAX +
				       FRAMING_BYTES_PER_BODY_BYTE * body_bytes;
}
