#ifndef JS_VIEW_H
#define JS_VIEW_H

/*
 * NAME
 *	js-view - any JSON value as rows of a name and a readable text
 *
 * DESCRIPTION
 *	Names of nested members are joined by dots; an array element has its
 *	index as its name. An array of scalars is one row with its values
 *	separated by spaces, and an object of scalars within an array is one
 *	row of "name=value" words. Text that is not printable ASCII is shown in
 *	quotes with escapes.
 */

#include "base/gb.h"

typedef void (*js_view_row)(void *ctx, struct gb_str name, struct gb_str value);

/* Calls row for each row of the JSON text; returns -1 if it is invalid. */
int js_view_rows(struct gb_str text, js_view_row row, void *ctx,
		 struct gb_error *err);

/* Appends the value of the first row with that name; -1 if there is none. */
int js_view_find(struct gb_str text, struct gb_str name, struct gb_buf *value);

#endif
