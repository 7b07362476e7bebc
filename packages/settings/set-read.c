#include "settings/set-option.h"

#include <glib.h>
#include <inttypes.h>
#include <ini.h>
#include <string.h>

/* Longest line that is accepted; CFG_VMS_MAX seeds fit on it. */
#define LINE_MAX_BYTES 8192
#define OPTIONS_MAX 64

/* State of the parser, which passes the text to libinih line by line. */
struct reader {
	struct gb_str rest; /* not yet passed to libinih */
	uint32_t line; /* number of the current line */
	struct gb_str current; /* line last passed to libinih */
	bool handled; /* current held a value or its error is recorded */
	struct set_settings *settings;
	struct set_problems *problems;
	uint32_t first_line[OPTIONS_MAX]; /* of each option; 0: unset */
};

/* A rule that two options, durations in milliseconds, must meet together. */
struct cross_rule {
	struct gb_str section;
	struct gb_str key;
	gb_time (*value)(const struct nd_settings *node);
	bool (*is_valid)(const struct nd_settings *node);
	void (*add_allowed)(const struct nd_settings *node, struct gb_buf *out);
};

static void add_problem(struct reader *reader, enum gb_code code, uint32_t line,
			struct gb_str section, struct gb_str key,
			struct gb_str value, struct gb_str allowed);
static void add_option_problem(struct reader *reader, size_t index,
			       enum gb_code code, uint32_t line,
			       struct gb_str value);
static void add_section_names(struct gb_buf *out);
static void add_key_names(struct gb_str section, struct gb_buf *out);
static void check_section(struct reader *reader, struct gb_str line);
static void check_line(struct reader *reader);
static char *next_line(char *out, int size, void *stream);
static int on_value(void *user, const char *section, const char *name,
		    const char *value);
static void apply_defaults(struct reader *reader);
static void check_required(struct reader *reader);
static gb_time get_lease(const struct nd_settings *node);
static bool is_lease_valid(const struct nd_settings *node);
static void add_allowed_lease(const struct nd_settings *node,
			      struct gb_buf *out);
static gb_time get_drift_margin(const struct nd_settings *node);
static bool is_drift_margin_valid(const struct nd_settings *node);
static void add_allowed_drift_margin(const struct nd_settings *node,
				     struct gb_buf *out);
static gb_time get_suspect_after(const struct nd_settings *node);
static bool is_suspect_after_valid(const struct nd_settings *node);
static void add_allowed_suspect_after(const struct nd_settings *node,
				      struct gb_buf *out);
static void check_cross_rules(struct reader *reader);
static void drop_own_seed(struct set_settings *settings);
static void copy_identity(struct set_settings *settings);
static void copy_front_settings(struct set_settings *settings);
static void parse_text(struct reader *reader);

static const struct cross_rule cross_rules[] = {
	{ .section = { "quorum", 6 },
	  .key = { "lease_ms", 8 },
	  .value = get_lease,
	  .is_valid = is_lease_valid,
	  .add_allowed = add_allowed_lease },
	{ .section = { "quorum", 6 },
	  .key = { "drift_ms", 8 },
	  .value = get_drift_margin,
	  .is_valid = is_drift_margin_valid,
	  .add_allowed = add_allowed_drift_margin },
	{ .section = { "quorum", 6 },
	  .key = { "suspect_ms", 10 },
	  .value = get_suspect_after,
	  .is_valid = is_suspect_after_valid,
	  .add_allowed = add_allowed_suspect_after },
};

static void add_problem(struct reader *reader, enum gb_code code, uint32_t line,
			struct gb_str section, struct gb_str key,
			struct gb_str value, struct gb_str allowed)
{
	struct set_problem problem = {
		.line = line,
		.section = gb_str_dup(section),
		.key = gb_str_dup(key),
		.value = gb_str_dup(value),
		.allowed = gb_str_dup(allowed),
	};

	gb_fail(&problem.error, code, GB_STR(""), 0);
	g_array_append_val(reader->problems->list, problem);
}

