#define _GNU_SOURCE
#include "stand.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

/* Bounds of one page of a list. */
#define PAGE_ITEMS_MAX 500
#define PAGE_BYTES_MAX 1048576

/* Bytes of an object beside its spec, and of the end of a page, at most. */
#define META_BYTES_MAX 224

#define OBJECTS_MAX 2048

struct object {
	char kind[24];
	char name[64];
	char *spec;
	int64_t revision;
	int64_t created;
	bool deleted; /* kept as the event of its deletion */
};

static struct {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	struct object object[OBJECTS_MAX];
	int len;
	int64_t revision;
	uint32_t calls;
	uint16_t port;
} store = { .lock = PTHREAD_MUTEX_INITIALIZER,
	    .changed = PTHREAD_COND_INITIALIZER,
	    .revision = 100 };

/* Text that grows. */
struct text {
	char *bytes;
	size_t len;
	size_t cap;
};

static void add(struct text *t, const char *bytes)
{
	size_t len = strlen(bytes);

	if (t->len + len + 1 > t->cap) {
		t->cap = t->cap * 2 + len + 1;
		t->bytes = realloc(t->bytes, t->cap);
	}
	memcpy(t->bytes + t->len, bytes, len + 1);
	t->len += len;
}

static void add_object(struct text *t, const struct object *o)
{
	char meta[256];

	snprintf(meta, sizeof(meta),
		 "{\"meta\":{\"name\":\"%s\",\"revision\":%lld,"
		 "\"createdRevision\":%lld,\"finalizers\":[],"
		 "\"deletionPending\":false},\"spec\":",
		 o->name, (long long)o->revision, (long long)o->created);
	add(t, meta);
	add(t, o->spec);
	add(t, ",\"status\":null}");
}

static int find(const char *kind, const char *name)
{
	for (int i = 0; i < store.len; i++)
		if (!strcmp(store.object[i].kind, kind) &&
		    !strcmp(store.object[i].name, name))
			return i;
	return -1;
}

static void put(const char *kind, const char *name, const char *spec,
		bool deleted)
{
	int at;

	pthread_mutex_lock(&store.lock);
	at = find(kind, name);
	store.revision++;
	if (at < 0) {
		if (store.len == OBJECTS_MAX)
			finish(UNUSABLE, "the store is full");
		at = store.len++;
		snprintf(store.object[at].kind, sizeof(store.object[at].kind),
			 "%s", kind);
		snprintf(store.object[at].name, sizeof(store.object[at].name),
			 "%s", name);
		store.object[at].created = store.revision;
	}
	if (spec) {
		free(store.object[at].spec);
		store.object[at].spec = strdup(spec);
	}
	store.object[at].deleted = deleted;
	store.object[at].revision = store.revision;
	pthread_cond_broadcast(&store.changed);
	pthread_mutex_unlock(&store.lock);
}

void store_put(const char *kind, const char *name, const char *spec)
{
	put(kind, name, spec, false);
	record("store: %s/%s put, acknowledged: %.300s%s", kind, name, spec,
	       strlen(spec) > 300 ? "..." : "");
}

void store_delete(const char *kind, const char *name)
{
	put(kind, name, NULL, true);
	record("store: %s/%s deleted", kind, name);
}

uint16_t store_port(void)
{
	return store.port;
}

uint32_t store_calls(void)
{
	return store.calls;
}

/* The object of that kind with the lowest name after a name, or NULL. */
static struct object *next_object(const char *kind, const char *after)
{
	struct object *found = NULL;

	for (int i = 0; i < store.len; i++) {
		struct object *o = &store.object[i];

		if (o->deleted || strcmp(o->kind, kind) ||
		    strcmp(o->name, after) <= 0)
			continue;
		if (!found || strcmp(o->name, found->name) < 0)
			found = o;
	}
	return found;
}

