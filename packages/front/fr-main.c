#include "front/fr-organisation.h"
#include "http/ht-listener.h"

#include <signal.h>
#include <string.h>
#include <sys/random.h>

/* Interval of on_tick(), which drives membership, sweeps and log flushes. */
#define TICK_MS (RO_TICK / GB_MSEC)

/* Ticks between two checks of the settings file for changes. */
#define TICKS_PER_SETTINGS_CHECK 8

/* Ticks between two membership ticks. */
#define TICKS_PER_MEMBER_TICK 2

/*
 * After SIGTERM the load balancer notices within two health checks, which are
 * one second apart; until then callers still open connections.
 */
#define LB_REMOVAL_TIME (2600 * GB_MSEC)

/* Part of the grace period reserved for the last answers to arrive. */
#define GRACE_MARGIN (800 * GB_MSEC)

/*
 * An upstream in another data centre is preferred only if it is faster than a
 * local one by this much: the round trip, and more, since traffic between data
 * centres is billed.
 */
#define CROSS_DC_PENALTY (12 * GB_MSEC)

/* Part of the memory of the process that requests and answers may take. */
#define BUFFERED_SHARE 0.25

/* Least time between two log lines about evicted messages. */
#define EVICTION_LOG_INTERVAL (1 * GB_SEC)

static void on_tick(uv_timer_t *timer);

static void log_event_code(struct fr *fr, enum ev_code code)
{
	const struct ev_event event = { .code = code };

	fr_log_event(fr, &event);
}

void fr_update_budget(struct fr *fr)
{
	struct bud_limits *budget = &fr->engine.budget;
	gb_time now = ht_now();

	budget->ratio = fr->settings.retry_ratio;
	budget->extra_total = fr->settings.retry_extra;
	budget->window = fr->settings.retry_window;
	budget->vms = mem_estimate_vms(fr->members, now);
	budget->vms_confirmed = mem_settled(fr->members, now);
}

/* Logs that a message was given up, since all together took too much memory. */
static void on_evicted(void *ctx, size_t bytes)
{
	struct fr *fr = ctx;
	gb_time now = ht_now();
	const struct ev_event event = { .code = EV_MESSAGE_EVICTED,
					.num1 = bytes,
					.num2 = fr->memory.used };

	met_add(&fr->metrics, MET_MESSAGES_EVICTED, 1);
	if (now - fr->eviction_logged_at < EVICTION_LOG_INTERVAL)
		return;
	fr->eviction_logged_at = now;
	fr_log_event(fr, &event);
}

/* Runs after the loop has polled and handled what it found. */
static void on_loop_polled(uv_check_t *check)
{
	struct fr *fr = check->data;

	ht_memory_relieve(&fr->memory);
	if (fr->phase == FR_CLOSING &&
	    ht_now() - fr->closing_since >= HT_HANDSHAKE_TIME)
		ht_server_stop_listening(&fr->caller_server);
}

static void set_memory_limit(struct fr *fr)
{
	fr->memory.limit = fr->settings.memory * BUFFERED_SHARE;
}

static void init_memory(struct fr *fr)
{
	g_queue_init(&fr->memory.holders);
	set_memory_limit(fr);
	fr->memory.evicted = on_evicted;
	fr->memory.ctx = fr;
}

void fr_apply_settings(struct fr *fr)
{
	set_memory_limit(fr);
	fr->log.severity = fr->settings.log_severity;
	fr->log.rate = fr->settings.log_rate;
	fr->engine.exposure = fr->settings.exposure;
	og_limiter_set(fr->limiter, &fr->settings.quota);
	og_buckets_set(fr->buckets, &fr->settings.quota);
	fr_update_timing(fr);
	fr_update_budget(fr);
}

static uint64_t hash_file(const char *file)
{
	gchar *text = NULL;
	uint64_t hash = 0;
	gsize len;

	if (g_file_get_contents(file, &text, &len, NULL))
		hash = gb_hash((struct gb_str){ text, len }, 0);
	g_free(text);
	return hash;
}

