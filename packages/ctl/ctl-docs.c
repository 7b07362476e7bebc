#include "ctl/ctl.h"
#include "settings/set.h"

int ctl_events_catalogue(const struct ctl_cmdline *cmdline)
{
	struct gb_buf text = GB_BUF_INIT;

	(void)cmdline;
	ev_catalogue(&text);
	ctl_print(gb_buf_str(&text));
	gb_buf_free(&text);
	return CTL_EXIT_DONE;
}

int ctl_settings_manual(const struct ctl_cmdline *cmdline)
{
	struct gb_buf text = GB_BUF_INIT;

	(void)cmdline;
	set_write_manual(&text);
	ctl_print(gb_buf_str(&text));
	gb_buf_free(&text);
	return CTL_EXIT_DONE;
}
