#include "settings/set-address.h"

#include <arpa/inet.h>
#include <glib.h>

bool set_is_address(struct gb_str host)
{
	char *text = gb_str_to_c(host);
	unsigned char binary[sizeof(struct in6_addr)];
	bool is_numeric = inet_pton(AF_INET, text, binary) == 1 ||
			  inet_pton(AF_INET6, text, binary) == 1;

	g_free(text);
	return is_numeric;
}

int set_parse_host_port(struct gb_str text, struct gb_str *host, uint16_t *port)
{
	bool brackets = gb_str_starts_with(text, GB_STR("["));
	int64_t number;

	if (brackets)
		text = gb_str_sub(text, 1, text.len);
	if (!gb_str_cut(&text, brackets ? ']' : ':', host))
		return -1;
	if (brackets && !gb_str_starts_with(text, GB_STR(":")))
		return -1;
	if (brackets)
		text = gb_str_sub(text, 1, text.len);
	if (!set_is_address(*host) || gb_str_to_int(text, 1, 65535, &number))
		return -1;
	*port = number;
	return 0;
}
