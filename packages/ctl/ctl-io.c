#include "ctl/ctl.h"

#include <stdio.h>

void ctl_print(struct gb_str text)
{
	if (text.len)
		fwrite(text.ptr, 1, text.len, stdout);
}

void ctl_warn(struct gb_str text)
{
	fprintf(stderr, "gentianctl: %.*s\n", (int)text.len, text.ptr);
}

gb_time ctl_now(void)
{
	return g_get_monotonic_time();
}

void ctl_pause(gb_time time)
{
	if (time > 0)
		g_usleep(time);
}
