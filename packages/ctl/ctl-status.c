#include "ctl/ctl.h"
#include "ctl/ctl-view.h"

static void format_status(const struct ctl_cmdline *cmdline,
			  const struct ctl_call *call, struct gb_buf *text);

static void format_status(const struct ctl_cmdline *cmdline,
			  const struct ctl_call *call, struct gb_buf *text)
{
	if (cmdline->json) {
		gb_buf_add(text, gb_buf_str(&call->answer));
		gb_buf_addc(text, '\n');
		return;
	}
	ctl_server_text(&call->server, text);
	gb_buf_addc(text, '\n');
	ctl_format_json(gb_buf_str(&call->answer), text);
}

int ctl_status(const struct ctl_cmdline *cmdline)
{
	return ctl_get_from_all(cmdline, GB_STR("/v1/admin/status"),
				format_status);
}
