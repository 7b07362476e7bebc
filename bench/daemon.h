#ifndef BENCH_DAEMON_H
#define BENCH_DAEMON_H

/*
 * NAME
 *	bdm - measures real daemons on loopback
 *
 * DESCRIPTION
 *	A run starts the stand-ins and one or more daemons as processes,
 *	drives lookups over keep-alive connections and reads the CPU time and
 *	the memory of the daemons from /proc. All processes are ended by their
 *	ids when the run is over.
 */

#include "base/gb.h"

#include <glib.h>
#include <inttypes.h>
#include <sys/types.h>
#include <uv.h>

#define BDM_DAEMONS_MAX 4
#define BDM_UPSTREAMS 4 /* processes that share the replicas */
#define BDM_HOST "127.0.0.1"

/*
 * PROCESSES
 */
struct bdm_usage {
	double cpu; /* seconds of user and system time */
	uint64_t rss; /* bytes */
	uint64_t calls; /* system calls that read or write */
	uint64_t wakeups; /* times that the process had to wait */
};

/* Writes a file in the folder; returns its path, to be freed. */
char *bdm_write_file(const char *dir, const char *name,
		     const struct gb_buf *text);

/* Starts a program; its output is dropped. The array ends with NULL. */
pid_t bdm_start(char *const *argv);

/* Ends a process that bdm_start() has returned. */
void bdm_stop(pid_t pid);
struct bdm_usage bdm_usage(pid_t pid);

/* Returns the first of count ports on which nobody listens. */
uint16_t bdm_ports(uint32_t count);

/*
 * TIER
 */
struct bdm_tier_options {
	const char *build; /* directory of the programs */
	uint32_t daemons;
	uint32_t shards;
};

struct bdm_tier {
	struct bdm_tier_options options;
	char *dir;
	pid_t platform;
	pid_t upstream[BDM_UPSTREAMS];
	pid_t daemon[BDM_DAEMONS_MAX];
	uint16_t platform_port;
	uint16_t http_port[BDM_DAEMONS_MAX];
	uint16_t peer_port[BDM_DAEMONS_MAX];
	uint16_t replica_port; /* of shard 0; the others follow */
};

/* Starts all processes and waits until a lookup covers all shards. */
struct bdm_tier *bdm_tier_new(const struct bdm_tier_options *options);
void bdm_tier_free(struct bdm_tier *tier);

/* Lets the upstreams answer nothing for a while. */
void bdm_tier_freeze(const struct bdm_tier *tier, uint32_t ms);

/* Sum over the daemons. */
struct bdm_usage bdm_tier_usage(const struct bdm_tier *tier);
double bdm_tier_upstream_cpu(const struct bdm_tier *tier);
uint64_t bdm_tier_counter(const struct bdm_tier *tier, struct gb_str name);

/* One exchange over a connection of its own; returns the HTTP status. */
int bdm_http(uint16_t port, struct gb_str request, struct gb_buf *answer);

/* Reads one counter of the metrics at a port. */
uint64_t bdm_counter(uint16_t port, struct gb_str name);

/*
 * FRONT
 *	One VM of role front beside the emulator, which plays the store, the
 *	upstreams and the callers. Half of the requests go to all shards.
 */
struct bdm_front_options {
	const char *build; /* directory of the programs */
	uint32_t shards;
	uint32_t rate; /* requests/s */
};

struct bdm_front_result {
	double queries; /* per second */
	double subs; /* sub-requests/s */
	double cpu_us; /* of the VM, for each sub-request */
	double calls;
	double wakeups;
};

void bdm_front_measure(const struct bdm_front_options *options,
		       struct bdm_front_result *result);

/*
 * LOAD
 *	Sends requests of a protocol over a fixed number of connections, each
 *	with one request at a time.
 */
struct bdm_protocol {
	/* Appends the request of the given number. */
	void (*request)(uint64_t number, struct gb_buf *out);
	/* Returns the size of the answer at the front, 0 while incomplete. */
	size_t (*answer)(struct gb_str bytes, bool *good);
};

struct bdm_load_options {
	const struct bdm_protocol *protocol;
	const uint16_t *ports; /* connections are spread over them */
	uint32_t ports_len;
	uint32_t connections;
	double rate; /* per second; 0 sends whenever a connection is free */
	gb_time duration;
	/* Called once after half of the duration; may be NULL. */
	void (*halfway)(void *data);
	void *data;
};

struct bdm_load_result {
	uint64_t good;
	uint64_t bad;
	gb_time elapsed;
	gb_time p50, p99;
};

void bdm_load_run(const struct bdm_load_options *options,
		  struct bdm_load_result *result);

extern const struct bdm_protocol bdm_lookup;

/*
 * ECHO
 *	A server that answers a request of a fixed size with an answer of a
 *	fixed size, and the protocol of its client.
 */
struct bdm_echo_sizes {
	size_t request;
	size_t answer;
};

int bdm_echo_serve(uint16_t port, const struct bdm_echo_sizes *sizes);
void bdm_echo_sizes(const struct bdm_echo_sizes *sizes);
extern const struct bdm_protocol bdm_echo;

#endif
