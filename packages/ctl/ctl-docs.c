#include "ctl/ctl.h"
#include "settings/set.h"

int ctl_events_catalogue(const struct ctl_line *line)
{
	struct gb_buf text = GB_BUF_INIT;

	(void)line;
	ev_catalogue(&text);
	ctl_print(gb_buf_str(&text));
	gb_buf_free(&text);
	return CTL_DONE;
}

int ctl_settings_manual(const struct ctl_line *line)
{
	struct gb_buf text = GB_BUF_INIT;

	(void)line;
	set_manual(&text);
	ctl_print(gb_buf_str(&text));
	gb_buf_free(&text);
	return CTL_DONE;
}
