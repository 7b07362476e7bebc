#include "settings/set-address.h"
#include "settings/set-option.h"

#include <glib.h>
#include <inttypes.h>

#define OPTION_FIELD(type, option, settings) \
	((type *)((char *)(settings) + (option)->offset))

static enum gb_code read_number(const struct set_option *option,
				struct gb_str value, int64_t *out);
static enum gb_code parse_u16(const struct set_option *option,
			      struct gb_str value,
			      struct set_settings *settings);
static enum gb_code parse_u32(const struct set_option *option,
			      struct gb_str value,
			      struct set_settings *settings);
static enum gb_code parse_size(const struct set_option *option,
			       struct gb_str value,
			       struct set_settings *settings);
static enum gb_code read_time(const struct set_option *option,
			      struct gb_str value, gb_time unit,
			      struct set_settings *settings);
static enum gb_code parse_ms(const struct set_option *option,
			     struct gb_str value,
			     struct set_settings *settings);
static enum gb_code parse_s(const struct set_option *option,
			    struct gb_str value, struct set_settings *settings);
static void add_allowed_number(const struct set_option *option,
			       struct gb_buf *out);
static enum gb_code parse_name(const struct set_option *option,
			       struct gb_str value,
			       struct set_settings *settings);
static void add_allowed_name(const struct set_option *option,
			     struct gb_buf *out);
static size_t find_choice(const struct set_option *option, struct gb_str value);
static enum gb_code parse_choice(const struct set_option *option,
				 struct gb_str value,
				 struct set_settings *settings);
static void add_allowed_choice(const struct set_option *option,
			       struct gb_buf *out);
static enum gb_code parse_severity(const struct set_option *option,
				   struct gb_str value,
				   struct set_settings *settings);
static enum gb_code parse_address(const struct set_option *option,
				  struct gb_str value,
				  struct set_settings *settings);
static void add_allowed_address(const struct set_option *option,
				struct gb_buf *out);
static enum gb_code parse_seed(struct gb_str text, struct set_peer *peer);
static enum gb_code parse_seeds(const struct set_option *option,
				struct gb_str value,
				struct set_settings *settings);
static void add_allowed_seeds(const struct set_option *option,
			      struct gb_buf *out);
static void release_seeds(const struct set_option *option,
			  struct set_settings *settings);

const struct set_type set_type_u16 = { .parse = parse_u16,
				       .add_allowed = add_allowed_number };
const struct set_type set_type_u32 = { .parse = parse_u32,
				       .add_allowed = add_allowed_number };
const struct set_type set_type_size = { .parse = parse_size,
					.add_allowed = add_allowed_number };
const struct set_type set_type_ms = { .parse = parse_ms,
				      .add_allowed = set_add_allowed_ms };
const struct set_type set_type_s = { .parse = parse_s,
				     .add_allowed = set_add_allowed_s };
const struct set_type set_type_name = { .parse = parse_name,
					.add_allowed = add_allowed_name,
					.release = set_release_text };
const struct set_type set_type_choice = { .parse = parse_choice,
					  .add_allowed = add_allowed_choice,
					  .release = set_release_text };
const struct set_type set_type_address = { .parse = parse_address,
					   .add_allowed = add_allowed_address,
					   .release = set_release_text };
const struct set_type set_type_seeds = { .parse = parse_seeds,
					 .add_allowed = add_allowed_seeds,
					 .release = release_seeds };
const struct set_type set_type_severity = { .parse = parse_severity,
					    .add_allowed = add_allowed_choice };

/* Parses an integer; a value out of range has an error code of its own. */
static enum gb_code read_number(const struct set_option *option,
				struct gb_str value, int64_t *out)
{
	if (!gb_str_to_int(value, option->min, option->max, out))
		return GB_OK;
	if (!gb_str_to_int(value, INT64_MIN, INT64_MAX, out))
		return GB_ERR_OUT_OF_RANGE;
	return GB_ERR_WRONG_TYPE;
}

static enum gb_code parse_u16(const struct set_option *option,
			      struct gb_str value,
			      struct set_settings *settings)
{
	int64_t number;
	enum gb_code code = read_number(option, value, &number);

	if (code == GB_OK)
		*OPTION_FIELD(uint16_t, option, settings) = number;
	return code;
}

static enum gb_code parse_u32(const struct set_option *option,
			      struct gb_str value,
			      struct set_settings *settings)
{
	int64_t number;
	enum gb_code code = read_number(option, value, &number);

	if (code == GB_OK)
		*OPTION_FIELD(uint32_t, option, settings) = number;
	return code;
}

static enum gb_code parse_size(const struct set_option *option,
			       struct gb_str value,
			       struct set_settings *settings)
{
	int64_t number;
	enum gb_code code = read_number(option, value, &number);

	if (code == GB_OK)
		*OPTION_FIELD(size_t, option, settings) = number;
	return code;
}

static enum gb_code read_time(const struct set_option *option,
			      struct gb_str value, gb_time unit,
			      struct set_settings *settings)
{
	int64_t number;
	enum gb_code code = read_number(option, value, &number);

	if (code == GB_OK)
		*OPTION_FIELD(gb_time, option, settings) = number * unit;
	return code;
}

static enum gb_code parse_ms(const struct set_option *option,
			     struct gb_str value, struct set_settings *settings)
{
	return read_time(option, value, GB_MSEC, settings);
}

static enum gb_code parse_s(const struct set_option *option,
			    struct gb_str value, struct set_settings *settings)
{
	return read_time(option, value, GB_SEC, settings);
}

