#include "settings/set-option.h"

#include <glib.h>

#define FIELD(member) .offset = offsetof(struct set_settings, member)

static const struct gb_str roles[] = { GB_STR_INIT("entry"),
				       GB_STR_INIT("front") };
static const struct gb_str severities[] = {
	GB_STR_INIT("error"), GB_STR_INIT("warning"), GB_STR_INIT("notice"),
	GB_STR_INIT("info"), GB_STR_INIT("debug")
};

static const struct set_option options[] = {
	{ .section = GB_STR_INIT("vm"),
	  .key = GB_STR_INIT("id"),
	  .type = &set_type_u32,
	  .required_roles = SET_ROLE_ENTRY,
	  .min = 1,
	  .max = UINT32_MAX,
	  FIELD(node.vm),
	  .description = GB_STR_INIT("Identity of this VM in the roster.") },
	{ .section = GB_STR_INIT("vm"),
	  .key = GB_STR_INIT("name"),
	  .type = &set_type_name,
	  .default_text = GB_STR_INIT("vm"),
	  .max = 64,
	  FIELD(name),
	  .description = GB_STR_INIT("Name of this VM in log lines.") },
	{ .section = GB_STR_INIT("vm"),
	  .key = GB_STR_INIT("dc"),
	  .type = &set_type_name,
	  .required_roles = SET_ROLE_ENTRY | SET_ROLE_FRONT,
	  .max = 64,
	  FIELD(node.dc),
	  .description = GB_STR_INIT("Data centre of this VM.") },
	{ .section = GB_STR_INIT("vm"),
	  .key = GB_STR_INIT("role"),
	  .type = &set_type_choice,
	  .default_text = GB_STR_INIT("entry"),
	  .choices = roles,
	  .choices_len = G_N_ELEMENTS(roles),
	  FIELD(role),
	  .description = GB_STR_INIT("Role of this VM.") },
	{ .section = GB_STR_INIT("vm"),
	  .key = GB_STR_INIT("host"),
	  .type = &set_type_address,
	  .required_roles = SET_ROLE_ENTRY,
	  FIELD(host),
	  .description = GB_STR_INIT("Address on which this VM listens.") },
	{ .section = GB_STR_INIT("vm"),
	  .key = GB_STR_INIT("peer_port"),
	  .type = &set_type_u16,
	  .default_text = GB_STR_INIT("7101"),
	  .min = 1,
	  .max = 65535,
	  FIELD(peer_port),
	  .description = GB_STR_INIT("Port for messages from other VMs.") },
	{ .section = GB_STR_INIT("vm"),
	  .key = GB_STR_INIT("http_port"),
	  .type = &set_type_u16,
	  .default_text = GB_STR_INIT("8101"),
	  .min = 1,
	  .max = 65535,
	  FIELD(http_port),
	  .description = GB_STR_INIT("HTTP port for callers and operators.") },
	{ .section = GB_STR_INIT("front"),
	  .key = GB_STR_INIT("listen"),
	  .type = &set_type_endpoint,
	  .required_roles = SET_ROLE_FRONT,
	  FIELD(front.listen_address),
	  .description = GB_STR_INIT("Address and port for callers.") },
	{ .section = GB_STR_INIT("front"),
	  .key = GB_STR_INIT("ready"),
	  .type = &set_type_endpoint,
	  .required_roles = SET_ROLE_FRONT,
	  FIELD(front.ready_address),
	  .description = GB_STR_INIT(
		  "Address and port for health checks of the load balancer.") },
	{ .section = GB_STR_INIT("front"),
	  .key = GB_STR_INIT("control"),
	  .type = &set_type_endpoint,
	  .default_text = GB_STR_INIT(""),
	  FIELD(front.control_address),
	  .description = GB_STR_INIT(
		  "Address and port that serve metrics and status.") },
	{ .section = GB_STR_INIT("front"),
	  .key = GB_STR_INIT("metrics"),
	  .type = &set_type_endpoint,
	  .default_text = GB_STR_INIT(""),
	  FIELD(front.metrics_address),
	  .description = GB_STR_INIT(
		  "Additional address and port that serve metrics and "
		  "status.") },
	{ .section = GB_STR_INIT("front"),
	  .key = GB_STR_INIT("seeds"),
	  .type = &set_type_endpoints,
	  .default_text = GB_STR_INIT(""),
	  FIELD(front.seeds),
	  .description = GB_STR_INIT(
		  "Control addresses of the VMs to contact first, separated by "
		  "commas.") },
	{ .section = GB_STR_INIT("front"),
	  .key = GB_STR_INIT("member_port"),
	  .type = &set_type_u16,
	  .default_text = GB_STR_INIT("7380"),
	  .min = 1,
	  .max = 65535,
	  FIELD(front.member_port),
	  .description = GB_STR_INIT("UDP port for messages between VMs.") },
	{ .section = GB_STR_INIT("platform"),
	  .key = GB_STR_INIT("host"),
	  .type = &set_type_address,
	  .required_roles = SET_ROLE_ENTRY,
	  FIELD(platform_host),
	  .description = GB_STR_INIT("Address of the platform's object API.") },
	{ .section = GB_STR_INIT("platform"),
	  .key = GB_STR_INIT("port"),
	  .type = &set_type_u16,
	  .required_roles = SET_ROLE_ENTRY,
	  .min = 1,
	  .max = 65535,
	  FIELD(platform_port),
	  .description = GB_STR_INIT("Port of the platform's object API.") },
	{ .section = GB_STR_INIT("platform"),
	  .key = GB_STR_INIT("address"),
	  .type = &set_type_endpoint,
	  .required_roles = SET_ROLE_FRONT,
	  FIELD(front.store_address),
	  .description =
		  GB_STR_INIT("Address and port of the platform's store.") },
	{ .section = GB_STR_INIT("peers"),
	  .key = GB_STR_INIT("seeds"),
	  .type = &set_type_seeds,
	  .default_text = GB_STR_INIT(""),
	  .description = GB_STR_INIT(
		  "VMs to ask for the configuration before a roster "
		  "is known, separated by spaces; this VM itself is "
		  "left out.") },
	{ .section = GB_STR_INIT("bounds"),
	  .key = GB_STR_INIT("drain_ms"),
	  .type = &set_type_real_ms,
	  .default_text = GB_STR_INIT("3000"),
	  .min = 0,
	  .max = 600000,
	  FIELD(front.drain_time),
	  .description =
		  GB_STR_INIT("Time for which a draining upstream still serves "
			      "requests.") },
	{ .section = GB_STR_INIT("bounds"),
	  .key = GB_STR_INIT("apply_ms"),
	  .type = &set_type_real_ms,
	  .default_text = GB_STR_INIT("3000"),
	  .may_be_empty = true,
	  .min = 500,
	  .max = 600000,
	  FIELD(front.apply_time),
	  .description = GB_STR_INIT(
		  "Time from a change of the configuration until it must be in "
		  "force.") },
	{ .section = GB_STR_INIT("bounds"),
	  .key = GB_STR_INIT("exclusion_ms"),
	  .type = &set_type_real_ms,
	  .default_text = GB_STR_INIT("5000"),
	  .may_be_empty = true,
	  .min = 500,
	  .max = 600000,
	  FIELD(front.exclusion_time),
	  .description = GB_STR_INIT(
		  "Time from the exclusion of a data centre until no request "
		  "may reach it.") },
	{ .section = GB_STR_INIT("bounds"),
	  .key = GB_STR_INIT("stable_ms"),
	  .type = &set_type_real_ms,
	  .default_text = GB_STR_INIT("4000"),
	  .may_be_empty = true,
	  .min = 500,
	  .max = 600000,
	  FIELD(front.stable_time),
	  .description = GB_STR_INIT(
		  "Time after lost connections, or an outage of the store, "
		  "until all changes must be in force again.") },
	{ .section = GB_STR_INIT("bounds"),
	  .key = GB_STR_INIT("grace_s"),
	  .type = &set_type_real_s,
	  .default_text = GB_STR_INIT("6"),
	  .min = 1,
	  .max = 600,
	  FIELD(front.grace_period),
	  .description = GB_STR_INIT(
		  "Time from SIGTERM until the process is killed.") },
	{ .section = GB_STR_INIT("bounds"),
	  .key = GB_STR_INIT("retry_window_s"),
	  .type = &set_type_real_s,
	  .default_text = GB_STR_INIT("10"),
	  .min = 1,
	  .max = 60,
	  FIELD(front.retry_window),
	  .description = GB_STR_INIT(
		  "Window over which the retry budget counts repeats (retries "
		  "and hedges).") },
	{ .section = GB_STR_INIT("bounds"),
	  .key = GB_STR_INIT("retry_ratio"),
	  .type = &set_type_real,
	  .default_text = GB_STR_INIT("0.2"),
	  .min = 0,
	  .max = 10,
	  FIELD(front.retry_ratio),
	  .description = GB_STR_INIT(
		  "Repeats allowed per request, over all VMs together.") },
	{ .section = GB_STR_INIT("bounds"),
	  .key = GB_STR_INIT("retry_extra"),
	  .type = &set_type_real,
	  .default_text = GB_STR_INIT("0"),
	  .min = 0,
	  .max = 1000000,
	  FIELD(front.retry_extra),
	  .description = GB_STR_INIT(
		  "Repeats allowed in a window whatever the load is, over all "
		  "VMs together.") },
	{ .section = GB_STR_INIT("bounds"),
	  .key = GB_STR_INIT("memory_mb"),
	  .type = &set_type_mb,
	  .default_text = GB_STR_INIT("512"),
	  .min = 16,
	  .max = 1048576,
	  FIELD(front.memory),
	  .description = GB_STR_INIT(
		  "Memory that the process may use; requests and answers in "
		  "transit take up to a quarter of it.") },
	{ .section = GB_STR_INIT("bounds"),
	  .key = GB_STR_INIT("processor_share"),
	  .type = &set_type_real,
	  .default_text = GB_STR_INIT("0"),
	  .min = 0,
	  .max = 1024,
	  FIELD(front.processor_share),
	  .description = GB_STR_INIT(
		  "Processor cores that the process may use, also a fraction; "
		  "a VM with a small part hands large queries to one with "
		  "several times as much; 0: not known.") },
	{ .section = GB_STR_INIT("bounds"),
	  .key = GB_STR_INIT("cold_allowance"),
	  .type = &set_type_real,
	  .default_text = GB_STR_INIT("1"),
	  .min = 0,
	  .max = 1000000,
	  FIELD(front.cold_allowance),
	  .description = GB_STR_INIT(
		  "Largest burst of requests that a cold upstream can "
		  "handle.") },
	{ .section = GB_STR_INIT("bounds"),
	  .key = GB_STR_INIT("exposure_share"),
	  .type = &set_type_real,
	  .default_text = GB_STR_INIT("0"),
	  .min = 0,
	  .max = 1,
	  FIELD(front.exposure.share),
	  .description = GB_STR_INIT(
		  "Part of the requests to a service that a bad version may "
		  "get during its roll-out, over all VMs together; 0: "
		  "roll-outs are not followed.") },
	{ .section = GB_STR_INIT("bounds"),
	  .key = GB_STR_INIT("exposure_extra"),
	  .type = &set_type_real,
	  .default_text = GB_STR_INIT("0"),
	  .min = 0,
	  .max = 1000000,
	  FIELD(front.exposure.extra_total),
	  .description = GB_STR_INIT(
		  "Further requests that a bad version may get, over all VMs "
		  "together.") },
	{ .section = GB_STR_INIT("bounds"),
	  .key = GB_STR_INIT("revoke_ms"),
	  .type = &set_type_real_ms,
	  .default_text = GB_STR_INIT("0"),
	  .min = 0,
	  .max = 600000,
	  FIELD(front.revoke_time),
	  .description = GB_STR_INIT(
		  "Time after which no VM may serve a key that was taken away, "
		  "in touch with the store or not; 0: as any change of the "
		  "configuration.") },
	{ .section = GB_STR_INIT("bounds"),
	  .key = GB_STR_INIT("quota_window_s"),
	  .type = &set_type_real_s,
	  .default_text = GB_STR_INIT("5"),
	  .min = 1,
	  .max = 14,
	  FIELD(front.quota.window),
	  .description = GB_STR_INIT(
		  "Window in which the requests of an organisation are "
		  "compared with its limit.") },
	{ .section = GB_STR_INIT("bounds"),
	  .key = GB_STR_INIT("quota_tolerance"),
	  .type = &set_type_real,
	  .default_text = GB_STR_INIT("0"),
	  .min = 0,
	  .max = 1000000,
	  FIELD(front.quota.tolerance),
	  .description = GB_STR_INIT(
		  "Requests beyond its limit that an organisation may get in "
		  "a window, over all VMs together.") },
	{ .section = GB_STR_INIT("quorum"),
	  .key = GB_STR_INIT("heartbeat_ms"),
	  .type = &set_type_ms,
	  .default_text = GB_STR_INIT("300"),
	  .min = 10,
	  .max = 10000,
	  FIELD(node.heartbeat_interval),
	  .description = GB_STR_INIT("Interval between heartbeats.") },
	{ .section = GB_STR_INIT("quorum"),
	  .key = GB_STR_INIT("lease_ms"),
	  .type = &set_type_ms,
	  .default_text = GB_STR_INIT("1200"),
	  .min = 30,
	  .max = 60000,
	  FIELD(node.lease),
	  .description = GB_STR_INIT(
		  "Time for which a granter grants a unit; at least "
		  "three heartbeats.") },
	{ .section = GB_STR_INIT("quorum"),
	  .key = GB_STR_INIT("drift_ms"),
	  .type = &set_type_ms,
	  .default_text = GB_STR_INIT("50"),
	  .min = 0,
	  .max = 30000,
	  FIELD(node.drift_margin),
	  .description = GB_STR_INIT(
		  "Margin for clock drift over one lease; less than "
		  "half of the lease.") },
	{ .section = GB_STR_INIT("quorum"),
	  .key = GB_STR_INIT("suspect_ms"),
	  .type = &set_type_ms,
	  .default_text = GB_STR_INIT("900"),
	  .min = 20,
	  .max = 60000,
	  FIELD(node.suspect_after),
	  .description =
		  GB_STR_INIT("Silence after which a VM counts as dead; longer "
			      "than one heartbeat.") },
	{ .section = GB_STR_INIT("quorum"),
	  .key = GB_STR_INIT("remove_s"),
	  .type = &set_type_s,
	  .default_text = GB_STR_INIT("30"),
	  .min = 5,
	  .max = 86400,
	  FIELD(node.remove_after),
	  .description =
		  GB_STR_INIT("Silence after which a VM is removed from the "
			      "roster; it joins again when it is back.") },
	{ .section = GB_STR_INIT("orders"),
	  .key = GB_STR_INIT("retention_s"),
	  .type = &set_type_s,
	  .default_text = GB_STR_INIT("900"),
	  .min = 1,
	  .max = 86400,
	  FIELD(node.key_retention),
	  .description =
		  GB_STR_INIT("Time for which order keys and outcomes are "
			      "kept.") },
	{ .section = GB_STR_INIT("orders"),
	  .key = GB_STR_INIT("clock_skew_ms"),
	  .type = &set_type_ms,
	  .default_text = GB_STR_INIT("5000"),
	  .min = 0,
	  .max = 60000,
	  FIELD(node.clock_skew),
	  .description = GB_STR_INIT(
		  "Largest difference between the wall clocks of two VMs.") },
	{ .section = GB_STR_INIT("limits"),
	  .key = GB_STR_INIT("queries"),
	  .type = &set_type_u32,
	  .default_text = GB_STR_INIT("4096"),
	  .min = 1,
	  .max = 1000000,
	  FIELD(node.queries_max),
	  .description = GB_STR_INIT(
		  "Largest number of requests that run at once on this VM.") },
	{ .section = GB_STR_INIT("limits"),
	  .key = GB_STR_INIT("body_bytes"),
	  .type = &set_type_size,
	  .default_text = GB_STR_INIT("65536"),
	  .min = 1024,
	  .max = 1048576,
	  FIELD(body_bytes_max),
	  .description = GB_STR_INIT("Largest body of a request, in bytes.") },
	{ .section = GB_STR_INIT("limits"),
	  .key = GB_STR_INIT("http_connections"),
	  .type = &set_type_u32,
	  .default_text = GB_STR_INIT("1024"),
	  .min = 1,
	  .max = 65536,
	  FIELD(http_connections_max),
	  .description = GB_STR_INIT(
		  "Largest number of open connections from callers and "
		  "operators.") },
	{ .section = GB_STR_INIT("limits"),
	  .key = GB_STR_INIT("http_idle_s"),
	  .type = &set_type_s,
	  .default_text = GB_STR_INIT("30"),
	  .min = 1,
	  .max = 3600,
	  FIELD(http_idle_timeout),
	  .description = GB_STR_INIT(
		  "Time after which an idle connection is closed.") },
	{ .section = GB_STR_INIT("log"),
	  .key = GB_STR_INIT("severity"),
	  .type = &set_type_severity,
	  .default_text = GB_STR_INIT("info"),
	  .choices = severities,
	  .choices_len = G_N_ELEMENTS(severities),
	  FIELD(log_severity),
	  .description = GB_STR_INIT("Least severe events that are logged.") },
	{ .section = GB_STR_INIT("log"),
	  .key = GB_STR_INIT("events_kept"),
	  .type = &set_type_size,
	  .default_text = GB_STR_INIT("16384"),
	  .min = 16,
	  .max = 1048576,
	  FIELD(events_kept),
	  .description = GB_STR_INIT(
		  "Number of recent events that this VM keeps for the "
		  "timeline.") },
	{ .section = GB_STR_INIT("log"),
	  .key = GB_STR_INIT("rate"),
	  .type = &set_type_u32,
	  .default_text = GB_STR_INIT("300"),
	  .min = 1,
	  .max = 1000000,
	  FIELD(front.log_rate),
	  .description = GB_STR_INIT(
		  "Largest number of log lines a second of severity info and "
		  "below.") },
};

const struct set_option *set_options(size_t *len)
{
	*len = G_N_ELEMENTS(options);
	return options;
}

size_t set_find_option(struct gb_str section, struct gb_str key)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(options); i++)
		if (gb_str_eq(options[i].section, section) &&
		    gb_str_eq(options[i].key, key))
			break;
	return i;
}

bool set_has_section(struct gb_str section)
{
	for (size_t i = 0; i < G_N_ELEMENTS(options); i++)
		if (gb_str_eq(options[i].section, section))
			return true;
	return false;
}
