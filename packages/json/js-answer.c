#include "json/js.h"
#include "json/js-text.h"

#include <string.h>

static const struct gb_str reasons[] = {
	[ND_DEGRADED_TIMEOUT] = GB_STR_INIT("\"timeout\""),
	[ND_DEGRADED_OVERLOAD] = GB_STR_INIT("\"overload\""),
	[ND_DEGRADED_UNAVAILABLE] = GB_STR_INIT("\"unavailable\""),
	[ND_DEGRADED_SNAPSHOT] = GB_STR_INIT("\"snapshot\""),
	[ND_DEGRADED_FAILED] = GB_STR_INIT("\"failed\""),
};

static struct gb_str trim(struct gb_str s);
static bool is_array(struct gb_str body);
static bool has_single_value(const struct nd_answer *answer);
static bool are_bodies_valid(const struct nd_answer *answer, bool single_value);
static void put_coverage(const struct nd_answer *answer, struct gb_buf *out);
static void put_common_members(const struct nd_answer *answer,
			       struct gb_buf *out);
static void put_results(const struct nd_answer *answer, struct gb_buf *out);
static void put_error_members(const struct gb_error *err, struct gb_buf *out);
static void put_refusal(struct gb_str id, enum gb_code code,
			struct gb_buf *out);

/* Removes JSON's white space only; gb_str_trim() removes more. */
static struct gb_str trim(struct gb_str s)
{
	const char *space = " \t\r\n";

	while (s.len && memchr(space, s.ptr[0], 4))
		s = gb_str_sub(s, 1, s.len);
	while (s.len && memchr(space, s.ptr[s.len - 1], 4))
		s.len--;
	return s;
}

/* Checks the first byte only; js_validate() checks the rest. */
static bool is_array(struct gb_str body)
{
	body = trim(body);
	return body.len && body.ptr[0] == '[';
}

bool js_validate_body(struct gb_str body, bool order)
{
	if (order)
		return !body.len || js_validate(body);
	return js_validate(body) && is_array(body);
}

/* Tells whether the body is passed on unchanged as "result". */
static bool has_single_value(const struct nd_answer *answer)
{
	return answer->order ||
	       (answer->bodies_len == 1 && trim(answer->bodies[0]).len &&
		!is_array(answer->bodies[0]));
}

static bool are_bodies_valid(const struct nd_answer *answer, bool single_value)
{
	for (uint32_t i = 0; i < answer->bodies_len; i++)
		if (!js_validate_body(answer->bodies[i], single_value))
			return false;
	return true;
}

/*
 * Appends the coverage with six decimals, rounded down: rounding up would
 * report documents that were not searched.
 */
static void put_coverage(const struct nd_answer *answer, struct gb_buf *out)
{
	uint32_t millionths;
	char text[] = "0.000000";
	size_t len = sizeof(text) - 1;

	if (answer->docs_searched >= answer->docs_total) {
		gb_buf_addc(out, '1');
		return;
	}
	millionths = (unsigned __int128)answer->docs_searched * 1000000 /
		     answer->docs_total;
	for (size_t i = len - 1; i > 1; i--, millionths /= 10)
		text[i] = '0' + millionths % 10;
	while (text[len - 1] == '0' && len > 1)
		len--;
	if (text[len - 1] == '.')
		len--;
	gb_buf_add(out, (struct gb_str){ .ptr = text, .len = len });
}

static void put_common_members(const struct nd_answer *answer,
			       struct gb_buf *out)
{
	gb_buf_add(out, GB_STR("{\"request\":"));
	js_put_str(out, answer->id);
	gb_buf_add(out, GB_STR(",\"status\":\"ok\",\"snapshot\":"));
	js_put_u64(out, answer->snapshot);
	gb_buf_add(out, GB_STR(",\"coverage\":"));
	put_coverage(answer, out);
	gb_buf_add(out, GB_STR(",\"documents\":{\"searched\":"));
	js_put_u64(out, answer->docs_searched);
	gb_buf_add(out, GB_STR(",\"total\":"));
	js_put_u64(out, answer->docs_total);
	gb_buf_add(out, GB_STR("},\"degraded\":"));
	if (answer->degraded_reason &&
	    answer->degraded_reason < G_N_ELEMENTS(reasons))
		gb_buf_add(out, reasons[answer->degraded_reason]);
	else
		gb_buf_add(out, GB_STR("null"));
	gb_buf_add(out, GB_STR(",\"elapsed_us\":"));
	js_put_u64(out, MAX(answer->elapsed, 0));
	gb_buf_add(out, GB_STR(",\"sub_requests\":"));
	js_put_u64(out, answer->sub_requests);
	gb_buf_add(out, GB_STR(",\"replayed\":"));
	gb_buf_add(out, answer->replayed ? GB_STR("true") : GB_STR("false"));
}

/* Appends one array with the elements of all bodies, which are arrays. */
static void put_results(const struct nd_answer *answer, struct gb_buf *out)
{
	bool first = true;

	gb_buf_add(out, GB_STR(",\"results\":["));
	for (uint32_t i = 0; i < answer->bodies_len; i++) {
		struct gb_str body = trim(answer->bodies[i]);
		struct gb_str items = trim(gb_str_sub(body, 1, body.len - 2));

		if (!items.len)
			continue;
		if (!first)
			gb_buf_addc(out, ',');
		gb_buf_add(out, items);
		first = false;
	}
	gb_buf_add(out, GB_STR("]}"));
}

static void put_error_members(const struct gb_error *err, struct gb_buf *out)
{
	struct gb_buf text = GB_BUF_INIT;

	gb_error_text(err, &text);
	gb_buf_add(out, GB_STR("\"status\":"));
	js_put_str(out, gb_code_name(err->code));
	gb_buf_add(out, GB_STR(",\"message\":"));
	js_put_str(out, gb_buf_str(&text));
	gb_buf_free(&text);
}

void js_error_encode(const struct gb_error *err, struct gb_buf *out)
{
	gb_buf_addc(out, '{');
	put_error_members(err, out);
	gb_buf_addc(out, '}');
}

static void put_refusal(struct gb_str id, enum gb_code code, struct gb_buf *out)
{
	struct gb_error err = { .code = code };

	gb_buf_add(out, GB_STR("{\"request\":"));
	js_put_str(out, id);
	gb_buf_addc(out, ',');
	put_error_members(&err, out);
	gb_buf_addc(out, '}');
}

int js_answer_encode(const struct nd_answer *answer, struct gb_buf *out)
{
	bool single_value = has_single_value(answer);

	if (answer->code != GB_OK) {
		put_refusal(answer->id, answer->code, out);
		return 0;
	}
	if (!are_bodies_valid(answer, single_value)) {
		put_refusal(answer->id,
			    answer->order ? GB_ERR_UNKNOWN_OUTCOME : GB_ERR_IO,
			    out);
		return -1;
	}
	put_common_members(answer, out);
	if (!single_value) {
		put_results(answer, out);
		return 0;
	}
	gb_buf_add(out, GB_STR(",\"result\":"));
	if (answer->bodies_len && answer->bodies[0].len)
		gb_buf_add(out, answer->bodies[0]);
	else
		gb_buf_add(out, GB_STR("null"));
	gb_buf_addc(out, '}');
	return 0;
}
