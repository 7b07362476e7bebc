#ifndef SET_ADDRESS_H
#define SET_ADDRESS_H

/*
 * NAME
 *	set-address - check of IP numbers and ports
 */

#include "base/gb.h"

/* Tells whether host is an IPv4 or IPv6 address written as numbers. */
bool set_is_address(struct gb_str host);

/* Reads "HOST:PORT", an IPv6 host in brackets; host is part of text. */
int set_host_port(struct gb_str text, struct gb_str *host, uint16_t *port);

#endif
