#include "ctl/ctl.h"
#include "ctl/ctl-view.h"
#include "json/js.h"
#include "json/js-part.h"

/* How the words after the name of an intent are read. */
struct form {
	enum pln_kind kind;
	struct gb_str usage;
	guint words;
	int (*fill)(const struct ctl_line *line, struct pln_intent *intent,
		    struct gb_error *err);
};

static int fill_target(const struct ctl_line *line, struct pln_intent *intent,
		       struct gb_error *err);
static int fill_region(const struct ctl_line *line, struct pln_intent *intent,
		       struct gb_error *err);
static int fill_limit(const struct ctl_line *line, struct pln_intent *intent,
		      struct gb_error *err);
static int fill_part(const struct ctl_line *line, struct pln_intent *intent,
		     struct gb_error *err);
static const struct form *find_form(struct gb_str name);
static int usage(void);
static int save(const struct ctl_line *line, struct gb_str plan);
static int show(const struct ctl_line *line, struct gb_str plan);
static int send(const struct ctl_line *line, const struct pln_intent *intent);

static const struct form forms[] = {
	{ .kind = PLN_DC_CREATE,
	  .usage = GB_STR_INIT("DC REGION"),
	  .words = 2,
	  .fill = fill_region },
	{ .kind = PLN_DC_OUT,
	  .usage = GB_STR_INIT("DC"),
	  .words = 1,
	  .fill = fill_target },
	{ .kind = PLN_DC_BACK,
	  .usage = GB_STR_INIT("DC"),
	  .words = 1,
	  .fill = fill_target },
	{ .kind = PLN_UPSTREAM_DRAIN,
	  .usage = GB_STR_INIT("SERVICE/REPLICA"),
	  .words = 1,
	  .fill = fill_target },
	{ .kind = PLN_UPSTREAM_RESTORE,
	  .usage = GB_STR_INIT("SERVICE/REPLICA"),
	  .words = 1,
	  .fill = fill_target },
	{ .kind = PLN_LIMIT_SET,
	  .usage = GB_STR_INIT("SERVICE FIELD VALUE"),
	  .words = 3,
	  .fill = fill_limit },
	{ .kind = PLN_SERVICE_CREATE,
	  .usage = GB_STR_INIT("FILE.json"),
	  .words = 1,
	  .fill = fill_part },
	{ .kind = PLN_SERVICE_REPARTITION,
	  .usage = GB_STR_INIT("FILE.json"),
	  .words = 1,
	  .fill = fill_part },
	{ .kind = PLN_SNAPSHOT_PUBLISH,
	  .usage = GB_STR_INIT("FILE.json"),
	  .words = 1,
	  .fill = fill_part },
	{ .kind = PLN_VM_ADD,
	  .usage = GB_STR_INIT("FILE.json"),
	  .words = 1,
	  .fill = fill_part },
	{ .kind = PLN_VM_REMOVE,
	  .usage = GB_STR_INIT("NAME"),
	  .words = 1,
	  .fill = fill_target },
};

static int fill_target(const struct ctl_line *line, struct pln_intent *intent,
		       struct gb_error *err)
{
	(void)err;
	intent->target = ctl_word(line, 1);
	return 0;
}

static int fill_region(const struct ctl_line *line, struct pln_intent *intent,
		       struct gb_error *err)
{
	(void)err;
	intent->target = ctl_word(line, 1);
	intent->field = ctl_word(line, 2);
	return 0;
}

static int fill_limit(const struct ctl_line *line, struct pln_intent *intent,
		      struct gb_error *err)
{
	struct gb_str text = ctl_word(line, 3);
	int64_t value;

	intent->target = ctl_word(line, 1);
	intent->field = ctl_word(line, 2);
	if (gb_str_to_int(text, 0, UINT32_MAX, &value))
		return gb_fail(err, GB_ERR_WRONG_TYPE, text, 0);
	intent->value = value;
	return 0;
}

/* Reads the new elements from a file in the form of the configuration. */
static int fill_part(const struct ctl_line *line, struct pln_intent *intent,
		     struct gb_error *err)
{
	struct gb_buf text = GB_BUF_INIT;

	if (!ctl_read(ctl_word(line, 1), &text, err))
		intent->part = js_part_decode(gb_buf_str(&text), err);
	gb_buf_free(&text);
	return intent->part ? 0 : -1;
}

static const struct form *find_form(struct gb_str name)
{
	enum pln_kind kind = pln_kind_from_name(name);

	for (size_t i = 0; i < G_N_ELEMENTS(forms); i++)
		if (forms[i].kind == kind)
			return &forms[i];
	return NULL;
}

/* Lists all intents with their words. */
static int usage(void)
{
	struct gb_buf text = GB_BUF_INIT;

	gb_buf_add(&text, GB_STR("usage: gentianctl plan INTENT, one of:"));
	for (size_t i = 0; i < G_N_ELEMENTS(forms); i++) {
		struct gb_str name = pln_kind_name(forms[i].kind);

		gb_buf_addf(&text, "\n  %.*s %.*s", (int)name.len, name.ptr,
			    (int)forms[i].usage.len, forms[i].usage.ptr);
	}
	ctl_warn(gb_buf_str(&text));
	gb_buf_free(&text);
	return CTL_USAGE;
}

static int save(const struct ctl_line *line, struct gb_str plan)
{
	char *path = gb_str_to_c(line->output);
	struct gb_error err;
	int status = CTL_DONE;

	if (!g_file_set_contents(path, plan.ptr, plan.len, NULL)) {
		gb_fail(&err, GB_ERR_IO, line->output, 0);
		status = ctl_fail(GB_STR("--output"), &err);
	}
	g_free(path);
	return status;
}

/* Prints the effects; the plan itself goes to the file of --output. */
static int show(const struct ctl_line *line, struct gb_str plan)
{
	struct gb_buf text = GB_BUF_INIT;

	if (line->json) {
		gb_buf_add(&text, plan);
		gb_buf_addc(&text, '\n');
	} else {
		ctl_view(plan, &text);
	}
	ctl_print(gb_buf_str(&text));
	gb_buf_free(&text);
	return line->output.len ? save(line, plan) : CTL_DONE;
}

/* A plan changes nothing, so any server may be asked, and again. */
static int send(const struct ctl_line *line, const struct pln_intent *intent)
{
	struct gb_buf body = GB_BUF_INIT;
	struct ctl_call call;
	enum gb_code code;
	int status;

	js_intent_encode(intent, &body);
	ctl_ask(line, GB_STR("POST"), GB_STR("/v1/admin/plan"),
		gb_buf_str(&body), false, &call);
	status = ctl_fault(&call, &code);
	if (status == CTL_DONE)
		status = show(line, gb_buf_str(&call.answer));
	ctl_http_free(&call, 1);
	gb_buf_free(&body);
	return status;
}

int ctl_plan(const struct ctl_line *line)
{
	const struct form *form = find_form(ctl_word(line, 0));
	struct pln_intent intent = { 0 };
	struct gb_error err;
	int status;

	if (!form || line->words->len != form->words + 1)
		return usage();
	intent.kind = form->kind;
	if (form->fill(line, &intent, &err))
		status = ctl_fail(ctl_word(line, 0), &err);
	else
		status = send(line, &intent);
	if (intent.part)
		cfg_unref(intent.part);
	return status;
}
