#ifndef CTL_VIEW_H
#define CTL_VIEW_H

/*
 * NAME
 *	ctl-view - formats JSON answers of servers as tables
 */

#include "base/gb.h"

/* Appends a JSON text as lines of name and value; long lists are truncated. */
void ctl_format_json(struct gb_str json, struct gb_buf *out);

#endif
