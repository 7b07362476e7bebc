#include "json/js.h"
#include "script/scr.h"
#include "wire/wire.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>

static const char config_text[] =
	"{\"epoch\":4,\"dcs\":[{\"name\":\"a\"}],\"vms\":[],\"services\":[{"
	"\"name\":\"s\",\"policy\":\"coverage\",\"shards\":[{\"replicas\":[{"
	"\"name\":\"r\",\"host\":\"127.0.0.1\",\"port\":9,\"dc\":\"a\"}]}],"
	"\"snapshots\":[{\"id\":3,\"docs\":[7]}]}]}";

static struct msg_sub subs[] = {
	{ .attempt = 51, .shard = 52 },
	{ .attempt = 53, .shard = 54 },
};

static struct msg_sub_result sub_results[] = {
	{ .attempt = 61,
	  .shard = 62,
	  .status = MSG_STATUS_OK,
	  .snapshot = 63,
	  .docs_searched = 64,
	  .queue_wait = 65,
	  .body = { "[1,2,3]", 7 } },
	{ .attempt = 66, .shard = 67, .status = MSG_STATUS_FAILED },
};

static struct msg_suspect suspects[] = { { 160, 161, 162 }, { 163, 164, 165 } };
static struct msg_rollout_row rollout_rows[] = { { 180, 181, true, 183, 182 },
						 { 184, 185, false, 187,
						   186 } };
static struct msg_helper helpers[] = {
	{ { "127.0.0.5:7380", 14 }, 220, 221, 222, 223 },
	{ { "127.0.0.6:7380", 14 }, 224, 225, 226, 227 },
};
static struct msg_warm_upstream warm_items[] = { { 140, 141 }, { 142, 143 } };

static struct gb_str hosts[] = { { "127.0.0.7", 9 }, { "127.0.0.8", 9 } };

/* Each member has a distinct value, so that swapped members are detected. */
static const struct msg samples[MSG_KINDS] = {
	[MSG_HEARTBEAT].heartbeat = { 11,
				      12,
				      13,
				      14,
				      true,
				      false,
				      { { 15, 16, 17, UINT64_MAX } } },
	[MSG_HEARTBEAT_REPLY].heartbeat_reply = { 21,
						  22,
						  23,
						  24,
						  true,
						  { { 25, 26, 27, 28 } },
						  29,
						  30 },
	[MSG_QUERY_BATCH].batch = { .query = 41,
				    .config_version = 42,
				    .request_id = { "r-1", 3 },
				    .service = { "bench-assist", 12 },
				    .snapshot = 43,
				    .fingerprint = 44,
				    .time_left = 45,
				    .order = true,
				    .canary = false,
				    .key = { "1796380000000-abc", 17 },
				    .body = { "{\"q\":\"saw\"}", 11 },
				    .subs = subs,
				    .subs_len = 2 },
	[MSG_RESULT].result = { .query = 60,
				.subs = sub_results,
				.subs_len = 2 },
	[MSG_CANCEL].cancel = { .query = 70 },
	[MSG_VOTE].vote = { { "k1", 2 }, -81, 82, { 83, 84, 85 } },
	[MSG_VOTE_REPLY].vote_reply = { { "k2", 2 },
					{ 91, 92, 93 },
					MSG_VOTE_DONE,
					{ 94, 95, 96 },
					{ "done", 4 } },
	[MSG_RELEASE].release = { { "k3", 2 }, { 101, 102, 103 } },
	[MSG_OUTCOME].outcome = { { "k4", 2 }, { 111, 112, 113 }, { "o", 1 } },
	[MSG_CONFIG_FETCH].config_fetch = { .known_version = 120 },
	[MSG_QUARANTINE].quarantine = { .fingerprint = 130, .crashes = 131 },
	[MSG_SUSPECTS].suspects = { suspects, G_N_ELEMENTS(suspects) },
	[MSG_RUN_END].run_end = { 170, true, 172, 171 },
	[MSG_ROLLOUT_REPORT].rollout_report = { 190, 191, 192, 1, 193,
						rollout_rows,
						G_N_ELEMENTS(rollout_rows) },
	[MSG_ROLLOUT_STEP].rollout_step = { 194, 195, 3 },
	[MSG_QUOTA_REPORT].quota_report = { 200, 201, 202, -203, 204, 208 },
	[MSG_QUOTA_ASK].quota_report = { 209, 210, 211, -212, 213, 214 },
	[MSG_HELPERS].helpers = { helpers, G_N_ELEMENTS(helpers) },
	[MSG_QUOTA_GRANT].quota_grant = { 215, 216, true, 217 },
	[MSG_QUOTA_LEVEL].quota_level = { 205, true, -206, -207 },
	[MSG_LEAVING].leaving = { hosts, G_N_ELEMENTS(hosts) },
	[MSG_JOIN].join = { 150,
			    { "vm-9", 4 },
			    { "127.0.0.9", 9 },
			    151,
			    152,
			    { "dc-a", 4 } },
	[MSG_WARM].warm = { .upstreams = warm_items,
			    .upstreams_len = G_N_ELEMENTS(warm_items) },
};

