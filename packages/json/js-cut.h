#ifndef JS_CUT_H
#define JS_CUT_H

/*
 * NAME
 *	js-cut - cuts the members and items out of a JSON text
 *
 * DESCRIPTION
 *	A value is passed over in one loop, so its nesting costs no stack, and
 *	is returned as text. Only brackets and strings are looked at: a fault
 *	within a value is found by whoever parses it, and does not keep the
 *	values beside it from being read.
 */

#include "base/gb.h"

enum js_cut { JS_CUT_FOUND, JS_CUT_END, JS_CUT_MALFORMED };

/*
 * Sets *rest to what follows the opening bracket of an object ('{') or an array
 * ('['); returns false if the text is of another type.
 */
bool js_cut_open(struct gb_str text, char bracket, struct gb_str *rest);

/*
 * Cuts the next member of an object, or the next item of an array, off the
 * front of *rest. The name is given as it stands between its quotes.
 */
enum js_cut js_cut_member(struct gb_str *rest, struct gb_str *name,
			  struct gb_str *value);
enum js_cut js_cut_item(struct gb_str *rest, struct gb_str *item);

/* Returns the value of the first member of that name; false if there is none.
 */
bool js_cut_find(struct gb_str object, struct gb_str name,
		 struct gb_str *value);

/*
 * Tells whether objects and arrays lie within each other deeper than that.
 * Reading such a text costs a parser far more time than passing over it.
 */
bool js_is_nested_deeper(struct gb_str text, size_t depth_max);

#endif
