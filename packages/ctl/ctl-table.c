#include "ctl/ctl.h"

static const struct ctl_command commands[] = {
	{ .name = GB_STR_INIT("status"),
	  .usage = GB_STR_INIT(""),
	  .description = GB_STR_INIT("Show the state of each server."),
	  .run = ctl_status },
	{ .name = GB_STR_INIT("plan"),
	  .usage = GB_STR_INIT("INTENT [WORD...]"),
	  .description = GB_STR_INIT("Make a plan and show its effects."),
	  .args_min = 1,
	  .args_max = 4,
	  .options = CTL_OPT_OUTPUT,
	  .run = ctl_plan },
	{ .name = GB_STR_INIT("confirm"),
	  .usage = GB_STR_INIT("FILE|-"),
	  .description =
		  GB_STR_INIT("Confirm a plan that was saved with --output."),
	  .args_min = 1,
	  .args_max = 1,
	  .run = ctl_confirm },
	{ .name = GB_STR_INIT("config"),
	  .usage = GB_STR_INIT(""),
	  .description = GB_STR_INIT("Show the configuration."),
	  .run = ctl_config },
	{ .name = GB_STR_INIT("timeline"),
	  .usage = GB_STR_INIT(""),
	  .description =
		  GB_STR_INIT("Show the events of all VMs in causal order."),
	  .options = CTL_OPT_FILTER,
	  .run = ctl_timeline },
	{ .name = GB_STR_INIT("metrics"),
	  .usage = GB_STR_INIT(""),
	  .description = GB_STR_INIT("Show the metrics of each server."),
	  .run = ctl_metrics },
	{ .name = GB_STR_INIT("state"),
	  .usage = GB_STR_INIT(""),
	  .description =
		  GB_STR_INIT("Show the state of VMs of role front; --server "
			      "takes their control addresses."),
	  .run = ctl_state },
	{ .name = GB_STR_INIT("rollouts"),
	  .usage = GB_STR_INIT(""),
	  .description =
		  GB_STR_INIT("Show the roll-outs that VMs of role front know; "
			      "--server takes their control addresses."),
	  .run = ctl_rollouts },
	{ .name = GB_STR_INIT("organisations"),
	  .usage = GB_STR_INIT(""),
	  .description = GB_STR_INIT(
		  "Show the limits and use of organisations at VMs of role "
		  "front; --server takes their control addresses."),
	  .run = ctl_organisations },
	{ .name = GB_STR_INIT("explain"),
	  .usage = GB_STR_INIT("HOST PATH [KEY]"),
	  .description = GB_STR_INIT(
		  "Show where a request would go now at VMs of role front, and "
		  "why, without sending it; --server takes their control "
		  "addresses."),
	  .args_min = 2,
	  .args_max = 3,
	  .run = ctl_explain },
	{ .name = GB_STR_INIT("log"),
	  .usage = GB_STR_INIT("FILE..."),
	  .description = GB_STR_INIT("Show the events in log files of several "
				     "VMs in the order of their times."),
	  .args_min = 1,
	  .args_max = CTL_LOGS_MAX,
	  .options = CTL_OPT_FILTER,
	  .run = ctl_log },
	{ .name = GB_STR_INIT("report"),
	  .usage = GB_STR_INIT("FILE..."),
	  .description =
		  GB_STR_INIT("Show answers, latencies and faults over time "
			      "from log files; --output writes an SVG "
			      "or PNG chart."),
	  .args_min = 1,
	  .args_max = CTL_LOGS_MAX,
	  .options = CTL_OPT_OUTPUT | CTL_OPT_FILTER,
	  .run = ctl_report },
	{ .name = GB_STR_INIT("check"),
	  .usage = GB_STR_INIT("FILE.ini"),
	  .description = GB_STR_INIT("Check a settings file of gentianbend."),
	  .args_min = 1,
	  .args_max = 1,
	  .run = ctl_check },
	{ .name = GB_STR_INIT("events-catalogue"),
	  .usage = GB_STR_INIT(""),
	  .description = GB_STR_INIT("Print the table of docs/events.md."),
	  .hidden = true,
	  .run = ctl_events_catalogue },
	{ .name = GB_STR_INIT("settings-manual"),
	  .usage = GB_STR_INIT(""),
	  .description =
		  GB_STR_INIT("Print the settings part of gentianbend(1)."),
	  .hidden = true,
	  .run = ctl_settings_manual },
};

const struct ctl_command *ctl_commands(size_t *len)
{
	*len = G_N_ELEMENTS(commands);
	return commands;
}

const struct ctl_command *ctl_find_command(struct gb_str name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		if (gb_str_eq(commands[i].name, name))
			return &commands[i];
	return NULL;
}
