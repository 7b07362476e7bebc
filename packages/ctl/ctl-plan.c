#include "ctl/ctl.h"
#include "ctl/ctl-view.h"
#include "json/js.h"
#include "json/js-part.h"

/* Arguments that follow the name of an intent. */
struct intent_syntax {
	enum pln_kind kind;
	struct gb_str usage;
	guint args_len;
	int (*parse)(const struct ctl_cmdline *cmdline,
		     struct pln_intent *intent, struct gb_error *err);
};

static int parse_target(const struct ctl_cmdline *cmdline,
			struct pln_intent *intent, struct gb_error *err);
static int parse_region(const struct ctl_cmdline *cmdline,
			struct pln_intent *intent, struct gb_error *err);
static int parse_limit(const struct ctl_cmdline *cmdline,
		       struct pln_intent *intent, struct gb_error *err);
static int parse_part_file(const struct ctl_cmdline *cmdline,
			   struct pln_intent *intent, struct gb_error *err);
static const struct intent_syntax *find_syntax(struct gb_str name);
static int print_usage(void);
static int save_plan(const struct ctl_cmdline *cmdline, struct gb_str plan);
static int print_plan(const struct ctl_cmdline *cmdline, struct gb_str plan);
static int request_plan(const struct ctl_cmdline *cmdline,
			const struct pln_intent *intent);

static const struct intent_syntax intent_syntaxes[] = {
	{ .kind = PLN_DC_CREATE,
	  .usage = GB_STR_INIT("DC REGION"),
	  .args_len = 2,
	  .parse = parse_region },
	{ .kind = PLN_DC_EXCLUDE,
	  .usage = GB_STR_INIT("DC"),
	  .args_len = 1,
	  .parse = parse_target },
	{ .kind = PLN_DC_INCLUDE,
	  .usage = GB_STR_INIT("DC"),
	  .args_len = 1,
	  .parse = parse_target },
	{ .kind = PLN_UPSTREAM_DRAIN,
	  .usage = GB_STR_INIT("SERVICE/REPLICA"),
	  .args_len = 1,
	  .parse = parse_target },
	{ .kind = PLN_UPSTREAM_RESTORE,
	  .usage = GB_STR_INIT("SERVICE/REPLICA"),
	  .args_len = 1,
	  .parse = parse_target },
	{ .kind = PLN_LIMIT_SET,
	  .usage = GB_STR_INIT("SERVICE FIELD VALUE"),
	  .args_len = 3,
	  .parse = parse_limit },
	{ .kind = PLN_SERVICE_CREATE,
	  .usage = GB_STR_INIT("FILE.json"),
	  .args_len = 1,
	  .parse = parse_part_file },
	{ .kind = PLN_SERVICE_REPARTITION,
	  .usage = GB_STR_INIT("FILE.json"),
	  .args_len = 1,
	  .parse = parse_part_file },
	{ .kind = PLN_SNAPSHOT_PUBLISH,
	  .usage = GB_STR_INIT("FILE.json"),
	  .args_len = 1,
	  .parse = parse_part_file },
	{ .kind = PLN_VM_ADD,
	  .usage = GB_STR_INIT("FILE.json"),
	  .args_len = 1,
	  .parse = parse_part_file },
	{ .kind = PLN_VM_REMOVE,
	  .usage = GB_STR_INIT("NAME"),
	  .args_len = 1,
	  .parse = parse_target },
};

static int parse_target(const struct ctl_cmdline *cmdline,
			struct pln_intent *intent, struct gb_error *err)
{
	(void)err;
	intent->target = ctl_arg(cmdline, 1);
	return 0;
}

static int parse_region(const struct ctl_cmdline *cmdline,
			struct pln_intent *intent, struct gb_error *err)
{
	(void)err;
	intent->target = ctl_arg(cmdline, 1);
	intent->field = ctl_arg(cmdline, 2);
	return 0;
}

static int parse_limit(const struct ctl_cmdline *cmdline,
		       struct pln_intent *intent, struct gb_error *err)
{
	struct gb_str text = ctl_arg(cmdline, 3);
	int64_t value;