/* Reloads the settings file if it has changed, or if forced by SIGHUP. */
void fr_reload_settings(struct fr *fr, bool forced)
{
	struct fr_settings settings;
	uint64_t hash = hash_file(fr->settings_file);
	struct ev_event event = { .code = EV_SETTINGS_RELOADED };
	int problems;

	if (hash == fr->settings_hash && !forced)
		return;
	fr->settings_hash = hash;
	problems = fr->reload(fr->reload_ctx, &settings);
	if (problems) {
		event.code = EV_SETTINGS_REFUSED;
		event.num1 = problems;
	} else {
		fr->settings = settings;
		fr_apply_settings(fr);
	}
	fr_log_event(fr, &event);
}

static void finish_stop(struct fr *fr)
{
	const struct ev_event event = { .code = EV_STOP_END,
					.num1 = fr->queries.length };

	fr_log_event(fr, &event);
	ev_log_flush(&fr->log);
	uv_stop(fr->loop);
}

gb_time fr_stop_deadline(const struct fr *fr)
{
	return fr->stopping_since + fr->settings.grace_period - GRACE_MARGIN;
}

/* Begins to drop attempts to connect; what was accepted is still served. */
static void begin_closing(struct fr *fr)
{
	struct ev_event event = { .code = EV_STOP_CONNECTIONS };

	fr->phase = FR_CLOSING;
	fr->closing_since = ht_now();
	event.num1 = -ht_server_drop_attempts(&fr->caller_server);
	fr_log_event(fr, &event);
}

static void continue_stop(struct fr *fr)
{
	gb_time now = ht_now();

	if (now >= fr_stop_deadline(fr)) {
		fr_abort_queries(fr);
		finish_stop(fr);
		return;
	}
	if (now - fr->stopping_since < LB_REMOVAL_TIME)
		return;
	if (fr->phase != FR_CLOSING)
		begin_closing(fr);
	ht_server_close_idle(&fr->caller_server);
	if (!ht_server_is_listening(&fr->caller_server) &&
	    !fr->caller_server.conns.length && !fr->queries.length &&
	    !g_hash_table_size(fr->asks) && !fr->delegations.length)
		finish_stop(fr);
}

static void on_signal(uv_signal_t *handle, int number)
{
	struct fr *fr = handle->data;

	if (number == SIGHUP) {
		fr_reload_settings(fr, true);
		return;
	}
	if (fr->phase != FR_RUNNING)
		return;
	fr->phase = FR_STOPPING;
	fr->stopping_since = ht_now();
	fr->caller_server.closing = true;
	log_event_code(fr, EV_STOP_BEGIN);
}

static void log_readiness(struct fr *fr)
{
	bool ready = fr_is_ready(fr);

	if (ready == fr->was_ready)
		return;
	fr->was_ready = ready;
	log_event_code(fr, ready ? EV_READY : EV_UNREADY);
}

static void on_tick(uv_timer_t *timer)
{
	struct fr *fr = timer->data;
	gb_time now = ht_now();

	fr->ticks++;
	/* A VM that has just started must discover the members quickly. */
	if (fr->ticks % TICKS_PER_MEMBER_TICK == 0 ||
	    !mem_settled(fr->members, now)) {
		fr_member_tick(fr);
		fr_update_budget(fr);
	}
	fr_suspect_tick(fr);
	fr_keep_tick(fr);
	fr_rollout_tick(fr);
	fr_org_tick(fr);
	fr_helper_tick(fr);
	if (fr->ticks % TICKS_PER_SETTINGS_CHECK == 0)
		fr_reload_settings(fr, false);
	ht_server_close_expired(&fr->caller_server, now);
	fr_mirror_tick(fr, now);
	fl_purge_departed(fr->fleet, now);
	log_readiness(fr);
	ev_log_flush(&fr->log);
	if (fr->phase != FR_RUNNING)
		continue_stop(fr);
}

void fr_set_server_limits(struct ht_server *server,
			  const struct rt_limits *limits)
{
	server->limits = (struct ht_limits){
		.head_max = limits->header_bytes_max,
		.body_max = limits->body_bytes_max,
		.head_timeout = limits->header_timeout,
		.idle_timeout = limits->idle_timeout,
	};
}

