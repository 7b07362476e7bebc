#include "ctl/ctl.h"
#include "ctl/ctl-resolve.h"
#include "ctl/ctl-view.h"
#include "json/js.h"

#include <inttypes.h>

/* Pause between two rounds of reading back. */
#define READ_BACK_PAUSE (200 * GB_MSEC)

static struct cfg *read_config(const struct ctl_call *call);
static bool look_first(const struct ctl_line *line, struct ctl_change *change);
static enum ctl_outcome ask_all(const struct ctl_line *line,
				const struct ctl_change *change,
				gb_time timeout);
static int read_back(const struct ctl_line *line,
		     const struct ctl_change *change);
static bool is_unknown(const struct ctl_call *call, enum gb_code code);
static int send(const struct ctl_line *line, struct gb_str body,
		const struct ctl_change *change);

/* Returns the configuration of an answer with its version, or NULL. */
static struct cfg *read_config(const struct ctl_call *call)
{
	struct cfg *cfg;

	if (call->reach != CTL_ANSWERED || call->status != 200)
		return NULL;
	cfg = js_config_decode(gb_buf_str(&call->answer), NULL);
	if (cfg)
		cfg->version = call->version;
	return cfg;
}

/*
 * Notes the newest change before the plan. Tells whether the plan is in force
 * already: sent again, it would get a conflict with its own first run.
 */
static bool look_first(const struct ctl_line *line, struct ctl_change *change)
{
	struct ctl_call call;
	struct cfg *cfg;
	bool done = false;

	ctl_ask(line, GB_STR("GET"), GB_STR("/v1/admin/config"), GB_STR(""),
		false, &call);
	cfg = read_config(&call);
	if (cfg) {
		ctl_resolve_anchor(change, cfg);
		done = ctl_resolve(change, cfg) == CTL_OUTCOME_DONE;
		cfg_unref(cfg);
	}
	ctl_http_free(&call, 1);
	return done;
}

/* Asks all servers once for a configuration that decides the outcome. */
static enum ctl_outcome ask_all(const struct ctl_line *line,
				const struct ctl_change *change,
				gb_time timeout)
{
	struct ctl_call *calls = ctl_calls(line->servers, GB_STR("GET"),
					   GB_STR("/v1/admin/config"));
	enum ctl_outcome outcome = CTL_OUTCOME_OPEN;

	ctl_http_run(calls, line->servers->len, timeout);
	for (guint i = 0; i < line->servers->len; i++) {
		struct cfg *cfg = read_config(&calls[i]);

		if (!cfg)
			continue;
		if (outcome == CTL_OUTCOME_OPEN)
			outcome = ctl_resolve(change, cfg);
		cfg_unref(cfg);
	}
	ctl_http_free(calls, line->servers->len);
	g_free(calls);
	return outcome;
}

/* Reads back until the outcome is known or the time is over. */
static int read_back(const struct ctl_line *line,
		     const struct ctl_change *change)
{
	gb_time end = ctl_now() + line->timeout;
	enum ctl_outcome outcome = CTL_OUTCOME_OPEN;

	ctl_warn(GB_STR("outcome unknown; reading back"));
	while (outcome == CTL_OUTCOME_OPEN) {
		gb_time left = end - ctl_now();

		if (left < GB_MSEC)
			break;
		outcome = ask_all(line, change, left);
		if (outcome == CTL_OUTCOME_OPEN)
			ctl_pause(MIN(end - ctl_now(), READ_BACK_PAUSE));
	}
	if (outcome == CTL_OUTCOME_DONE) {
		ctl_print(GB_STR("accepted\n"));
		return CTL_DONE;
	}
	if (outcome == CTL_OUTCOME_CONFLICT) {
		ctl_warn(GB_STR("not accepted: another change came first"));
		return CTL_CONFLICT;
	}
	ctl_warn(GB_STR("outcome still unknown: no server shows the change "
			"or a later version; ask again with config"));
	return CTL_UNKNOWN;
}

/* Tells whether the change may have been written although it is not said. */
static bool is_unknown(const struct ctl_call *call, enum gb_code code)
{
	if (call->reach != CTL_ANSWERED)
		return call->reach == CTL_NO_ANSWER;
	return code == GB_ERR_STORE_UNAVAILABLE ||
	       code == GB_ERR_UNKNOWN_OUTCOME ||
	       (code == GB_ERR_CODES && call->status >= 500);
}

/* Sends the plan to one server only: a second one could not tell more. */
static int send(const struct ctl_line *line, struct gb_str body,
		const struct ctl_change *change)
{
	struct gb_buf text = GB_BUF_INIT;
	struct ctl_call call;
	enum gb_code code;
	int status;

	ctl_ask(line, GB_STR("POST"), GB_STR("/v1/admin/confirm"), body, true,
		&call);
	status = ctl_fault(&call, &code);
	if (status != CTL_DONE && is_unknown(&call, code)) {
		status = read_back(line, change);
	} else if (status == CTL_DONE) {
		gb_buf_add(&text, GB_STR("accepted\n"));
		if (line->json) {
			gb_buf_reset(&text);
			gb_buf_add(&text, gb_buf_str(&call.answer));
			gb_buf_addc(&text, '\n');
		} else {
			ctl_view(gb_buf_str(&call.answer), &text);
		}
		ctl_print(gb_buf_str(&text));
	}
	gb_buf_free(&text);
	ctl_http_free(&call, 1);
	return status;
}

int ctl_confirm(const struct ctl_line *line)
{
	struct gb_str path = ctl_word(line, 0);
	struct gb_buf body = GB_BUF_INIT;
	struct ctl_change change = { 0 };
	struct pln_intent intent = { 0 };
	struct gb_error err;
	int status;

	if (ctl_read(path, &body, &err) ||
	    js_confirm_decode(gb_buf_str(&body), &change.plan,
			      &change.base_version, &intent, &err)) {
		status = ctl_fail(path, &err);
	} else if (look_first(line, &change)) {
		ctl_print(GB_STR("accepted before\n"));
		status = CTL_DONE;
	} else {
		status = send(line, gb_buf_str(&body), &change);
	}
	js_intent_free(&intent);
	gb_buf_free(&body);
	return status;
}
