#include "ctl/ctl.h"

int ctl_metrics(const struct ctl_cmdline *cmdline)
{
	return ctl_get_from_all(cmdline, GB_STR("/metrics"), ctl_format_text);
}
