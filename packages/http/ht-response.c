#include "http/ht-response.h"
#include "http/ht-parser.h"

#include <glib.h>
#include <string.h>

#define HEAD_BYTES_MAX (64 * 1024)

/* Interim (1xx) responses that may precede one response. */
#define INTERIM_HEADS_MAX 16

/* A larger buffer is freed when its response is complete. */
#define BUFFER_KEPT_BYTES_MAX (16 * 1024)

static enum ht_part parse_head(struct ht_response *response);
static enum ht_part parse_one_head(struct ht_response *response,
				   struct phr_header *headers, size_t *len,
				   int *minor, int *size);
static enum ht_part parse_framing(struct ht_response *response,
				  const struct phr_header *headers);
static int parse_framing_field(struct ht_response *response,
			       const struct ht_field *f, bool *framed);
static void to_lower_case(struct gb_str s);
static void consume(struct gb_buf *buf, size_t len);
static enum ht_part read_sized_body(struct ht_response *response,
				    struct gb_buf *body);
static enum ht_part read_chunked_body(struct ht_response *response,
				      struct gb_buf *body);
static enum ht_part read_unframed_body(struct ht_response *response,
				       struct gb_buf *body);
static bool has_no_body(int status);

/* Shared by all responses, since a head is used as soon as it is parsed. */
static struct ht_field fields[HT_FIELDS_MAX];

static void to_lower_case(struct gb_str s)
{
	char *bytes = (char *)s.ptr;

	for (size_t i = 0; i < s.len; i++)
		bytes[i] = g_ascii_tolower(bytes[i]);
}

static void consume(struct gb_buf *buf, size_t len)
{
	buf->len -= len;
	memmove(buf->ptr, buf->ptr + len, buf->len);
}

static bool has_no_body(int status)
{
	return status == 204 || status == 304;
}

/* Records what one field says about the body and the connection. */
static int parse_framing_field(struct ht_response *response,
			       const struct ht_field *f, bool *framed)
{
	int64_t length;

	if (gb_str_eq(f->name, GB_STR("content-length"))) {
		if (*framed && !response->chunked)
			return -1;
		if (gb_str_to_int(f->value, 0, INT64_MAX, &length))
			return -1;
		response->body_remaining = length;
		*framed = true;
	} else if (gb_str_eq(f->name, GB_STR("transfer-encoding"))) {
		if (f->value.len != 7 ||
		    g_ascii_strncasecmp(f->value.ptr, "chunked", 7))
			return -1;
		response->chunked = true;
		*framed = true;
	} else if (gb_str_eq(f->name, GB_STR("connection"))) {
		response->keep_alive =
			f->value.len == 10 &&
			!g_ascii_strncasecmp(f->value.ptr, "keep-alive", 10);
	}
	return 0;
}

/* HTTP has no other statuses; nothing here asks for 101. */
static bool is_usable_status(int status)
{
	return status >= 100 && status <= 599 && status != 101;
}

/* Parses the head at the start of the buffer, which may be an interim one. */
static enum ht_part parse_one_head(struct ht_response *response,
				   struct phr_header *headers, size_t *len,
				   int *minor, int *size)
{
	const struct gb_buf *in = &response->in;
	const char *text;
	size_t text_len;

	*len = HT_FIELDS_MAX;
	*size = phr_parse_response(in->ptr, in->len, minor, &response->status,
				   &text, &text_len, headers, len, 0);
	if (*size == -2)
		return in->len > HEAD_BYTES_MAX ? HT_PART_INVALID
						: HT_PART_MORE;
	if (*size < 0 || !is_usable_status(response->status))
		return HT_PART_INVALID;
	return HT_PART_HEAD;
}

/*
 * Reads the framing fields. Without Content-Length or chunks the body ends with
 * the connection. A truncated body then looks complete, so only a user who can
 * tell a reset from an orderly end may accept such a response.
 */