static void *open_ctx(void);
static void close_ctx(void *ctx);
static enum msg_kind kind_of(const struct scr_args *args);
static struct gb_buf record_of(enum msg_kind kind);
static void put_mark(struct gb_buf *out, uint32_t mark);
static struct gb_buf resized(struct gb_str record, size_t len);
static int read_one(struct gb_str bytes, struct msg **msg,
		    struct gb_error *err);
static void put_hex(struct gb_buf *out, struct gb_str bytes);
static void cmd_roundtrip(void *ctx, const struct scr_args *args,
			  struct gb_buf *out);
static void cmd_truncate(void *ctx, const struct scr_args *args,
			 struct gb_buf *out);
static void cmd_mutate(void *ctx, const struct scr_args *args,
		       struct gb_buf *out);
static void cmd_fragments(void *ctx, const struct scr_args *args,
			  struct gb_buf *out);
static void cmd_hex(void *ctx, const struct scr_args *args, struct gb_buf *out);
static void cmd_limits(void *ctx, const struct scr_args *args,
		       struct gb_buf *out);

static const struct scr_command commands[] = {
	{ .name = GB_STR_INIT("roundtrip"), .run = cmd_roundtrip },
	{ .name = GB_STR_INIT("truncate"), .run = cmd_truncate },
	{ .name = GB_STR_INIT("mutate"), .run = cmd_mutate },
	{ .name = GB_STR_INIT("fragments"), .run = cmd_fragments },
	{ .name = GB_STR_INIT("hex"), .run = cmd_hex },
	{ .name = GB_STR_INIT("limits"), .run = cmd_limits },
};

static void *open_ctx(void)
{
	return NULL;
}

static void close_ctx(void *ctx)
{
	(void)ctx;
}

static enum msg_kind kind_of(const struct scr_args *args)
{
	for (int i = 0; i < MSG_KINDS; i++)
		if (gb_str_eq(msg_kind_name(i), scr_word(args, 0)))
			return i;
	g_error("unknown kind");
}

/* Returns the record of the sample of a kind. */
static struct gb_buf record_of(enum msg_kind kind)
{
	struct gb_buf out = GB_BUF_INIT;
	struct msg msg = samples[kind];

	msg.kind = kind;
	msg.from = 3;
	msg.hlc = 0x018f00000000002a;
	if (kind == MSG_CONFIG) {
		msg.config.cfg =
			js_config_decode(gb_str_from_c(config_text), NULL);
		msg.config.cfg->version = 140;
	}
	g_assert_cmpint(wire_encode(&msg, &out), ==, 0);
	if (kind == MSG_CONFIG)
		cfg_unref(msg.config.cfg);
	return out;
}

static void put_mark(struct gb_buf *out, uint32_t mark)
{
	mark = htonl(mark);
	gb_buf_add(out, (struct gb_str){ (char *)&mark, sizeof(mark) });
}

/* Returns a record cut to len bytes, or padded with zeros to len bytes. */
static struct gb_buf resized(struct gb_str record, size_t len)
{
	struct gb_buf out = GB_BUF_INIT;

	put_mark(&out, 0x80000000u | len);
	gb_buf_add(&out, gb_str_sub(record, 4, len));
	while (out.len < len + 4)
		gb_buf_addc(&out, '\0');
	return out;
}

static int read_one(struct gb_str bytes, struct msg **msg, struct gb_error *err)
{
	struct wire_reader reader = { 0 };
	int ret;

	wire_reader_feed(&reader, bytes);
	ret = wire_reader_next(&reader, msg, err);
	wire_reader_free(&reader);
	return ret;
}

/* Prints bytes in hexadecimal, in words of four bytes. */
static void put_hex(struct gb_buf *out, struct gb_str bytes)
{
	for (size_t i = 0; i < bytes.len; i++)
		gb_buf_addf(out, "%s%02x", i % 4 ? "" : " ",
			    (unsigned char)bytes.ptr[i]);
	gb_buf_addc(out, '\n');
}

