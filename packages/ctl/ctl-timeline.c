#include "ctl/ctl.h"
#include "json/js.h"

#include <inttypes.h>

/* Events of all servers; the strings of each are owned. */
struct timeline {
	GArray *events; /* of struct ev_event */
	uint32_t bad; /* lines that are no event */
};

static struct cfg *read_config(const struct ctl_line *line);
static GArray *find_servers(const struct ctl_line *line, struct cfg *cfg);
static gint by_stamp(gconstpointer a, gconstpointer b);
static void take(struct timeline *timeline, struct gb_str text,
		 const struct ev_filter *filter);
static void add_wall_time(uint64_t hlc, struct gb_buf *out);
static void print(const struct timeline *timeline, bool json);
static int collect(struct timeline *timeline, const GArray *servers,
		   const struct ctl_line *line);

/* Reads the configuration for its roster; NULL if it cannot be had. */
static struct cfg *read_config(const struct ctl_line *line)
{
	struct ctl_call call;
	struct cfg *cfg = NULL;

	ctl_ask(line, GB_STR("GET"), GB_STR("/v1/admin/config"), GB_STR(""),
		false, &call);
	if (call.reach == CTL_ANSWERED && call.status == 200)
		cfg = js_config_decode(gb_buf_str(&call.answer), NULL);
	ctl_http_free(&call, 1);
	return cfg;
}

/* One server named stands for its cell; several are taken as they are. */
static GArray *find_servers(const struct ctl_line *line, struct cfg *cfg)
{
	GArray *servers = g_array_new(FALSE, FALSE, sizeof(struct ctl_server));

	for (guint i = 0; cfg && i < cfg->vms->len; i++) {
		const struct cfg_vm *vm = cfg_vm(cfg, i);
		struct ctl_server server = { .host = vm->host,
					     .port = vm->http_port };

		ctl_add_server(servers, server);
	}
	if (!servers->len)
		g_array_append_vals(servers, line->servers->data,
				    line->servers->len);
	return servers;
}

static gint by_stamp(gconstpointer a, gconstpointer b)
{
	return ev_cmp(a, b);
}

/* Takes the events of one server that pass the filter. */
static void take(struct timeline *timeline, struct gb_str text,
		 const struct ev_filter *filter)
{
	struct ev_event event;
	struct gb_str row;

	while (text.len) {
		gb_str_cut(&text, '\n', &row);
		if (!gb_str_trim(row).len)
			continue;
		if (js_event_decode(row, &event, NULL)) {
			timeline->bad++;
			continue;
		}
		if (ev_filter_match(filter, &event))
			g_array_append_val(timeline->events, event);
		else
			js_event_free(&event);
	}
}

/* Appends the wall time of a stamp, such as 2026-12-04T11:00:00.123Z. */
static void add_wall_time(uint64_t hlc, struct gb_buf *out)
{
	int64_t ms = (int64_t)(hlc >> 16);
	GDateTime *time = g_date_time_new_from_unix_utc(ms / 1000);
	char *text;

	if (!time)
		return;
	text = g_date_time_format(time, "%Y-%m-%dT%H:%M:%S");
	gb_buf_addf(out, "%s.%03dZ ", text, (int)(ms % 1000));
	g_free(text);
	g_date_time_unref(time);
}

static void print(const struct timeline *timeline, bool json)
{
	for (guint i = 0; i < timeline->events->len; i++) {
		const struct ev_event *event =
			&g_array_index(timeline->events, struct ev_event, i);
		struct gb_buf text = GB_BUF_INIT;

		if (json) {
			js_event_encode(event, &text);
		} else {
			add_wall_time(event->hlc, &text);
			ev_text(event, &text);
			gb_buf_addc(&text, '\n');
		}
		ctl_print(gb_buf_str(&text));
		gb_buf_free(&text);
	}
}

/* Asks all servers; a missing one is named, since the line has a gap then. */
static int collect(struct timeline *timeline, const GArray *servers,
		   const struct ctl_line *line)
{
	struct ctl_call *calls =
		ctl_calls(servers, GB_STR("GET"), GB_STR("/v1/admin/events"));
	int status = CTL_UNREACHABLE;

	ctl_http_run(calls, servers->len, line->timeout);
	for (guint i = 0; i < servers->len; i++) {
		enum gb_code code;
		int fault = ctl_fault(&calls[i], &code);

		if (fault == CTL_DONE) {
			take(timeline, gb_buf_str(&calls[i].answer),
			     &line->filter);
			status = CTL_DONE;
		} else if (status == CTL_UNREACHABLE) {
			status = fault;
		}
	}
	ctl_http_free(calls, servers->len);
	g_free(calls);
	return status;
}

int ctl_timeline(const struct ctl_line *line)
{
	struct cfg *cfg = line->servers->len == 1 ? read_config(line) : NULL;
	GArray *servers = find_servers(line, cfg);
	struct timeline timeline = { 0 };
	int status;

	timeline.events = g_array_new(FALSE, FALSE, sizeof(struct ev_event));
	status = collect(&timeline, servers, line);
	g_array_sort(timeline.events, by_stamp);
	print(&timeline, line->json);
	if (timeline.bad)
		ctl_warn(GB_STR("some lines were no events and are left out"));
	for (guint i = 0; i < timeline.events->len; i++)
		js_event_free(
			&g_array_index(timeline.events, struct ev_event, i));
	g_array_free(timeline.events, TRUE);
	g_array_free(servers, TRUE);
	if (cfg)
		cfg_unref(cfg);
	return status;
}
