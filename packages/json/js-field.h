#ifndef JS_FIELD_H
#define JS_FIELD_H

/*
 * NAME
 *	js-field - table-driven decoding of JSON objects
 *
 * DESCRIPTION
 *	A decoder reads the members of an object into a plain struct by a table
 *	with one row per member. Members without a row are errors, so that a
 *	misspelt optional member is not ignored. Strings and values in the
 *	struct are borrowed from the parsed text.
 */

#include "base/gb.h"

#include <jansson.h>

enum js_presence {
	JS_OPTIONAL,
	JS_REQUIRED_UNLESS_PARTIAL, /* optional in a partial configuration */
	JS_REQUIRED
};

struct js_field {
	struct gb_str key;
	int (*read)(const struct js_field *field, json_t *value, void *members,
		    struct gb_error *err);
	size_t offset; /* of the member in the struct */
	int64_t min; /* bounds of an integer, both inclusive */
	int64_t max;
	enum js_presence presence;
};

/* Parses one JSON text; refuses duplicate members and NUL bytes. */
json_t *js_parse(struct gb_str text, struct gb_error *err);

/*
 * Reads an object into the struct at members. name is the subject of an error
 * that concerns the whole object.
 */
int js_read_object(json_t *json, struct gb_str name,
		   const struct js_field *fields, size_t len, bool partial,
		   void *members, struct gb_error *err);

/* Readers for the table; the comment is the type of the struct member. */
int js_read_str(const struct js_field *field, json_t *value, void *members,
		struct gb_error *err); /* struct gb_str */
int js_read_bool(const struct js_field *field, json_t *value, void *members,
		 struct gb_error *err); /* bool */
int js_read_u16(const struct js_field *field, json_t *value, void *members,
		struct gb_error *err); /* uint16_t */
int js_read_u32(const struct js_field *field, json_t *value, void *members,
		struct gb_error *err); /* uint32_t */
int js_read_i64(const struct js_field *field, json_t *value, void *members,
		struct gb_error *err); /* int64_t or uint64_t */
int js_read_ms(const struct js_field *field, json_t *value, void *members,
	       struct gb_error *err); /* gb_time, from milliseconds */
int js_read_hex(const struct js_field *field, json_t *value, void *members,
		struct gb_error *err); /* uint64_t, from 16 hex digits */
int js_read_array(const struct js_field *field, json_t *value, void *members,
		  struct gb_error *err); /* json_t * */
int js_read_child(const struct js_field *field, json_t *value, void *members,
		  struct gb_error *err); /* json_t *, an object */

struct gb_str js_string_value(const json_t *value); /* empty if not a string */
int js_parse_hex(struct gb_str text, uint64_t *out); /* 16 hex digits */

#endif
