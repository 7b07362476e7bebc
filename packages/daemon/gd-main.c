#include "daemon/gd.h"
#include "platform/pf.h"

#include <argp.h>
#include <errno.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/random.h>
#include <sys/resource.h>

const char *argp_program_version = "gentianbend 0.1";

struct options {
	const char *settings;
	bool check;
};

struct signals {
	uv_signal_t term;
	uv_signal_t interrupt;
};

static const struct argp_option argp_options[] = {
	{ "settings", 's', "FILE", 0, "Read the settings from FILE", 0 },
	{ "check", 'c', NULL, 0, "Check the settings and exit", 0 },
	{ 0 },
};

static error_t parse_option(int key, char *arg, struct argp_state *state);
static char *add_settings_help(int key, const char *text, void *input);
static int read_settings(const struct options *options,
			 struct set_settings *settings);
static void raise_descriptor_limit(void);
static int start_daemon(struct gd *gd);
static uint64_t new_incarnation(uint64_t random);
static void on_signal(uv_signal_t *handle, int number);
static int run_daemon(struct gd *gd);

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct options *options = state->input;

	switch (key) {
	case 's':
		options->settings = arg;
		return 0;
	case 'c':
		options->check = true;
		return 0;
	case ARGP_KEY_END:
		if (!options->settings)
			argp_error(state, "--settings is missing");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* Adds the list of settings to the output of --help. */
static char *add_settings_help(int key, const char *text,
			       void *input __attribute__((unused)))
{
	struct gb_buf buf = GB_BUF_INIT;

	if (key != ARGP_KEY_HELP_POST_DOC)
		return (char *)text;
	gb_buf_add(&buf, GB_STR("Settings:\n"));
	set_write_help(&buf);
	return buf.ptr; /* freed by argp with free(), as g_realloc() allows */
}

static int read_settings(const struct options *options,
			 struct set_settings *settings)
{
	struct gb_str file = gb_str_from_c(options->settings);
	struct set_problems problems = { 0 };
	struct gb_buf text = GB_BUF_INIT;
	int ret = set_read_file(file, settings, &problems);

	if (ret) {
		set_problems_text(&problems, file, &text);
		fwrite(text.ptr, 1, text.len, stderr);
	}
	gb_buf_free(&text);
	set_problems_free(&problems);
	return ret;
}

/* Each caller, peer and upstream connection needs a descriptor. */
static void raise_descriptor_limit(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit))
		return;
	limit.rlim_cur = limit.rlim_max;
	setrlimit(RLIMIT_NOFILE, &limit);
}

/* The first signal begins the graceful stop, the second one exits at once. */
static void on_signal(uv_signal_t *handle, int number __attribute__((unused)))
{
	struct gd *gd = handle->data;

	if (gd->phase != GD_RUNNING) {
		gd_log_flush(&gd->log);
		_exit(1);
	}
	gd_stop(gd);
}

/* Orders the incarnations of this VM by start time, in microseconds. */
static uint64_t new_incarnation(uint64_t random)
{
	return (uint64_t)g_get_real_time() << 12 | (random & 0xfff);
}

static int start_daemon(struct gd *gd)
{
	struct nd_settings *node = &gd->settings.node;
	uint64_t random[3];
	int ret;

	if (getrandom(random, sizeof(random), 0) != sizeof(random))
		return -errno;
	node->incarnation = new_incarnation(random[0]);
	node->seed = random[1];
	gd->rng.state = random[2];
	gd_log_init(&gd->log, gd->settings.name, gd->settings.log_severity);
	gd->ring = ev_ring_new(gd->settings.events_kept);
	gd->upstream_calls = g_hash_table_new(g_int64_hash, g_int64_equal);
	gd_loop_init(gd);
	gd_client_init(gd);
	gd->node = nd_new(node, &gd_ops, gd, &gd->metrics, gd_clock());
	ret = gd_peer_init(gd);
	if (ret) {
		fprintf(stderr,
			"gentianbend: cannot listen for peers on port %u: %s\n",
			gd->settings.peer_port, uv_strerror(ret));
		return ret;
	}
	ret = gd_http_init(gd);
	if (ret)
		fprintf(stderr,
			"gentianbend: cannot listen for HTTP on port %u: %s\n",
			gd->settings.http_port, uv_strerror(ret));
	return ret;
}

static int run_daemon(struct gd *gd)
{
	struct signals signals;

	signal(SIGPIPE, SIG_IGN);
	uv_signal_init(gd->uv, &signals.term);
	uv_signal_init(gd->uv, &signals.interrupt);
	signals.term.data = gd;
	signals.interrupt.data = gd;
	uv_signal_start(&signals.term, on_signal, SIGTERM);
	uv_signal_start(&signals.interrupt, on_signal, SIGINT);
	if (start_daemon(gd))
		return 1;
	uv_run(gd->uv, UV_RUN_DEFAULT);
	gd_event(gd, EV_STOP_END, GB_STR(""), GB_STR(""),
		 g_hash_table_size(gd->http.pending_requests), 0);
	gd_log_flush(&gd->log);
	return 0;
}

/*
 * Reads the settings file of a running VM again. The earlier settings are not
 * freed, since their strings are still in use.
 */
static int reload_settings(void *ctx, struct fr_settings *front)
{
	struct set_settings *settings = g_new0(struct set_settings, 1);

	if (read_settings(ctx, settings)) {
		set_free(settings);
		g_free(settings);
		return 1;
	}
	*front = settings->front;
	return 0;
}

int main(int argc, char **argv)
{
	static const struct argp argp = {
		argp_options, parse_option,
		NULL,	      "One VM of the gentianbend query tier",
		NULL,	      add_settings_help,
		NULL
	};
	static struct gd gd;
	struct options options = { 0 };
	int ret = 1;

	argp_parse(&argp, argc, argv, 0, NULL, &options);
	if (read_settings(&options, &gd.settings))
		goto out;
	ret = 0;
	if (options.check)
		goto out;
	raise_descriptor_limit();
	if (gb_str_eq(gd.settings.role, GB_STR("front"))) {
		ret = fr_run(&gd.settings.front, &pf_platform, options.settings,
			     reload_settings, &options);
		goto out;
	}
	gd.uv = uv_default_loop();
	ret = run_daemon(&gd);
out:
	set_free(&gd.settings);
	return ret;
}
