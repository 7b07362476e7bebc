#include "config/cfg.h"
#include "ctl/ctl.h"
#include "json/js.h"

#include <inttypes.h>

static void add_service(const struct cfg_service *service, struct gb_buf *out);
static void add_config(const struct cfg *cfg, struct gb_buf *out);
static int format_config(const struct ctl_call *call, struct gb_buf *out);

static void add_service(const struct cfg_service *service, struct gb_buf *out)
{
	const struct cfg_snapshot *newest = cfg_newest_snapshot(service);
	guint replicas = 0;

	for (guint i = 0; i < service->shards->len; i++)
		replicas += cfg_shard(service, i)->replicas->len;
	gb_buf_addf(out,
		    "service %.*s policy=%.*s shards=%u replicas=%u slots=%u "
		    "queue=%u connections=%u cold_slots=%u ramp_ms=%lld "
		    "hedge_permille=%u deadline_ms=%lld",
		    (int)service->name.len, service->name.ptr,
		    (int)service->policy.len, service->policy.ptr,
		    service->shards->len, replicas, service->limits.slots,
		    service->limits.queue, service->limits.connections,
		    service->limits.cold_slots,
		    (long long)(service->limits.ramp / GB_MSEC),
		    service->hedge_permille,
		    (long long)(service->deadline / GB_MSEC));
	if (newest)
		gb_buf_addf(out, " snapshot=%" PRIu64, newest->id);
	gb_buf_addc(out, '\n');
}

static void add_config(const struct cfg *cfg, struct gb_buf *out)
{
	gb_buf_addf(out, "version %" PRIu64 " epoch %" PRIu64 "\n",
		    cfg->version, cfg->epoch);
	for (guint i = 0; i < cfg->dcs->len; i++) {
		const struct cfg_dc *dc = cfg_dc(cfg, i);

		gb_buf_addf(out, "dc %.*s region=%.*s %s\n", (int)dc->name.len,
			    dc->name.ptr, (int)dc->region.len, dc->region.ptr,
			    dc->excluded ? "out" : "in");
	}
	for (guint i = 0; i < cfg->vms->len; i++) {
		const struct cfg_vm *vm = cfg_vm(cfg, i);
		struct gb_str dc = cfg_dc(cfg, vm->dc)->name;

		gb_buf_addf(out,
			    "vm %u name=%.*s host=%.*s peer_port=%d "
			    "http_port=%d dc=%.*s%s\n",
			    vm->id, (int)vm->name.len, vm->name.ptr,
			    (int)vm->host.len, vm->host.ptr, vm->peer_port,
			    vm->http_port, (int)dc.len, dc.ptr,
			    i < cfg_granter_count(cfg) ? " granter" : "");
	}
	for (guint i = 0; i < cfg->services->len; i++)
		add_service(cfg_service(cfg, i), out);
	for (guint i = 0; i < cfg->change_ids->len; i++)
		gb_buf_addf(out, "change %016" PRIx64 "\n",
			    g_array_index(cfg->change_ids, uint64_t, i));
}

/* Appends a summary of the configuration that an answer holds. */
static int format_config(const struct ctl_call *call, struct gb_buf *out)
{
	struct gb_error err;
	struct cfg *cfg = js_config_decode(gb_buf_str(&call->answer), &err);

	if (!cfg)
		return ctl_warn_error(GB_STR("configuration"), &err);
	cfg->version = call->version;
	add_config(cfg, out);
	cfg_unref(cfg);
	return CTL_EXIT_DONE;
}

int ctl_config(const struct ctl_cmdline *cmdline)
{
	struct gb_buf text = GB_BUF_INIT;
	struct ctl_call call;
	enum gb_code code;
	int status;

	ctl_call_in_turn(cmdline, GB_STR("GET"), GB_STR("/v1/admin/config"),
			 GB_STR(""), false, &call);
	status = ctl_warn_if_failed(&call, &code);
	if (status == CTL_EXIT_DONE && cmdline->json) {
		gb_buf_add(&text, gb_buf_str(&call.answer));
		gb_buf_addc(&text, '\n');
	} else if (status == CTL_EXIT_DONE) {
		status = format_config(&call, &text);
	}
	ctl_print(gb_buf_str(&text));
	gb_buf_free(&text);
	ctl_http_free(&call, 1);
	return status;
}
