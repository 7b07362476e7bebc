#include "front/fr-internal.h"

void fr_schedule_step(struct fr_follower *follower, gb_time at)
{
	gb_time left = at - ht_now();

	uv_timer_start(&follower->timer, follower->on_timer,
		       left > 0 ? (left + GB_MSEC - 1) / GB_MSEC : 0, 0);
}

void fr_cancel_step(struct fr_follower *follower)
{
	if (!follower->call_running)
		return;
	ht_call_cancel(&follower->call);
	gb_buf_free(&follower->call.body);
	follower->call_running = false;
}
