#include "http/ht-request.h"

#include <glib.h>
#include <string.h>

/* A larger buffer is freed when its request is complete. */
#define BUFFER_KEPT_BYTES_MAX (16 * 1024)

/* How the body of a request is delimited. */
struct framing {
	bool chunked;
	bool has_length;
	int64_t length;
	bool expects_continue;
};

static bool equals_nocase(struct gb_str s, struct gb_str lower)
{
	return s.len == lower.len &&
	       !g_ascii_strncasecmp(s.ptr, lower.ptr, s.len);
}

static void to_lower_case(struct gb_str s)
{
	char *bytes = (char *)s.ptr;

	for (size_t i = 0; i < s.len; i++)
		bytes[i] = g_ascii_tolower(bytes[i]);
}

static int set_content_length(struct framing *framing, struct gb_str value)
{
	int64_t length;

	/* Content-Length has no sign, but gb_str_to_int() accepts one. */
	for (size_t i = 0; i < value.len; i++)
		if (!g_ascii_isdigit(value.ptr[i]))
			return -1;
	if (gb_str_to_int(value, 0, INT64_MAX, &length))
		return -1;
	if (framing->has_length && framing->length != length)
		return -1;
	framing->has_length = true;
	framing->length = length;
	return 0;
}

/* Records what one field says about the body and the connection. */
static int parse_framing_field(struct ht_request *request,
			       struct framing *framing,
			       const struct ht_field *field)
{
	if (gb_str_eq(field->name, GB_STR("content-length")))
		return set_content_length(framing, field->value);
	if (gb_str_eq(field->name, GB_STR("transfer-encoding"))) {
		if (framing->chunked ||
		    !equals_nocase(field->value, GB_STR("chunked")))
			return -1;
		framing->chunked = true;
	} else if (gb_str_eq(field->name, GB_STR("connection"))) {
		if (equals_nocase(field->value, GB_STR("close")))
			request->keep_alive = false;
		if (equals_nocase(field->value, GB_STR("keep-alive")))
			request->keep_alive = true;
	} else if (gb_str_eq(field->name, GB_STR("expect"))) {
		framing->expects_continue =
			equals_nocase(field->value, GB_STR("100-continue"));
	}
	return 0;
}

/* Returns the size of the head, -1 if it is malformed, -2 if incomplete. */
static int parse_head(struct ht_reader *reader, struct ht_request *request,
		      struct framing *framing)
{
	struct phr_header headers[HT_FIELDS_MAX];
	size_t len = HT_FIELDS_MAX;
	int minor, size;

	size = phr_parse_request(reader->in.ptr, reader->in.len,
				 &request->method.ptr, &request->method.len,
				 &request->path.ptr, &request->path.len, &minor,
				 headers, &len, reader->parsed);
	if (size < 0)
		return size;
	request->keep_alive = minor >= 1;
	request->fields_len = len;
	for (size_t i = 0; i < len; i++) {
		struct ht_field *f = &request->fields[i];

		/* A folded line continues the field above it. */
		if (!headers[i].name || !headers[i].name_len)
			return -1;
		f->name =
			(struct gb_str){ headers[i].name, headers[i].name_len };
		f->value = (struct gb_str){ headers[i].value,
					    headers[i].value_len };
		to_lower_case(f->name);
		if (parse_framing_field(request, framing, f))
			return -1;
	}
	if (framing->chunked && framing->has_length)
		return -1;
	return size;
}

/* Moves the pointers of a request's strings from one buffer to another. */
static void rebase_strings(struct ht_request *request, const char *from,
			   const char *to)
{
	request->method.ptr = to + (request->method.ptr - from);
	request->path.ptr = to + (request->path.ptr - from);
	for (size_t i = 0; i < request->fields_len; i++) {
		struct ht_field *f = &request->fields[i];

		f->name.ptr = to + (f->name.ptr - from);
		f->value.ptr = to + (f->value.ptr - from);
	}
}

/*
 * Copies head and body to the request, which were parsed and decoded, and
 * removes them from the buffer.
 */
static void consume_request(struct ht_reader *reader,
			    struct ht_request *request, size_t body_size)
{
	struct gb_str in = gb_buf_str(&reader->in);
	size_t head = reader->head_size;
	struct gb_str rest = gb_str_sub(in, head + body_size, in.len);

	request->head = GB_BUF_INIT;
	request->body = GB_BUF_INIT;
	gb_buf_add(&request->head, gb_str_sub(in, 0, head));
	gb_buf_add(&request->body, gb_str_sub(in, head, body_size));
	rebase_strings(request, reader->in.ptr, request->head.ptr);
	if (rest.len)
		memmove(reader->in.ptr, rest.ptr, rest.len);
	*reader = (struct ht_reader){ .in = reader->in };
	reader->in.len = rest.len;
	if (!rest.len && reader->in.cap > BUFFER_KEPT_BYTES_MAX)
		gb_buf_free(&reader->in);
}

static enum ht_read need_more(struct ht_reader *reader)
{
	if (!reader->expects_continue || reader->continue_sent)
		return HT_READ_MORE;
	reader->continue_sent = true;
	return HT_READ_CONTINUE;
}

