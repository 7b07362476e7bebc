#include "ctl/ctl.h"
#include "settings/set.h"

int ctl_check(const struct ctl_cmdline *cmdline)
{
	struct gb_str path = ctl_arg(cmdline, 0);
	struct gb_buf text = GB_BUF_INIT;
	struct set_settings settings;
	struct set_problems problems;
	int status = CTL_EXIT_DONE;

	if (set_read_file(path, &settings, &problems))
		status = CTL_EXIT_REFUSED;
	set_problems_text(&problems, path, &text);
	if (status == CTL_EXIT_DONE)
		gb_buf_addf(&text, "%.*s: no problem\n", (int)path.len,
			    path.ptr);
	ctl_print(gb_buf_str(&text));
	gb_buf_free(&text);
	set_problems_free(&problems);
	set_free(&settings);
	return status;
}
