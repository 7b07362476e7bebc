#define _GNU_SOURCE
#include "replica.h"

#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define STEP_MS 10
#define HISTORY_MAX 65536

static struct history history[HISTORY_MAX];
static int history_len;
static pthread_mutex_t history_lock = PTHREAD_MUTEX_INITIALIZER;

struct conn {
	struct replica *replica;
	uint32_t generation;
	struct stream stream;
	char *extra; /* copy of an answer, due where the next one is expected */
};

static struct history *find_history(const char *id)
{
	for (int i = history_len - 1; i >= 0; i--)
		if (!strcmp(history[i].id, id))
			return &history[i];
	return NULL;
}

void history_add_run(const char *id)
{
	struct history *h;

	pthread_mutex_lock(&history_lock);
	h = find_history(id);
	if (!h && history_len < HISTORY_MAX) {
		h = &history[history_len++];
		snprintf(h->id, sizeof(h->id), "%s", id);
	}
	if (h)
		h->runs++;
	pthread_mutex_unlock(&history_lock);
}

int history_runs(const char *id)
{
	struct history *h;
	int runs;

	pthread_mutex_lock(&history_lock);
	h = find_history(id);
	runs = h ? h->runs : 0;
	pthread_mutex_unlock(&history_lock);
	return runs;
}

static bool has_crashed(const struct conn *c)
{
	return c->generation != c->replica->generation;
}

static bool peer_closed(const struct conn *c)
{
	char byte;
	ssize_t n = recv(c->stream.fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	return !n || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

/* Sends an answer, and an extra copy that is due before it. */
static void answer(struct conn *c, const char *id, int status,
		   const char *fields, const char *body)
{
	struct replica *r = c->replica;
	char *text;

	if (c->extra) {
		send_all(c->stream.fd, c->extra, strlen(c->extra));
		free(c->extra);
		c->extra = NULL;
		__sync_add_and_fetch(&r->extras_sent, 1);
		record("replica %s sends an extra answer before that to %s:",
		       r->id, id);
	}
	if (asprintf(&text,
		     "HTTP/1.1 %d Status\r\nX-Request-Id: %s\r\n"
		     "X-Server-Load: %d,%d,%d\r\nKeep-Alive: timeout=5\r\n"
		     "%sContent-Length: %zu\r\n\r\n%s",
		     status, id, r->running, r->waiting, r->slots, fields,
		     strlen(body), body) < 0)
		return;
	send_all(c->stream.fd, text, strlen(text));
	if (r->extra_percent && (int)random_below(100) < r->extra_percent)
		c->extra = text;
	else
		free(text);
}

/* Waits for a slot; false if the queue is full or nobody waits any more. */
static bool take_slot(struct conn *c, int64_t deadline)
{
	struct replica *r = c->replica;
	bool taken = false;

	pthread_mutex_lock(&r->lock);
	if (r->running < r->slots || r->waiting < r->queue) {
		r->waiting++;
		while (r->running >= r->slots && !has_crashed(c) &&
		       now_ms() < deadline) {
			pthread_mutex_unlock(&r->lock);
			sleep_ms(2);
			pthread_mutex_lock(&r->lock);
		}
		r->waiting--;
		taken = r->running < r->slots && !has_crashed(c) &&
			now_ms() < deadline;
		r->running += taken;
	}
	pthread_mutex_unlock(&r->lock);
	return taken;
}

static void free_slot(struct replica *r)
{
	pthread_mutex_lock(&r->lock);
	r->running--;
	pthread_mutex_unlock(&r->lock);
}

static void run(struct conn *c, const char *id, const struct message *m,
		int64_t deadline)
{
	struct replica *r = c->replica;
	int64_t end = now_ms() + r->work_min +
		      random_below(r->work_max - r->work_min + 1);
	char fields[160];

	history_add_run(id);
	record("replica %s (%s) runs %s", r->id, r->service, id);
	if (r->run_begins && r->run_begins(r, id, m))
		replica_crash(r);
	while (now_ms() < end && now_ms() < deadline && !has_crashed(c) &&
	       !peer_closed(c))
		sleep_ms(end - now_ms() < STEP_MS ? end - now_ms() : STEP_MS);
	free_slot(r);
	if (has_crashed(c))
		return;
	snprintf(fields, sizeof(fields), "X-Server-Stamp: %s.%s\r\n", id,
		 r->service);
	if (now_ms() < deadline)
		answer(c, id, 200, fields, "0123456789abcdef");
	else
		answer(c, id, 504, fields, "");
}

static void serve(struct conn *c, const struct message *m)
{
	struct replica *r = c->replica;
	char id[ID_LEN] = "", expected[ID_LEN] = "", left[24] = "60000";
	char fields[96];
	int64_t deadline;

	get_field(m, "x-request-id", id, sizeof(id));
	get_field(m, "x-deadline-milliseconds", left, sizeof(left));
	deadline = now_ms() + atoll(left);
	if (get_field(m, "x-expected-instance", expected, sizeof(expected)) &&
	    strcmp(expected, r->id)) {
		record("replica %s answers 421 to %s for %s", r->id, id,
		       expected);
		snprintf(fields, sizeof(fields), "X-Instance-Id: %s\r\n",
			 r->id);
		answer(c, id, 421, fields, "");
		return;
	}
	if ((int)random_below(100) < r->shed_percent ||
	    !take_slot(c, deadline)) {
		if (has_crashed(c))
			return;
		record("replica %s rejects %s, not run", r->id, id);
		answer(c, id, 503, "X-Not-Executed: 1\r\n", "");
		return;
	}
	run(c, id, m, deadline);
}

static void *serve_conn(void *arg)
{
	struct conn *c = arg;
	enum read_result result = READ_TIMEOUT;
	struct message m;

	while (!has_crashed(c) && result != READ_CLOSED) {
		result = read_message(&c->stream, &m, STEP_MS);
		if (result != READ_OK)
			continue;
		serve(c, &m);
		free_message(&m);
	}
	if (has_crashed(c))
		reset_conn(c->stream.fd);
	else
		close(c->stream.fd);
	free_stream(&c->stream);
	free(c->extra);
	free(c);
	return NULL;
}

static void *accept_conns(void *arg)
{
	struct replica *r = arg;
	uint32_t generation = r->generation;
	struct pollfd p = { .fd = r->listener, .events = POLLIN };

	while (r->generation == generation) {
		struct conn *c;
		int fd;

		if (poll(&p, 1, STEP_MS) != 1)
			continue;
		fd = accept4(p.fd, NULL, NULL, SOCK_CLOEXEC);
		if (fd < 0)
			continue;
		c = calloc(1, sizeof(*c));
		c->replica = r;
		c->generation = generation;
		c->stream.fd = fd;
		start_thread(serve_conn, c);
	}
	close(p.fd);
	return NULL;
}

void replica_start(struct replica *r)
{
	char ip[32];

	pthread_mutex_init(&r->lock, NULL);
	replica_ip(ip, sizeof(ip));
	for (int i = 0; i < 100; i++) {
		r->listener = listen_at(ip, &r->port);
		if (r->listener >= 0)
			break;
		sleep_ms(STEP_MS);
	}
	if (r->listener < 0)
		finish(UNUSABLE, "a replica cannot listen");
	record("replica %s of %s starts at port %u", r->id, r->service,
	       r->port);
	start_thread(accept_conns, r);
}

void replica_crash(struct replica *r)
{
	record("replica %s of %s ends", r->id, r->service);
	r->generation++;
}
