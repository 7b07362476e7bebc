#ifndef SET_OPTION_H
#define SET_OPTION_H

/*
 * NAME
 *	set-option - option table of the settings; internal to the package
 */

#include "settings/set.h"

struct set_option;

/* Functions that parse, describe and free the values of one type. */
struct set_type {
	/* Stores the value; returns GB_OK or why it is not valid. */
	enum gb_code (*parse)(const struct set_option *option,
			      struct gb_str value,
			      struct set_settings *settings);
	/* Appends a description of the allowed values. */
	void (*add_allowed)(const struct set_option *option,
			    struct gb_buf *out);
	/* Frees the stored value; NULL if the type needs no freeing. */
	void (*release)(const struct set_option *option,
			struct set_settings *settings);
};

/* Bits of the roles of a VM, for required_roles. */
#define SET_ROLE_ENTRY (1u << 0)
#define SET_ROLE_FRONT (1u << 1)

struct set_option {
	struct gb_str section;
	struct gb_str key;
	const struct set_type *type;
	unsigned int required_roles; /* roles for which it must be set */
	struct gb_str default_text; /* unused if required_roles is not 0 */
	/* an empty value means the default: a template had none to fill in */
	bool may_be_empty;
	int64_t min;
	int64_t max;
	const struct gb_str *choices;
	size_t choices_len;
	size_t offset; /* of the value within struct set_settings */
	struct gb_str description;
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
extern const struct set_type set_type_real; /* a decimal number */
extern const struct set_type set_type_real_ms;
extern const struct set_type set_type_real_s;
extern const struct set_type set_type_mb; /* megabytes, in bytes */
extern const struct set_type set_type_endpoint; /* "ADDRESS:PORT" */
extern const struct set_type set_type_endpoints; /* comma-separated */

/* Append the range of an option that holds a duration, with its unit. */
void set_add_allowed_ms(const struct set_option *option, struct gb_buf *out);
void set_add_allowed_s(const struct set_option *option, struct gb_buf *out);

/* Replace and free the value of an option that is stored as a string. */
void set_replace_text(const struct set_option *option, struct gb_str value,
		      struct set_settings *settings);
void set_release_text(const struct set_option *option,
		      struct set_settings *settings);

const struct set_option *set_options(size_t *len);

/* Returns the index of an option, or the length of the table if not found. */
size_t set_find_option(struct gb_str section, struct gb_str key);
bool set_has_section(struct gb_str section);

#endif
