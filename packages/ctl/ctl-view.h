#ifndef CTL_VIEW_H
#define CTL_VIEW_H

/*
 * NAME
 *	ctl-view - answers of servers as tables for people
 */

#include "base/gb.h"

/* Appends one line per row of a JSON text; long lists are cut. */
void ctl_view(struct gb_str json, struct gb_buf *out);

#endif
