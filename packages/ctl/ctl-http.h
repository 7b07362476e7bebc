#ifndef CTL_HTTP_H
#define CTL_HTTP_H

/*
 * NAME
 *	ctl-http - HTTP client that sends requests to several servers at once
 *
 * DESCRIPTION
 *	ctl_http_run() starts all calls at once and returns when each has
 *	ended or the timeout has expired. A call whose delivery is
 *	CTL_NOT_SENT certainly had no effect; one with CTL_NO_ANSWER may have
 *	had one. An answer with an error status is CTL_ANSWERED, too.
 */

#include "base/gb.h"

struct ctl_server {
	struct gb_str host; /* numeric IP address */
	uint16_t port;
};

enum ctl_delivery { CTL_NOT_SENT, CTL_NO_ANSWER, CTL_ANSWERED };

struct ctl_call {
	struct ctl_server server;
	struct gb_str method;
	struct gb_str path;
	struct gb_str body;
	enum ctl_delivery delivery;
	int status; /* of HTTP */
	uint64_t version; /* from the ETag header; 0 if there is none */
	struct gb_buf answer;
	struct gb_str cause; /* why there is no answer; a static string */
};

void ctl_http_run(struct ctl_call *calls, size_t len, gb_time timeout);
/* Frees the answers of the calls. */
void ctl_http_free(struct ctl_call *calls, size_t len);

#endif
