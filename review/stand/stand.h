#ifndef STAND_H
#define STAND_H

/*
 * NAME
 *	stand - stand-ins of the platform for the cases of the review
 *
 * DESCRIPTION
 *	A case is one program. It plays the platform's store, the replicas and
 *	the clients with threads and blocking sockets, starts VMs of the
 *	project as separate processes, and writes a record of what was sent,
 *	answered and run. All addresses are loopback addresses.
 */

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define ID_LEN 40
#define VMS_MAX 4

enum verdict { HELD = 0, BROKEN = 1, UNUSABLE = 2 };

/* Milliseconds since the start of the program. */
int64_t now_ms(void);
void sleep_ms(int64_t ms);
void sleep_until(int64_t ms);

/* Writes one line to the record, with the time in front. */
void record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

/* Ends the case: kills its VMs, writes the verdict to the record, exits. */
void finish(enum verdict verdict, const char *fmt, ...)
	__attribute__((format(printf, 2, 3), noreturn));

/*
 * Reads the arguments "PROGRAM-OF-THE-VM FOLDER TEMPLATE RECORD" and TROUBLE of
 * the environment; FOLDER is for settings and logs.
 */
void stand_init(int argc, char **argv);
extern bool trouble;

/* Random number from 0 up to, but not including, n; thread-safe. */
uint32_t random_below(uint32_t n);

/* The text "127.A.B." that the addresses of this run begin with. */
const char *net_prefix(void);

/* Opens a listening socket; a port of 0 is replaced by a free one. */
int listen_at(const char *ip, uint16_t *port);
int connect_to(const char *ip, uint16_t port, int timeout_ms);
void reset_conn(int fd);
void start_thread(void *(*run)(void *), void *arg);

/* A connection with the bytes that were read beyond the last message. */
struct stream {
	int fd;
	char *buf;
	size_t len;
	size_t cap;
};

/* A message; all strings end with a NUL. */
struct message {
	char *head; /* first line and fields, each with CR LF */
	char *body;
	size_t body_len;
	int status; /* of an answer */
};

enum read_result { READ_OK, READ_CLOSED, READ_TIMEOUT };

enum read_result read_message(struct stream *s, struct message *m,
			      int timeout_ms);
void free_message(struct message *m);
void free_stream(struct stream *s);
/* Copies the value of a field; returns false if there is none. */
bool get_field(const struct message *m, const char *name, char *out,
	       size_t size);
bool send_all(int fd, const void *bytes, size_t len);
bool send_text(int fd, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/* The store. */
void store_start(void);
uint16_t store_port(void);
/* Creates or replaces an object; the return is the acknowledgement. */
void store_put(const char *kind, const char *name, const char *spec);
void store_delete(const char *kind, const char *name);
/* Watches and lists answered so far. */
uint32_t store_calls(void);

/* VMs, numbered from 0, at 127.A.B.(1 + number). */
void vms_start(int count, uint16_t store_port);
void vm_start(int vm);
void vm_signal(int vm, int signal);
/* Waits for the end of the process; -1 after a timeout, otherwise its status.
 */
int vm_wait(int vm, int timeout_ms);
/* Tells whether the process ended without a signal of this program. */
bool vm_ended(int vm, int *status);
bool vm_is_ready(int vm);
bool vms_wait_ready(int count, int timeout_ms);
void vm_ip(int vm, char *out, size_t size);
#define FRONT_PORT 8104

/* One attempt of a client on a new connection. */
struct attempt {
	char id[ID_LEN];
	int vm;
	int status; /* 0 if there was no complete answer */
	char stamp[64];
	int64_t sent_at;
	int64_t ended_at;
};

void new_id(char *id);
void ask(struct attempt *a, const char *method, const char *path,
	 const char *body, int deadline_ms);

/* Writes the entry of a replica. */
void put_replica(const char *id, const char *service, uint16_t port, int slots,
		 const char *state, int64_t born);
/* The address of the replicas. */
void replica_ip(char *out, size_t size);

#endif
