#include "ctl/ctl.h"
#include "json/js-view.h"
#include "settings/set-address.h"

#include <stdio.h>
#include <string.h>

/* The files that are read are no larger than a configuration object. */
#define FILE_MAX_BYTES (4 * 1024 * 1024)

static enum gb_code read_error_code(const struct ctl_call *call);
static int exit_status_for(enum gb_code code);

void ctl_add_server(GArray *servers, struct ctl_server server)
{
	for (guint i = 0; i < servers->len; i++) {
		const struct ctl_server *existing =
			&g_array_index(servers, struct ctl_server, i);

		if (gb_str_eq(existing->host, server.host) &&
		    existing->port == server.port)
			return;
	}
	g_array_append_val(servers, server);
}

int ctl_add_servers(struct ctl_cmdline *cmdline, struct gb_str list)
{
	struct ctl_server server;
	struct gb_str word;

	do {
		gb_str_cut(&list, ',', &word);
		if (set_parse_host_port(word, &server.host, &server.port))
			return -1;
		ctl_add_server(cmdline->servers, server);
	} while (list.len);
	return 0;
}

struct gb_str ctl_arg(const struct ctl_cmdline *cmdline, guint index)
{
	if (index >= cmdline->args->len)
		return GB_STR("");
	return g_array_index(cmdline->args, struct gb_str, index);
}

struct ctl_call *ctl_new_calls(const GArray *servers, struct gb_str method,
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

void ctl_call_in_turn(const struct ctl_cmdline *cmdline, struct gb_str method,
		      struct gb_str path, struct gb_str body, bool at_most_once,
		      struct ctl_call *call)
{
	for (guint i = 0; i < cmdline->servers->len; i++) {
		*call = (struct ctl_call){ .method = method,
					   .path = path,
					   .body = body };
		call->server =
			g_array_index(cmdline->servers, struct ctl_server, i);
		ctl_http_run(call, 1, cmdline->timeout);
		if (call->delivery == CTL_ANSWERED ||
		    (at_most_once && call->delivery == CTL_NO_ANSWER))
			return;
		if (i + 1 < cmdline->servers->len)
			ctl_http_free(call, 1);
	}
}

/* Returns the error code in an answer, GB_ERR_CODES if there is none. */
static enum gb_code read_error_code(const struct ctl_call *call)
{
	struct gb_buf name = GB_BUF_INIT;
	enum gb_code code;

	js_view_find(gb_buf_str(&call->answer), GB_STR("status"), &name);
	code = gb_code_from_name(gb_buf_str(&name));
	gb_buf_free(&name);
	return code == GB_OK ? GB_ERR_CODES : code;
}

static int exit_status_for(enum gb_code code)
{
	if (code == GB_ERR_CONFLICT)
		return CTL_EXIT_CONFLICT;
	return code == GB_ERR_UNKNOWN_OUTCOME ? CTL_EXIT_UNKNOWN
					      : CTL_EXIT_REFUSED;
}

int ctl_warn_if_failed(const struct ctl_call *call, enum gb_code *code)
{
	struct gb_buf text = GB_BUF_INIT;
	struct gb_buf message = GB_BUF_INIT;
	int status = CTL_EXIT_UNREACHABLE;

	*code = GB_OK;
	if (call->delivery == CTL_ANSWERED && call->status / 100 == 2)
		return CTL_EXIT_DONE;
	ctl_server_text(&call->server, &text);
	if (call->delivery != CTL_ANSWERED) {
		*code = GB_ERR_IO;
		gb_buf_addf(&text, ": %.*s", (int)call->cause.len,
			    call->cause.ptr);
	} else {
		*code = read_error_code(call);
		status = exit_status_for(*code);
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

int ctl_warn_error(struct gb_str subject, const struct gb_error *err)
{
	struct gb_buf text = GB_BUF_INIT;

	gb_buf_addf(&text, "%.*s: ", (int)subject.len, subject.ptr);
	gb_error_text(err, &text);
	ctl_warn(gb_buf_str(&text));
	gb_buf_free(&text);
	return CTL_EXIT_REFUSED;
}

void ctl_server_text(const struct ctl_server *server, struct gb_buf *out)
{
	bool v6 = memchr(server->host.ptr, ':', server->host.len);

	gb_buf_addf(out, "%s%.*s%s:%d", v6 ? "[" : "", (int)server->host.len,
		    server->host.ptr, v6 ? "]" : "", server->port);
}

int ctl_read_file(struct gb_str path, struct gb_buf *out, struct gb_error *err)
{
	bool is_stdin = gb_str_eq(path, GB_STR("-"));
	char *name = gb_str_to_c(path);
	FILE *file = is_stdin ? stdin : fopen(name, "rb");
	char buffer[4096];
	int status = 0;
	size_t len;

	g_free(name);
	if (!file)
		return gb_fail(err, GB_ERR_IO, path, 0);
	while (!status && (len = fread(buffer, 1, sizeof(buffer), file)) > 0) {
		gb_buf_add(out, (struct gb_str){ .ptr = buffer, .len = len });
		if (out->len > FILE_MAX_BYTES)
			status = gb_fail(err, GB_ERR_TOO_LARGE, path, out->len);
	}
	if (!status && ferror(file))
		status = gb_fail(err, GB_ERR_IO, path, 0);
	if (!is_stdin)
		fclose(file);
	return status;
}