/*
 * Guards against members that are not encoded and against a change of the
 * format: the whole record is printed, and a decoded message must be encoded to
 * the same record.
 */
static void cmd_roundtrip(void *ctx, const struct scr_args *args,
			  struct gb_buf *out)
{
	struct gb_buf record = record_of(kind_of(args));
	struct gb_buf encoded = GB_BUF_INIT;
	struct gb_error err = { 0 };
	struct msg *msg;

	(void)ctx;
	g_assert_cmpint(read_one(gb_buf_str(&record), &msg, &err), ==, 1);
	g_assert_cmpint(msg->kind, ==, kind_of(args));
	wire_encode(msg, &encoded);
	g_assert_true(gb_str_eq(gb_buf_str(&record), gb_buf_str(&encoded)));
	gb_buf_addf(out, "%zu bytes:", record.len);
	put_hex(out, gb_buf_str(&record));
	msg_free(msg);
	gb_buf_free(&encoded);
	gb_buf_free(&record);
}

/*
 * Guards against reading past the end. After each prefix of a record the reader
 * must wait for more bytes; a complete record of that length must be refused,
 * as must one with four bytes too many.
 */
static void cmd_truncate(void *ctx, const struct scr_args *args,
			 struct gb_buf *out)
{
	struct gb_buf record = record_of(kind_of(args));
	int bad = 0;

	(void)ctx;
	for (size_t len = 0; len <= record.len; len++) {
		size_t size = len < record.len - 4 ? len : record.len;
		struct gb_buf cut = resized(gb_buf_str(&record), size);
		struct gb_str head = gb_str_sub(gb_buf_str(&record), 0, len);
		struct gb_error err = { 0 };
		struct msg *msg;

		if (len < record.len)
			bad += read_one(head, &msg, &err) != 0;
		bad += read_one(gb_buf_str(&cut), &msg, &err) != -1 ||
		       err.code == GB_OK;
		gb_buf_free(&cut);
	}
	gb_buf_addf(out, "%d bad\n", bad);
	gb_buf_free(&record);
}

/*
 * Guards against crashes on damaged records, refusals without an error code,
 * and accepted messages that cannot be encoded again.
 */
static void cmd_mutate(void *ctx, const struct scr_args *args,
		       struct gb_buf *out)
{
	struct gb_rng rng = { .state = scr_int(args, GB_STR("seed"), 1) };
	struct gb_buf record = record_of(kind_of(args));
	int without_code = 0, not_encoded = 0;

	(void)ctx;
	for (int64_t i = scr_int(args, GB_STR("count"), 5000); i; i--) {
		struct gb_str bytes = gb_str_dup(gb_buf_str(&record));
		struct gb_buf encoded = GB_BUF_INIT;
		struct gb_error err = { 0 };
		struct msg *msg;
		int ret;

		for (int k = gb_rng_below(&rng, 4); k >= 0; k--)
			((char *)bytes.ptr)[gb_rng_below(&rng, bytes.len)] =
				gb_rng_below(&rng, 2)
					? (int)gb_rng_below(&rng, 256)
					: (int)gb_rng_below(&rng, 4) - 2;
		ret = read_one(bytes, &msg, &err);
		without_code += ret < 0 && err.code == GB_OK;
		if (ret == 1) {
			not_encoded += wire_encode(msg, &encoded) != 0;
			msg_free(msg);
		}
		gb_buf_free(&encoded);
		gb_str_free(&bytes);
	}
	gb_buf_addf(out, "%d without code, %d not encoded\n", without_code,
		    not_encoded);
	gb_buf_free(&record);
}

/*
 * Guards against fragments joined wrongly: splits records into fragments and
 * feeds them to a reader a few bytes at a time.
 */
static void cmd_fragments(void *ctx, const struct scr_args *args,
			  struct gb_buf *out)
{
	struct gb_buf record = record_of(kind_of(args));
	struct gb_buf stream = GB_BUF_INIT;
	struct wire_reader reader = { 0 };
	size_t size = scr_int(args, GB_STR("size"), 1);
	size_t feed = scr_int(args, GB_STR("feed"), 1);
	int64_t records = scr_int(args, GB_STR("records"), 3);
	int got = 0, same = 0;

