#include "daemon/gd.h"

#include <time.h>

gb_time gd_now(void)
{
	return uv_hrtime() / 1000;
}

struct nd_clock gd_clock(void)
{
	struct timespec wall;

	clock_gettime(CLOCK_REALTIME, &wall);
	return (struct nd_clock){
		.now = gd_now(),
		.wall_ms = wall.tv_sec * 1000LL + wall.tv_nsec / 1000000,
	};
}

int gd_address(struct gb_str host, uint16_t port, struct sockaddr_storage *addr,
	       socklen_t *len)
{
	char *text = gb_str_to_c(host);
	int ret = -1;

	if (!uv_ip4_addr(text, port, (struct sockaddr_in *)addr)) {
		*len = sizeof(struct sockaddr_in);
		ret = 0;
	} else if (!uv_ip6_addr(text, port, (struct sockaddr_in6 *)addr)) {
		*len = sizeof(struct sockaddr_in6);
		ret = 0;
	}
	g_free(text);
	return ret;
}
