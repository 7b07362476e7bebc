#ifndef JS_TEXT_H
#define JS_TEXT_H

/*
 * NAME
 *	js-text - writing and validating JSON text without building values
 */

#include "base/gb.h"

/* Appends a quoted string; bytes that are not UTF-8 become U+FFFD. */
void js_put_str(struct gb_buf *out, struct gb_str s);
void js_put_u64(struct gb_buf *out, uint64_t number);

/* Tells whether text is one whole JSON text (RFC 8259). */
bool js_validate(struct gb_str text);

#endif
