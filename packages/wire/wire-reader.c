#include "wire/wire.h"
#include "wire/wire-row.h"

#include <glib.h>
#include <string.h>

#define MARK_SIZE 4 /* bytes of a record mark */
#define LAST_FRAGMENT 0x80000000u

/* A larger buffer is freed when it is empty. */
#define BUFFER_KEPT_BYTES_MAX (64 * 1024)

static uint32_t read_mark(const char *bytes);
static int find_record(struct wire_reader *reader, struct gb_error *err);
static void join_fragments(const struct wire_reader *reader,
			   struct gb_buf *out);
static struct msg *decode_record(struct gb_str record, struct gb_error *err);

void wire_reader_feed(struct wire_reader *reader, struct gb_str bytes)
{
	struct gb_buf *buf = &reader->buf;

	if (reader->consumed) {
		memmove(buf->ptr, buf->ptr + reader->consumed,
			buf->len - reader->consumed);
		buf->len -= reader->consumed;
		reader->consumed = 0;
	}
	if (!buf->len && buf->cap > BUFFER_KEPT_BYTES_MAX)
		gb_buf_free(buf);
	gb_buf_add(buf, bytes);
}

static uint32_t read_mark(const char *bytes)
{
	uint32_t mark;

	memcpy(&mark, bytes, sizeof(mark));
	return ntohl(mark);
}

/*
 * Scans the fragments of a record; returns 1 when the last one is complete.
 * Marks count towards the size limit, so that empty fragments cannot fill the
 * buffer.
 */
static int find_record(struct wire_reader *reader, struct gb_error *err)
{
	size_t available = reader->buf.len - reader->consumed;
	const char *bytes = reader->buf.ptr + reader->consumed;

	while (available - reader->next_mark >= MARK_SIZE) {
		uint32_t mark = read_mark(bytes + reader->next_mark);
		size_t len = mark & ~LAST_FRAGMENT;
		size_t next = reader->next_mark + MARK_SIZE + len;

		if (next > WIRE_RECORD_MAX + MARK_SIZE)
			return gb_fail(err, GB_ERR_TOO_LARGE, GB_STR("record"),
				       next);
		if (next > available)
			return 0;
		reader->next_mark = next;
		reader->payload_size += len;
		if (mark & LAST_FRAGMENT)
			return 1;
	}
	return 0;
}

/* Appends the fragments of a complete record without their marks. */
static void join_fragments(const struct wire_reader *reader, struct gb_buf *out)
{
	struct gb_str rest = { .ptr = reader->buf.ptr + reader->consumed,
			       .len = reader->next_mark };

	while (rest.len) {
		size_t len = read_mark(rest.ptr) & ~LAST_FRAGMENT;

		gb_buf_add(out, gb_str_sub(rest, MARK_SIZE, len));
		rest = gb_str_sub(rest, MARK_SIZE + len, rest.len);
	}
}

static struct msg *decode_record(struct gb_str record, struct gb_error *err)
{
	struct gb_error record_err = { 0 };
	struct msg *msg = g_new0(struct msg, 1);
	struct wire_ctx ctx = { .msg = msg,
				.record_size = record.len,
				.err = &record_err };
	bool_t ok;
	XDR xdrs;

	xdrmem_create(&xdrs, (char *)record.ptr, record.len, XDR_DECODE);
	ok = wire_xdr_record(&xdrs, &ctx);
	if (!ok && record_err.code == GB_OK)
		gb_fail(&record_err, GB_ERR_SYNTAX, msg_kind_name(msg->kind),
			xdr_getpos(&xdrs));
	if (ok && xdr_getpos(&xdrs) != record.len)
		gb_fail(&record_err, GB_ERR_TOO_LARGE, msg_kind_name(msg->kind),
			xdr_getpos(&xdrs));
	xdr_destroy(&xdrs);
	if (record_err.code == GB_OK)
		return msg;
	if (err)
		*err = record_err;
	msg_free(msg);
	return NULL;
}

int wire_reader_next(struct wire_reader *reader, struct msg **msg,
		     struct gb_error *err)
{
	struct gb_str record;
	struct gb_buf joined = GB_BUF_INIT;
	int ret;

	ret = reader->buf.len ? find_record(reader, err) : 0;
	if (ret <= 0)
		return ret;
	record = (struct gb_str){ .ptr = reader->buf.ptr + reader->consumed +
					 MARK_SIZE,
				  .len = reader->payload_size };
	if (reader->next_mark != reader->payload_size + MARK_SIZE) {
		join_fragments(reader, &joined);
		record = gb_buf_str(&joined);
	}
	*msg = decode_record(record, err);
	gb_buf_free(&joined);
	reader->consumed += reader->next_mark;
	reader->next_mark = 0;
	reader->payload_size = 0;
	return *msg ? 1 : -1;
}

void wire_reader_free(struct wire_reader *reader)
{
	gb_buf_free(&reader->buf);
	*reader = (struct wire_reader){ 0 };
}
