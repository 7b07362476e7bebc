#include "ctl/ctl.h"
#include "json/js.h"

#include <inttypes.h>

/*
 * A server sends a limited number of events at once, oldest first; the next
 * ones are asked for by the last stamp. The number of rounds is bounded, since
 * a busy server adds events while it is asked.
 */
#define ROUNDS_MAX 100

/* Events of all servers; the strings of each are owned. */
struct timeline {
	GArray *events; /* of struct ev_event */
	uint32_t bad; /* lines that are no event */
};

/* A server with the stamp of its last event so far. */
struct source {
	struct ctl_server server;
	uint64_t last;
	bool done;
	struct gb_buf path;
};

static struct cfg *read_config(const struct ctl_line *line);
static GArray *find_servers(const struct ctl_line *line, struct cfg *cfg);
static gint by_stamp(gconstpointer a, gconstpointer b);
static void take(struct timeline *timeline, struct source *source,
		 struct gb_str text, const struct ev_filter *filter);
static void add_wall_time(uint64_t hlc, struct gb_buf *out);
static void print(const struct timeline *timeline, bool json);
static size_t begin_round(struct source *sources, size_t len,
			  struct ctl_call *calls, struct source **asked);
static void collect_round(struct timeline *timeline, struct source *sources,
			  size_t len, const struct ctl_line *line, int *status);
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

/* Takes the events of an answer that pass the filter; none ends the source. */
static void take(struct timeline *timeline, struct source *source,
		 struct gb_str text, const struct ev_filter *filter)
{
	uint64_t before = source->last;
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
		source->last = MAX(source->last, event.hlc);
		if (ev_filter_match(filter, &event))
			g_array_append_val(timeline->events, event);
		else
			js_event_free(&event);
	}
	source->done = source->last == before;
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

/* Fills one call for each source that may have more events. */
static size_t begin_round(struct source *sources, size_t len,
			  struct ctl_call *calls, struct source **asked)
{
	size_t calls_len = 0;

	for (size_t i = 0; i < len; i++) {
		struct source *source = &sources[i];

		if (source->done)
			continue;
		gb_buf_reset(&source->path);
		gb_buf_add(&source->path, GB_STR("/v1/admin/events"));
		if (source->last)
			gb_buf_addf(&source->path, "?after=%" PRIu64,
				    source->last);
		asked[calls_len] = source;
		calls[calls_len++] =
			(struct ctl_call){ .server = source->server,
					   .method = GB_STR("GET"),
					   .path = gb_buf_str(&source->path) };
	}
	return calls_len;
}

/* Asks all sources; a failed one is named, as the line has a gap then. */
static void collect_round(struct timeline *timeline, struct source *sources,
			  size_t len, const struct ctl_line *line, int *status)
{
	struct ctl_call *calls = g_new0(struct ctl_call, len);
	struct source **asked = g_new0(struct source *, len);
	size_t calls_len = begin_round(sources, len, calls, asked);

	ctl_http_run(calls, calls_len, line->timeout);
	for (size_t i = 0; i < calls_len; i++) {
		enum gb_code code;
		int fault = ctl_fault(&calls[i], &code);

		if (fault == CTL_DONE) {
			take(timeline, asked[i], gb_buf_str(&calls[i].answer),
			     &line->filter);
			*status = CTL_DONE;
			continue;
		}
		asked[i]->done = true;
		if (*status == CTL_UNREACHABLE)
			*status = fault;
	}
	ctl_http_free(calls, calls_len);
	g_free(asked);
	g_free(calls);
}

static int collect(struct timeline *timeline, const GArray *servers,
		   const struct ctl_line *line)
{
	struct source *sources = g_new0(struct source, servers->len);
	int status = CTL_UNREACHABLE;
	bool open = true;

	for (guint i = 0; i < servers->len; i++)
		sources[i].server =
			g_array_index(servers, struct ctl_server, i);
	for (int round = 0; open && round < ROUNDS_MAX; round++) {
		collect_round(timeline, sources, servers->len, line, &status);
		open = false;
		for (guint i = 0; i < servers->len; i++)
			open |= !sources[i].done;
	}
	if (open)
		ctl_warn(GB_STR("the servers add events faster than they can "
				"be read; the newest are left out"));
	for (guint i = 0; i < servers->len; i++)
		gb_buf_free(&sources[i].path);
	g_free(sources);
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
