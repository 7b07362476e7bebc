#ifndef GD_RESPONSE_H
#define GD_RESPONSE_H

/*
 * NAME
 *	gd_response - reads one HTTP/1.1 answer piece by piece
 *
 * DESCRIPTION
 *	The head and the chunks are parsed by the parser that libh2o brings.
 */

#include "base/gb.h"

enum gd_part {
	GD_PART_MORE, /* more bytes are needed */
	GD_PART_HEAD, /* the head is complete: status, fields and framing */
	GD_PART_END, /* the answer is complete */
	GD_PART_BAD /* not an answer, or one whose end cannot be known */
};

struct gd_field {
	struct gb_str name; /* in lower case */
	struct gb_str value;
};

/* State of the decoder of libh2o, as picohttpparser.h declares it. */
struct gd_chunks {
	size_t left;
	char consume_trailer;
	char hex_count;
	char state;
};

struct gd_response {
	struct gb_buf in; /* bytes not yet consumed */
	bool head_done;
	bool chunked;
	bool keep; /* the connection may carry another exchange */
	size_t head_size; /* still at the front of in */
	size_t left; /* of a body with a length */
	struct gd_chunks chunks;
	int status;
	const struct gd_field *fields; /* until any other call for any answer */
	size_t fields_len;
};

void gd_response_reset(struct gd_response *response);
void gd_response_feed(struct gd_response *response, struct gb_str bytes);

/* Returns what comes next; body bytes are appended to body. */
enum gd_part gd_response_next(struct gd_response *response,
			      struct gb_buf *body);
void gd_response_free(struct gd_response *response);

#endif
