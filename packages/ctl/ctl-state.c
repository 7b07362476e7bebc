#include "ctl/ctl.h"

int ctl_state(const struct ctl_line *line)
{
	return ctl_each(line, GB_STR("/status"), ctl_show_text);
}
