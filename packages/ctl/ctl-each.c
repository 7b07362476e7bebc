#include "ctl/ctl.h"

void ctl_format_text(const struct ctl_cmdline *cmdline,
		     const struct ctl_call *call, struct gb_buf *text)
{
	(void)cmdline;
	gb_buf_add(text, GB_STR("# server "));
	ctl_server_text(&call->server, text);
	gb_buf_addc(text, '\n');
	gb_buf_add(text, gb_buf_str(&call->answer));
}

int ctl_get_from_all(const struct ctl_cmdline *cmdline, struct gb_str path,
		     ctl_format_answer format_answer)
{
	return ctl_ask_all(cmdline, GB_STR("GET"), path, GB_STR(""),
			   format_answer);
}

int ctl_ask_all(const struct ctl_cmdline *cmdline, struct gb_str method,
		struct gb_str path, struct gb_str body,
		ctl_format_answer format_answer)
{
	struct ctl_call *calls = ctl_new_calls(cmdline->servers, method, path);
	int status = CTL_EXIT_UNREACHABLE;

	for (guint i = 0; i < cmdline->servers->len; i++)
		calls[i].body = body;
	ctl_http_run(calls, cmdline->servers->len, cmdline->timeout);
	for (guint i = 0; i < cmdline->servers->len; i++) {
		struct gb_buf text = GB_BUF_INIT;
		enum gb_code code;
		int call_status = ctl_warn_if_failed(&calls[i], &code);

		if (call_status != CTL_EXIT_DONE) {
			if (status == CTL_EXIT_UNREACHABLE)
				status = call_status;
			continue;
		}
		status = CTL_EXIT_DONE;
		format_answer(cmdline, &calls[i], &text);
		ctl_print(gb_buf_str(&text));
		gb_buf_free(&text);
	}
	ctl_http_free(calls, cmdline->servers->len);
	g_free(calls);
	return status;
}
