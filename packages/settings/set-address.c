#include "settings/set-address.h"

#include <arpa/inet.h>
#include <glib.h>

bool set_is_address(struct gb_str host)
{
	char *text = gb_str_to_c(host);
	unsigned char binary[sizeof(struct in6_addr)];
	bool good = inet_pton(AF_INET, text, binary) == 1 ||
		    inet_pton(AF_INET6, text, binary) == 1;

	g_free(text);
	return good;
}
