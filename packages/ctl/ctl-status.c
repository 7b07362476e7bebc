#include "ctl/ctl.h"
#include "ctl/ctl-view.h"

int ctl_status(const struct ctl_line *line)
{
	struct ctl_call *calls = ctl_calls(line->servers, GB_STR("GET"),
					   GB_STR("/v1/admin/status"));
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
		if (line->json) {
			gb_buf_add(&text, gb_buf_str(&calls[i].answer));
			gb_buf_addc(&text, '\n');
		} else {
			ctl_server_text(&calls[i].server, &text);
			gb_buf_addc(&text, '\n');
			ctl_view(gb_buf_str(&calls[i].answer), &text);
		}
		ctl_print(gb_buf_str(&text));
		gb_buf_free(&text);
	}
	ctl_http_free(calls, line->servers->len);
	g_free(calls);
	return status;
}
