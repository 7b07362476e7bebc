#include "rv.h"

#include <arpa/inet.h>
#include <errno.h>
#include <jansson.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define OBJECTS_MAX 4096
#define CHANGES_MAX 16384
#define STORE_CONNS_MAX 1024
#define UPSTREAM_CONNS_MAX 4096
#define MSG_MAX (4 << 20)
#define STORE_HOST 200
#define STORE_PORT 8102
#define FRONT_PORT 8104
#define CONTROL_PORT 8106
#define READY_PORT 8108
#define MEMBER_PORT 7380
#define RESTART_MS 1000

/* A refused request waits for a slot unless so many wait. */
#define WAITING_MAX 8

struct object {
	const char *kind;
	const char *name;
	char *spec;
	char *status; /* NULL: none */
	int64_t created, revision;
	bool deleted; /* in the log of changes */
};

struct store {
	struct object objects[OBJECTS_MAX];
	size_t objects_len;
	struct object changes[CHANGES_MAX];
	size_t changes_len;
	int64_t revision;
	int64_t era;
	bool down;
	int conns[STORE_CONNS_MAX];
	struct object copied[OBJECTS_MAX];
	size_t copied_len, copied_changes_len;
	int64_t copied_revision;
};

struct upstream_conn {
	struct rv_upstream *upstream;
	int run;
	int fd;
};

struct rv_vm rv_vms[RV_VMS_MAX];
bool rv_trouble;

static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static struct store store;
static int upstream_fds[UPSTREAM_CONNS_MAX];
static struct rv_upstream *upstream_owners[UPSTREAM_CONNS_MAX];
static struct rv_vm_settings vm_settings;
static int net;
static FILE *record;
static char folder[128];
static int64_t started_at;
static bool ending;

static int64_t clock_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return now.tv_sec * 1000LL + now.tv_nsec / 1000000;
}

int64_t rv_now(void)
{
	return clock_ms() - started_at;
}

void rv_sleep(int64_t ms)
{
	struct timespec time = { .tv_sec = ms / 1000,
				 .tv_nsec = ms % 1000 * 1000000 };

	if (ms > 0)
		nanosleep(&time, NULL);
}

void rv_sleep_until(int64_t ms)
{
	rv_sleep(ms - rv_now());
}

void rv_lock(void)
{
	pthread_mutex_lock(&mutex);
}

void rv_unlock(void)
{
	pthread_mutex_unlock(&mutex);
}

/* Waits for a change with the lock held, until that time at most. */
static void wait_changed(int64_t until)
{
	int64_t left = until - rv_now();
	struct timespec time;

	clock_gettime(CLOCK_REALTIME, &time);
	left = left < 0 ? 0 : left > 20 ? 20 : left;
	time.tv_nsec += left * 1000000;
	time.tv_sec += time.tv_nsec / 1000000000;
	time.tv_nsec %= 1000000000;
	pthread_cond_timedwait(&changed, &mutex, &time);
}

void rv_log(const char *format, ...)
{
	static pthread_mutex_t log_mutex = PTHREAD_MUTEX_INITIALIZER;
	va_list args;

	pthread_mutex_lock(&log_mutex);
	fprintf(record, "%8.3f ", rv_now() / 1000.0);
	va_start(args, format);
	vfprintf(record, format, args);
	va_end(args);
	fputc('\n', record);
	fflush(record);
	pthread_mutex_unlock(&log_mutex);
}

void rv_addr(char *out, size_t size, int host)
{
	snprintf(out, size, "127.0.%d.%d", net, host);
}

static void fail(const char *what)
{
	rv_log("could not run: %s: %s", what, strerror(errno));
	rv_end(RV_NOT_RUN);
}

void rv_thread(void *(*run)(void *arg), void *arg)
{
	pthread_attr_t attr;
	pthread_t thread;

	pthread_attr_init(&attr);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&attr, 256 * 1024);
	if (pthread_create(&thread, &attr, run, arg))
		fail("thread");
	pthread_attr_destroy(&attr);
}

void rv_init(int argc, char **argv, int default_net)
{
	const char *trouble = getenv("TROUBLE"), *number = getenv("NET");
	struct rlimit files;

	if (argc != 3) {
		fprintf(stderr, "usage: %s RECORD FOLDER\n", argv[0]);
		exit(RV_NOT_RUN);
	}
	record = fopen(argv[1], "w");
	if (!record) {
		perror(argv[1]);
		exit(RV_NOT_RUN);
	}
	snprintf(folder, sizeof(folder), "%s", argv[2]);
	rv_trouble = !trouble || strcmp(trouble, "0");
	net = number ? atoi(number) : default_net;
	started_at = clock_ms();
	signal(SIGPIPE, SIG_IGN);
	getrlimit(RLIMIT_NOFILE, &files);
	files.rlim_cur = files.rlim_max;
	setrlimit(RLIMIT_NOFILE, &files);
	rv_log("trouble: %s", rv_trouble ? "yes" : "no");
}

