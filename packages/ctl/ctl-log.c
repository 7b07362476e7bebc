#include "ctl/ctl-entry.h"

static void print_entries(const struct ctl_logs *logs)
{
	struct gb_buf out = GB_BUF_INIT;

	for (guint i = 0; i < logs->entries->len; i++) {
		gb_buf_add(&out,
			   g_array_index(logs->entries, struct ctl_log_entry, i)
				   .text);
		gb_buf_addc(&out, '\n');
	}
	gb_buf_addf(&out, "# %u events, %u lines without one\n",
		    logs->entries->len, logs->skipped_lines);
	ctl_print(gb_buf_str(&out));
	gb_buf_free(&out);
}

int ctl_log(const struct ctl_cmdline *cmdline)
{
	struct ctl_logs logs;
	int status = ctl_logs_read(cmdline, &logs);

	if (status == CTL_EXIT_DONE)
		print_entries(&logs);
	ctl_logs_free(&logs);
	return status;
}
