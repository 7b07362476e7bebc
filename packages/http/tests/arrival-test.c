#include "http/ht-arrival.h"
#include "script/scr.h"

/* Plays the polls of a loop on a virtual clock. */

static void *open_ctx(void)
{
	struct ht_arrivals *arrivals = g_new0(struct ht_arrivals, 1);

	arrivals->poll_timeout = GB_NEVER;
	return arrivals;
}

/*
 * poll at_ms= returns_ms= timeout_ms=: prints the earliest arrival of what is
 * read after this poll; -1 is no timeout
 */
static void cmd_poll(void *data, const struct scr_args *args,
		     struct gb_buf *out)
{
	int64_t timeout_ms = scr_int(args, GB_STR("timeout_ms"), -1);
	gb_time polled = scr_int(args, GB_STR("returns_ms"), 0) * GB_MSEC;

	ht_arrivals_poll_begins(
		data, scr_int(args, GB_STR("at_ms"), 0) * GB_MSEC,
		timeout_ms < 0 ? GB_NEVER : timeout_ms * GB_MSEC);
	gb_buf_addf(out, "  earliest %lld ms\n",
		    (long long)(ht_arrivals_earliest(data, polled) / GB_MSEC));
	ht_arrivals_poll_ended(data, polled);
}

int main(int argc, char **argv)
{
	static const struct scr_command commands[] = {
		{ GB_STR_INIT("poll"), cmd_poll },
	};
	static const struct scr_suite suite = {
		.name = "arrival",
		.folder = "packages/http/tests/arrival",
		.commands = commands,
		.commands_len = G_N_ELEMENTS(commands),
		.context_new = open_ctx,
		.context_free = g_free,
	};

	return scr_main(argc, argv, &suite);
}