void rv_end(enum rv_verdict verdict)
{
	static const char *const names[] = { [RV_HELD] = "held",
					     [RV_BROKEN] = "BROKEN",
					     [RV_NOT_RUN] = "could not run" };

	ending = true;
	for (int i = 0; i < RV_VMS_MAX; i++)
		if (rv_vms[i].pid)
			kill(rv_vms[i].pid, SIGKILL);
	rv_log("verdict: %s", names[verdict]);
	printf("%s\n", names[verdict]);
	fflush(stdout);
	_exit(verdict);
}

/* Sockets */

static struct sockaddr_in to_sockaddr(const char *addr, int port)
{
	struct sockaddr_in to = { .sin_family = AF_INET,
				  .sin_port = htons(port) };

	inet_pton(AF_INET, addr, &to.sin_addr);
	return to;
}

static int listen_on(const char *addr, int port)
{
	struct sockaddr_in to = to_sockaddr(addr, port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&to, sizeof(to)) || listen(fd, 1024)) {
		close(fd);
		return -1;
	}
	return fd;
}

int rv_connect(const char *addr, int port, int64_t timeout_ms)
{
	struct sockaddr_in to = to_sockaddr(addr, port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	struct pollfd wait = { .fd = fd, .events = POLLOUT };
	int error = 0, on = 1;
	socklen_t len = sizeof(error);

	if (fd < 0)
		return -1;
	if (connect(fd, (struct sockaddr *)&to, sizeof(to)) &&
	    errno != EINPROGRESS)
		goto failed;
	if (poll(&wait, 1, timeout_ms) != 1)
		goto failed;
	getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len);
	if (error)
		goto failed;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	return fd;
failed:
	close(fd);
	return -1;
}

bool rv_send(int fd, const char *bytes, size_t len, int64_t timeout_ms)
{
	int64_t until = rv_now() + timeout_ms;

	while (len) {
		struct pollfd wait = { .fd = fd, .events = POLLOUT };
		ssize_t sent =
			send(fd, bytes, len, MSG_NOSIGNAL | MSG_DONTWAIT);

		if (sent > 0) {
			bytes += sent;
			len -= sent;
			continue;
		}
		if (errno != EAGAIN || rv_now() >= until)
			return false;
		poll(&wait, 1, until - rv_now());
	}
	return true;
}

/* Reads more bytes: 1 if there are some, 0 at the end, -1 on failure. */
static int read_more(struct rv_conn *conn, int64_t until)
{
	struct pollfd wait = { .fd = conn->fd, .events = POLLIN };
	int64_t left = until - rv_now();
	char bytes[16384];
	ssize_t len;

	if (conn->len > MSG_MAX || left <= 0 || poll(&wait, 1, left) != 1)
		return -1;
	len = recv(conn->fd, bytes, sizeof(bytes), 0);
	if (len <= 0)
		return len;
	conn->buf = realloc(conn->buf, conn->len + len + 1);
	memcpy(conn->buf + conn->len, bytes, len);
	conn->len += len;
	conn->buf[conn->len] = 0;
	return 1;
}

static void consume(struct rv_conn *conn, size_t len)
{
	memmove(conn->buf, conn->buf + len, conn->len - len + 1);
	conn->len -= len;
}

bool rv_field(const struct rv_msg *msg, const char *name, char *out,
	      size_t size)
{
	size_t name_len = strlen(name), len;

	for (const char *line = msg->fields; line && *line;) {
		const char *end = strstr(line, "\r\n");

		if (!end)
			end = line + strlen(line);
		if (!strncasecmp(line, name, name_len) &&
		    line[name_len] == ':') {
			line += name_len + 1;
			line += strspn(line, " ");
			len = end - line;
			len = len < size - 1 ? len : size - 1;
			memcpy(out, line, len);
			out[len] = 0;
			return true;
		}
		line = *end ? end + 2 : end;
	}
	return false;
}

void rv_msg_free(struct rv_msg *msg)
{
	free(msg->method);
	free(msg->target);
	free(msg->fields);
	free(msg->body);
	*msg = (struct rv_msg){ 0 };
}

static void add_body(struct rv_msg *msg, const char *bytes, size_t len)
{
	msg->body = realloc(msg->body, msg->body_len + len + 1);
	memcpy(msg->body + msg->body_len, bytes, len);
	msg->body_len += len;
	msg->body[msg->body_len] = 0;
}

static int read_length(struct rv_conn *conn, struct rv_msg *msg, size_t len,
		       int64_t until)
{
	while (conn->len < len)
		if (read_more(conn, until) <= 0)
			return -1;
	add_body(msg, conn->len ? conn->buf : "", len);
	if (len)
		consume(conn, len);
	return 0;
}

