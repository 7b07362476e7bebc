#ifndef SET_OPTION_H
#define SET_OPTION_H

/*
 * NAME
 *	set-option - the rows of the option table, within the package
 */

#include "settings/set.h"

struct set_option;

/* How values of one type are read, described and released. */
struct set_type {
	/* Returns GB_OK and stores the value, or says what is wrong. */
	enum gb_code (*parse)(const struct set_option *option,
			      struct gb_str value,
			      struct set_settings *settings);
	/* Appends the allowed values for people. */
	void (*allowed)(const struct set_option *option, struct gb_buf *out);
	/* Frees the stored value; NULL if it owns nothing. */
	void (*release)(const struct set_option *option,
			struct set_settings *settings);
};

/* Roles of a VM; an option may be required for some of them only. */
#define SET_ENTRY (1u << 0)
#define SET_FRONT (1u << 1)

struct set_option {
	struct gb_str section;
	struct gb_str key;
	const struct set_type *type;
	unsigned int required; /* roles that must set it */
	struct gb_str def; /* text of the default; unused if required */
	int64_t min;
	int64_t max;
	const struct gb_str *choices;
	size_t choices_len;
	size_t offset; /* of the value in struct set_settings */
	struct gb_str sentence;
};

extern const struct set_type set_type_u16;
extern const struct set_type set_type_u32;
extern const struct set_type set_type_size;
extern const struct set_type set_type_ms;
extern const struct set_type set_type_s;
extern const struct set_type set_type_name;
extern const struct set_type set_type_choice;
extern const struct set_type set_type_address;
extern const struct set_type set_type_seeds;
extern const struct set_type set_type_severity;
extern const struct set_type set_type_real; /* a number with a fraction */
extern const struct set_type set_type_real_ms;
extern const struct set_type set_type_real_s;
extern const struct set_type set_type_endpoint; /* "ADDRESS:PORT" */
extern const struct set_type set_type_endpoints; /* with commas */

/* The text of an option of a type that keeps text. */
/* What the types of times allow, whatever their numbers. */
void set_allowed_ms(const struct set_option *option, struct gb_buf *out);
void set_allowed_s(const struct set_option *option, struct gb_buf *out);
void set_replace_text(const struct set_option *option, struct gb_str value,
		      struct set_settings *settings);
void set_release_text(const struct set_option *option,
		      struct set_settings *settings);

const struct set_option *set_options(size_t *len);

/* Finds an option; returns the length of the table if there is none. */
size_t set_find(struct gb_str section, struct gb_str key);
bool set_has_section(struct gb_str section);

#endif
