#include "json/js.h"
#include "json/js-field.h"
#include "json/js-text.h"

#include <inttypes.h>

#define FIELD(member, k, reader, lo, hi, p)                                  \
	{                                                                    \
		.key = GB_STR_INIT(k), .read = reader,                       \
		.offset = offsetof(struct event_members, member), .min = lo, \
		.max = hi, .presence = p                                     \
	}

/* The members of struct ev_event, with code as an integer of fixed size. */
struct event_members {
	uint64_t hlc;
	uint32_t code;
	uint32_t vm;
	struct gb_str request;
	struct gb_str upstream;
	struct gb_str dc;
	int64_t a;
	int64_t b;
};

static const struct js_field fields[] = {
	FIELD(hlc, "hlc", js_read_hex, 0, 0, JS_REQUIRED),
	FIELD(code, "code", js_read_u32, 1, 9999, JS_REQUIRED),
	FIELD(vm, "vm", js_read_u32, 0, UINT32_MAX, JS_REQUIRED),
	FIELD(request, "request", js_read_str, 0, 0, JS_OPTIONAL),
	FIELD(upstream, "upstream", js_read_str, 0, 0, JS_OPTIONAL),
	FIELD(dc, "dc", js_read_str, 0, 0, JS_OPTIONAL),
	FIELD(a, "a", js_read_i64, INT64_MIN, INT64_MAX, JS_REQUIRED),
	FIELD(b, "b", js_read_i64, INT64_MIN, INT64_MAX, JS_REQUIRED),
};

static void put_str_member(struct gb_buf *out, struct gb_str key,
			   struct gb_str value);

/* Appends a string member unless it is empty. */
static void put_str_member(struct gb_buf *out, struct gb_str key,
			   struct gb_str value)
{
	if (!value.len)
		return;
	gb_buf_addc(out, ',');
	js_put_str(out, key);
	gb_buf_addc(out, ':');
	js_put_str(out, value);
}

/* The stamp is hexadecimal, as many JSON readers keep only 53 bits. */
void js_event_encode(const struct ev_event *event, struct gb_buf *out)
{
	gb_buf_addf(out, "{\"hlc\":\"%016" PRIx64 "\",\"code\":%d,\"vm\":%u",
		    event->hlc, (int)event->code, event->vm);
	put_str_member(out, GB_STR("request"), event->request);
	put_str_member(out, GB_STR("upstream"), event->upstream);
	put_str_member(out, GB_STR("dc"), event->dc);
	gb_buf_addf(out, ",\"a\":%" PRId64 ",\"b\":%" PRId64 "}\n", event->num1,
		    event->num2);
}

/* A code without a row in the catalogue is kept: a newer VM may have it. */
int js_event_decode(struct gb_str line, struct ev_event *event,
		    struct gb_error *err)
{
	struct event_members members = { 0 };
	json_t *json = js_parse(line, err);
	int ret = -1;

	if (!json)
		return -1;
	if (js_read_object(json, GB_STR("event"), fields, G_N_ELEMENTS(fields),
			   false, &members, err))
		goto out;
	*event = (struct ev_event){
		.hlc = members.hlc,
		.code = (enum ev_code)members.code,
		.vm = members.vm,
		.request = gb_str_dup(members.request),
		.upstream = gb_str_dup(members.upstream),
		.dc = gb_str_dup(members.dc),
		.num1 = members.a,
		.num2 = members.b,
	};
	ret = 0;

out:
	json_decref(json);
	return ret;
}

void js_event_free(struct ev_event *event)
{
	gb_str_free(&event->request);
	gb_str_free(&event->upstream);
	gb_str_free(&event->dc);
}