static void add_option_problem(struct reader *reader, size_t index,
			       enum gb_code code, uint32_t line,
			       struct gb_str value)
{
	const struct set_option *option;
	struct gb_buf allowed = GB_BUF_INIT;
	size_t len;

	option = &set_options(&len)[index];
	option->type->add_allowed(option, &allowed);
	add_problem(reader, code, line, option->section, option->key, value,
		    gb_buf_str(&allowed));
	gb_buf_free(&allowed);
}

/* Appends the names of all sections. */
static void add_section_names(struct gb_buf *out)
{
	const struct set_option *options;
	struct gb_str last = GB_STR("");
	size_t len;

	options = set_options(&len);
	for (size_t i = 0; i < len; i++) {
		if (gb_str_eq(options[i].section, last))
			continue;
		last = options[i].section;
		gb_buf_addf(out, "%s[%.*s]", out->len ? ", " : "",
			    (int)last.len, last.ptr);
	}
}

/* Appends the names of all keys of a section. */
static void add_key_names(struct gb_str section, struct gb_buf *out)
{
	const struct set_option *options;
	size_t len;

	options = set_options(&len);
	for (size_t i = 0; i < len; i++)
		if (gb_str_eq(options[i].section, section))
			gb_buf_addf(out, "%s%.*s", out->len ? ", " : "",
				    (int)options[i].key.len,
				    options[i].key.ptr);
}

/* Reports an unknown section once, at its header and not for each key. */
static void check_section(struct reader *reader, struct gb_str line)
{
	struct gb_str rest = gb_str_sub(line, 1, line.len);
	struct gb_buf allowed = GB_BUF_INIT;
	struct gb_str section;

	if (!gb_str_cut(&rest, ']', &section)) {
		add_problem(reader, GB_ERR_SYNTAX, reader->line, GB_STR(""),
			    GB_STR(""), line, GB_STR("[SECTION]"));
		return;
	}
	if (set_has_section(section))
		return;
	add_section_names(&allowed);
	add_problem(reader, GB_ERR_UNKNOWN_KEY, reader->line, section,
		    GB_STR(""), GB_STR(""), gb_buf_str(&allowed));
	gb_buf_free(&allowed);
}

/*
 * Reports the line that libinih has just parsed if it holds no value. libinih
 * itself returns only the first line with an error, so this function detects
 * the others by the missing call of on_value().
 */
static void check_line(struct reader *reader)
{
	struct gb_str line = gb_str_trim(reader->current);

	if (reader->handled || !line.len || line.ptr[0] == '#' ||
	    line.ptr[0] == ';')
		return;
	reader->handled = true;
	if (line.ptr[0] == '[')
		check_section(reader, line);
	else
		add_problem(reader, GB_ERR_SYNTAX, reader->line, GB_STR(""),
			    GB_STR(""), line, GB_STR("KEY = VALUE"));
}

/* Passes the next line to libinih in the manner of fgets(). */
static char *next_line(char *out, int size, void *stream)
{
	struct reader *reader = stream;
	struct gb_str line;

	check_line(reader);
	reader->current = GB_STR("");
	if (!reader->rest.len)
		return NULL;
	gb_str_cut(&reader->rest, '\n', &line);
	reader->line++;
	reader->current = line;
	reader->handled = false;
	if (line.len + 2 > (size_t)size ||
	    (line.len && memchr(line.ptr, '\0', line.len))) {
		add_problem(reader,
			    line.len + 2 > (size_t)size ? GB_ERR_TOO_LARGE
							: GB_ERR_SYNTAX,
			    reader->line, GB_STR(""), GB_STR(""),
			    gb_str_sub(line, 0, 40),
			    GB_STR("lines of text up to 8190 bytes"));
		reader->handled = true;
		line.len = 0;
	}
	if (line.len)
		memcpy(out, line.ptr, line.len);
	out[line.len] = '\n';
	out[line.len + 1] = '\0';
	return out;
}

/*
 * Stores one value for libinih. Errors are recorded and 1 is returned all the
 * same, so that parsing goes on and all errors of a file are reported.
 */