/* A page ends before the object that would make it too long. */
static void list(struct text *t, const char *kind, const char *after)
{
	struct object *o = next_object(kind, after);
	char end[80];
	int items = 0;

	add(t, "{\"items\":[");
	while (o && items < PAGE_ITEMS_MAX &&
	       (!items ||
		t->len + strlen(o->spec) + META_BYTES_MAX <= PAGE_BYTES_MAX)) {
		add(t, items++ ? "," : "");
		add_object(t, o);
		o = next_object(kind, o->name);
	}
	snprintf(end, sizeof(end), "],\"more\":%s,\"atRevision\":%lld}",
		 o ? "true" : "false", (long long)store.revision);
	add(t, end);
}

static int add_events(struct text *t, const char *kind, int64_t after)
{
	int events = 0;

	for (int i = 0; i < store.len; i++) {
		struct object *o = &store.object[i];

		if (strcmp(o->kind, kind) || o->revision <= after)
			continue;
		add(t, events++ ? "," : "");
		add(t, o->deleted ? "{\"deleted\":true,\"object\":"
				  : "{\"deleted\":false,\"object\":");
		add_object(t, o);
		add(t, "}");
	}
	return events;
}

/* Each object has only its last event, which is enough to follow the kind. */
static void watch(struct text *t, const char *kind, int64_t after, int wait_ms)
{
	struct timespec until;
	char end[64];

	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_sec += wait_ms / 1000;
	until.tv_nsec += wait_ms % 1000 * 1000000L;
	if (until.tv_nsec >= 1000000000L) {
		until.tv_sec++;
		until.tv_nsec -= 1000000000L;
	}
	add(t, "{\"events\":[");
	while (!add_events(t, kind, after))
		if (pthread_cond_timedwait(&store.changed, &store.lock, &until))
			break;
	snprintf(end, sizeof(end), "],\"atRevision\":%lld}",
		 (long long)store.revision);
	add(t, end);
}

/* Copies an option of the query; names are not percent-encoded here. */
static bool option(const char *target, const char *name, char *out, size_t size)
{
	const char *at = strpbrk(target, "?&");
	size_t len = strlen(name);

	for (; at; at = strpbrk(at, "&")) {
		at++;
		if (strncmp(at, name, len) || at[len] != '=')
			continue;
		at += len + 1;
		snprintf(out, size, "%.*s", (int)strcspn(at, "& "), at);
		return true;
	}
	return false;
}

static void answer(int fd, const struct message *m)
{
	char target[256] = "", kind[24] = "", after[64] = "", from[24],
	     wait[24];
	struct text t = { 0 };

	sscanf(m->head, "GET %255s", target);
	sscanf(target, "/objects/%23[a-z]", kind);
	pthread_mutex_lock(&store.lock);
	store.calls++;
	if (option(target, "watch", from, sizeof(from))) {
		if (!option(target, "waitMs", wait, sizeof(wait)))
			strcpy(wait, "0");
		watch(&t, kind, atoll(from), atoi(wait));
	} else {
		option(target, "after", after, sizeof(after));
		list(&t, kind, after);
	}
	pthread_mutex_unlock(&store.lock);
	if (send_text(fd,
		      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
		      "Content-Length: %zu\r\n\r\n",
		      t.len))
		send_all(fd, t.bytes, t.len);
	free(t.bytes);
}

static void *serve_conn(void *arg)
{
	struct stream s = { .fd = (int)(intptr_t)arg };
	struct message m;

	while (read_message(&s, &m, 600000) == READ_OK) {
		answer(s.fd, &m);
		free_message(&m);
	}
	close(s.fd);
	free_stream(&s);
	return NULL;
}

static void *accept_conns(void *arg)
{
	int listener = (int)(intptr_t)arg;

	for (;;) {
		int fd = accept4(listener, NULL, NULL, SOCK_CLOEXEC);

		if (fd >= 0)
			start_thread(serve_conn, (void *)(intptr_t)fd);
	}
	return NULL;
}

void store_start(void)
{
	char ip[32];
	int fd;

	snprintf(ip, sizeof(ip), "%s200", net_prefix());
	fd = listen_at(ip, &store.port);
	if (fd < 0)
		finish(UNUSABLE, "the store cannot listen");
	start_thread(accept_conns, (void *)(intptr_t)fd);
}
