#include "fuzz/fz.h"

#include "http/ht-response.h"

#include <glib.h>

/* More than a head, and what one read adds to it. */
#define BUFFERED_BYTES_MAX (256 * 1024)

/* What a response was read as. */
struct outcome {
	enum ht_part end;
	int status;
	size_t fields_len;
	bool keep_alive;
	struct gb_buf body;
};

/* Reads the parts that are complete; returns false once the response ended. */
static bool read_parts(struct ht_response *response, struct outcome *outcome)
{
	for (;;) {
		outcome->end = ht_response_next(response, &outcome->body);
		if (outcome->end != HT_PART_HEAD)
			return outcome->end == HT_PART_MORE;
		outcome->status = response->status;
		outcome->fields_len = response->fields_len;
		outcome->keep_alive = response->keep_alive;
	}
}

static void read_response(struct gb_str bytes, bool split,
			  struct outcome *outcome)
{
	struct gb_rng rng = { .state = gb_hash(bytes, 0) };
	struct ht_response response = { .accept_unframed = true };
	bool more = true;

	while (more && bytes.len) {
		size_t len = split ? fz_split(&rng, bytes.len) : bytes.len;

		ht_response_feed(&response, gb_str_sub(bytes, 0, len));
		bytes = gb_str_sub(bytes, len, bytes.len);
		more = read_parts(&response, outcome);
		fz_check(response.in.len < BUFFERED_BYTES_MAX,
			 "the bytes that are not yet parsed are bounded");
	}
	ht_response_free(&response);
}

void fz_run_response(struct gb_str bytes)
{
	struct outcome whole = { 0 }, parts = { 0 };

	if (bytes.len > BUFFERED_BYTES_MAX / 2)
		return;
	read_response(bytes, false, &whole);
	read_response(bytes, true, &parts);
	fz_check(whole.end == parts.end, "the same end");
	if (whole.end == HT_PART_INVALID)
		goto out;
	fz_check(!whole.status || (whole.status >= 200 && whole.status <= 599),
		 "the status is one of HTTP");
	fz_check(whole.status == parts.status &&
			 whole.fields_len == parts.fields_len &&
			 whole.keep_alive == parts.keep_alive,
		 "the same head");
	fz_check(gb_str_eq(gb_buf_str(&whole.body), gb_buf_str(&parts.body)),
		 "the same body");
out:
	gb_buf_free(&whole.body);
	gb_buf_free(&parts.body);
}
