#include "front/fr-delegate.h"

#include <string.h>

/*
 * Marks a request that another VM hands over, and the reply to it. The value of
 * a request has numbers: the version of the configuration, the time since
 * the first VM received it and the round trip to the caller, both in
 * microseconds, the upstreams that may be tried per part, the identity of the
 * organisation, and, if not 0, the time for which the request was not read.
 */
#define HOP_FIELD GB_STR("gentianbend-hop")

/* Fields that concern one connection only, or the framing. */
static bool is_of_connection(struct gb_str name)
{
	static const struct gb_str names[] = {
		GB_STR_INIT("connection"),
		GB_STR_INIT("content-length"),
		GB_STR_INIT("transfer-encoding"),
		GB_STR_INIT("keep-alive"),
		GB_STR_INIT("expect"),
		GB_STR_INIT("te"),
		GB_STR_INIT("trailer"),
		GB_STR_INIT("upgrade"),
	};

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		if (gb_str_eq(name, names[i]))
			return true;
	return gb_str_eq(name, HOP_FIELD);
}

static void add_field(struct gb_str name, struct gb_str value,
		      struct gb_buf *out)
{
	gb_buf_add(out, name);
	gb_buf_add(out, GB_STR(": "));
	gb_buf_add(out, value);
	gb_buf_add(out, GB_STR("\r\n"));
}

void fr_hop_write(const struct fr_hop *hop, const struct ht_request *request,
		  struct gb_buf *out)
{
	ht_request_add_line(request, out);
	for (size_t i = 0; i < request->fields_len; i++) {
		const struct ht_field *field = &request->fields[i];

		if (!is_of_connection(field->name) &&
		    !ht_request_is_connection_option(request, field->name))
			add_field(field->name, field->value, out);
	}
	gb_buf_add(out, HOP_FIELD);
	gb_buf_addf(out, ": %lld %lld %lld %lld %lld",
		    (long long)hop->config_version, (long long)hop->elapsed,
		    (long long)hop->rtt, (long long)hop->attempts_max,
		    (long long)hop->organisation);
	if (hop->unread_max)
		gb_buf_addf(out, " %lld", (long long)hop->unread_max);
	gb_buf_addf(out, "\r\ncontent-length: %zu\r\n\r\n", request->body.len);
	gb_buf_add(out, gb_buf_str(&request->body));
}

/* Reads the value; returns false if it is malformed. */
static bool parse(struct gb_str value, struct fr_hop *hop)
{
	struct gb_str version, elapsed, rtt, attempts, organisation;
	struct gb_str unread = GB_STR("0");
	int64_t org;

	if (!gb_str_cut(&value, ' ', &version) ||
	    !gb_str_cut(&value, ' ', &elapsed) ||
	    !gb_str_cut(&value, ' ', &rtt) ||
	    !gb_str_cut(&value, ' ', &attempts) ||
	    (gb_str_cut(&value, ' ', &organisation) &&
	     gb_str_cut(&value, ' ', &unread)) ||
	    gb_str_to_int(version, 0, INT64_MAX, &hop->config_version) ||
	    gb_str_to_int(elapsed, 0, INT32_MAX, &hop->elapsed) ||
	    gb_str_to_int(rtt, 0, INT32_MAX, &hop->rtt) ||
	    gb_str_to_int(attempts, 1, INT32_MAX, &hop->attempts_max) ||
	    gb_str_to_int(organisation, INT64_MIN, INT64_MAX, &org) ||
	    gb_str_to_int(unread, 0, INT32_MAX, &hop->unread_max))
		return false;
	hop->organisation = org;
	return true;
}

enum fr_hop_read fr_hop_read(struct ht_request *request, struct fr_hop *hop)
{
	for (size_t i = 0; i < request->fields_len; i++) {
		struct ht_field *field = &request->fields[i];

		if (!gb_str_eq(field->name, HOP_FIELD))
			continue;
		if (!parse(field->value, hop))
			return FR_HOP_BAD;
		/* Upstreams do not get it. */
		request->fields_len--;
		memmove(field, field + 1,
			(request->fields_len - i) * sizeof(*field));
		return FR_HOP_READ;
	}
	return FR_HOP_NONE;
}

void fr_hop_mark_reply(struct gb_buf *fields)
{
	add_field(HOP_FIELD, GB_STR("1"), fields);
}

bool fr_hop_read_reply(const struct ht_response *response,
		       struct gb_buf *fields)
{
	bool marked = false;

	gb_buf_reset(fields);
	for (size_t i = 0; i < response->fields_len; i++) {
		const struct ht_field *field = &response->fields[i];

		marked |= gb_str_eq(field->name, HOP_FIELD);
		if (!is_of_connection(field->name))
			add_field(field->name, field->value, fields);
	}
	return marked;
}
