#ifndef JS_FIELD_H
#define JS_FIELD_H

/*
 * NAME
 *	js-field - tables of object members, shared by the decoders of js
 *
 * DESCRIPTION
 *	A decoder reads an object into a plain struct, its form, by a table
 *	with one row per member. Members without a row are errors, so that a
 *	misspelt optional member cannot pass unnoticed. Strings and values in
 *	a form are borrowed from the parsed text.
 */

#include "base/gb.h"

#include <jansson.h>

enum js_need {
	JS_OPTIONAL,
	JS_FULL, /* may be left out of a partial configuration */
	JS_REQUIRED
};

struct js_field {
	struct gb_str key;
	int (*read)(const struct js_field *field, json_t *value, void *to,
		    struct gb_error *err);
	size_t offset; /* in the form */
	int64_t min;
	int64_t max;
	enum js_need need;
};

/* Parses a whole text; duplicate members and NUL bytes are refused. */
json_t *js_parse(struct gb_str text, struct gb_error *err);

/* Reads the members of an object; name stands for it in errors. */
int js_read_object(json_t *json, struct gb_str name,
		   const struct js_field *fields, size_t len, bool partial,
		   void *form, struct gb_error *err);

/* Readers for the table; the comment names the type in the form. */
int js_read_str(const struct js_field *field, json_t *value, void *form,
		struct gb_error *err); /* struct gb_str */
int js_read_bool(const struct js_field *field, json_t *value, void *form,
		 struct gb_error *err); /* bool */
int js_read_u16(const struct js_field *field, json_t *value, void *form,
		struct gb_error *err); /* uint16_t */
int js_read_u32(const struct js_field *field, json_t *value, void *form,
		struct gb_error *err); /* uint32_t */
int js_read_i64(const struct js_field *field, json_t *value, void *form,
		struct gb_error *err); /* int64_t or uint64_t */
int js_read_ms(const struct js_field *field, json_t *value, void *form,
	       struct gb_error *err); /* gb_time, from milliseconds */
int js_read_hex(const struct js_field *field, json_t *value, void *form,
		struct gb_error *err); /* uint64_t, from 16 hex digits */
int js_read_array(const struct js_field *field, json_t *value, void *form,
		  struct gb_error *err); /* json_t * */
int js_read_child(const struct js_field *field, json_t *value, void *form,
		  struct gb_error *err); /* json_t *, an object */

struct gb_str js_str(const json_t *value); /* empty if not a string */
int js_hex(struct gb_str text, uint64_t *out);

#endif
