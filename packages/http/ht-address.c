#include "http/ht-server.h"

#include <netinet/in.h>
#include <string.h>

gb_time ht_now(void)
{
	return (gb_time)(uv_hrtime() / 1000) * GB_USEC;
}

int ht_parse_host(struct gb_str host, uint16_t port,
		  struct sockaddr_storage *addr)
{
	char *name = gb_str_to_c(host);
	int ret;

	memset(addr, 0, sizeof(*addr));
	ret = uv_ip4_addr(name, port, (struct sockaddr_in *)addr);
	if (ret)
		ret = uv_ip6_addr(name, port, (struct sockaddr_in6 *)addr);
	g_free(name);
	return ret ? -1 : 0;
}

int ht_parse_address(struct gb_str text, struct sockaddr_storage *addr)
{
	struct gb_str host, port;
	int64_t number;

	if (!gb_str_cut_last(text, ':', &host, &port) ||
	    gb_str_to_int(port, 0, 65535, &number))
		return -1;
	return ht_parse_host(host, number, addr);
}
