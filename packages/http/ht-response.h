#ifndef HT_RESPONSE_H
#define HT_RESPONSE_H

/*
 * NAME
 *	ht_response - incremental parser of one HTTP/1.1 response
 *
 * DESCRIPTION
 *	The head and the chunks are parsed by picohttpparser; see ht-parser.h.
 *
 *	A server may send bytes without end that never complete a response. The
 *	number of interim (1xx) responses, the size of the head and of the body,
 *	and the bytes that only frame chunks are bounded; a response that passes
 *	a bound is HT_PART_INVALID.
 */

#include "http/ht-parser.h"

/* A longer body is rejected, so that one response cannot fill the memory. */
#define HT_BODY_BYTES_MAX (8 * 1024 * 1024)

enum ht_part {
	HT_PART_MORE, /* more bytes are needed */
	HT_PART_HEAD, /* the head is complete: status, fields and framing */
	HT_PART_END, /* the response is complete */
	HT_PART_INVALID /* malformed, or its end cannot be determined */
};

struct ht_response {
	struct gb_buf in; /* bytes not yet consumed */
	bool head_parsed;
	bool chunked;
	/* Set by the user of the parser; see ht_response_ends_at_eof(). */
	bool accept_unframed;
	bool unframed; /* no length or chunks; ends with the connection */
	bool keep_alive; /* the connection may be reused */
	uint32_t interim_heads; /* 1xx responses before the head */
	size_t head_size; /* of the parsed head, if still in the buffer */
	size_t body_remaining; /* of a body with Content-Length */
	struct ht_chunked_decoder chunked_decoder;
	size_t chunk_bytes; /* of the body, from chunks */
	size_t framing_bytes; /* chunk sizes, chunk extensions and trailers */
	int status;
	/* Valid until the next call of the parser, for any response. */
	const struct ht_field *fields;
	size_t fields_len;
};

void ht_response_reset(struct ht_response *response);
void ht_response_feed(struct ht_response *response, struct gb_str bytes);

/* Parses the next part; appends the bytes of the body to body. */
enum ht_part ht_response_next(struct ht_response *response,
			      struct gb_buf *body);

/* Checks whether an orderly end of the connection completes the body now. */
bool ht_response_ends_at_eof(const struct ht_response *response);
void ht_response_free(struct ht_response *response);

#endif
