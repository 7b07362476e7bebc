#include "ctl/ctl.h"

void ctl_show_text(const struct ctl_line *line, const struct ctl_call *call,
		   struct gb_buf *text)
{
	(void)line;
	gb_buf_add(text, GB_STR("# server "));
	ctl_server_text(&call->server, text);
	gb_buf_addc(text, '\n');
	gb_buf_add(text, gb_buf_str(&call->answer));
}

int ctl_each(const struct ctl_line *line, struct gb_str path, ctl_show show)
{
	struct ctl_call *calls = ctl_calls(line->servers, GB_STR("GET"), path);
	int status = CTL_UNREACHABLE;

	ctl_http_run(calls, line->servers->len, line->timeout);
	for (guint i = 0; i < line->servers->len; i++) {
		struct gb_buf text = GB_BUF_INIT;
		enum gb_code code;
		int fault = ctl_fault(&calls[i], &code);

		if (fault != CTL_DONE) {
			if (status == CTL_UNREACHABLE)
				status = fault;
			continue;
		}
		status = CTL_DONE;
		show(line, &calls[i], &text);
		ctl_print(gb_buf_str(&text));
		gb_buf_free(&text);
	}
	ctl_http_free(calls, line->servers->len);
	g_free(calls);
	return status;
}
