#include "ctl/ctl.h"

int ctl_metrics(const struct ctl_line *line)
{
	return ctl_each(line, GB_STR("/metrics"), ctl_show_text);
}