static int read_chunks(struct rv_conn *conn, struct rv_msg *msg, int64_t until)
{
	for (;;) {
		char *end;
		size_t len;

		while (!conn->len || !(end = strstr(conn->buf, "\r\n")))
			if (read_more(conn, until) <= 0)
				return -1;
		len = strtoul(conn->buf, NULL, 16);
		consume(conn, end + 2 - conn->buf);
		while (conn->len < len + 2)
			if (read_more(conn, until) <= 0)
				return -1;
		if (len)
			add_body(msg, conn->buf, len);
		consume(conn, len + 2);
		if (!len)
			return 0;
	}
}

/* Fills in the first line of a message. */
static void read_first_line(struct rv_msg *msg, char *line, bool is_response)
{
	char *save, *first = strtok_r(line, " ", &save);
	char *second = strtok_r(NULL, " ", &save);

	if (is_response) {
		msg->status = second ? atoi(second) : 0;
		return;
	}
	msg->method = strdup(first ? first : "");
	msg->target = strdup(second ? second : "");
}

int rv_read(struct rv_conn *conn, struct rv_msg *msg, bool is_response,
	    int64_t timeout_ms)
{
	int64_t until = rv_now() + timeout_ms;
	char *end, *line_end, value[64];
	int got;

	*msg = (struct rv_msg){ 0 };
	while (!conn->len || !(end = strstr(conn->buf, "\r\n\r\n"))) {
		got = read_more(conn, until);
		if (got <= 0)
			return got < 0 && rv_now() >= until ? -2 : -1;
	}
	line_end = strstr(conn->buf, "\r\n");
	*line_end = 0;
	if (line_end < end)
		msg->fields = strndup(line_end + 2, end + 2 - (line_end + 2));
	else
		msg->fields = strdup("");
	read_first_line(msg, conn->buf, is_response);
	consume(conn, end + 4 - conn->buf);
	msg->close = rv_field(msg, "connection", value, sizeof(value)) &&
		     !strcasecmp(value, "close");
	if (is_response &&
	    (msg->status < 200 || msg->status == 204 || msg->status == 304))
		return 0;
	if (rv_field(msg, "transfer-encoding", value, sizeof(value)))
		got = read_chunks(conn, msg, until);
	else if (rv_field(msg, "content-length", value, sizeof(value)))
		got = read_length(conn, msg, strtoul(value, NULL, 10), until);
	else
		got = 0;
	if (!got)
		return 0;
	rv_msg_free(msg);
	return rv_now() >= until ? -2 : -1;
}

static bool reply(int fd, int status, const char *fields, const char *body)
{
	size_t len = strlen(body), size = len + strlen(fields) + 256;
	char *text = malloc(size);
	int text_len = snprintf(text, size,
				"HTTP/1.1 %d Status\r\n"
				"Content-Length: %zu\r\n%s\r\n%s",
				status, len, fields, body);
	bool sent = rv_send(fd, text, text_len, 10000);

	free(text);
	return sent;
}

/* The store */

static struct object *find_object(const char *kind, const char *name)
{
	for (size_t i = 0; i < store.objects_len; i++)
		if (!strcmp(store.objects[i].kind, kind) &&
		    !strcmp(store.objects[i].name, name))
			return &store.objects[i];
	return NULL;
}

static void log_change(const struct object *object, bool deleted)
{
	if (store.changes_len == CHANGES_MAX)
		fail("too many changes");
	store.changes[store.changes_len] = *object;
	store.changes[store.changes_len++].deleted = deleted;
	pthread_cond_broadcast(&changed);
}

static int64_t put_object(const char *kind, const char *name, const char *spec)
{
	struct object *object = find_object(kind, name);

	if (object && !strcmp(object->spec, spec))
		return object->revision;
	if (!object) {
		if (store.objects_len == OBJECTS_MAX)
			fail("too many objects");
		object = &store.objects[store.objects_len++];
		*object = (struct object){ .kind = strdup(kind),
					   .name = strdup(name),
					   .created = store.revision + 1 };
	}
	object->spec = strdup(spec);
	object->revision = ++store.revision;
	log_change(object, false);
	return object->revision;
}

static void delete_object(const char *kind, const char *name)
{
	struct object *object = find_object(kind, name);

	if (!object)
		return;
	object->revision = ++store.revision;
	log_change(object, true);
	*object = store.objects[--store.objects_len];
}

int64_t rv_store_put(const char *kind, const char *name, const char *spec)
{
	int64_t revision;

	rv_lock();
	revision = put_object(kind, name, spec);
	rv_unlock();
	return revision;
}

void rv_store_delete(const char *kind, const char *name)
{
	rv_lock();
	delete_object(kind, name);
	rv_unlock();
}

