#include "settings/set-option.h"

#include <glib.h>

#define AT(member) .offset = offsetof(struct set_settings, member)

static const struct gb_str roles[] = { GB_STR_INIT("entry") };
static const struct gb_str severities[] = {
	GB_STR_INIT("error"), GB_STR_INIT("warning"), GB_STR_INIT("notice"),
	GB_STR_INIT("info"), GB_STR_INIT("debug")
};

static const struct set_option options[] = {
	{ .section = GB_STR_INIT("vm"),
	  .key = GB_STR_INIT("id"),
	  .type = &set_type_u32,
	  .required = true,
	  .min = 1,
	  .max = UINT32_MAX,
	  AT(node.vm),
	  .sentence = GB_STR_INIT("Identity of this VM in the roster.") },
	{ .section = GB_STR_INIT("vm"),
	  .key = GB_STR_INIT("name"),
	  .type = &set_type_name,
	  .def = GB_STR_INIT("vm"),
	  .max = 64,
	  AT(name),
	  .sentence = GB_STR_INIT("Name of this VM in log lines.") },
	{ .section = GB_STR_INIT("vm"),
	  .key = GB_STR_INIT("dc"),
	  .type = &set_type_name,
	  .required = true,
	  .max = 64,
	  AT(node.dc),
	  .sentence = GB_STR_INIT("Data centre of this VM.") },
	{ .section = GB_STR_INIT("vm"),
	  .key = GB_STR_INIT("role"),
	  .type = &set_type_choice,
	  .def = GB_STR_INIT("entry"),
	  .choices = roles,
	  .choices_len = G_N_ELEMENTS(roles),
	  AT(role),
	  .sentence = GB_STR_INIT("Role of this VM.") },
	{ .section = GB_STR_INIT("vm"),
	  .key = GB_STR_INIT("host"),
	  .type = &set_type_address,
	  .required = true,
	  AT(host),
	  .sentence = GB_STR_INIT("Address on which this VM listens.") },
	{ .section = GB_STR_INIT("vm"),
	  .key = GB_STR_INIT("peer_port"),
	  .type = &set_type_u16,
	  .def = GB_STR_INIT("7101"),
	  .min = 1,
	  .max = 65535,
	  AT(peer_port),
	  .sentence = GB_STR_INIT("Port for messages of other VMs.") },
	{ .section = GB_STR_INIT("vm"),
	  .key = GB_STR_INIT("http_port"),
	  .type = &set_type_u16,
	  .def = GB_STR_INIT("8101"),
	  .min = 1,
	  .max = 65535,
	  AT(http_port),
	  .sentence = GB_STR_INIT("Port for callers and operators.") },
	{ .section = GB_STR_INIT("platform"),
	  .key = GB_STR_INIT("host"),
	  .type = &set_type_address,
	  .required = true,
	  AT(platform_host),
	  .sentence = GB_STR_INIT("Address of the platform's object API.") },
	{ .section = GB_STR_INIT("platform"),
	  .key = GB_STR_INIT("port"),
	  .type = &set_type_u16,
	  .required = true,
	  .min = 1,
	  .max = 65535,
	  AT(platform_port),
	  .sentence = GB_STR_INIT("Port of the platform's object API.") },
	{ .section = GB_STR_INIT("peers"),
	  .key = GB_STR_INIT("seeds"),
	  .type = &set_type_seeds,
	  .def = GB_STR_INIT(""),
	  .sentence = GB_STR_INIT(
		  "VMs to ask for the configuration before a roster "
		  "is known, separated by spaces; this VM itself is "
		  "left out.") },
	{ .section = GB_STR_INIT("quorum"),
	  .key = GB_STR_INIT("heartbeat_ms"),
	  .type = &set_type_ms,
	  .def = GB_STR_INIT("300"),
	  .min = 10,
	  .max = 10000,
	  AT(node.heartbeat),
	  .sentence = GB_STR_INIT("Interval between heartbeats.") },
	{ .section = GB_STR_INIT("quorum"),
	  .key = GB_STR_INIT("lease_ms"),
	  .type = &set_type_ms,
	  .def = GB_STR_INIT("1200"),
	  .min = 30,
	  .max = 60000,
	  AT(node.lease),
	  .sentence = GB_STR_INIT(
		  "Time for which a granter grants a unit; at least "
		  "three heartbeats.") },
	{ .section = GB_STR_INIT("quorum"),
	  .key = GB_STR_INIT("drift_ms"),
	  .type = &set_type_ms,
	  .def = GB_STR_INIT("50"),
	  .min = 0,
	  .max = 30000,
	  AT(node.drift),
	  .sentence = GB_STR_INIT(
		  "Margin for clock drift over one lease; less than "
		  "half of the lease.") },
	{ .section = GB_STR_INIT("quorum"),
	  .key = GB_STR_INIT("suspect_ms"),
	  .type = &set_type_ms,
	  .def = GB_STR_INIT("900"),
	  .min = 20,
	  .max = 60000,
	  AT(node.suspect_after),
	  .sentence =
		  GB_STR_INIT("Silence after which a VM counts as dead; longer "
			      "than one heartbeat.") },
	{ .section = GB_STR_INIT("quorum"),
	  .key = GB_STR_INIT("remove_s"),
	  .type = &set_type_s,
	  .def = GB_STR_INIT("30"),
	  .min = 5,
	  .max = 86400,
	  AT(node.remove_after),
	  .sentence =
		  GB_STR_INIT("Silence after which a VM is removed from the "
			      "roster; it joins again when it is back.") },
	{ .section = GB_STR_INIT("orders"),
	  .key = GB_STR_INIT("retention_s"),
	  .type = &set_type_s,
	  .def = GB_STR_INIT("900"),
	  .min = 1,
	  .max = 86400,
	  AT(node.key_retention),
	  .sentence = GB_STR_INIT("Time for which order keys and outcomes are "
				  "kept.") },
	{ .section = GB_STR_INIT("orders"),
	  .key = GB_STR_INIT("clock_skew_ms"),
	  .type = &set_type_ms,
	  .def = GB_STR_INIT("5000"),
	  .min = 0,
	  .max = 60000,
	  AT(node.clock_skew),
	  .sentence = GB_STR_INIT("Most that two wall clocks may differ.") },
	{ .section = GB_STR_INIT("limits"),
	  .key = GB_STR_INIT("queries"),
	  .type = &set_type_u32,
	  .def = GB_STR_INIT("4096"),
	  .min = 1,
	  .max = 1000000,
	  AT(node.queries_max),
	  .sentence = GB_STR_INIT("Requests that run at once on this VM.") },
	{ .section = GB_STR_INIT("limits"),
	  .key = GB_STR_INIT("body_bytes"),
	  .type = &set_type_size,
	  .def = GB_STR_INIT("65536"),
	  .min = 1024,
	  .max = 1048576,
	  AT(body_max),
	  .sentence = GB_STR_INIT("Largest body of a request, in bytes.") },
	{ .section = GB_STR_INIT("limits"),
	  .key = GB_STR_INIT("http_connections"),
	  .type = &set_type_u32,
	  .def = GB_STR_INIT("1024"),
	  .min = 1,
	  .max = 65536,
	  AT(http_connections_max),
	  .sentence =
		  GB_STR_INIT("Open connections of callers and operators.") },
	{ .section = GB_STR_INIT("limits"),
	  .key = GB_STR_INIT("http_idle_s"),
	  .type = &set_type_s,
	  .def = GB_STR_INIT("30"),
	  .min = 1,
	  .max = 3600,
	  AT(http_idle),
	  .sentence = GB_STR_INIT("Time until an idle connection is closed.") },
	{ .section = GB_STR_INIT("log"),
	  .key = GB_STR_INIT("severity"),
	  .type = &set_type_severity,
	  .def = GB_STR_INIT("info"),
	  .choices = severities,
	  .choices_len = G_N_ELEMENTS(severities),
	  AT(log_severity),
	  .sentence = GB_STR_INIT("Least severe events that are logged.") },
	{ .section = GB_STR_INIT("log"),
	  .key = GB_STR_INIT("events_kept"),
	  .type = &set_type_size,
	  .def = GB_STR_INIT("16384"),
	  .min = 16,
	  .max = 1048576,
	  AT(events_kept),
	  .sentence =
		  GB_STR_INIT("Events that this VM keeps for the time line.") },
};

const struct set_option *set_options(size_t *len)
{
	*len = G_N_ELEMENTS(options);
	return options;
}

size_t set_find(struct gb_str section, struct gb_str key)
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