static int listen_at(struct fr *fr, struct ht_server *server,
		     struct gb_str address, const struct ht_server_ops *ops)
{
	int ret;

	if (!address.len)
		return 0;
	fr_set_server_limits(server, &rt_limits_default);
	server->memory = &fr->memory;
	ret = ht_server_start(server, fr->loop, address, ops, fr);
	if (ret)
		fprintf(stderr, "gentianbend: %.*s: %s\n", (int)address.len,
			address.ptr, uv_strerror(ret));
	return ret;
}

static void init_forwarding(struct fr *fr)
{
	const struct fl_settings fleet = {
		.dc = fr->settings.dc,
		.cross_dc_rtt = CROSS_DC_PENALTY,
		.drain_time = fr->settings.drain_time,
		.cold_burst = fr->settings.cold_allowance,
		.checks_versions = fr->settings.exposure.share > 0,
	};

	g_queue_init(&fr->queries);
	init_memory(fr);
	fr->fleet = fl_new(&fleet, &fr_fleet_ops, &fr_membership, fr, &fr->rng);
	fw_engine_init(&fr->engine, fr->fleet, &fr_forward_ops, fr, &fr->rng,
		       &fr->metrics);
	fr_suspect_init(fr);
	fr_keep_init(fr);
	fr_rollout_init(fr);
	fr_org_init(fr);
}

static void init_loop_check(struct fr *fr)
{
	uv_check_init(fr->loop, &fr->loop_check);
	fr->loop_check.data = fr;
	uv_check_start(&fr->loop_check, on_loop_polled);
}

static void init_signals(struct fr *fr)
{
	static const int numbers[] = { SIGTERM, SIGINT, SIGHUP };

	signal(SIGPIPE, SIG_IGN);
	for (size_t i = 0; i < G_N_ELEMENTS(numbers); i++) {
		uv_signal_init(fr->loop, &fr->signals[i]);
		fr->signals[i].data = fr;
		uv_signal_start(&fr->signals[i], on_signal, numbers[i]);
	}
}

static int start(struct fr *fr)
{
	uint64_t seed;
	int ret;

	if (getrandom(&seed, sizeof(seed), 0) != sizeof(seed))
		return -1;
	fr->rng.state = seed;
	fr->started_at = ht_now();
	init_signals(fr);
	init_loop_check(fr);
	ev_log_init(&fr->log, 1, fr->settings.name, fr->settings.log_severity,
		    fr->settings.log_rate);
	fr->settings_hash = hash_file(fr->settings_file);
	init_forwarding(fr);
	ret = fr_member_start(fr);
	if (ret)
		return ret;
	fr_helper_init(fr);
	fr_update_budget(fr);
	ret = fr_directory_start(fr);
	if (!ret)
		ret = listen_at(fr, &fr->caller_server,
				fr->settings.listen_address, &fr_caller_ops);
	if (!ret)
		ret = listen_at(fr, &fr->ready_server,
				fr->settings.ready_address, &fr_ready_ops);
	if (!ret)
		ret = listen_at(fr, &fr->control_server,
				fr->settings.control_address, &fr_control_ops);
	if (!ret)
		ret = listen_at(fr, &fr->metrics_server,
				fr->settings.metrics_address, &fr_control_ops);
	if (ret)
		return ret;
	uv_timer_init(fr->loop, &fr->tick_timer);
	fr->tick_timer.data = fr;
	uv_timer_start(&fr->tick_timer, on_tick, TICK_MS, TICK_MS);
	log_event_code(fr, EV_START);
	fr_member_tick(fr);
	fr_suspect_tick(fr);
	fr_keep_tick(fr);
	return 0;
}

int fr_run(const struct fr_settings *settings,
	   const struct fr_platform *platform, const char *file,
	   fr_reload_fn reload, void *ctx)
{
	static struct fr fr;

	fr.settings = *settings;
	fr.platform = platform;
	fr.settings_file = file;
	fr.reload = reload;
	fr.reload_ctx = ctx;
	fr.loop = uv_default_loop();
	if (start(&fr))
		return 1;
	uv_run(fr.loop, UV_RUN_DEFAULT);
	return 0;
}