int64_t rv_store_revision(void)
{
	int64_t revision;

	rv_lock();
	revision = store.revision;
	rv_unlock();
	return revision;
}

void rv_store_copy(void)
{
	rv_lock();
	memcpy(store.copied, store.objects, sizeof(store.objects));
	store.copied_len = store.objects_len;
	store.copied_changes_len = store.changes_len;
	store.copied_revision = store.revision;
	rv_unlock();
}

void rv_store_down(void)
{
	rv_lock();
	store.down = true;
	for (int i = 0; i < STORE_CONNS_MAX; i++)
		if (store.conns[i])
			shutdown(store.conns[i], SHUT_RDWR);
	pthread_cond_broadcast(&changed);
	rv_unlock();
}

void rv_store_restore(int64_t era)
{
	rv_lock();
	memcpy(store.objects, store.copied, sizeof(store.objects));
	store.objects_len = store.copied_len;
	store.changes_len = store.copied_changes_len;
	store.revision = store.copied_revision;
	store.era = era;
	store.down = false;
	rv_unlock();
}

void rv_store_up(void)
{
	rv_lock();
	store.down = false;
	rv_unlock();
}

/* A text that grows. */
struct text {
	char *bytes;
	size_t len;
};

static void add(struct text *text, const char *format, ...)
{
	va_list args;
	int len;

	va_start(args, format);
	len = vsnprintf(NULL, 0, format, args);
	va_end(args);
	text->bytes = realloc(text->bytes, text->len + len + 1);
	va_start(args, format);
	vsnprintf(text->bytes + text->len, len + 1, format, args);
	va_end(args);
	text->len += len;
}

static void add_object(struct text *text, const struct object *object)
{
	add(text,
	    "{\"meta\":{\"name\":\"%s\",\"revision\":%lld,"
	    "\"createdRevision\":%lld,\"finalizers\":[],"
	    "\"deletionPending\":false},\"spec\":%s,\"status\":%s}",
	    object->name, (long long)object->revision,
	    (long long)object->created, object->spec,
	    object->status ? object->status : "null");
}

static int compare_names(const void *a, const void *b)
{
	const struct object *const *x = a, *const *y = b;

	return strcmp((*x)->name, (*y)->name);
}

static void add_list(struct text *text, const char *kind, const char *after)
{
	static const struct object *found[OBJECTS_MAX];
	size_t len = 0;

	for (size_t i = 0; i < store.objects_len; i++)
		if (!strcmp(store.objects[i].kind, kind) &&
		    strcmp(store.objects[i].name, after) > 0)
			found[len++] = &store.objects[i];
	qsort(found, len, sizeof(*found), compare_names);
	add(text, "{\"items\":[");
	for (size_t i = 0; i < len; i++) {
		add(text, i ? "," : "");
		add_object(text, found[i]);
	}
	add(text, "],\"more\":false,\"atRevision\":%lld}",
	    (long long)store.revision);
}

static size_t add_events(struct text *text, const char *kind, int64_t after)
{
	size_t len = 0;

	add(text, "{\"events\":[");
	for (size_t i = 0; i < store.changes_len; i++) {
		const struct object *change = &store.changes[i];

		if (change->revision <= after || strcmp(change->kind, kind))
			continue;
		add(text, "%s{\"deleted\":%s,\"object\":", len++ ? "," : "",
		    change->deleted ? "true" : "false");
		add_object(text, change);
		add(text, "}");
	}
	add(text, "],\"atRevision\":%lld}", (long long)store.revision);
	return len;
}

/* Copies the value of an option such as "after=x". */
static bool query_option(const char *query, const char *name, char *out,
			 size_t size)
{
	size_t name_len = strlen(name), len;

	for (; query && *query; query = strchr(query, '&'), query += !!query) {
		if (strncmp(query, name, name_len) || query[name_len] != '=')
			continue;
		query += name_len + 1;
		len = strcspn(query, "&");
		len = len < size - 1 ? len : size - 1;
		memcpy(out, query, len);
		out[len] = 0;
		return true;
	}
	return false;
}

/* Serves a list or a watch, with the lock held. */
static int serve_get(const char *kind, const char *name, const char *query,
		     struct text *text)
{
	char value[256];
	int64_t revision, until = rv_now();

	if (name) {
		struct object *object = find_object(kind, name);

		if (object)
			add_object(text, object);
		else
			add(text, "{}");
		return object ? 200 : 404;
	}
	if (!query_option(query, "watch", value, sizeof(value))) {
		if (!query_option(query, "after", value, sizeof(value)))
			*value = 0;
		add_list(text, kind, value);
		return 200;
	}
	revision = atoll(value);
	if (query_option(query, "waitMs", value, sizeof(value)))
		until += atoll(value);
	for (;;) {
		if (revision > store.revision) {
			add(text, "{}");
			return 410;
		}
		if (add_events(text, kind, revision) || rv_now() >= until ||
		    store.down)
			return 200;
		text->len = 0;
		wait_changed(until);
	}
}

