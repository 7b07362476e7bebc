#include "front/fr-internal.h"

void fr_log_event(struct fr *fr, const struct ev_event *event)
{
	ev_log_add(&fr->log, event, ht_now());
}
