#include "event/ev.h"

#define COUNTER_BITS 16

/*
 * A remote stamp further ahead than this is ignored: one VM with a wrong wall
 * clock would otherwise move the stamps of all VMs.
 */
#define AHEAD_MAX_MS 60000

static uint64_t wall_stamp(int64_t wall_ms);
static uint64_t advance(struct ev_clock *clock, int64_t wall_ms, uint64_t seen);

/* Returns the stamp of a wall time with a counter of 0. */
static uint64_t wall_stamp(int64_t wall_ms)
{
	return wall_ms > 0 ? (uint64_t)wall_ms << COUNTER_BITS : 0;
}

/*
 * Moves the clock past the stamp seen and up to the wall time. An overflow of
 * the counter carries into the milliseconds.
 */
static uint64_t advance(struct ev_clock *clock, int64_t wall_ms, uint64_t seen)
{
	uint64_t wall = wall_stamp(wall_ms);

	clock->last = wall > seen ? wall : seen + 1;
	return clock->last;
}

uint64_t ev_clock_tick(struct ev_clock *clock, int64_t wall_ms)
{
	return advance(clock, wall_ms, clock->last);
}

uint64_t ev_clock_merge(struct ev_clock *clock, int64_t wall_ms,
			uint64_t remote)
{
	int64_t ahead_ms = (wall_ms > 0 ? wall_ms : 0) + AHEAD_MAX_MS;

	if (remote <= clock->last || remote >= wall_stamp(ahead_ms + 1))
		return ev_clock_tick(clock, wall_ms);
	return advance(clock, wall_ms, remote);
}