static int serve_write(const char *method, const char *kind, const char *name,
		       const char *part, const char *query,
		       const struct rv_msg *msg)
{
	json_t *body =
		json_loadb(msg->body ? msg->body : "", msg->body_len, 0, NULL);
	json_t *meta = json_object_get(body, "meta"), *given;
	struct object *object;
	char *text = NULL, value[64];
	int status = 400;

	if (!name)
		name = json_string_value(json_object_get(meta, "name"));
	if (!name)
		goto out;
	object = find_object(kind, name);
	status = 409;
	given = json_object_get(meta, "revision");
	if (object && given && json_integer_value(given) != object->revision)
		goto out;
	if (object && query_option(query, "revision", value, sizeof(value)) &&
	    atoll(value) != object->revision)
		goto out;
	if (!strcmp(method, "POST") && object)
		goto out;
	status = 404;
	if (strcmp(method, "POST") && !object)
		goto out;
	status = 200;
	if (!strcmp(method, "DELETE")) {
		delete_object(kind, name);
		goto out;
	}
	text = json_dumps(json_object_get(body, part ? "status" : "spec"),
			  JSON_COMPACT | JSON_ENCODE_ANY);
	if (!text) {
		status = 400;
	} else if (part) {
		object->status = strdup(text);
		object->revision = ++store.revision;
		log_change(object, false);
	} else {
		put_object(kind, name, text);
	}
out:
	free(text);
	json_decref(body);
	return status;
}

/* Serves a call for "/objects/KIND[/NAME[/status]][?QUERY]". */
static int serve_call(const struct rv_msg *msg, struct text *text)
{
	char *target = strdup(msg->target), *query = strchr(target, '?');
	char *save, *kind, *name, *part;
	int status = 404;

	if (query)
		*query++ = 0;
	if (strncmp(target, "/objects/", 9)) {
		add(text, "{}");
		free(target);
		return status;
	}
	kind = strtok_r(target + 9, "/", &save);
	name = strtok_r(NULL, "/", &save);
	part = strtok_r(NULL, "/", &save);
	if (!kind) {
		add(text, "{}");
	} else if (!strcmp(msg->method, "GET")) {
		status = serve_get(kind, name, query, text);
	} else {
		status = serve_write(msg->method, kind, name, part, query, msg);
		add(text, "{}");
	}
	free(target);
	return status;
}

static void *store_conn(void *arg)
{
	int slot = (intptr_t)arg;
	struct rv_conn conn = { .fd = store.conns[slot] };
	struct rv_msg msg;

	while (!rv_read(&conn, &msg, false, 600000)) {
		struct text text = { 0 };
		char era[64] = "";
		int status;
		bool down;

		rv_lock();
		status = serve_call(&msg, &text);
		down = store.down;
		if (store.era >= 0)
			snprintf(era, sizeof(era), "Store-Era: %lld\r\n",
				 (long long)store.era);
		rv_unlock();
		rv_msg_free(&msg);
		if (!down)
			down = !reply(conn.fd, status, era, text.bytes);
		free(text.bytes);
		if (down)
			break;
	}
	rv_lock();
	store.conns[slot] = 0;
	rv_unlock();
	close(conn.fd);
	free(conn.buf);
	return NULL;
}

static void *store_accept(void *arg)
{
	int listener = (intptr_t)arg;

	for (;;) {
		int fd = accept4(listener, NULL, NULL, SOCK_CLOEXEC), slot = 0;

		if (fd < 0)
			continue;
		rv_lock();
		while (slot < STORE_CONNS_MAX && store.conns[slot])
			slot++;
		if (store.down || slot == STORE_CONNS_MAX) {
			rv_unlock();
			close(fd);
			continue;
		}
		store.conns[slot] = fd;
		rv_unlock();
		rv_thread(store_conn, (void *)(intptr_t)slot);
	}
	return NULL;
}

void rv_store_start(int64_t era)
{
	char addr[32];
	int listener;

	store.revision = 10;
	store.era = era;
	rv_addr(addr, sizeof(addr), STORE_HOST);
	listener = listen_on(addr, STORE_PORT);
	if (listener < 0)
		fail("address of the store");
	rv_thread(store_accept, (void *)(intptr_t)listener);
}

void rv_config(int version, const char *routes, const char *services)
{
	struct text text = { 0 };

	add(&text,
	    "{\"version\":%d,\"routes\":[%s],\"services\":[%s],"
	    "\"tenants\":[],\"limits\":{\"maxHeaderBytes\":16384,"
	    "\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,"
	    "\"idleTimeoutMs\":15000}}",
	    version, routes, services);
	rv_store_put("config", "main", text.bytes);
	rv_log("configuration %d acknowledged", version);
	free(text.bytes);
}

