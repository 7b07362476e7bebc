#ifndef JS_VIEW_H
#define JS_VIEW_H

/*
 * NAME
 *	js-view - any JSON value as rows of name and text for people
 *
 * DESCRIPTION
 *	Names of nested members are joined by dots, with the index as the name
 *	of an array element. An array of plain values is one row with its
 *	values separated by spaces; an object of plain values inside of an
 *	array is one row of "name=value" words. Text that is not printable
 *	ASCII is shown in quotes with escapes.
 */

#include "base/gb.h"

typedef void (*js_view_row)(void *ctx, struct gb_str name, struct gb_str value);

int js_view_rows(struct gb_str text, js_view_row row, void *ctx,
		 struct gb_error *err);

/* Appends the value of the row of that name; returns -1 if there is none. */
int js_view_find(struct gb_str text, struct gb_str name, struct gb_buf *value);

#endif