static int on_value(void *user, const char *section, const char *name,
		    const char *value)
{
	struct reader *reader = user;
	struct gb_str section_name = gb_str_from_c(section);
	struct gb_str key = gb_str_from_c(name);
	struct gb_str text = gb_str_from_c(value);
	const struct set_option *options;
	struct gb_buf allowed = GB_BUF_INIT;
	size_t len, index = set_find_option(section_name, key);
	enum gb_code code;

	options = set_options(&len);
	reader->handled = true;
	if (section_name.len && !set_has_section(section_name))
		return 1;
	if (index == len) {
		if (section_name.len)
			add_key_names(section_name, &allowed);
		else
			add_section_names(&allowed);
		add_problem(reader, GB_ERR_UNKNOWN_KEY, reader->line,
			    section_name, key, text, gb_buf_str(&allowed));
		gb_buf_free(&allowed);
		return 1;
	}
	if (reader->first_line[index]) {
		gb_buf_addf(&allowed, "once; first set in line %" PRIu32,
			    reader->first_line[index]);
		add_problem(reader, GB_ERR_DUPLICATE, reader->line,
			    section_name, key, text, gb_buf_str(&allowed));
		gb_buf_free(&allowed);
		return 1;
	}
	reader->first_line[index] = reader->line;
	if (!text.len && options[index].may_be_empty)
		return 1;
	code = options[index].type->parse(&options[index], text,
					  reader->settings);
	if (code != GB_OK)
		add_option_problem(reader, index, code, reader->line, text);
	return 1;
}

static void apply_defaults(struct reader *reader)
{
	const struct set_option *options;
	size_t len;

	options = set_options(&len);
	g_assert(len <= OPTIONS_MAX);
	for (size_t i = 0; i < len; i++) {
		enum gb_code code;

		if (options[i].required_roles)
			continue;
		code = options[i].type->parse(
			&options[i], options[i].default_text, reader->settings);
		g_assert(code == GB_OK);
	}
}

static void check_required(struct reader *reader)
{
	const struct set_option *options;
	size_t len;

	unsigned int role = SET_ROLE_ENTRY;

	if (gb_str_eq(reader->settings->role, GB_STR("front")))
		role = SET_ROLE_FRONT;
	options = set_options(&len);
	for (size_t i = 0; i < len; i++)
		if ((options[i].required_roles & role) &&
		    !reader->first_line[i])
			add_option_problem(reader, i, GB_ERR_MISSING, 0,
					   GB_STR(""));
}

static gb_time get_lease(const struct nd_settings *node)
{
	return node->lease;
}

static bool is_lease_valid(const struct nd_settings *node)
{
	return node->lease >= 3 * node->heartbeat_interval;
}

static void add_allowed_lease(const struct nd_settings *node,
			      struct gb_buf *out)
{
	gb_buf_addf(out, "at least 3 * heartbeat_ms = %" PRId64,
		    3 * node->heartbeat_interval / GB_MSEC);
}

static gb_time get_drift_margin(const struct nd_settings *node)
{
	return node->drift_margin;
}

static bool is_drift_margin_valid(const struct nd_settings *node)
{
	return 2 * node->drift_margin < node->lease;
}

static void add_allowed_drift_margin(const struct nd_settings *node,
				     struct gb_buf *out)
{
	gb_buf_addf(out, "less than lease_ms / 2 = %.1f",
		    node->lease / 2.0 / GB_MSEC);
}

static gb_time get_suspect_after(const struct nd_settings *node)
{
	return node->suspect_after;
}

/* With a shorter time every VM would count as dead between two heartbeats. */
static bool is_suspect_after_valid(const struct nd_settings *node)
{
	return node->suspect_after > node->heartbeat_interval;
}

static void add_allowed_suspect_after(const struct nd_settings *node,
				      struct gb_buf *out)
{
	gb_buf_addf(out, "more than heartbeat_ms = %" PRId64,
		    node->heartbeat_interval / GB_MSEC);
}

