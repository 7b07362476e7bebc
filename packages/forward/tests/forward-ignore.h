#ifndef FORWARD_IGNORE_H
#define FORWARD_IGNORE_H

/*
 * NAME
 *	forward-ignore - callbacks that do nothing, for the tests of fw
 */

#include "forward/fw.h"

static void ignore_event(void *ctx, const struct fw_event *event)
{
	(void)ctx;
	(void)event;
}

static void ignore_upstream_reset(void *ctx, struct fl_upstream *upstream)
{
	(void)ctx;
	(void)upstream;
}

#endif
