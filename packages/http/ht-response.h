#ifndef HT_RESPONSE_H
#define HT_RESPONSE_H

/*
 * NAME
 *	ht_response - reads one HTTP/1.1 answer piece by piece
 *
 * DESCRIPTION
 *	The head and the chunks are parsed by the parser that libh2o brings.
 */

#include "http/ht-parser.h"

enum ht_part {
	HT_PART_MORE, /* more bytes are needed */
	HT_PART_HEAD, /* the head is complete: status, fields and framing */
	HT_PART_END, /* the answer is complete */
	HT_PART_BAD /* not an answer, or one whose end cannot be known */
};

struct ht_response {
	struct gb_buf in; /* bytes not yet consumed */
	bool head_done;
	bool chunked;
	bool accept_unframed; /* set by the reader; see ht_response_ends_here */
	bool unframed; /* the body ends with the connection */
	bool keep; /* the connection may carry another exchange */
	size_t head_size; /* still at the front of in */
	size_t left; /* of a body with a length */
	struct ht_chunks chunks;
	int status;
	const struct ht_field *fields; /* until any other call for any answer */
	size_t fields_len;
};

void ht_response_reset(struct ht_response *response);
void ht_response_feed(struct ht_response *response, struct gb_str bytes);

/* Returns what comes next; body bytes are appended to body. */
enum ht_part ht_response_next(struct ht_response *response,
			      struct gb_buf *body);

/* Tells whether an orderly end of the connection now completes the body. */
bool ht_response_ends_here(const struct ht_response *response);
void ht_response_free(struct ht_response *response);

#endif
