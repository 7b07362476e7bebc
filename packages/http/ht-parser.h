#ifndef HT_PARSER_H
#define HT_PARSER_H

/*
 * NAME
 *	ht_parser - picohttpparser, the HTTP/1.1 parser that libh2o exports
 *
 * DESCRIPTION
 *	The development package of libh2o has no header for picohttpparser, so
 *	its functions and structures are declared here.
 */

#include "base/gb.h"

#include <sys/types.h>

#define HT_FIELDS_MAX 100

/* One header field; the name is in lower case. */
struct ht_field {
	struct gb_str name;
	struct gb_str value;
};

struct ht_chunked_decoder {
	size_t bytes_left_in_chunk;
	char consume_trailer;
	char hex_count;
	char state;
};

struct phr_header {
	const char *name;
	size_t name_len;
	const char *value;
	size_t value_len;
};

int phr_parse_request(const char *buf, size_t len, const char **method,
		      size_t *method_len, const char **path, size_t *path_len,
		      int *minor_version, struct phr_header *headers,
		      size_t *num_headers, size_t last_len);
int phr_parse_response(const char *buf, size_t len, int *minor_version,
		       int *status, const char **msg, size_t *msg_len,
		       struct phr_header *headers, size_t *num_headers,
		       size_t last_len);
ssize_t phr_decode_chunked(struct ht_chunked_decoder *decoder, char *buf,
			   size_t *size);

/*
 * Tells whether the chunks of a body are framed by so many bytes (chunk sizes,
 * chunk extensions, trailers) that the sender may never end it.
 */
bool ht_has_excess_framing(size_t framing_bytes, size_t body_bytes);

#endif
