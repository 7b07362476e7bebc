#ifndef SET_ADDRESS_H
#define SET_ADDRESS_H

/*
 * NAME
 *	set-address - parses numeric IP addresses and ports
 */

#include "base/gb.h"

/* Tells whether host is a numeric IPv4 or IPv6 address, not a host name. */
bool set_is_address(struct gb_str host);

/*
 * Parses "HOST:PORT" with a numeric host; an IPv6 host is in brackets. *host
 * points into text. Returns -1 if text has another form.
 */
int set_parse_host_port(struct gb_str text, struct gb_str *host,
			uint16_t *port);

#endif
