#include "ctl/ctl.h"

static void show(const struct ctl_line *line, const struct ctl_call *call,
		 struct gb_buf *text);

static void show(const struct ctl_line *line, const struct ctl_call *call,
		 struct gb_buf *text)
{
	(void)line;
	gb_buf_add(text, GB_STR("# server "));
	ctl_server_text(&call->server, text);
	gb_buf_addc(text, '\n');
	gb_buf_add(text, gb_buf_str(&call->answer));
}

int ctl_metrics(const struct ctl_line *line)
{
	return ctl_each(line, GB_STR("/metrics"), show);
}
