#include "metric/met.h"

#include <inttypes.h>

/* Escapes as the text format of Prometheus says. */
static void add_value(struct gb_str value, struct gb_buf *out)
{
	for (size_t i = 0; i < value.len; i++) {
		char c = value.ptr[i];

		if (c == '\n') {
			gb_buf_add(out, GB_STR("\\n"));
			continue;
		}
		if (c == '\\' || c == '"')
			gb_buf_addc(out, '\\');
		gb_buf_addc(out, c);
	}
}

void met_family(const struct met_family *family, struct gb_buf *out)
{
	int len = family->name.len;

	gb_buf_addf(out, "# HELP %.*s %.*s\n# TYPE %.*s %s\n", len,
		    family->name.ptr, (int)family->help.len, family->help.ptr,
		    len, family->name.ptr,
		    family->is_counter ? "counter" : "gauge");
}

void met_sample(const struct met_family *family, struct gb_str value,
		int64_t number, struct gb_buf *out)
{
	gb_buf_add(out, family->name);
	gb_buf_addc(out, '{');
	gb_buf_add(out, family->label);
	gb_buf_add(out, GB_STR("=\""));
	add_value(value, out);
	gb_buf_addf(out, "\"} %" PRId64 "\n", number);
}
