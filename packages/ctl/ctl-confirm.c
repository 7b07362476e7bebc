#include "ctl/ctl.h"
#include "ctl/ctl-resolve.h"
#include "ctl/ctl-view.h"
#include "json/js.h"

#include <inttypes.h>

/* Pause between two attempts to read the configuration back. */
#define READ_BACK_PAUSE (200 * GB_MSEC)

static struct cfg *decode_config(const struct ctl_call *call);
static bool is_already_accepted(const struct ctl_cmdline *cmdline,
				struct ctl_change *change);
static enum ctl_outcome read_outcome(const struct ctl_cmdline *cmdline,
				     const struct ctl_change *change,
				     gb_time timeout);
static int read_back(const struct ctl_cmdline *cmdline,
		     const struct ctl_change *change);
static bool is_outcome_unknown(const struct ctl_call *call, enum gb_code code);
static int send_plan(const struct ctl_cmdline *cmdline, struct gb_str body,
		     const struct ctl_change *change);

/* Returns the configuration that an answer holds with its version, or NULL. */
static struct cfg *decode_config(const struct ctl_call *call)
{
	struct cfg *cfg;

	if (call->delivery != CTL_ANSWERED || call->status != 200)
		return NULL;
	cfg = js_config_decode(gb_buf_str(&call->answer), NULL);
	if (cfg)
		cfg->version = call->version;
	return cfg;
}

/*
 * Tells whether the plan was accepted before; sent again, it would conflict
 * with itself. Also notes the newest change before the plan, for read_back().
 */
static bool is_already_accepted(const struct ctl_cmdline *cmdline,
				struct ctl_change *change)
{
	struct ctl_call call;
	struct cfg *cfg;
	bool done = false;

	ctl_call_in_turn(cmdline, GB_STR("GET"), GB_STR("/v1/admin/config"),
			 GB_STR(""), false, &call);
	cfg = decode_config(&call);
	if (cfg) {
		ctl_note_last_change(change, cfg);
		done = ctl_resolve_outcome(change, cfg) == CTL_OUTCOME_DONE;
		cfg_unref(cfg);
	}
	ctl_http_free(&call, 1);
	return done;
}

/* Reads the configuration from all servers once to find the outcome. */
static enum ctl_outcome read_outcome(const struct ctl_cmdline *cmdline,
				     const struct ctl_change *change,
				     gb_time timeout)
{
	struct ctl_call *calls = ctl_new_calls(cmdline->servers, GB_STR("GET"),
					       GB_STR("/v1/admin/config"));
	enum ctl_outcome outcome = CTL_OUTCOME_UNKNOWN;

	ctl_http_run(calls, cmdline->servers->len, timeout);
	for (guint i = 0; i < cmdline->servers->len; i++) {
		struct cfg *cfg = decode_config(&calls[i]);

		if (!cfg)
			continue;
		if (outcome == CTL_OUTCOME_UNKNOWN)
			outcome = ctl_resolve_outcome(change, cfg);
		cfg_unref(cfg);
	}
	ctl_http_free(calls, cmdline->servers->len);
	g_free(calls);
	return outcome;
}

/*
 * Reads the configuration back until it shows the outcome of the plan or the
 * timeout expires.
 */
static int read_back(const struct ctl_cmdline *cmdline,
		     const struct ctl_change *change)
{
	gb_time end = ctl_now() + cmdline->timeout;
	enum ctl_outcome outcome = CTL_OUTCOME_UNKNOWN;

	ctl_warn(GB_STR("outcome unknown; reading back"));
	while (outcome == CTL_OUTCOME_UNKNOWN) {
		gb_time time_left = end - ctl_now();

		if (time_left < GB_MSEC)
			break;
		outcome = read_outcome(cmdline, change, time_left);
		if (outcome == CTL_OUTCOME_UNKNOWN)
			ctl_pause(MIN(end - ctl_now(), READ_BACK_PAUSE));
	}
	if (outcome == CTL_OUTCOME_DONE) {
		ctl_print(GB_STR("accepted\n"));
		return CTL_EXIT_DONE;
	}
	if (outcome == CTL_OUTCOME_CONFLICT) {
		ctl_warn(GB_STR("not accepted: another change came first"));
		return CTL_EXIT_CONFLICT;
	}
	ctl_warn(GB_STR(
		"outcome still unknown: no server shows the change "
		"or a later version; check again with gentianctl config"));
	return CTL_EXIT_UNKNOWN;
}

/* Tells whether the change may have been written although the call failed. */
static bool is_outcome_unknown(const struct ctl_call *call, enum gb_code code)
{
	if (call->delivery != CTL_ANSWERED)
		return call->delivery == CTL_NO_ANSWER;
	return code == GB_ERR_STORE_UNAVAILABLE ||
	       code == GB_ERR_UNKNOWN_OUTCOME ||
	       (code == GB_ERR_CODES && call->status >= 500);
}

/* Sends the plan, to one server only: a second would not find the outcome. */
static int send_plan(const struct ctl_cmdline *cmdline, struct gb_str body,
		     const struct ctl_change *change)
{
	struct gb_buf text = GB_BUF_INIT;
	struct ctl_call call;
	enum gb_code code;
	int status;

	ctl_call_in_turn(cmdline, GB_STR("POST"), GB_STR("/v1/admin/confirm"),
			 body, true, &call);
	status = ctl_warn_if_failed(&call, &code);
	if (status != CTL_EXIT_DONE && is_outcome_unknown(&call, code)) {
		status = read_back(cmdline, change);
	} else if (status == CTL_EXIT_DONE) {
		gb_buf_add(&text, GB_STR("accepted\n"));
		if (cmdline->json) {
			gb_buf_reset(&text);
			gb_buf_add(&text, gb_buf_str(&call.answer));
			gb_buf_addc(&text, '\n');
		} else {
			ctl_format_json(gb_buf_str(&call.answer), &text);
		}
		ctl_print(gb_buf_str(&text));
	}
	gb_buf_free(&text);
	ctl_http_free(&call, 1);
	return status;
}

int ctl_confirm(const struct ctl_cmdline *cmdline)
{
	struct gb_str path = ctl_arg(cmdline, 0);
	struct gb_buf body = GB_BUF_INIT;
	struct ctl_change change = { 0 };
	struct pln_intent intent = { 0 };
	struct gb_error err;
	int status;

	if (ctl_read_file(path, &body, &err) ||
	    js_confirm_decode(gb_buf_str(&body), &change.plan,
			      &change.base_version, &intent, &err)) {
		status = ctl_warn_error(path, &err);
	} else if (is_already_accepted(cmdline, &change)) {
		ctl_print(GB_STR("accepted before\n"));
		status = CTL_EXIT_DONE;
	} else {
		status = send_plan(cmdline, gb_buf_str(&body), &change);
	}
	js_intent_free(&intent);
	gb_buf_free(&body);
	return status;
}