static void check_cross_rules(struct reader *reader)
{
	const struct nd_settings *node = &reader->settings->node;

	for (size_t i = 0; i < G_N_ELEMENTS(cross_rules); i++) {
		const struct cross_rule *rule = &cross_rules[i];
		size_t index = set_find_option(rule->section, rule->key);
		struct gb_buf allowed = GB_BUF_INIT;
		struct gb_buf value = GB_BUF_INIT;

		if (rule->is_valid(node))
			continue;
		gb_buf_addf(&value, "%" PRId64, rule->value(node) / GB_MSEC);
		rule->add_allowed(node, &allowed);
		add_problem(reader, GB_ERR_OUT_OF_RANGE,
			    reader->first_line[index], rule->section, rule->key,
			    gb_buf_str(&value), gb_buf_str(&allowed));
		gb_buf_free(&value);
		gb_buf_free(&allowed);
	}
}

/* Removes this VM from its seeds; all VMs may share one list of seeds. */
static void drop_own_seed(struct set_settings *settings)
{
	struct nd_settings *node = &settings->node;
	uint32_t kept = 0;

	for (uint32_t i = 0; i < node->seeds_len; i++) {
		if (node->seed_vm[i] == node->vm) {
			gb_str_free(&settings->seeds[i].host);
			continue;
		}
		node->seed_vm[kept] = node->seed_vm[i];
		settings->seeds[kept++] = settings->seeds[i];
	}
	node->seeds_len = kept;
}

/* Copies what the roster says of this VM; settings still owns the strings. */
static void copy_identity(struct set_settings *settings)
{
	struct nd_settings *node = &settings->node;

	node->name = settings->name;
	node->host = settings->host;
	node->peer_port = settings->peer_port;
	node->http_port = settings->http_port;
}

/* Copies the options that both roles have to the settings of role front. */
static void copy_front_settings(struct set_settings *settings)
{
	settings->front.name = settings->name;
	settings->front.dc = settings->node.dc;
	settings->front.log_severity = settings->log_severity;
}

/*
 * Parses the text with libinih. Its default buffer of 200 bytes on the stack is
 * too small for a list of seeds. Multi-line values are off, because an indented
 * line would then continue the value above it and hide a misplaced key.
 */
static void parse_text(struct reader *reader)
{
	ini_use_stack = false;
	ini_allow_realloc = false;
	ini_initial_alloc = LINE_MAX_BYTES;
	ini_max_line = LINE_MAX_BYTES;
	ini_allow_multiline = false;
	ini_parse_stream(next_line, reader, on_value, reader);
}

int set_read(struct gb_str text, struct set_settings *settings,
	     struct set_problems *problems)
{
	struct reader reader = { .rest = text,
				 .settings = settings,
				 .problems = problems };

	*settings = (struct set_settings){ 0 };
	problems->list = g_array_new(FALSE, TRUE, sizeof(struct set_problem));
	apply_defaults(&reader);
	parse_text(&reader);
	check_required(&reader);
	check_cross_rules(&reader);
	drop_own_seed(settings);
	copy_identity(settings);
	copy_front_settings(settings);
	return problems->list->len ? -1 : 0;
}

int set_read_file(struct gb_str path, struct set_settings *settings,
		  struct set_problems *problems)
{
	struct set_problem problem = { 0 };
	char *name = gb_str_to_c(path);
	gchar *text = NULL;
	gsize len = 0;
	int status;

	if (g_file_get_contents(name, &text, &len, NULL)) {
		status = set_read((struct gb_str){ .ptr = text, .len = len },
				  settings, problems);
	} else {
		*settings = (struct set_settings){ 0 };
		problems->list =
			g_array_new(FALSE, TRUE, sizeof(struct set_problem));
		status = gb_fail(&problem.error, GB_ERR_IO, path, 0);
		g_array_append_val(problems->list, problem);
	}
	g_free(text);
	g_free(name);
	return status;
}

void set_free(struct set_settings *settings)
{
	const struct set_option *options;
	size_t len;

	options = set_options(&len);
	for (size_t i = 0; i < len; i++)
		if (options[i].type->release)
			options[i].type->release(&options[i], settings);
}
