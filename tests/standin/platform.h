#ifndef PLATFORM_H
#define PLATFORM_H

/*
 * NAME
 *	plt - stand-in of the platform's object API
 *
 * DESCRIPTION
 *	Objects have a version that grows by one with each write. Reads may
 *	wait for a version (watch), writes are conditional. Calls beyond the
 *	rate get 429, calls in an outage 503.
 */

#include "standin/common-http.h"

#include <glib.h>

enum plt_kind { PLT_READ, PLT_WATCH, PLT_WRITE, PLT_VMS, PLT_KINDS };

struct plt {
	struct si_server server;
	struct si_port port;
	GHashTable *objects; /* path to struct plt_object */
	GPtrArray *watches; /* of struct plt_watch */
	json_t *vms;
	uint32_t rate; /* calls per second; 0 for no limit */
	double tokens;
	gb_time tokens_at;
	bool down;
	uint32_t slow_ms;
	uint32_t lose_write_answers;
	uint64_t calls[PLT_KINDS];
	uint64_t limited;
	uint64_t outages;
	uint64_t conflicts;
	uint64_t lost;
};

struct plt_object {
	uint64_t version;
	struct gb_buf body;
};

struct plt_watch {
	struct plt *platform;
	h2o_req_t *req;
	char *path;
	uint64_t version;
	uv_timer_t *timer;
};

extern const struct si_route plt_routes[];
extern const size_t plt_routes_len;

int plt_init(struct plt *platform, uv_loop_t *loop, uint16_t port);

/* Sends an object with its version as ETag. */
void plt_reply_object(h2o_req_t *req, const struct plt_object *object);

/* Keeps the request until the version passes or the wait ends. */
void plt_watch_add(struct plt *platform, h2o_req_t *req, struct gb_str path,
		   uint64_t version, uint32_t wait_ms);

/* Answers the watches of the object that have been waiting for its version. */
void plt_watch_notify(struct plt *platform, struct gb_str path,
		      const struct plt_object *object);

/* Ends all watches with 503. */
void plt_watch_fail(struct plt *platform);

#endif
