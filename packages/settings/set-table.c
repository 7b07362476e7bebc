#include "settings/set-option.h"

#include <glib.h>

#define TEXT(lit)                                    \
	{                                            \
		.ptr = (lit), .len = sizeof(lit) - 1 \
	}
#define AT(member) .offset = offsetof(struct set_settings, member)

static const struct gb_str roles[] = { TEXT("entry") };
static const struct gb_str severities[] = { TEXT("error"), TEXT("warning"),
					    TEXT("notice"), TEXT("info"),
					    TEXT("debug") };

static const struct set_option options[] = {
	{ .section = TEXT("vm"),
	  .key = TEXT("id"),
	  .type = &set_type_u32,
	  .required = true,
	  .min = 1,
	  .max = UINT32_MAX,
	  AT(node.vm),
	  .sentence = TEXT("Identity of this VM in the roster.") },
	{ .section = TEXT("vm"),
	  .key = TEXT("name"),
	  .type = &set_type_name,
	  .def = TEXT("vm"),
	  .max = 64,
	  AT(name),
	  .sentence = TEXT("Name of this VM in log lines.") },
	{ .section = TEXT("vm"),
	  .key = TEXT("dc"),
	  .type = &set_type_name,
	  .required = true,
	  .max = 64,
	  AT(node.dc),
	  .sentence = TEXT("Data centre of this VM.") },
	{ .section = TEXT("vm"),
	  .key = TEXT("role"),
	  .type = &set_type_choice,
	  .def = TEXT("entry"),
	  .choices = roles,
	  .choices_len = G_N_ELEMENTS(roles),
	  AT(role),
	  .sentence = TEXT("Role of this VM.") },
	{ .section = TEXT("vm"),
	  .key = TEXT("host"),
	  .type = &set_type_address,
	  .required = true,
	  AT(host),
	  .sentence = TEXT("Address on which this VM listens.") },
	{ .section = TEXT("vm"),
	  .key = TEXT("peer_port"),
	  .type = &set_type_u16,
	  .def = TEXT("7101"),
	  .min = 1,
	  .max = 65535,
	  AT(peer_port),
	  .sentence = TEXT("Port for messages of other VMs.") },
	{ .section = TEXT("vm"),
	  .key = TEXT("http_port"),
	  .type = &set_type_u16,
	  .def = TEXT("8101"),
	  .min = 1,
	  .max = 65535,
	  AT(http_port),
	  .sentence = TEXT("Port for callers and operators.") },
	{ .section = TEXT("platform"),
	  .key = TEXT("host"),
	  .type = &set_type_address,
	  .required = true,
	  AT(platform_host),
	  .sentence = TEXT("Address of the platform's object API.") },
	{ .section = TEXT("platform"),
	  .key = TEXT("port"),
	  .type = &set_type_u16,
	  .required = true,
	  .min = 1,
	  .max = 65535,
	  AT(platform_port),
	  .sentence = TEXT("Port of the platform's object API.") },
	{ .section = TEXT("peers"),
	  .key = TEXT("seeds"),
	  .type = &set_type_seeds,
	  .def = TEXT(""),
	  .sentence = TEXT("VMs to ask for the configuration before a roster "
			   "is known, separated by spaces; this VM itself is "
			   "left out.") },
	{ .section = TEXT("quorum"),
	  .key = TEXT("heartbeat_ms"),
	  .type = &set_type_ms,
	  .def = TEXT("300"),
	  .min = 10,
	  .max = 10000,
	  AT(node.heartbeat),
	  .sentence = TEXT("Interval between heartbeats.") },
	{ .section = TEXT("quorum"),
	  .key = TEXT("lease_ms"),
	  .type = &set_type_ms,
	  .def = TEXT("1200"),
	  .min = 30,
	  .max = 60000,
	  AT(node.lease),
	  .sentence = TEXT("Time for which a granter grants a unit; at least "
			   "three heartbeats.") },
	{ .section = TEXT("quorum"),
	  .key = TEXT("drift_ms"),
	  .type = &set_type_ms,
	  .def = TEXT("50"),
	  .min = 0,
	  .max = 30000,
	  AT(node.drift),
	  .sentence = TEXT("Margin for clock drift over one lease; less than "
			   "half of the lease.") },
	{ .section = TEXT("quorum"),
	  .key = TEXT("suspect_ms"),
	  .type = &set_type_ms,
	  .def = TEXT("900"),
	  .min = 20,
	  .max = 60000,
	  AT(node.suspect_after),
	  .sentence = TEXT("Silence after which a VM counts as dead; longer "
			   "than one heartbeat.") },
	{ .section = TEXT("quorum"),
	  .key = TEXT("remove_s"),
	  .type = &set_type_s,
	  .def = TEXT("30"),
	  .min = 5,
	  .max = 86400,
	  AT(node.remove_after),
	  .sentence = TEXT("Silence after which a VM is removed from the "
			   "roster; it joins again when it is back.") },
	{ .section = TEXT("orders"),
	  .key = TEXT("retention_s"),
	  .type = &set_type_s,
	  .def = TEXT("900"),
	  .min = 1,
	  .max = 86400,
	  AT(node.key_retention),
	  .sentence = TEXT("Time for which order keys and outcomes are "
			   "kept.") },
	{ .section = TEXT("orders"),
	  .key = TEXT("clock_skew_ms"),
	  .type = &set_type_ms,
	  .def = TEXT("5000"),
	  .min = 0,
	  .max = 60000,
	  AT(node.clock_skew),
	  .sentence = TEXT("Most that two wall clocks may differ.") },
	{ .section = TEXT("limits"),
	  .key = TEXT("queries"),
	  .type = &set_type_u32,
	  .def = TEXT("4096"),
	  .min = 1,
	  .max = 1000000,
	  AT(node.queries_max),
	  .sentence = TEXT("Requests that run at once on this VM.") },
	{ .section = TEXT("limits"),
	  .key = TEXT("body_bytes"),
	  .type = &set_type_size,
	  .def = TEXT("65536"),
	  .min = 1024,
	  .max = 1048576,
	  AT(body_max),
	  .sentence = TEXT("Largest body of a request, in bytes.") },
	{ .section = TEXT("limits"),
	  .key = TEXT("http_connections"),
	  .type = &set_type_u32,
	  .def = TEXT("1024"),
	  .min = 1,
	  .max = 65536,
	  AT(http_connections_max),
	  .sentence = TEXT("Open connections of callers and operators.") },
	{ .section = TEXT("limits"),
	  .key = TEXT("http_idle_s"),
	  .type = &set_type_s,
	  .def = TEXT("30"),
	  .min = 1,
	  .max = 3600,
	  AT(http_idle),
	  .sentence = TEXT("Time until an idle connection is closed.") },
	{ .section = TEXT("log"),
	  .key = TEXT("severity"),
	  .type = &set_type_severity,
	  .def = TEXT("info"),
	  .choices = severities,
	  .choices_len = G_N_ELEMENTS(severities),
	  AT(log_severity),
	  .sentence = TEXT("Least severe events that are logged.") },
	{ .section = TEXT("log"),
	  .key = TEXT("events_kept"),
	  .type = &set_type_size,
	  .def = TEXT("16384"),
	  .min = 16,
	  .max = 1048576,
	  AT(events_kept),
	  .sentence = TEXT("Events that this VM keeps for the time line.") },
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
