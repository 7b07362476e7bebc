#include "settings/set-address.h"
#include "settings/set-option.h"

#include <inttypes.h>

#define OPTION_FIELD(type, option, settings) \
	((type *)((char *)(settings) + (option)->offset))

static enum gb_code read_real(const struct set_option *option,
			      struct gb_str value, double *out)
{
	if (!gb_str_to_double(value, option->min, option->max, out))
		return GB_OK;
	if (!gb_str_to_double(value, -1e300, 1e300, out))
		return GB_ERR_OUT_OF_RANGE;
	return GB_ERR_WRONG_TYPE;
}

static enum gb_code parse_real(const struct set_option *option,
			       struct gb_str value,
			       struct set_settings *settings)
{
	double number;
	enum gb_code code = read_real(option, value, &number);

	if (code == GB_OK)
		*OPTION_FIELD(double, option, settings) = number;
	return code;
}

static enum gb_code read_time(const struct set_option *option,
			      struct gb_str value, gb_time unit,
			      struct set_settings *settings)
{
	double number;
	enum gb_code code = read_real(option, value, &number);

	if (code == GB_OK)
		*OPTION_FIELD(gb_time, option, settings) = number * unit;
	return code;
}

static enum gb_code parse_real_ms(const struct set_option *option,
				  struct gb_str value,
				  struct set_settings *settings)
{
	return read_time(option, value, GB_MSEC, settings);
}

static enum gb_code parse_real_s(const struct set_option *option,
				 struct gb_str value,
				 struct set_settings *settings)
{
	return read_time(option, value, GB_SEC, settings);
}

static void add_allowed_real(const struct set_option *option,
			     struct gb_buf *out)
{
	gb_buf_addf(out, "%" PRId64 " to %" PRId64 ", also with a fraction",
		    option->min, option->max);
}

static enum gb_code parse_mb(const struct set_option *option,
			     struct gb_str value, struct set_settings *settings)
{
	double number;
	enum gb_code code = read_real(option, value, &number);

	if (code == GB_OK)
		*OPTION_FIELD(size_t, option, settings) = number * 1000 * 1000;
	return code;
}

static void add_allowed_mb(const struct set_option *option, struct gb_buf *out)
{
	gb_buf_addf(out, "%" PRId64 " to %" PRId64 " MB", option->min,
		    option->max);
}

static bool is_endpoint(struct gb_str value)
{
	struct gb_str host;
	uint16_t port;

	return !set_parse_host_port(value, &host, &port);
}

/* An empty value is allowed if no role requires the option. */
static enum gb_code parse_endpoint(const struct set_option *option,
				   struct gb_str value,
				   struct set_settings *settings)
{
	if (value.len ? !is_endpoint(value) : option->required_roles != 0)
		return GB_ERR_WRONG_TYPE;
	set_replace_text(option, value, settings);
	return GB_OK;
}

static enum gb_code parse_endpoints(const struct set_option *option,
				    struct gb_str value,
				    struct set_settings *settings)
{
	struct gb_str rest = value, item;

	while (rest.len) {
		gb_str_cut(&rest, ',', &item);
		if (!is_endpoint(gb_str_trim(item)))
			return GB_ERR_WRONG_TYPE;
	}
	set_replace_text(option, value, settings);
	return GB_OK;
}

static void add_allowed_endpoint(const struct set_option *option,
				 struct gb_buf *out)
{
	(void)option;
	gb_buf_add(out, GB_STR("HOST:PORT, HOST as numbers"));
}

static void add_allowed_endpoints(const struct set_option *option,
				  struct gb_buf *out)
{
	(void)option;
	gb_buf_add(out,
		   GB_STR("HOST:PORT, separated by commas, HOST as numbers"));
}

const struct set_type set_type_real = { .parse = parse_real,
					.add_allowed = add_allowed_real };
const struct set_type set_type_real_ms = { .parse = parse_real_ms,
					   .add_allowed = set_add_allowed_ms };
const struct set_type set_type_real_s = { .parse = parse_real_s,
					  .add_allowed = set_add_allowed_s };
const struct set_type set_type_mb = { .parse = parse_mb,
				      .add_allowed = add_allowed_mb };
const struct set_type set_type_endpoint = { .parse = parse_endpoint,
					    .add_allowed = add_allowed_endpoint,
					    .release = set_release_text };
const struct set_type set_type_endpoints = { .parse = parse_endpoints,
					     .add_allowed =
						     add_allowed_endpoints,
					     .release = set_release_text };