	(void)ctx;
	for (int64_t i = 0; i < records; i++) {
		for (size_t at = 4; at < record.len; at += size) {
			struct gb_str part =
				gb_str_sub(gb_buf_str(&record), at, size);
			bool last = at + size >= record.len;

			put_mark(&stream, part.len | (uint32_t)last << 31);
			gb_buf_add(&stream, part);
		}
	}
	for (size_t at = 0; at < stream.len; at += feed) {
		struct gb_error err = { 0 };
		struct msg *msg;

		wire_reader_feed(&reader,
				 gb_str_sub(gb_buf_str(&stream), at, feed));
		while (wire_reader_next(&reader, &msg, &err) > 0) {
			struct gb_buf encoded = GB_BUF_INIT;

			wire_encode(msg, &encoded);
			same += gb_str_eq(gb_buf_str(&encoded),
					  gb_buf_str(&record));
			got++;
			gb_buf_free(&encoded);
			msg_free(msg);
		}
		g_assert_cmpint(err.code, ==, GB_OK);
	}
	gb_buf_addf(out, "%d records, %d as sent\n", got, same);
	wire_reader_free(&reader);
	gb_buf_free(&stream);
	gb_buf_free(&record);
}

/* Reads a record from bytes given as hexadecimal words. */
static void cmd_hex(void *ctx, const struct scr_args *args, struct gb_buf *out)
{
	struct gb_buf bytes = GB_BUF_INIT;
	struct gb_error err = { 0 };
	struct msg *msg;
	int ret;

	(void)ctx;
	for (size_t i = 0; i < args->len; i++)
		for (size_t k = 0; k + 1 < args->word[i].len; k += 2)
			gb_buf_addc(&bytes,
				    g_ascii_xdigit_value(args->word[i].ptr[k])
						    << 4 |
					    g_ascii_xdigit_value(
						    args->word[i].ptr[k + 1]));
	ret = read_one(gb_buf_str(&bytes), &msg, &err);
	gb_buf_addf(out, "%d ", ret);
	if (ret > 0) {
		gb_buf_add(out, msg_kind_name(msg->kind));
		msg_free(msg);
	} else if (ret < 0) {
		gb_buf_add(out, gb_code_name(err.code));
		gb_buf_addf(out, " %.*s", (int)err.subject_len, err.subject);
	}
	gb_buf_addc(out, '\n');
	gb_buf_free(&bytes);
}

/* Guards against an encoder or a reader that exceeds the size limit. */
static void cmd_limits(void *ctx, const struct scr_args *args,
		       struct gb_buf *out)
{
	struct msg msg = { .kind = MSG_OUTCOME };
	struct wire_reader reader = { 0 };
	struct gb_error err = { 0 };
	struct gb_buf buf = GB_BUF_INIT;
	char *body = g_malloc0(WIRE_RECORD_MAX);
	struct msg *back;

	(void)ctx;
	(void)args;
	msg.outcome.outcome = (struct gb_str){ body, WIRE_RECORD_MAX };
	gb_buf_addf(out, "too large: %d", wire_encode(&msg, &buf));
	gb_buf_addf(out, ", %zu appended\n", buf.len);
	msg.outcome.outcome.len = WIRE_RECORD_MAX - 80;
	gb_buf_addf(out, "just fits: %d", wire_encode(&msg, &buf));
	gb_buf_addf(out, ", %zu bytes", buf.len);
	gb_buf_addf(out, ", read %d\n",
		    read_one(gb_buf_str(&buf), &back, &err));
	msg_free(back);
	msg = (struct msg){ .kind = MSG_VOTE_REPLY };
	msg.vote_reply.status = MSG_VOTE_STATUSES;
	gb_buf_addf(out, "bad status: %d\n", wire_encode(&msg, &buf));
	msg.kind = MSG_KINDS;
	gb_buf_addf(out, "bad kind: %d\n", wire_encode(&msg, &buf));
	while (!wire_reader_next(&reader, &back, &err))
		wire_reader_feed(&reader, (struct gb_str){ body, 65536 });
	gb_buf_add(out, GB_STR("empty fragments: "));
	gb_buf_add(out, gb_code_name(err.code));
	gb_buf_addf(out, " after %zu bytes\n", reader.buf.len);
	wire_reader_free(&reader);
	gb_buf_free(&buf);
	g_free(body);
}

int main(int argc, char **argv)
{
	const struct scr_suite suite = {
		.name = "wire",
		.folder = "packages/wire/tests",
		.commands = commands,
		.commands_len = G_N_ELEMENTS(commands),
		.context_new = open_ctx,
		.context_free = close_ctx,
	};

	return scr_main(argc, argv, &suite);
}
