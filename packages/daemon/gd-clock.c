#include "daemon/gd.h"

#include <time.h>

struct nd_clock gd_clock(void)
{
	struct timespec wall;

	clock_gettime(CLOCK_REALTIME, &wall);
	return (struct nd_clock){
		.now = ht_now(),
		.wall_ms = wall.tv_sec * 1000LL + wall.tv_nsec / 1000000,
	};
}
