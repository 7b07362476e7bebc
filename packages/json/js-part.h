#ifndef JS_PART_H
#define JS_PART_H

/*
 * NAME
 *	js-part - the new elements of an intent, as an operator writes them
 */

#include "config/cfg.h"

/* Reads a partial configuration; NULL if it is no such text. */
struct cfg *js_part_decode(struct gb_str text, struct gb_error *err);

#endif
