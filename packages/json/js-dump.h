#ifndef JS_DUMP_H
#define JS_DUMP_H

/*
 * NAME
 *	js-dump - building jansson values and appending their text to a gb_buf
 */

#include "base/gb.h"

#include <jansson.h>

/* Replaces bytes that are not UTF-8, which jansson refuses. */
json_t *js_string(struct gb_str s);
json_t *js_hex_string(uint64_t number); /* 16 hex digits */

/* Sets a member and takes over the reference; the key must be UTF-8. */
void js_set(json_t *object, const char *key, json_t *value);
void js_set_int(json_t *object, const char *key, uint64_t value);
void js_set_str(json_t *object, const char *key, struct gb_str value);

/* Appends the compact text of a value and drops the reference. */
void js_dump(json_t *json, struct gb_buf *out);

#endif
