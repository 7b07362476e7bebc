#include "ctl/ctl.h"
#include "json/js-view.h"
#include "settings/set-address.h"

#include <stdio.h>
#include <string.h>

/* No file that the command reads is larger than a configuration object. */
#define FILE_MAX_BYTES (4 * 1024 * 1024)

static enum gb_code answer_code(const struct ctl_call *call);
static int exit_of(enum gb_code code);

void ctl_add_server(GArray *servers, struct ctl_server server)
{
	for (guint i = 0; i < servers->len; i++) {
		const struct ctl_server *has =
			&g_array_index(servers, struct ctl_server, i);

		if (gb_str_eq(has->host, server.host) &&
		    has->port == server.port)
			return;
	}
	g_array_append_val(servers, server);
}

int ctl_add_servers(struct ctl_line *line, struct gb_str list)
{
	struct ctl_server server;
	struct gb_str word;

	do {
		gb_str_cut(&list, ',', &word);
		if (set_host_port(word, &server.host, &server.port))
			return -1;
		ctl_add_server(line->servers, server);
	} while (list.len);
	return 0;
}

struct gb_str ctl_word(const struct ctl_line *line, guint index)
{
	if (index >= line->words->len)
		return GB_STR("");
	return g_array_index(line->words, struct gb_str, index);
}

struct ctl_call *ctl_calls(const GArray *servers, struct gb_str method,
			   struct gb_str path)
{
	struct ctl_call *calls = g_new0(struct ctl_call, servers->len);

	for (guint i = 0; i < servers->len; i++) {
		calls[i].server = g_array_index(servers, struct ctl_server, i);
		calls[i].method = method;
		calls[i].path = path;
	}
	return calls;
}

void ctl_ask(const struct ctl_line *line, struct gb_str method,
	     struct gb_str path, struct gb_str body, bool once,
	     struct ctl_call *call)
{
	for (guint i = 0; i < line->servers->len; i++) {
		*call = (struct ctl_call){ .method = method,
					   .path = path,
					   .body = body };
		call->server =
			g_array_index(line->servers, struct ctl_server, i);
		ctl_http_run(call, 1, line->timeout);
		if (call->reach == CTL_ANSWERED ||
		    (once && call->reach == CTL_NO_ANSWER))
			return;
		if (i + 1 < line->servers->len)
			ctl_http_free(call, 1);
	}
}

/* Reads the typed error of an answer. */
static enum gb_code answer_code(const struct ctl_call *call)
{
	struct gb_buf name = GB_BUF_INIT;
	enum gb_code code;

	js_view_find(gb_buf_str(&call->answer), GB_STR("status"), &name);
	code = gb_code_from_name(gb_buf_str(&name));
	gb_buf_free(&name);
	return code == GB_OK ? GB_ERR_CODES : code;
}

static int exit_of(enum gb_code code)
{
	if (code == GB_ERR_CONFLICT)
		return CTL_CONFLICT;
	return code == GB_ERR_UNKNOWN_OUTCOME ? CTL_UNKNOWN : CTL_REFUSED;
}

int ctl_fault(const struct ctl_call *call, enum gb_code *code)
{
	struct gb_buf text = GB_BUF_INIT;
	struct gb_buf message = GB_BUF_INIT;
	int status = CTL_UNREACHABLE;

	*code = GB_OK;
	if (call->reach == CTL_ANSWERED && call->status / 100 == 2)
		return CTL_DONE;
	ctl_server_text(&call->server, &text);
	if (call->reach != CTL_ANSWERED) {
		*code = GB_ERR_IO;
		gb_buf_addf(&text, ": %.*s", (int)call->cause.len,
			    call->cause.ptr);
	} else {
		*code = answer_code(call);
		status = exit_of(*code);
		gb_buf_addf(&text, ": status %d", call->status);
		if (!js_view_find(gb_buf_str(&call->answer), GB_STR("message"),
				  &message))
			gb_buf_addf(&text, ": %s", message.ptr);
	}
	ctl_warn(gb_buf_str(&text));
	gb_buf_free(&message);
	gb_buf_free(&text);
	return status;
}

int ctl_fail(struct gb_str subject, const struct gb_error *err)
{
	struct gb_buf text = GB_BUF_INIT;

	gb_buf_addf(&text, "%.*s: ", (int)subject.len, subject.ptr);
	gb_error_text(err, &text);
	ctl_warn(gb_buf_str(&text));
	gb_buf_free(&text);
	return CTL_REFUSED;
}

void ctl_server_text(const struct ctl_server *server, struct gb_buf *out)
{
	bool v6 = memchr(server->host.ptr, ':', server->host.len);

	gb_buf_addf(out, "%s%.*s%s:%d", v6 ? "[" : "", (int)server->host.len,
		    server->host.ptr, v6 ? "]" : "", server->port);
}

int ctl_read(struct gb_str path, struct gb_buf *out, struct gb_error *err)
{
	bool standard = gb_str_eq(path, GB_STR("-"));
	char *name = gb_str_to_c(path);
	FILE *file = standard ? stdin : fopen(name, "rb");
	char block[4096];
	int status = 0;
	size_t len;

	g_free(name);
	if (!file)
		return gb_fail(err, GB_ERR_IO, path, 0);
	while (!status && (len = fread(block, 1, sizeof(block), file)) > 0) {
		gb_buf_add(out, (struct gb_str){ .ptr = block, .len = len });
		if (out->len > FILE_MAX_BYTES)
			status = gb_fail(err, GB_ERR_TOO_LARGE, path, out->len);
	}
	if (!status && ferror(file))
		status = gb_fail(err, GB_ERR_IO, path, 0);
	if (!standard)
		fclose(file);
	return status;
}
