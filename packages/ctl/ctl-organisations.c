#include "ctl/ctl.h"

int ctl_organisations(const struct ctl_cmdline *cmdline)
{
	return ctl_get_from_all(cmdline, GB_STR("/organisations"),
				ctl_format_text);
}
