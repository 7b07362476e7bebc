#include "ctl/ctl.h"
#include "json/js-text.h"

/* Tells whether the value is one as printed by %d or %f. */
static bool is_number(struct gb_str value)
{
	for (size_t i = 0; i < value.len; i++)
		if (!g_ascii_isdigit(value.ptr[i]) && value.ptr[i] != '.' &&
		    !(value.ptr[i] == '-' && !i))
			return false;
	return value.len && g_ascii_isdigit(value.ptr[value.len - 1]);
}

/* Undoes ev_quote(). */
static void unquote(struct gb_str value, struct gb_buf *out)
{
	for (size_t i = 1; i + 1 < value.len; i++) {
		bool escaped = value.ptr[i] == '\\';

		if (escaped && value.ptr[i + 1] == 'x' && i + 4 < value.len) {
			gb_buf_addc(
				out,
				g_ascii_xdigit_value(value.ptr[i + 2]) * 16 +
					g_ascii_xdigit_value(value.ptr[i + 3]));
			i += 3;
			continue;
		}
		i += escaped;
		gb_buf_addc(out, value.ptr[i]);
	}
}

/* Adds ',"NAME":VALUE'. */
static void add_member(struct gb_str name, struct gb_str value,
		       struct gb_buf *text)
{
	struct gb_buf plain = GB_BUF_INIT;

	gb_buf_addc(text, ',');
	js_put_str(text, name);
	gb_buf_addc(text, ':');
	if (value.len && value.ptr[0] == '"') {
		unquote(value, &plain);
		js_put_str(text, gb_buf_str(&plain));
	} else if (is_number(value)) {
		gb_buf_add(text, value);
	} else {
		js_put_str(text, value);
	}
	gb_buf_free(&plain);
}

/* Cuts the next "NAME=VALUE" off a line. */
static bool cut_pair(struct gb_str *line, struct gb_str *name,
		     struct gb_str *value)
{
	size_t end = 0;
	bool quoted = false;

	if (!gb_str_cut(line, '=', name))
		return false;
	while (end < line->len && (quoted || line->ptr[end] != ' ')) {
		if (quoted && line->ptr[end] == '\\')
			end++;
		else if (line->ptr[end] == '"')
			quoted = !quoted;
		end++;
	}
	end = MIN(end, line->len);
	*value = gb_str_sub(*line, 0, end);
	*line = gb_str_sub(*line, MIN(end + 1, line->len), line->len);
	return true;
}

static void add_line(struct gb_str line, struct gb_buf *text)
{
	struct gb_str word, name, value;

	gb_str_cut(&line, ' ', &word);
	gb_buf_add(text, GB_STR("{\"line\":"));
	js_put_str(text, word);
	while (cut_pair(&line, &name, &value))
		add_member(name, value, text);
	gb_buf_addc(text, '}');
}

static void format_json(const struct ctl_call *call, struct gb_buf *text)
{
	struct gb_str rest = gb_buf_str(&call->answer), line;
	struct gb_buf server = GB_BUF_INIT;
	bool first = true;

	ctl_server_text(&call->server, &server);
	gb_buf_add(text, GB_STR("{\"server\":"));
	js_put_str(text, gb_buf_str(&server));
	gb_buf_add(text, GB_STR(",\"lines\":["));
	while (rest.len) {
		gb_str_cut(&rest, '\n', &line);
		if (!line.len)
			continue;
		if (!first)
			gb_buf_addc(text, ',');
		first = false;
		add_line(line, text);
	}
	gb_buf_add(text, GB_STR("]}\n"));
	gb_buf_free(&server);
}

static void format_answer(const struct ctl_cmdline *cmdline,
			  const struct ctl_call *call, struct gb_buf *text)
{
	if (cmdline->json)
		format_json(call, text);
	else
		ctl_format_text(cmdline, call, text);
}

/* The question of the command line, as lines of "NAME VALUE". */
static void write_question(const struct ctl_cmdline *cmdline,
			   struct gb_buf *question)
{
	static const struct gb_str names[] = { GB_STR_INIT("host "),
					       GB_STR_INIT("path "),
					       GB_STR_INIT("key ") };

	for (guint i = 0; i < cmdline->args->len; i++) {
		gb_buf_add(question, names[i]);
		gb_buf_add(question, ctl_arg(cmdline, i));
		gb_buf_addc(question, '\n');
	}
}

int ctl_explain(const struct ctl_cmdline *cmdline)
{
	struct gb_buf question = GB_BUF_INIT;
	int status;

	write_question(cmdline, &question);
	status = ctl_ask_all(cmdline, GB_STR("POST"), GB_STR("/explain"),
			     gb_buf_str(&question), format_answer);
	gb_buf_free(&question);
	return status;
}