static void add_allowed_number(const struct set_option *option,
			       struct gb_buf *out)
{
	gb_buf_addf(out, "%" PRId64 " to %" PRId64, option->min, option->max);
}

void set_add_allowed_ms(const struct set_option *option, struct gb_buf *out)
{
	add_allowed_number(option, out);
	gb_buf_add(out, GB_STR(" milliseconds"));
}

void set_add_allowed_s(const struct set_option *option, struct gb_buf *out)
{
	add_allowed_number(option, out);
	gb_buf_add(out, GB_STR(" seconds"));
}

void set_replace_text(const struct set_option *option, struct gb_str value,
		      struct set_settings *settings)
{
	set_release_text(option, settings);
	*OPTION_FIELD(struct gb_str, option, settings) = gb_str_dup(value);
}

void set_release_text(const struct set_option *option,
		      struct set_settings *settings)
{
	gb_str_free(OPTION_FIELD(struct gb_str, option, settings));
}

/* Accepts the same names as the configuration does. */
static enum gb_code parse_name(const struct set_option *option,
			       struct gb_str value,
			       struct set_settings *settings)
{
	if (!value.len)
		return GB_ERR_MISSING;
	if (value.len > (size_t)option->max)
		return GB_ERR_TOO_LARGE;
	for (size_t i = 0; i < value.len; i++)
		if (!g_ascii_isgraph(value.ptr[i]) || value.ptr[i] == '"' ||
		    value.ptr[i] == '/')
			return GB_ERR_WRONG_TYPE;
	set_replace_text(option, value, settings);
	return GB_OK;
}

static void add_allowed_name(const struct set_option *option,
			     struct gb_buf *out)
{
	gb_buf_addf(out,
		    "1 to %" PRId64 " printable ASCII characters without "
		    "spaces, quotes and slashes",
		    option->max);
}

static size_t find_choice(const struct set_option *option, struct gb_str value)
{
	size_t i;

	for (i = 0; i < option->choices_len; i++)
		if (gb_str_eq(option->choices[i], value))
			break;
	return i;
}

static enum gb_code parse_choice(const struct set_option *option,
				 struct gb_str value,
				 struct set_settings *settings)
{
	if (find_choice(option, value) == option->choices_len)
		return GB_ERR_OUT_OF_RANGE;
	set_replace_text(option, value, settings);
	return GB_OK;
}

static void add_allowed_choice(const struct set_option *option,
			       struct gb_buf *out)
{
	for (size_t i = 0; i < option->choices_len; i++) {
		if (i)
			gb_buf_add(out, GB_STR(", "));
		gb_buf_add(out, option->choices[i]);
	}
}

/* The choices are ordered like enum ev_severity, which starts at EV_ERROR. */
static enum gb_code parse_severity(const struct set_option *option,
				   struct gb_str value,
				   struct set_settings *settings)
{
	size_t index = find_choice(option, value);

	if (index == option->choices_len)
		return GB_ERR_OUT_OF_RANGE;
	*OPTION_FIELD(int, option, settings) = EV_ERROR + (int)index;
	return GB_OK;
}

static enum gb_code parse_address(const struct set_option *option,
				  struct gb_str value,
				  struct set_settings *settings)
{
	if (!set_is_address(value))
		return GB_ERR_WRONG_TYPE;
	set_replace_text(option, value, settings);
	return GB_OK;
}

static void add_allowed_address(const struct set_option *option,
				struct gb_buf *out)
{
	(void)option;
	gb_buf_add(out, GB_STR("an IPv4 or IPv6 address as numbers"));
}

/* Parses "ID@HOST:PORT"; the host points into text. */
static enum gb_code parse_seed(struct gb_str text, struct set_peer *peer)
{
	struct gb_str id;
	int64_t number;

	if (!gb_str_cut(&text, '@', &id) ||
	    gb_str_to_int(id, 1, UINT32_MAX, &number) ||
	    set_parse_host_port(text, &peer->host, &peer->port))
		return GB_ERR_WRONG_TYPE;
	peer->vm = number;
	return GB_OK;
}

static enum gb_code parse_seeds(const struct set_option *option,
				struct gb_str value,
				struct set_settings *settings)
{
	struct nd_settings *node = &settings->node;
	struct gb_str word;

	release_seeds(option, settings);
	while (value.len) {
		struct set_peer peer;
		enum gb_code code;

		gb_str_cut(&value, ' ', &word);
		word = gb_str_trim(word);
		if (!word.len)
			continue;
		code = parse_seed(word, &peer);
		if (code != GB_OK)
			return code;
		if (node->seeds_len == CFG_VMS_MAX)
			return GB_ERR_TOO_LARGE;
		for (uint32_t i = 0; i < node->seeds_len; i++)
			if (node->seed_vm[i] == peer.vm)
				return GB_ERR_DUPLICATE;
		peer.host = gb_str_dup(peer.host);
		node->seed_vm[node->seeds_len] = peer.vm;
		settings->seeds[node->seeds_len++] = peer;
	}
	return GB_OK;
}

static void add_allowed_seeds(const struct set_option *option,
			      struct gb_buf *out)
{
	(void)option;
	gb_buf_addf(out,
		    "up to %d of ID@HOST:PORT with different IDs, HOST as "
		    "numbers, IPv6 in brackets",
		    CFG_VMS_MAX);
}

static void release_seeds(const struct set_option *option,
			  struct set_settings *settings)
{
	(void)option;
	for (uint32_t i = 0; i < settings->node.seeds_len; i++)
		gb_str_free(&settings->seeds[i].host);
	settings->node.seeds_len = 0;
}
