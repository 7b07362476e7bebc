#include "ctl/ctl.h"

#define TEXT(lit)                                    \
	{                                            \
		.ptr = (lit), .len = sizeof(lit) - 1 \
	}

static const struct ctl_command commands[] = {
	{ .name = TEXT("status"),
	  .usage = TEXT(""),
	  .sentence = TEXT("Show the state of each server."),
	  .run = ctl_status },
	{ .name = TEXT("plan"),
	  .usage = TEXT("INTENT [WORD...]"),
	  .sentence = TEXT("Make a plan and show its effects."),
	  .words_min = 1,
	  .words_max = 4,
	  .options = CTL_OPT_OUTPUT,
	  .run = ctl_plan },
	{ .name = TEXT("confirm"),
	  .usage = TEXT("FILE|-"),
	  .sentence = TEXT("Confirm a plan that was saved with --output."),
	  .words_min = 1,
	  .words_max = 1,
	  .run = ctl_confirm },
	{ .name = TEXT("config"),
	  .usage = TEXT(""),
	  .sentence = TEXT("Show the configuration."),
	  .run = ctl_config },
	{ .name = TEXT("timeline"),
	  .usage = TEXT(""),
	  .sentence = TEXT("Show the events of all VMs in causal order."),
	  .options = CTL_OPT_FILTER,
	  .run = ctl_timeline },
	{ .name = TEXT("metrics"),
	  .usage = TEXT(""),
	  .sentence = TEXT("Show the metrics of each server."),
	  .run = ctl_metrics },
	{ .name = TEXT("check"),
	  .usage = TEXT("FILE.ini"),
	  .sentence = TEXT("Check a settings file of gentianbend."),
	  .words_min = 1,
	  .words_max = 1,
	  .run = ctl_check },
	{ .name = TEXT("events-catalogue"),
	  .usage = TEXT(""),
	  .sentence = TEXT("Print the table of docs/events.md."),
	  .hidden = true,
	  .run = ctl_events_catalogue },
	{ .name = TEXT("settings-manual"),
	  .usage = TEXT(""),
	  .sentence = TEXT("Print the settings part of gentianbend(1)."),
	  .hidden = true,
	  .run = ctl_settings_manual },
};

const struct ctl_command *ctl_commands(size_t *len)
{
	*len = G_N_ELEMENTS(commands);
	return commands;
}

const struct ctl_command *ctl_find(struct gb_str name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		if (gb_str_eq(commands[i].name, name))
			return &commands[i];
	return NULL;
}