/* Upstreams */

void rv_upstream_list(struct rv_upstream *upstream)
{
	char spec[512];

	snprintf(spec, sizeof(spec),
		 "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\","
		 "\"version\":\"v1\",\"slots\":%d,\"state\":\"ready\","
		 "\"coldRemainingMs\":0,\"sequence\":1,\"born\":%lld}",
		 upstream->service, upstream->addr, upstream->port,
		 upstream->dc, upstream->slots, (long long)upstream->born);
	rv_store_put("servers", upstream->id, spec);
}

static void new_process(struct rv_upstream *upstream)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	upstream->born = now.tv_sec * 1000LL + now.tv_nsec / 1000000;
	upstream->run++;
	upstream->running = 0;
	upstream->waiting = 0;
	upstream->up = true;
	snprintf(upstream->id, sizeof(upstream->id), "i-%s-%d-%d",
		 upstream->service, upstream->port, upstream->run);
}

static void *crashed(void *arg)
{
	struct rv_upstream *upstream = arg;
	char id[32];

	snprintf(id, sizeof(id), "%s", upstream->id);
	/* Back after two seconds; the old entry ends after three heartbeats. */
	rv_sleep(2000);
	rv_lock();
	new_process(upstream);
	rv_unlock();
	rv_upstream_list(upstream);
	rv_sleep(1600);
	rv_store_delete("servers", id);
	return NULL;
}

/* Ends the process of an upstream, with the lock held. */
static void crash(struct rv_upstream *upstream)
{
	if (!upstream->up)
		return;
	upstream->up = false;
	for (int i = 0; i < UPSTREAM_CONNS_MAX; i++)
		if (upstream_fds[i] && upstream_owners[i] == upstream)
			shutdown(upstream_fds[i], SHUT_RDWR);
	pthread_cond_broadcast(&changed);
	rv_thread(crashed, upstream);
}

/* Waits for a slot and runs, with the lock held; returns the status. */
static int run_request(struct rv_upstream *upstream, int run)
{
	int64_t until;

	if (upstream->running >= upstream->slots &&
	    upstream->waiting >= WAITING_MAX)
		return 503;
	upstream->waiting++;
	while (upstream->run == run && upstream->up &&
	       upstream->running >= upstream->slots)
		wait_changed(rv_now() + 20);
	if (upstream->run != run || !upstream->up)
		return 0;
	upstream->waiting--;
	upstream->running++;
	for (until = rv_now() + upstream->work_ms; rv_now() < until;) {
		rv_unlock();
		rv_sleep(until - rv_now() < 50 ? until - rv_now() : 50);
		rv_lock();
		if (upstream->run != run || !upstream->up)
			return 0;
	}
	upstream->running--;
	pthread_cond_broadcast(&changed);
	return 200;
}

/* Tells whether the other side has closed the connection. */
static bool has_left(int fd)
{
	char byte;

	return !recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
}

/* Answers one request; false ends the connection. */
static bool serve_upstream(struct upstream_conn *uc, const struct rv_msg *msg)
{
	struct rv_upstream *upstream = uc->upstream;
	static uint64_t stamps;
	char value[64], id[64], fields[512];
	int status;

	rv_lock();
	if (upstream->run != uc->run || !upstream->up) {
		rv_unlock();
		return false;
	}
	snprintf(fields, sizeof(fields),
		 "X-Instance-Id: %s\r\nX-Server-Load: %d,%d,%d\r\n",
		 upstream->id, upstream->running, upstream->waiting,
		 upstream->slots);
	if (!strcmp(msg->target, "/health")) {
		rv_unlock();
		return reply(uc->fd, 200, fields, "");
	}
	if (rv_field(msg, "x-expected-instance", value, sizeof(value)) &&
	    strcmp(value, upstream->id)) {
		rv_unlock();
		return reply(uc->fd, 421, "X-Not-Executed: 1\r\n", "");
	}
	if (!rv_field(msg, "x-request-id", id, sizeof(id))) {
		rv_unlock();
		return reply(uc->fd, 400, "X-Not-Executed: 1\r\n", "");
	}
	if (upstream->arrived && upstream->arrived(upstream, msg) == RV_CRASH) {
		crash(upstream);
		rv_unlock();
		return false;
	}
	if (upstream->hangs_until && rand() % 100 < upstream->hang_percent)
		while (rv_now() < upstream->hangs_until && !has_left(uc->fd))
			wait_changed(rv_now() + 20);
	if (upstream->hangs_until && has_left(uc->fd)) {
		rv_unlock();
		return false;
	}
	status = run_request(upstream, uc->run);
	snprintf(fields, sizeof(fields),
		 "X-Request-Id: %s\r\n"
		 "X-Server-Load: %d,%d,%d\r\n%s",
		 id, upstream->running, upstream->waiting, upstream->slots,
		 status == 503 ? "X-Not-Executed: 1\r\n" : "");
	if (status == 200)
		snprintf(fields + strlen(fields),
			 sizeof(fields) - strlen(fields),
			 "X-Server-Stamp: 3e1b.07.5a2.600.0.%08llx\r\n",
			 (unsigned long long)++stamps);
	rv_unlock();
	return status && reply(uc->fd, status, fields, upstream->service);
}

