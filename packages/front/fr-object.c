#include "front/fr-organisation.h"

/*
 * A start time further ahead of the wall clock is not that of a process. It
 * would make the entries of the process itself look outdated.
 */
#define PROCESS_START_AHEAD_MAX (3600 * GB_SEC)

/* Bytes that a VM adds to the head of a request that it hands over. */
#define HOP_HEAD_MAX 160

/* Whatever callers may send is accepted from other VMs as well. */
static void set_control_limits(struct fr *fr, const struct rt_limits *limits)
{
	struct ht_limits *control = &fr->control_server.limits;

	control->head_max = MAX(rt_limits_default.header_bytes_max,
				limits->header_bytes_max + HOP_HEAD_MAX);
	control->body_max =
		MAX(rt_limits_default.body_bytes_max, limits->body_bytes_max);
}

/*
 * Connects the routes and services of a version of the configuration to the
 * state that outlives it: fleet services and forwarding statistics.
 */
static void bind_table(struct fr *fr, struct rt_table *table)
{
	for (guint i = 0; i < table->services->len; i++) {
		struct rt_service *service = table->services->pdata[i];
		struct fl_service *fleet_service =
			fl_service(fr->fleet, service->name);

		service->data = fleet_service;
		fleet_service->conns_max = service->conns_max;
		fleet_service->cold_rate = service->cold_rate;
	}
	for (guint i = 0; i < table->routes->len; i++) {
		struct rt_route *route = table->routes->pdata[i];

		route->data = fw_route_stats(&fr->engine, route->name);
	}
	fr_set_server_limits(&fr->caller_server, &table->limits);
	set_control_limits(fr, &table->limits);
}

static void on_routes(void *ctx, struct rt_table *table)
{
	struct fr *fr = ctx;
	struct ev_event event = { .code = EV_CONFIG_TAKEN,
				  .num1 = table->version };

	if (rt_current_replace(&fr->config, table)) {
		bind_table(fr, table);
		fr_org_log_table(fr, table);
	} else {
		event.code = EV_CONFIG_REFUSED;
	}
	fr_log_event(fr, &event);
}

static void on_invalid_object(void *ctx, enum fr_object_kind kind,
			      struct gb_str name, const struct gb_error *error)
{
	struct fr *fr = ctx;
	struct gb_buf detail = GB_BUF_INIT;
	struct ev_event event = { .code = EV_ENTRY_BAD };
	struct gb_str subject = { error->subject, error->subject_len };
	struct gb_str code = gb_code_name(error->code);

	met_add(&fr->metrics, MET_OBJECTS_INVALID, 1);
	gb_buf_addf(&detail, "kind=%d name=", kind);
	ev_quote(gb_str_sub(name, 0, MIN(name.len, GB_ERROR_SUBJECT_MAX)),
		 &detail);
	gb_buf_addf(&detail, " error=%.*s subject=", (int)code.len, code.ptr);
	ev_quote(subject, &detail);
	event.detail = gb_buf_str(&detail);
	fr_log_event(fr, &event);
	gb_buf_free(&detail);
	/* An unreadable entry names no upstream that could be used. */
	if (kind == FR_UPSTREAMS)
		fl_remove_entry(fr->fleet, ht_now(), name, 0);
}

/* Checks the parts of an entry that the platform's decoder does not know. */
static int check_entry(const struct fl_entry *entry, struct gb_error *error)
{
	gb_time now = g_get_real_time() * GB_USEC;
	struct sockaddr_storage addr;

	if (ht_parse_address(entry->address, &addr))
		return gb_fail(error, GB_ERR_WRONG_TYPE, entry->address, 0);
	if (entry->process_start > (now + PROCESS_START_AHEAD_MAX) / GB_MSEC)
		return gb_fail(error, GB_ERR_OUT_OF_RANGE,
			       GB_STR("process start"), entry->process_start);
	return 0;
}

static void on_upstream(void *ctx, const struct fl_entry *entry)
{
	struct fr *fr = ctx;
	struct fl_entry dated = *entry;
	struct gb_buf detail = GB_BUF_INIT;
	struct gb_error error;
	struct ev_event event = { .code = EV_ENTRY_TAKEN,
				  .upstream = entry->id,
				  .dc = entry->dc };

	if (check_entry(entry, &error)) {
		on_invalid_object(ctx, FR_UPSTREAMS, entry->id, &error);
		return;
	}
	dated.restored = fr->followers[FR_UPSTREAMS].state.restored;
	dated.unseen =
		dir_unseen_time(&fr->followers[FR_UPSTREAMS].state, ht_now());
	if (!fl_apply_entry(fr->fleet, ht_now(), &dated))
		return;
	gb_buf_addf(&detail, "service=%.*s leaving=%d cold_us=%lld born=%lld",
		    (int)entry->service.len, entry->service.ptr, entry->leaving,
		    (long long)entry->cold_remaining,
		    (long long)entry->process_start);
	if (entry->version.len) {
		gb_buf_add(&detail, GB_STR(" version="));
		ev_quote(entry->version, &detail);
	}
	event.detail = gb_buf_str(&detail);
	fr_log_event(fr, &event);
	gb_buf_free(&detail);
}

static void on_upstream_removed(void *ctx, struct gb_str id)
{
	struct fr *fr = ctx;
	const struct ev_event event = { .code = EV_ENTRY_REMOVED,
					.upstream = id };

	fl_remove_entry(
		fr->fleet, ht_now(), id,
		dir_unseen_time(&fr->followers[FR_UPSTREAMS].state, ht_now()));
	fr_log_event(fr, &event);
}

static void on_dc_exclusion(void *ctx, struct gb_str dc, bool excluded)
{
	struct fr *fr = ctx;
	const struct ev_event event = {
		.code = excluded ? EV_DC_EXCLUDED : EV_DC_INCLUDED,
		.dc = dc,
	};

	if (fl_set_dc_excluded(fr->fleet, dc, excluded))
		fr_log_event(fr, &event);
}

static void on_rollout(void *ctx, const struct fr_rollout_order *order)
{
	fr_rollout_ordered(ctx, order);
}

static void on_rollout_removed(void *ctx, struct gb_str service)
{
	fr_rollout_withdrawn(ctx, service);
}

static void on_raw_object(void *ctx, enum fr_object_kind kind,
			  const struct mir_object *object)
{
	struct fr *fr = ctx;

	mir_put(fr->followers[kind].mirror, object);
}

static void on_object_kept(void *ctx, enum fr_object_kind kind,
			   struct gb_str name)
{
	struct fr *fr = ctx;

	mir_keep(fr->followers[kind].mirror, name);
}

const struct fr_object_ops fr_object_ops = {
	.raw_object = on_raw_object,
	.object_kept = on_object_kept,
	.routes = on_routes,
	.upstream = on_upstream,
	.upstream_removed = on_upstream_removed,
	.dc_exclusion = on_dc_exclusion,
	.rollout = on_rollout,
	.rollout_removed = on_rollout_removed,
	.invalid_object = on_invalid_object,
};
