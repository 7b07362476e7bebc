#include "ctl/ctl.h"
#include "ctl/ctl-view.h"

static void show(const struct ctl_line *line, const struct ctl_call *call,
		 struct gb_buf *text);

static void show(const struct ctl_line *line, const struct ctl_call *call,
		 struct gb_buf *text)
{
	if (line->json) {
		gb_buf_add(text, gb_buf_str(&call->answer));
		gb_buf_addc(text, '\n');
		return;
	}
	ctl_server_text(&call->server, text);
	gb_buf_addc(text, '\n');
	ctl_view(gb_buf_str(&call->answer), text);
}

int ctl_status(const struct ctl_line *line)
{
	return ctl_each(line, GB_STR("/v1/admin/status"), show);
}
