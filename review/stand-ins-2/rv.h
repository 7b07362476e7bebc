#ifndef RV_H
#define RV_H

/*
 * NAME
 *	rv - stand-ins of the second review: store, upstreams, callers, VMs
 *
 * DESCRIPTION
 *	One process plays the platform's store, the upstreams and the callers,
 *	and starts real gentianbend processes of role front. All of it speaks
 *	HTTP/1.1 on loopback addresses 127.0.NET.x, with one thread for each
 *	connection. All shared state is guarded by one lock, rv_lock().
 *
 *	A case calls rv_init() first, and rv_end() last, which ends the VMs
 *	and the process. Times are milliseconds since rv_init().
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define RV_VMS_MAX 8

/* Exit statuses of a case. */
enum rv_verdict { RV_HELD = 0, RV_BROKEN = 1, RV_NOT_RUN = 2 };

/* A message of HTTP/1.1; its texts are owned. */
struct rv_msg {
	int status; /* of a response */
	char *method; /* of a request */
	char *target; /* of a request */
	char *fields; /* with their line ends */
	char *body;
	size_t body_len;
	bool close; /* the connection ends after it */
};

/* A connection with the bytes read ahead. */
struct rv_conn {
	int fd;
	char *buf;
	size_t len;
};

/* What an upstream does with a request that it accepts. */
enum rv_action {
	RV_RUN, /* runs it, and answers */
	RV_CRASH /* begins to run it, and ends */
};

struct rv_upstream {
	char id[32];
	const char *service;
	const char *dc;
	char addr[32];
	int port;
	int slots;
	int work_ms;
	int run; /* number of the process, from 1 */
	bool up;
	int running, waiting;
	int hang_percent; /* of its requests do not run before: */
	int64_t hangs_until;
	int64_t born;
	/* Called with the lock held for each request that would run. */
	enum rv_action (*arrived)(struct rv_upstream *upstream,
				  const struct rv_msg *request);
};

/* Settings of the VMs beyond those that all cases share. */
struct rv_vm_settings {
	int vms;
	int memory_mb; /* 0: 520 */
	int fd_limit; /* 0: the limit of this process */
	const char *dcs[RV_VMS_MAX]; /* NULL: dc-a */
};

struct rv_vm {
	char addr[32];
	pid_t pid; /* 0: not running */
	int ended_alone; /* times that it ended without a signal of the case */
	bool wanted; /* is started again when it has ended */
};

extern struct rv_vm rv_vms[RV_VMS_MAX];
extern bool rv_trouble; /* false with TROUBLE=0 */

void rv_init(int argc, char **argv, int default_net);
void rv_end(enum rv_verdict verdict) __attribute__((noreturn));
void rv_log(const char *format, ...) __attribute__((format(printf, 1, 2)));
int64_t rv_now(void);
void rv_sleep(int64_t ms);
void rv_sleep_until(int64_t ms);
void rv_lock(void);
void rv_unlock(void);
void rv_thread(void *(*run)(void *arg), void *arg);

/* Writes the address 127.0.NET.HOST. */
void rv_addr(char *out, size_t size, int host);

/* The store. A negative era writes no field Store-Era. */
void rv_store_start(int64_t era);
int64_t rv_store_put(const char *kind, const char *name, const char *spec);
void rv_store_delete(const char *kind, const char *name);
void rv_store_copy(void); /* keeps a copy of all objects */
void rv_store_down(void); /* resets its connections and takes none */
void rv_store_restore(int64_t era); /* is back from the copy */
void rv_store_up(void); /* is back with all that it had */
int64_t rv_store_revision(void);

/* Writes the configuration; routes and services are JSON without brackets. */
void rv_config(int version, const char *routes, const char *services);

/* Upstreams. */
struct rv_upstream *rv_upstream_start(const char *service, const char *dc,
				      int host, int port, int slots,
				      int work_ms);
void rv_upstream_list(struct rv_upstream *upstream); /* writes its entry */

/* VMs. */
void rv_vms_start(const struct rv_vm_settings *settings);
void rv_vm_kill(int index); /* SIGKILL by the case; it is started again */
long rv_vm_rss_kb(int index);
bool rv_vm_ready(int index, int64_t timeout_ms);

/* Callers. A status below 0: -1 closed, -2 no answer in time. */
int rv_connect(const char *addr, int port, int64_t timeout_ms);
bool rv_send(int fd, const char *bytes, size_t len, int64_t timeout_ms);
int rv_read(struct rv_conn *conn, struct rv_msg *msg, bool is_response,
	    int64_t timeout_ms);
void rv_msg_free(struct rv_msg *msg);
bool rv_field(const struct rv_msg *msg, const char *name, char *out,
	      size_t size);
int rv_get(int vm, const char *path, const char *id, int deadline_ms,
	   int64_t timeout_ms, struct rv_msg *answer);

#endif