static enum ht_read read_sized_body(struct ht_reader *reader, size_t body_max)
{
	if (reader->body_size > body_max)
		return HT_READ_BODY_TOO_LARGE;
	if (reader->in.len - reader->head_size < reader->body_size)
		return need_more(reader);
	return HT_READ_REQUEST;
}

/* Decodes what has come since the last call. */
static enum ht_read read_chunked_body(struct ht_reader *reader, size_t body_max)
{
	size_t begin = reader->head_size + reader->decoded;
	size_t received = reader->in.len - begin, len = received;
	ssize_t rest = -2;

	if (received)
		rest = phr_decode_chunked(&reader->decoder,
					  reader->in.ptr + begin, &len);
	if (rest == -1)
		return HT_READ_BAD_REQUEST;
	reader->decoded += len;
	reader->framing_bytes += received - len - MAX(rest, 0);
	reader->in.len = begin + len + MAX(rest, 0);
	if (reader->decoded > body_max ||
	    ht_has_excess_framing(reader->framing_bytes, reader->decoded))
		return HT_READ_BODY_TOO_LARGE;
	return rest == -2 ? need_more(reader) : HT_READ_REQUEST;
}

/* Parses the head; HT_READ_REQUEST says that it is complete. */
static enum ht_read read_head(struct ht_reader *reader, size_t head_max,
			      struct ht_request *request)
{
	struct framing framing = { 0 };
	int head = parse_head(reader, request, &framing);

	if (head == -1)
		return HT_READ_BAD_REQUEST;
	if (head == -2) {
		reader->parsed = reader->in.len;
		return reader->in.len > head_max ? HT_READ_HEAD_TOO_LARGE
						 : HT_READ_MORE;
	}
	if ((size_t)head > head_max)
		return HT_READ_HEAD_TOO_LARGE;
	reader->parsed = 0;
	reader->head_size = head;
	reader->chunked = framing.chunked;
	reader->expects_continue = framing.expects_continue;
	reader->body_size = framing.length;
	reader->decoder.consume_trailer = 1;
	return HT_READ_REQUEST;
}

enum ht_read ht_reader_next(struct ht_reader *reader, size_t head_max,
			    size_t body_max, struct ht_request *request)
{
	bool had_head = reader->head_size != 0;
	struct framing framing = { 0 };
	enum ht_read read;

	if (!reader->in.len)
		return HT_READ_MORE;
	if (!had_head) {
		read = read_head(reader, head_max, request);
		if (read != HT_READ_REQUEST)
			return read;
	}
	read = reader->chunked ? read_chunked_body(reader, body_max)
			       : read_sized_body(reader, body_max);
	if (read != HT_READ_REQUEST)
		return read;
	/* The buffer may have moved since the head was parsed. */
	if (had_head)
		parse_head(reader, request, &framing);
	consume_request(reader, request,
			reader->chunked ? reader->decoded : reader->body_size);
	return HT_READ_REQUEST;
}

void ht_reader_free(struct ht_reader *reader)
{
	gb_buf_free(&reader->in);
	*reader = (struct ht_reader){ 0 };
}

struct gb_str ht_request_field(const struct ht_request *request,
			       struct gb_str name)
{
	for (size_t i = 0; i < request->fields_len; i++)
		if (gb_str_eq(request->fields[i].name, name))
			return request->fields[i].value;
	return GB_STR("");
}

bool ht_request_is_connection_option(const struct ht_request *request,
				     struct gb_str name)
{
	struct gb_str rest = ht_request_field(request, GB_STR("connection"));
	struct gb_str item;
	bool more = rest.len > 0;

	while (more) {
		more = gb_str_cut(&rest, ',', &item);
		item = gb_str_trim(item);
		if (item.len == name.len &&
		    !g_ascii_strncasecmp(item.ptr, name.ptr, name.len))
			return true;
	}
	return false;
}

void ht_request_add_line(const struct ht_request *request, struct gb_buf *out)
{
	gb_buf_add(out, request->method);
	gb_buf_addc(out, ' ');
	gb_buf_add(out, request->path);
	gb_buf_add(out, GB_STR(" HTTP/1.1\r\n"));
}

struct gb_str ht_reason_phrase(int status)
{
	static const struct {
		int status;
		struct gb_str name;
	} rows[] = {
		{ 200, GB_STR_INIT("OK") },
		{ 400, GB_STR_INIT("Bad Request") },
		{ 404, GB_STR_INIT("Not Found") },
		{ 408, GB_STR_INIT("Request Timeout") },
		{ 413, GB_STR_INIT("Content Too Large") },
		{ 421, GB_STR_INIT("Misdirected Request") },
		{ 431, GB_STR_INIT("Request Header Fields Too Large") },
		{ 500, GB_STR_INIT("Internal Server Error") },
		{ 502, GB_STR_INIT("Bad Gateway") },
		{ 503, GB_STR_INIT("Service Unavailable") },
		{ 504, GB_STR_INIT("Gateway Timeout") },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		if (rows[i].status == status)
			return rows[i].name;
	return GB_STR("Status");
}

void ht_request_clear(struct ht_request *request)
{
	gb_buf_free(&request->head);
	gb_buf_free(&request->body);
}
