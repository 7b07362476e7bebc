#ifndef JS_PART_H
#define JS_PART_H

/*
 * NAME
 *	js-part - the new elements of an intent, as written by an operator
 */

#include "config/cfg.h"

/* Decodes a partial configuration; returns NULL on failure. */
struct cfg *js_part_decode(struct gb_str text, struct gb_error *err);

#endif
