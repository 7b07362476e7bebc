#include "ctl/ctl.h"
#include "json/js.h"

#include <inttypes.h>

/*
 * A server sends a limited number of events in an answer, oldest first; the
 * next request names the last stamp received. The number of rounds is bounded,
 * since a busy server adds events between the requests.
 */
#define ROUNDS_MAX 100

/* Events of all servers, with strings that are owned. */
struct timeline {
	GArray *events; /* of struct ev_event */
	uint32_t invalid_lines; /* lines that are not events */
};

/* A server and the stamp of the last event received from it. */
struct event_source {
	struct ctl_server server;
	uint64_t last_stamp;
	bool done;
	struct gb_buf path;
};

static struct cfg *fetch_config(const struct ctl_cmdline *cmdline);
static GArray *choose_servers(const struct ctl_cmdline *cmdline,
			      struct cfg *cfg);
static gint compare_stamps(gconstpointer a, gconstpointer b);
static void add_events(struct timeline *timeline, struct event_source *source,
		       struct gb_str text, const struct ev_filter *filter);
static void add_wall_time(uint64_t hlc, struct gb_buf *out);
static void print_events(const struct timeline *timeline, bool json);
static size_t begin_round(struct event_source *sources, size_t len,
			  struct ctl_call *calls, struct event_source **called);
static void collect_round(struct timeline *timeline,
			  struct event_source *sources, size_t len,
			  const struct ctl_cmdline *cmdline, int *status);
static int collect_events(struct timeline *timeline, const GArray *servers,
			  const struct ctl_cmdline *cmdline);

/* Reads the configuration, for its roster; returns NULL on failure. */
static struct cfg *fetch_config(const struct ctl_cmdline *cmdline)
{
	struct ctl_call call;
	struct cfg *cfg = NULL;

	ctl_call_in_turn(cmdline, GB_STR("GET"), GB_STR("/v1/admin/config"),
			 GB_STR(""), false, &call);
	if (call.delivery == CTL_ANSWERED && call.status == 200)
		cfg = js_config_decode(gb_buf_str(&call.answer), NULL);
	ctl_http_free(&call, 1);
	return cfg;
}

/* Returns all VMs of the configuration; without one, the servers given. */
static GArray *choose_servers(const struct ctl_cmdline *cmdline,
			      struct cfg *cfg)
{
	GArray *servers = g_array_new(FALSE, FALSE, sizeof(struct ctl_server));

	for (guint i = 0; cfg && i < cfg->vms->len; i++) {
		const struct cfg_vm *vm = cfg_vm(cfg, i);
		struct ctl_server server = { .host = vm->host,
					     .port = vm->http_port };

		ctl_add_server(servers, server);
	}
	if (!servers->len)
		g_array_append_vals(servers, cmdline->servers->data,
				    cmdline->servers->len);
	return servers;
}

static gint compare_stamps(gconstpointer a, gconstpointer b)
{
	return ev_cmp(a, b);
}

/* Adds the events that match; the source is done when none is new. */
static void add_events(struct timeline *timeline, struct event_source *source,
		       struct gb_str text, const struct ev_filter *filter)
{
	uint64_t before = source->last_stamp;
	struct ev_event event;
	struct gb_str row;

	while (text.len) {
		gb_str_cut(&text, '\n', &row);
		if (!gb_str_trim(row).len)
			continue;
		if (js_event_decode(row, &event, NULL)) {
			timeline->invalid_lines++;
			continue;
		}
		source->last_stamp = MAX(source->last_stamp, event.hlc);
		if (ev_filter_match(filter, &event))
			g_array_append_val(timeline->events, event);
		else
			js_event_free(&event);
	}
	source->done = source->last_stamp == before;
}

/* Appends the wall time of a stamp in ISO 8601 format and a space. */
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

static void print_events(const struct timeline *timeline, bool json)
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

/* Prepares a call for each source that may have more events. */
static size_t begin_round(struct event_source *sources, size_t len,
			  struct ctl_call *calls, struct event_source **called)
{
	size_t calls_len = 0;

	for (size_t i = 0; i < len; i++) {
		struct event_source *source = &sources[i];

		if (source->done)
			continue;
		gb_buf_reset(&source->path);
		gb_buf_add(&source->path, GB_STR("/v1/admin/events"));
		if (source->last_stamp)
			gb_buf_addf(&source->path, "?after=%" PRIu64,
				    source->last_stamp);
		called[calls_len] = source;
		calls[calls_len++] =
			(struct ctl_call){ .server = source->server,
					   .method = GB_STR("GET"),
					   .path = gb_buf_str(&source->path) };
	}
	return calls_len;
}

/* Calls all sources; a failed one is reported, as its events are missing. */
static void collect_round(struct timeline *timeline,
			  struct event_source *sources, size_t len,
			  const struct ctl_cmdline *cmdline, int *status)
{
	struct ctl_call *calls = g_new0(struct ctl_call, len);
	struct event_source **called = g_new0(struct event_source *, len);
	size_t calls_len = begin_round(sources, len, calls, called);

	ctl_http_run(calls, calls_len, cmdline->timeout);
	for (size_t i = 0; i < calls_len; i++) {
		enum gb_code code;
		int call_status = ctl_warn_if_failed(&calls[i], &code);

		if (call_status == CTL_EXIT_DONE) {
			add_events(timeline, called[i],
				   gb_buf_str(&calls[i].answer),
				   &cmdline->filter);
			*status = CTL_EXIT_DONE;
			continue;
		}
		called[i]->done = true;
		if (*status == CTL_EXIT_UNREACHABLE)
			*status = call_status;
	}
	ctl_http_free(calls, calls_len);
	g_free(called);
	g_free(calls);
}

static int collect_events(struct timeline *timeline, const GArray *servers,
			  const struct ctl_cmdline *cmdline)
{
	struct event_source *sources =
		g_new0(struct event_source, servers->len);
	int status = CTL_EXIT_UNREACHABLE;
	bool more = true;

	for (guint i = 0; i < servers->len; i++)
		sources[i].server =
			g_array_index(servers, struct ctl_server, i);
	for (int round = 0; more && round < ROUNDS_MAX; round++) {
		collect_round(timeline, sources, servers->len, cmdline,
			      &status);
		more = false;
		for (guint i = 0; i < servers->len; i++)
			more |= !sources[i].done;
	}
	if (more)
		ctl_warn(GB_STR("the servers add events faster than they can "
				"be read; the newest are left out"));
	for (guint i = 0; i < servers->len; i++)
		gb_buf_free(&sources[i].path);
	g_free(sources);
	return status;
}

int ctl_timeline(const struct ctl_cmdline *cmdline)
{
	struct cfg *cfg =
		cmdline->servers->len == 1 ? fetch_config(cmdline) : NULL;
	GArray *servers = choose_servers(cmdline, cfg);
	struct timeline timeline = { 0 };
	int status;

	timeline.events = g_array_new(FALSE, FALSE, sizeof(struct ev_event));
	status = collect_events(&timeline, servers, cmdline);
	g_array_sort(timeline.events, compare_stamps);
	print_events(&timeline, cmdline->json);
	if (timeline.invalid_lines)
		ctl_warn(GB_STR("some lines are not events and were skipped"));
	for (guint i = 0; i < timeline.events->len; i++)
		js_event_free(
			&g_array_index(timeline.events, struct ev_event, i));
	g_array_free(timeline.events, TRUE);
	g_array_free(servers, TRUE);
	if (cfg)
		cfg_unref(cfg);
	return status;
}