static void *upstream_conn(void *arg)
{
	struct upstream_conn *uc = arg;
	struct rv_conn conn = { .fd = uc->fd };
	struct rv_msg msg;
	int slot = -1;

	rv_lock();
	for (int i = 0; i < UPSTREAM_CONNS_MAX && slot < 0; i++)
		if (!upstream_fds[i])
			slot = i;
	if (slot >= 0) {
		upstream_fds[slot] = uc->fd;
		upstream_owners[slot] = uc->upstream;
	}
	rv_unlock();
	while (slot >= 0 && !rv_read(&conn, &msg, false, 60000)) {
		bool goes_on = serve_upstream(uc, &msg);

		rv_msg_free(&msg);
		if (!goes_on)
			break;
	}
	rv_lock();
	if (slot >= 0)
		upstream_fds[slot] = 0;
	rv_unlock();
	close(uc->fd);
	free(conn.buf);
	free(uc);
	return NULL;
}

static void *upstream_accept(void *arg)
{
	struct rv_upstream *upstream = arg;
	int listener = -1;

	for (;;) {
		struct pollfd wait = { .events = POLLIN };
		struct upstream_conn *uc;
		int fd;

		if (!upstream->up) {
			if (listener >= 0)
				close(listener);
			listener = -1;
			rv_sleep(5);
			continue;
		}
		if (listener < 0)
			listener = listen_on(upstream->addr, upstream->port);
		wait.fd = listener;
		if (listener < 0 || poll(&wait, 1, 5) != 1)
			continue;
		fd = accept4(listener, NULL, NULL, SOCK_CLOEXEC);
		if (fd < 0)
			continue;
		uc = malloc(sizeof(*uc));
		*uc = (struct upstream_conn){ .upstream = upstream,
					      .run = upstream->run,
					      .fd = fd };
		rv_thread(upstream_conn, uc);
	}
	return NULL;
}

struct rv_upstream *rv_upstream_start(const char *service, const char *dc,
				      int host, int port, int slots,
				      int work_ms)
{
	struct rv_upstream *upstream = calloc(1, sizeof(*upstream));

	upstream->service = service;
	upstream->dc = dc;
	upstream->port = port;
	upstream->slots = slots;
	upstream->work_ms = work_ms;
	rv_addr(upstream->addr, sizeof(upstream->addr), host);
	new_process(upstream);
	rv_thread(upstream_accept, upstream);
	rv_upstream_list(upstream);
	return upstream;
}

/* VMs */

static void write_settings(int index)
{
	const char *dc = vm_settings.dcs[index];
	char path[256], seeds[1024] = "", store_addr[32];
	FILE *file;

	for (int i = 0; i < vm_settings.vms && i < 3; i++)
		snprintf(seeds + strlen(seeds), sizeof(seeds) - strlen(seeds),
			 "%s%s:%d", i ? "," : "", rv_vms[i].addr, CONTROL_PORT);
	rv_addr(store_addr, sizeof(store_addr), STORE_HOST);
	snprintf(path, sizeof(path), "%s/vm%d.ini", folder, index + 1);
	file = fopen(path, "w");
	if (!file)
		fail(path);
	fprintf(file, "[vm]\nname = vm%d\ndc = %s\nrole = front\n[front]\n",
		index + 1, dc ? dc : "dc-a");
	fprintf(file, "listen = %s:%d\nready = %s:%d\ncontrol = %s:%d\n",
		rv_vms[index].addr, FRONT_PORT, rv_vms[index].addr, READY_PORT,
		rv_vms[index].addr, CONTROL_PORT);
	fprintf(file, "seeds = %s\nmember_port = %d\n[platform]\n", seeds,
		MEMBER_PORT);
	fprintf(file, "address = %s:%d\n[bounds]\n", store_addr, STORE_PORT);
	fprintf(file, "drain_ms = 3000\napply_ms = 3000\nexclusion_ms = 5000\n"
		      "stable_ms = 4000\ngrace_s = 6\nretry_window_s = 10\n"
		      "retry_ratio = 0.2\nretry_extra = 58\n"
		      "cold_allowance = 5\nprocessor_share = 0.5\n");
	fprintf(file, "memory_mb = %d\n[log]\nseverity = info\nrate = 300\n",
		vm_settings.memory_mb ? vm_settings.memory_mb : 520);
	fclose(file);
}

