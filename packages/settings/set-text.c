#include "settings/set-option.h"

#include <glib.h>
#include <inttypes.h>

static void add_location(const struct set_problem *problem, struct gb_buf *out);
static void add_default_and_allowed(const struct set_option *option,
				    struct gb_buf *out);

/* Appends "[SECTION] KEY = VALUE: "; parts that are not known are left out. */
static void add_location(const struct set_problem *problem, struct gb_buf *out)
{
	if (problem->section.len)
		gb_buf_addf(out, "[%.*s]", (int)problem->section.len,
			    problem->section.ptr);
	if (problem->key.len)
		gb_buf_addf(out, "%s%.*s", problem->section.len ? " " : "",
			    (int)problem->key.len, problem->key.ptr);
	if (problem->value.len) {
		if (problem->section.len || problem->key.len)
			gb_buf_add(out, GB_STR(" = "));
		ev_quote(problem->value, out);
	}
	if (problem->section.len || problem->key.len || problem->value.len)
		gb_buf_add(out, GB_STR(": "));
}

void set_problems_text(const struct set_problems *problems, struct gb_str file,
		       struct gb_buf *out)
{
	for (guint i = 0; i < problems->list->len; i++) {
		const struct set_problem *problem =
			&g_array_index(problems->list, struct set_problem, i);

		gb_buf_add(out, file);
		if (problem->line)
			gb_buf_addf(out, ":%" PRIu32, problem->line);
		gb_buf_add(out, GB_STR(": "));
		add_location(problem, out);
		gb_error_text(&problem->error, out);
		if (problem->allowed.len)
			gb_buf_addf(out, " (allowed: %.*s)",
				    (int)problem->allowed.len,
				    problem->allowed.ptr);
		gb_buf_addc(out, '\n');
	}
}

void set_problems_free(struct set_problems *problems)
{
	if (!problems->list)
		return;
	for (guint i = 0; i < problems->list->len; i++) {
		struct set_problem *problem =
			&g_array_index(problems->list, struct set_problem, i);

		gb_str_free(&problem->section);
		gb_str_free(&problem->key);
		gb_str_free(&problem->value);
		gb_str_free(&problem->allowed);
	}
	g_array_free(problems->list, TRUE);
	problems->list = NULL;
}

/* Appends "required" or the default, then the allowed values. */
static void add_default_and_allowed(const struct set_option *option,
				    struct gb_buf *out)
{
	if (option->required_roles == (SET_ROLE_ENTRY | SET_ROLE_FRONT))
		gb_buf_add(out, GB_STR("Required"));
	else if (option->required_roles == SET_ROLE_ENTRY)
		gb_buf_add(out, GB_STR("Required for role entry"));
	else if (option->required_roles == SET_ROLE_FRONT)
		gb_buf_add(out, GB_STR("Required for role front"));
	else if (option->default_text.len)
		gb_buf_addf(out, "Default %.*s", (int)option->default_text.len,
			    option->default_text.ptr);
	else
		gb_buf_add(out, GB_STR("Default none"));
	gb_buf_add(out, GB_STR("; allowed: "));
	option->type->add_allowed(option, out);
	gb_buf_add(out, GB_STR(".\n"));
}

void set_write_help(struct gb_buf *out)
{
	const struct set_option *options;
	struct gb_str section = GB_STR("");
	size_t len;

	options = set_options(&len);
	for (size_t i = 0; i < len; i++) {
		if (!gb_str_eq(section, options[i].section)) {
			section = options[i].section;
			gb_buf_addf(out, "[%.*s]\n", (int)section.len,
				    section.ptr);
		}
		gb_buf_addf(out, "  %.*s\n      %.*s\n      ",
			    (int)options[i].key.len, options[i].key.ptr,
			    (int)options[i].description.len,
			    options[i].description.ptr);
		add_default_and_allowed(&options[i], out);
	}
}

void set_write_manual(struct gb_buf *out)
{
	const struct set_option *options;
	struct gb_str section = GB_STR("");
	size_t len;

	options = set_options(&len);
	for (size_t i = 0; i < len; i++) {
		if (!gb_str_eq(section, options[i].section)) {
			if (section.len)
				gb_buf_add(out, GB_STR(".El\n"));
			section = options[i].section;
			gb_buf_addf(out,
				    ".Ss Section %.*s\n.Bl -tag -width Ds\n",
				    (int)section.len, section.ptr);
		}
		gb_buf_addf(out, ".It Cm %.*s\n%.*s\n", (int)options[i].key.len,
			    options[i].key.ptr, (int)options[i].description.len,
			    options[i].description.ptr);
		add_default_and_allowed(&options[i], out);
	}
	gb_buf_add(out, GB_STR(".El\n"));
}
