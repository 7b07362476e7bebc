#include "ctl/ctl.h"

int ctl_state(const struct ctl_cmdline *cmdline)
{
	return ctl_get_from_all(cmdline, GB_STR("/status"), ctl_format_text);
}