	intent->target = ctl_arg(cmdline, 1);
	intent->field = ctl_arg(cmdline, 2);
	if (gb_str_to_int(text, 0, UINT32_MAX, &value))
		return gb_fail(err, GB_ERR_WRONG_TYPE, text, 0);
	intent->value = value;
	return 0;
}

/* Reads the new elements from a file in the format of the configuration. */
static int parse_part_file(const struct ctl_cmdline *cmdline,
			   struct pln_intent *intent, struct gb_error *err)
{
	struct gb_buf text = GB_BUF_INIT;

	if (!ctl_read_file(ctl_arg(cmdline, 1), &text, err))
		intent->fragment = js_part_decode(gb_buf_str(&text), err);
	gb_buf_free(&text);
	return intent->fragment ? 0 : -1;
}

static const struct intent_syntax *find_syntax(struct gb_str name)
{
	enum pln_kind kind = pln_kind_from_name(name);

	for (size_t i = 0; i < G_N_ELEMENTS(intent_syntaxes); i++)
		if (intent_syntaxes[i].kind == kind)
			return &intent_syntaxes[i];
	return NULL;
}

/* Prints all intents with their arguments. */
static int print_usage(void)
{
	struct gb_buf text = GB_BUF_INIT;

	gb_buf_add(&text, GB_STR("usage: gentianctl plan INTENT, one of:"));
	for (size_t i = 0; i < G_N_ELEMENTS(intent_syntaxes); i++) {
		struct gb_str name = pln_kind_name(intent_syntaxes[i].kind);

		gb_buf_addf(&text, "\n  %.*s %.*s", (int)name.len, name.ptr,
			    (int)intent_syntaxes[i].usage.len,
			    intent_syntaxes[i].usage.ptr);
	}
	ctl_warn(gb_buf_str(&text));
	gb_buf_free(&text);
	return CTL_EXIT_USAGE;
}

static int save_plan(const struct ctl_cmdline *cmdline, struct gb_str plan)
{
	char *path = gb_str_to_c(cmdline->output);
	struct gb_error err;
	int status = CTL_EXIT_DONE;

	if (!g_file_set_contents(path, plan.ptr, plan.len, NULL)) {
		gb_fail(&err, GB_ERR_IO, cmdline->output, 0);
		status = ctl_warn_error(GB_STR("--output"), &err);
	}
	g_free(path);
	return status;
}

/* Prints the plan and its effects; saves it if --output is given. */
static int print_plan(const struct ctl_cmdline *cmdline, struct gb_str plan)
{
	struct gb_buf text = GB_BUF_INIT;

	if (cmdline->json) {
		gb_buf_add(&text, plan);
		gb_buf_addc(&text, '\n');
	} else {
		ctl_format_json(plan, &text);
	}
	ctl_print(gb_buf_str(&text));
	gb_buf_free(&text);
	return cmdline->output.len ? save_plan(cmdline, plan) : CTL_EXIT_DONE;
}

/* Making a plan changes nothing, so a call may be sent to further servers. */
static int request_plan(const struct ctl_cmdline *cmdline,
			const struct pln_intent *intent)
{
	struct gb_buf body = GB_BUF_INIT;
	struct ctl_call call;
	enum gb_code code;
	int status;

	js_intent_encode(intent, &body);
	ctl_call_in_turn(cmdline, GB_STR("POST"), GB_STR("/v1/admin/plan"),
			 gb_buf_str(&body), false, &call);
	status = ctl_warn_if_failed(&call, &code);
	if (status == CTL_EXIT_DONE)
		status = print_plan(cmdline, gb_buf_str(&call.answer));
	ctl_http_free(&call, 1);
	gb_buf_free(&body);
	return status;
}

int ctl_plan(const struct ctl_cmdline *cmdline)
{
	const struct intent_syntax *syntax = find_syntax(ctl_arg(cmdline, 0));
	struct pln_intent intent = { 0 };
	struct gb_error err;
	int status;

	if (!syntax || cmdline->args->len != syntax->args_len + 1)
		return print_usage();
	intent.kind = syntax->kind;
	if (syntax->parse(cmdline, &intent, &err))
		status = ctl_warn_error(ctl_arg(cmdline, 0), &err);
	else
		status = request_plan(cmdline, &intent);
	if (intent.fragment)
		cfg_unref(intent.fragment);
	return status;
}
