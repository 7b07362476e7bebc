#include "ctl/ctl.h"

int ctl_rollouts(const struct ctl_cmdline *cmdline)
{
	return ctl_get_from_all(cmdline, GB_STR("/rollouts"), ctl_format_text);
}
