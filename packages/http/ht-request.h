#ifndef HT_REQUEST_H
#define HT_REQUEST_H

/*
 * NAME
 *	ht_request - reads HTTP/1.1 requests from the bytes of a connection
 *
 * DESCRIPTION
 *	A reader collects bytes until one request is whole, head and body. The
 *	request then owns its bytes; what follows stays in the reader for the
 *	next request. A request whose end two readers could place differently
 *	(a length beside chunks, lengths that differ, folded fields) is bad, so
 *	that no request can be hidden inside another one.
 */

#include "http/ht-parser.h"

enum ht_read {
	HT_READ_MORE, /* more bytes are needed */
	HT_READ_CONTINUE, /* as MORE; the sender waits for "100 Continue" */
	HT_READ_REQUEST, /* one request is whole */
	HT_READ_BAD, /* 400: not a request, or its end is ambiguous */
	HT_READ_HEAD_TOO_LARGE, /* 431 */
	HT_READ_BODY_TOO_LARGE /* 413 */
};

struct ht_request {
	struct gb_buf head; /* owns what the strings below point at */
	struct gb_buf body;
	struct gb_str method;
	struct gb_str path; /* with its query, as it was sent */
	struct ht_field fields[HT_FIELDS_MAX];
	size_t fields_len;
	bool keep; /* the sender would use the connection again */
};

struct ht_reader {
	struct gb_buf in; /* bytes that belong to no whole request yet */
	size_t parsed; /* bytes that held no complete head */
	bool told_continue;
};

/* Takes the next request out of the reader. */
enum ht_read ht_reader_next(struct ht_reader *reader, size_t head_max,
			    size_t body_max, struct ht_request *request);
void ht_reader_free(struct ht_reader *reader);

/* The first field of that name (in lower case); empty if there is none. */
struct gb_str ht_request_field(const struct ht_request *request,
			       struct gb_str name);

/* Appends the name of a status, such as "Not Found". */
struct gb_str ht_status_name(int status);

void ht_request_clear(struct ht_request *request);

#endif