static void start_process(int index)
{
	char settings[256], log_path[256];
	struct rlimit files = { vm_settings.fd_limit, vm_settings.fd_limit };
	pid_t pid = fork();

	if (pid) {
		rv_vms[index].pid = pid;
		return;
	}
	snprintf(settings, sizeof(settings), "%s/vm%d.ini", folder, index + 1);
	snprintf(log_path, sizeof(log_path), "%s/vm%d.log", folder, index + 1);
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	if (!freopen(log_path, "a", stdout) || !freopen(log_path, "a", stderr))
		_exit(127);
	if (vm_settings.fd_limit)
		setrlimit(RLIMIT_NOFILE, &files);
	execl("target/build/gentianbend", "target/build/gentianbend",
	      "--settings", settings, (char *)NULL);
	_exit(127);
}

static void handle_end(int index, int status)
{
	struct rv_vm *vm = &rv_vms[index];

	if (ending)
		return;
	if (vm->wanted) {
		vm->ended_alone++;
		rv_log("vm%d ended by itself, status %d", index + 1, status);
		if (WIFEXITED(status) && WEXITSTATUS(status) == 127)
			fail("target/build/gentianbend");
	}
	rv_sleep(RESTART_MS);
	rv_lock();
	vm->wanted = true;
	rv_unlock();
	start_process(index);
	rv_log("vm%d started again", index + 1);
}

/* Starts the VMs and restarts each that has ended. */
static void *keep_vms(void *arg)
{
	(void)arg;
	for (int i = 0; i < vm_settings.vms; i++)
		start_process(i);
	for (;;) {
		for (int i = 0; i < vm_settings.vms; i++) {
			int status;

			if (waitpid(rv_vms[i].pid, &status, WNOHANG) > 0)
				handle_end(i, status);
		}
		rv_sleep(10);
	}
	return NULL;
}

void rv_vms_start(const struct rv_vm_settings *settings)
{
	vm_settings = *settings;
	for (int i = 0; i < settings->vms; i++) {
		rv_addr(rv_vms[i].addr, sizeof(rv_vms[i].addr), i + 1);
		rv_vms[i].wanted = true;
	}
	for (int i = 0; i < settings->vms; i++)
		write_settings(i);
	rv_thread(keep_vms, NULL);
	for (int i = 0; i < settings->vms; i++)
		if (!rv_vm_ready(i, 15000))
			fail("a VM did not become ready");
	rv_log("%d VMs are ready", settings->vms);
}

void rv_vm_kill(int index)
{
	rv_lock();
	rv_vms[index].wanted = false;
	kill(rv_vms[index].pid, SIGKILL);
	rv_unlock();
}

long rv_vm_rss_kb(int index)
{
	char path[64], line[256];
	long kb = 0;
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/status", rv_vms[index].pid);
	file = fopen(path, "r");
	while (file && fgets(line, sizeof(line), file))
		if (sscanf(line, "VmRSS: %ld kB", &kb) == 1)
			break;
	if (file)
		fclose(file);
	return kb;
}

/* Sends a request on a new connection and reads the answer. */
static int exchange(const char *addr, int port, const char *text,
		    int64_t timeout_ms, struct rv_msg *answer)
{
	struct rv_conn conn = { 0 };
	int64_t until = rv_now() + timeout_ms;
	int status = -1;

	conn.fd = rv_connect(addr, port, timeout_ms);
	if (conn.fd < 0)
		return rv_now() >= until ? -2 : -1;
	if (rv_send(conn.fd, text, strlen(text), until - rv_now()))
		status = rv_read(&conn, answer, true, until - rv_now());
	close(conn.fd);
	free(conn.buf);
	return status ? status : answer->status;
}

bool rv_vm_ready(int index, int64_t timeout_ms)
{
	int64_t until = rv_now() + timeout_ms;

	while (rv_now() < until) {
		struct rv_msg answer = { 0 };
		int status = exchange(rv_vms[index].addr, READY_PORT,
				      "GET /readiness HTTP/1.1\r\n"
				      "Host: ready\r\n\r\n",
				      1000, &answer);

		rv_msg_free(&answer);
		if (status == 200)
			return true;
		rv_sleep(50);
	}
	return false;
}

int rv_get(int vm, const char *path, const char *id, int deadline_ms,
	   int64_t timeout_ms, struct rv_msg *answer)
{
	struct rv_msg own = { 0 };
	char text[1024];
	int status;

	snprintf(text, sizeof(text),
		 "GET %s HTTP/1.1\r\nHost: review.example\r\n"
		 "X-Request-Id: %s\r\nX-Deadline-Milliseconds: %d\r\n\r\n",
		 path, id, deadline_ms);
	status = exchange(rv_vms[vm].addr, FRONT_PORT, text, timeout_ms,
			  answer ? answer : &own);
	rv_msg_free(&own);
	return status;
}
