#ifndef HT_REQUEST_H
#define HT_REQUEST_H

/*
 * NAME
 *	ht_request - incremental parser of HTTP/1.1 requests
 *
 * DESCRIPTION
 *	A reader buffers bytes until one request is complete, head and body. It
 *	looks at each byte of a body once, however small the pieces are.
 *	The request then owns its bytes; those that follow stay in the reader
 *	for the next request. A request whose end two parsers could place
 *	differently (Content-Length together with chunked encoding, lengths
 *	that differ, folded fields) is rejected, to prevent request smuggling.
 */

#include "http/ht-parser.h"

enum ht_read {
	HT_READ_MORE, /* more bytes are needed */
	HT_READ_CONTINUE, /* as MORE; the client waits for "100 Continue" */
	HT_READ_REQUEST, /* one request is complete */
	HT_READ_BAD_REQUEST, /* 400: malformed, or with an ambiguous length */
	HT_READ_HEAD_TOO_LARGE, /* 431 */
	HT_READ_BODY_TOO_LARGE /* 413 */
};

struct ht_request {
	struct gb_buf head; /* storage of the strings below */
	struct gb_buf body;
	struct gb_str method;
	struct gb_str path; /* with its query, as received */
	struct ht_field fields[HT_FIELDS_MAX];
	size_t fields_len;
	bool keep_alive; /* the client may reuse the connection */
};

struct ht_reader {
	/* Bytes not yet consumed by a request; chunks are decoded in place. */
	struct gb_buf in;
	size_t parsed; /* bytes parsed without finding a complete head */
	size_t head_size; /* of a complete head; 0 while it is incomplete */
	/* Valid once the head is complete. */
	bool chunked;
	bool expects_continue;
	bool continue_sent; /* HT_READ_CONTINUE was returned for this request */
	size_t body_size; /* of a body that is not chunked */
	size_t decoded; /* bytes of the body after the head, from chunks */
	size_t framing_bytes; /* chunk sizes, chunk extensions and trailers */
	struct ht_chunked_decoder decoder;
};

/* Parses the next request and removes it from the reader's buffer. */
enum ht_read ht_reader_next(struct ht_reader *reader, size_t head_max,
			    size_t body_max, struct ht_request *request);
void ht_reader_free(struct ht_reader *reader);

/* Returns the first field of that name (in lower case), or "" if missing. */
struct gb_str ht_request_field(const struct ht_request *request,
			       struct gb_str name);

/* Tells whether the Connection field of the request lists the field. */
bool ht_request_is_connection_option(const struct ht_request *request,
				     struct gb_str name);

/* Appends the first line of the request. */
void ht_request_add_line(const struct ht_request *request, struct gb_buf *out);

/* Returns the reason phrase of a status, such as "Not Found". */
struct gb_str ht_reason_phrase(int status);

void ht_request_clear(struct ht_request *request);

#endif