static enum ht_part parse_framing(struct ht_response *response,
				  const struct phr_header *headers)
{
	bool framed = false;

	for (size_t i = 0; i < response->fields_len; i++) {
		struct ht_field *f = &fields[i];

		f->name =
			(struct gb_str){ headers[i].name, headers[i].name_len };
		f->value = (struct gb_str){ headers[i].value,
					    headers[i].value_len };
		to_lower_case(f->name);
		if (parse_framing_field(response, f, &framed))
			return HT_PART_INVALID;
	}
	if (response->status == 204 &&
	    (response->chunked || response->body_remaining))
		return HT_PART_INVALID;
	if (has_no_body(response->status)) {
		response->body_remaining = 0;
		response->chunked = false;
	} else if (!framed) {
		if (!response->accept_unframed)
			return HT_PART_INVALID;
		response->unframed = true;
		response->keep_alive = false;
	}
	if (response->body_remaining > HT_BODY_BYTES_MAX)
		return HT_PART_INVALID;
	return HT_PART_HEAD;
}

static enum ht_part parse_head(struct ht_response *response)
{
	struct phr_header headers[HT_FIELDS_MAX];
	int minor, size;
	enum ht_part part;

	for (;;) {
		part = parse_one_head(response, headers, &response->fields_len,
				      &minor, &size);
		if (part != HT_PART_HEAD)
			return part;
		if (response->status >= 200)
			break;
		if (++response->interim_heads > INTERIM_HEADS_MAX)
			return HT_PART_INVALID;
		consume(&response->in, size);
		if (!response->in.len)
			return HT_PART_MORE;
	}
	response->keep_alive = minor >= 1;
	response->fields = fields;
	if (parse_framing(response, headers) == HT_PART_INVALID)
		return HT_PART_INVALID;
	response->chunked_decoder.consume_trailer = 1;
	response->head_parsed = true;
	/* The fields point into the head, which the next call discards. */
	response->head_size = size;
	return HT_PART_HEAD;
}

static enum ht_part read_sized_body(struct ht_response *response,
				    struct gb_buf *body)
{
	struct gb_buf *in = &response->in;
	size_t len = MIN(response->body_remaining, in->len);

	gb_buf_add(body, (struct gb_str){ in->ptr, len });
	consume(in, len);
	response->body_remaining -= len;
	return response->body_remaining ? HT_PART_MORE : HT_PART_END;
}

static enum ht_part read_unframed_body(struct ht_response *response,
				       struct gb_buf *body)
{
	gb_buf_add(body, gb_buf_str(&response->in));
	gb_buf_reset(&response->in);
	return HT_PART_MORE;
}

static enum ht_part read_chunked_body(struct ht_response *response,
				      struct gb_buf *body)
{
	struct gb_buf *in = &response->in;
	size_t len = in->len;
	ssize_t rest;

	if (!len)
		return HT_PART_MORE;
	rest = phr_decode_chunked(&response->chunked_decoder, in->ptr, &len);
	if (rest == -1)
		return HT_PART_INVALID;
	gb_buf_add(body, (struct gb_str){ in->ptr, len });
	response->chunk_bytes += len;
	response->framing_bytes += in->len - len - MAX(rest, 0);
	if (ht_has_excess_framing(response->framing_bytes,
				  response->chunk_bytes))
		return HT_PART_INVALID;
	if (rest == -2) {
		gb_buf_reset(in);
		return HT_PART_MORE;
	}
	/* The decoder moved the surplus behind the decoded bytes. */
	memmove(in->ptr, in->ptr + len, rest);
	in->len = rest;
	return HT_PART_END;
}

void ht_response_reset(struct ht_response *response)
{
	if (response->in.cap > BUFFER_KEPT_BYTES_MAX)
		gb_buf_free(&response->in);
	gb_buf_reset(&response->in);
	response->head_parsed = false;
	response->interim_heads = 0;
	response->head_size = 0;
	response->chunk_bytes = 0;
	response->framing_bytes = 0;
	response->chunked = false;
	response->unframed = false;
	response->body_remaining = 0;
	response->chunked_decoder = (struct ht_chunked_decoder){ 0 };
}

void ht_response_feed(struct ht_response *response, struct gb_str bytes)
{
	gb_buf_add(&response->in, bytes);
}

enum ht_part ht_response_next(struct ht_response *response, struct gb_buf *body)
{
	if (!response->head_parsed)
		return parse_head(response);
	consume(&response->in, response->head_size);
	response->head_size = 0;
	if (response->unframed)
		return read_unframed_body(response, body);
	return response->chunked ? read_chunked_body(response, body)
				 : read_sized_body(response, body);
}

bool ht_response_ends_at_eof(const struct ht_response *response)
{
	return response->head_parsed && response->unframed;
}

void ht_response_free(struct ht_response *response)
{
	gb_buf_free(&response->in);
}
