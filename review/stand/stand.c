#define _GNU_SOURCE
#include "stand.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define READY_PORT 8108
#define CONTROL_PORT 8106
#define MEMBER_PORT 7380
#define PATH_LEN 512

bool trouble = true;

static struct {
	const char *program;
	const char *folder;
	const char *template;
	FILE *record;
	struct timespec start;
	char prefix[24];
	unsigned int seed;
	int vms;
	uint16_t store_port; /* that the settings of the VMs name */
	pid_t pid[VMS_MAX];
	bool ended[VMS_MAX];
	int status[VMS_MAX];
} run;

/* The number of the VM to be started, or -1. */
static struct {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	int vm;
} spawner = { PTHREAD_MUTEX_INITIALIZER, PTHREAD_COND_INITIALIZER, -1 };

static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_mutex_t random_lock = PTHREAD_MUTEX_INITIALIZER;

int64_t now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (t.tv_sec - run.start.tv_sec) * 1000 +
	       (t.tv_nsec - run.start.tv_nsec) / 1000000;
}

void sleep_ms(int64_t ms)
{
	struct timespec t = { ms / 1000, ms % 1000 * 1000000 };

	if (ms > 0)
		nanosleep(&t, NULL);
}

void sleep_until(int64_t ms)
{
	sleep_ms(ms - now_ms());
}

static void write_line(const char *fmt, va_list ap)
{
	int64_t now = now_ms();

	pthread_mutex_lock(&record_lock);
	fprintf(run.record, "%3lld.%03lld ", (long long)(now / 1000),
		(long long)(now % 1000));
	vfprintf(run.record, fmt, ap);
	fputc('\n', run.record);
	pthread_mutex_unlock(&record_lock);
}

void record(const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	write_line(fmt, ap);
	va_end(ap);
}

void finish(enum verdict verdict, const char *fmt, ...)
{
	static const char *const names[] = { "HELD", "BROKEN", "UNUSABLE" };
	va_list ap;

	for (int i = 0; i < run.vms; i++)
		if (run.pid[i] > 0 && !run.ended[i])
			kill(run.pid[i], SIGKILL);
	for (int i = 0; i < run.vms; i++)
		if (run.pid[i] > 0 && !run.ended[i])
			waitpid(run.pid[i], NULL, 0);
	va_start(ap, fmt);
	write_line(fmt, ap);
	va_end(ap);
	record("verdict: %s", names[verdict]);
	va_start(ap, fmt);
	printf("%s: ", names[verdict]);
	vprintf(fmt, ap);
	printf("\n");
	va_end(ap);
	pthread_mutex_lock(&record_lock);
	fflush(run.record);
	fflush(stdout);
	_exit(verdict);
}

uint32_t random_below(uint32_t n)
{
	uint32_t r;

	pthread_mutex_lock(&random_lock);
	r = rand_r(&run.seed);
	pthread_mutex_unlock(&random_lock);
	return r % n;
}

const char *net_prefix(void)
{
	return run.prefix;
}

/* Tells whether the VM's ports are free at the first address of the prefix. */
static bool is_prefix_free(void)
{
	uint16_t ports[] = { FRONT_PORT, READY_PORT, CONTROL_PORT };
	char ip[32];

	snprintf(ip, sizeof(ip), "%s1", run.prefix);
	for (size_t i = 0; i < 3; i++) {
		int fd = listen_at(ip, &ports[i]);

		if (fd < 0)
			return false;
		close(fd);
	}
	return true;
}

static void choose_prefix(void)
{
	for (int i = 0; i < 50; i++) {
		snprintf(run.prefix, sizeof(run.prefix), "127.%u.%u.",
			 60 + random_below(100), 1 + random_below(250));
		if (is_prefix_free())
			return;
	}
	finish(UNUSABLE, "no free addresses");
}

void stand_init(int argc, char **argv)
{
	const char *value = getenv("TROUBLE");

	clock_gettime(CLOCK_MONOTONIC, &run.start);
	signal(SIGPIPE, SIG_IGN);
	trouble = !value || strcmp(value, "0");
	if (argc != 5) {
		fprintf(stderr, "usage: %s PROGRAM FOLDER TEMPLATE RECORD\n",
			argv[0]);
		exit(UNUSABLE);
	}
	run.program = argv[1];
	run.folder = argv[2];
	run.template = argv[3];
	run.record = fopen(argv[4], "w");
	if (!run.record) {
		perror(argv[4]);
		exit(UNUSABLE);
	}
	run.seed = (unsigned int)getpid() ^ (unsigned int)time(NULL);
	record("trouble=%d", trouble);
	choose_prefix();
}

/* Sockets */

static struct sockaddr_in address_of(const char *ip, uint16_t port)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
				 .sin_port = htons(port) };

	inet_pton(AF_INET, ip, &a.sin_addr);
	return a;
}

int listen_at(const char *ip, uint16_t *port)
{
	struct sockaddr_in a = address_of(ip, *port);
	socklen_t len = sizeof(a);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), one = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&a, sizeof(a)) || listen(fd, 512)) {
		close(fd);
		return -1;
	}
	getsockname(fd, (struct sockaddr *)&a, &len);
	*port = ntohs(a.sin_port);
	return fd;
}

int connect_to(const char *ip, uint16_t port, int timeout_ms)
{
	struct sockaddr_in a = address_of(ip, port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), one = 1;
	struct pollfd p = { .fd = fd, .events = POLLOUT };
	int error = 0;
	socklen_t len = sizeof(error);

	fcntl(fd, F_SETFL, O_NONBLOCK);
	if (connect(fd, (struct sockaddr *)&a, sizeof(a)) &&
	    (errno != EINPROGRESS || poll(&p, 1, timeout_ms) != 1 ||
	     getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) || error)) {
		close(fd);
		return -1;
	}
	fcntl(fd, F_SETFL, 0);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return fd;
}

void reset_conn(int fd)
{
	struct linger l = { .l_onoff = 1, .l_linger = 0 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
	close(fd);
}

void start_thread(void *(*body)(void *), void *arg)
{
	pthread_attr_t attr;
	pthread_t thread;

	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, 256 * 1024);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	if (pthread_create(&thread, &attr, body, arg))
		finish(UNUSABLE, "no thread");
	pthread_attr_destroy(&attr);
}

/* Messages */

static enum read_result read_more(struct stream *s, int64_t until)
{
	struct pollfd p = { .fd = s->fd, .events = POLLIN };
	int64_t left = until - now_ms();
	ssize_t n;

	if (poll(&p, 1, left > 0 ? (int)left : 0) != 1)
		return READ_TIMEOUT;
	if (s->cap - s->len < 65536) {
		s->cap = s->cap * 2 + 131072;
		s->buf = realloc(s->buf, s->cap);
	}
	n = recv(s->fd, s->buf + s->len, s->cap - s->len - 1, 0);
	if (n <= 0)
		return READ_CLOSED;
	s->len += n;
	s->buf[s->len] = '\0';
	return READ_OK;
}

bool get_field(const struct message *m, const char *name, char *out,
	       size_t size)
{
	size_t len = strlen(name);
	const char *line = strstr(m->head, "\r\n");

	for (; line && line[2]; line = strstr(line + 2, "\r\n")) {
		const char *value = line + 2 + len + 1, *end;

		if (strncasecmp(line + 2, name, len) || line[2 + len] != ':')
			continue;
		while (*value == ' ')
			value++;
		end = strstr(value, "\r\n");
		snprintf(out, size, "%.*s", (int)(end - value), value);
		return true;
	}
	return false;
}

enum read_result read_message(struct stream *s, struct message *m,
			      int timeout_ms)
{
	int64_t until = now_ms() + timeout_ms;
	enum read_result result;
	char *end, length[24];
	size_t head_len, body_len = 0;

	*m = (struct message){ 0 };
	while (!s->len || !(end = strstr(s->buf, "\r\n\r\n")))
		if ((result = read_more(s, until)) != READ_OK)
			return result;
	head_len = end + 4 - s->buf;
	m->head = strndup(s->buf, head_len - 2);
	sscanf(m->head, "HTTP/1.%*c %d", &m->status);
	if (get_field(m, "content-length", length, sizeof(length)))
		body_len = strtoul(length, NULL, 10);
	while (s->len < head_len + body_len) {
		if ((result = read_more(s, until)) == READ_OK)
			continue;
		free_message(m);
		return result;
	}
	m->body = strndup("", 0);
	m->body = realloc(m->body, body_len + 1);
	memcpy(m->body, s->buf + head_len, body_len);
	m->body[body_len] = '\0';
	m->body_len = body_len;
	s->len -= head_len + body_len;
	memmove(s->buf, s->buf + head_len + body_len, s->len + 1);
	return READ_OK;
}

void free_message(struct message *m)
{
	free(m->head);
	free(m->body);
	*m = (struct message){ 0 };
}

void free_stream(struct stream *s)
{
	free(s->buf);
	*s = (struct stream){ .fd = -1 };
}

bool send_all(int fd, const void *bytes, size_t len)
{
	while (len) {
		ssize_t n = send(fd, bytes, len, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		bytes = (const char *)bytes + n;
		len -= n;
	}
	return true;
}

bool send_text(int fd, const char *fmt, ...)
{
	char *text;
	va_list ap;
	bool sent;
	int len;

	va_start(ap, fmt);
	len = vasprintf(&text, fmt, ap);
	va_end(ap);
	if (len < 0)
		return false;
	sent = send_all(fd, text, len);
	free(text);
	return sent;
}

/* VMs */

void vm_ip(int vm, char *out, size_t size)
{
	snprintf(out, size, "%s%d", run.prefix, vm + 1);
}

void replica_ip(char *out, size_t size)
{
	snprintf(out, size, "%s100", run.prefix);
}

/* Value of a placeholder of the template, as the platform fills it in. */
static void placeholder(int vm, const char *name, char *out, size_t size)
{
	static const char *const fixed[][2] = {
		{ "zone", "zone-a" },
		{ "internalPortRange.0", "7380" },
		{ "bounds.drainMs", "3000" },
		{ "bounds.gracePeriodS", "6" },
		{ "bounds.retryWindowS", "10" },
		{ "bounds.retryBudgetRatio", "0.2" },
		{ "bounds.retryBudgetExtra", "58" },
		{ "limits.memoryMb", "520" },
		{ "bounds.coldBurstAllowance", "5" },
	};
	char ip[32];

	vm_ip(vm, ip, sizeof(ip));
	out[0] = '\0';
	for (size_t i = 0; i < sizeof(fixed) / sizeof(*fixed); i++)
		if (!strcmp(name, fixed[i][0]))
			snprintf(out, size, "%s", fixed[i][1]);
	if (!strcmp(name, "nodeName"))
		snprintf(out, size, "front-%d", vm + 1);
	else if (!strcmp(name, "listenAddresses.front"))
		snprintf(out, size, "%s:%d", ip, FRONT_PORT);
	else if (!strcmp(name, "listenAddresses.ready"))
		snprintf(out, size, "%s:%d", ip, READY_PORT);
	else if (!strcmp(name, "listenAddresses.control"))
		snprintf(out, size, "%s:%d", ip, CONTROL_PORT);
	else if (!strcmp(name, "platform.address"))
		snprintf(out, size, "%s200:%u", run.prefix, run.store_port);
	else if (!strcmp(name, "seeds"))
		for (int i = 0; i < run.vms && i < 3; i++)
			snprintf(out + strlen(out), size - strlen(out),
				 "%s%s%d:%d", i ? "," : "", run.prefix, i + 1,
				 CONTROL_PORT);
}

/* Writes the settings file: the template of the deploy file, filled in. */
static void write_settings(int vm)
{
	char path[PATH_LEN], line[512], name[128], value[256], section[128];
	FILE *in = fopen(run.template, "r"), *out;

	snprintf(path, sizeof(path), "%s/vm%d.ini", run.folder, vm + 1);
	out = fopen(path, "w");
	if (!in || !out)
		finish(UNUSABLE, "cannot write the settings");
	while (fgets(line, sizeof(line), in)) {
		char *at = line, *open;

		section[0] = '\0';
		while ((open = strstr(at, "{{"))) {
			char *close = strstr(open, "}}");

			fprintf(out, "%.*s", (int)(open - at), at);
			snprintf(name, sizeof(name), "%.*s",
				 (int)(close - open - 2), open + 2);
			at = close + 2;
			if (name[0] == '#')
				snprintf(section, sizeof(section), "%s",
					 name + 1);
			if (name[0] == '#' || name[0] == '/')
				continue;
			placeholder(vm, strcmp(name, ".") ? name : section,
				    value, sizeof(value));
			fputs(value, out);
		}
		fputs(at, out);
	}
	fclose(in);
	fclose(out);
}

static void spawn_vm(int vm)
{
	char settings[PATH_LEN], log[PATH_LEN];
	pid_t parent = getpid(), pid;

	snprintf(settings, sizeof(settings), "%s/vm%d.ini", run.folder, vm + 1);
	snprintf(log, sizeof(log), "%s/vm%d.log", run.folder, vm + 1);
	write_settings(vm);
	pid = fork();
	if (pid < 0)
		finish(UNUSABLE, "fork failed");
	if (!pid) {
		int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		if (getppid() != parent)
			_exit(1);
		dup2(fd, 1);
		dup2(fd, 2);
		execl(run.program, run.program, "--settings", settings,
		      (char *)NULL);
		_exit(127);
	}
	run.pid[vm] = pid;
	run.ended[vm] = false;
	record("vm %d started", vm + 1);
}

/*
 * The parent of the VMs. They are killed when it ends, and a child's parent is
 * the thread that forked it, so this one lives as long as the program.
 */
static void *spawn_vms(void *arg)
{
	(void)arg;
	pthread_mutex_lock(&spawner.lock);
	for (;;) {
		while (spawner.vm < 0)
			pthread_cond_wait(&spawner.changed, &spawner.lock);
		spawn_vm(spawner.vm);
		spawner.vm = -1;
		pthread_cond_broadcast(&spawner.changed);
	}
	return NULL;
}

void vm_start(int vm)
{
	pthread_mutex_lock(&spawner.lock);
	spawner.vm = vm;
	pthread_cond_broadcast(&spawner.changed);
	while (spawner.vm >= 0)
		pthread_cond_wait(&spawner.changed, &spawner.lock);
	pthread_mutex_unlock(&spawner.lock);
}

void vms_start(int count, uint16_t port)
{
	start_thread(spawn_vms, NULL);
	run.vms = count;
	run.store_port = port;
	for (int i = 0; i < count; i++)
		vm_start(i);
}

void vm_signal(int vm, int number)
{
	record("vm %d gets signal %d", vm + 1, number);
	kill(run.pid[vm], number);
}

bool vm_ended(int vm, int *status)
{
	if (!run.ended[vm] &&
	    waitpid(run.pid[vm], &run.status[vm], WNOHANG) == run.pid[vm]) {
		run.ended[vm] = true;
		record("vm %d ended, wait status %#x", vm + 1, run.status[vm]);
	}
	*status = run.status[vm];
	return run.ended[vm];
}

int vm_wait(int vm, int timeout_ms)
{
	int64_t until = now_ms() + timeout_ms;
	int status;

	while (!vm_ended(vm, &status)) {
		if (now_ms() > until)
			return -1;
		sleep_ms(10);
	}
	return status;
}

bool vm_is_ready(int vm)
{
	struct stream s = { 0 };
	struct message m;
	bool ready = false;
	char ip[32];

	vm_ip(vm, ip, sizeof(ip));
	s.fd = connect_to(ip, READY_PORT, 300);
	if (s.fd < 0)
		return false;
	if (send_text(s.fd, "GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n") &&
	    read_message(&s, &m, 500) == READ_OK) {
		ready = m.status == 200;
		free_message(&m);
	}
	close(s.fd);
	free_stream(&s);
	return ready;
}

bool vms_wait_ready(int count, int timeout_ms)
{
	int64_t until = now_ms() + timeout_ms;

	for (int i = 0; i < count; i++)
		while (!vm_is_ready(i)) {
			if (now_ms() > until)
				return false;
			sleep_ms(50);
		}
	record("%d VMs are ready", count);
	return true;
}

/* Clients */

void new_id(char *id)
{
	static uint32_t count;

	snprintf(id, ID_LEN, "%06x%08x", __sync_add_and_fetch(&count, 1),
		 random_below(0x7fffffff));
}

void ask(struct attempt *a, const char *method, const char *path,
	 const char *body, int deadline_ms)
{
	struct stream s = { 0 };
	struct message m;
	char ip[32];

	vm_ip(a->vm, ip, sizeof(ip));
	a->status = 0;
	a->stamp[0] = '\0';
	a->sent_at = now_ms();
	a->ended_at = a->sent_at;
	s.fd = connect_to(ip, FRONT_PORT, 1000);
	if (s.fd < 0)
		return;
	if (send_text(s.fd,
		      "%s %s HTTP/1.1\r\nHost: shop.example\r\n"
		      "X-Request-Id: %s\r\nX-Deadline-Milliseconds: %d\r\n"
		      "Content-Length: %zu\r\n\r\n%s",
		      method, path, a->id, deadline_ms, strlen(body), body) &&
	    read_message(&s, &m, deadline_ms) == READ_OK) {
		a->status = m.status;
		get_field(&m, "x-server-stamp", a->stamp, sizeof(a->stamp));
		free_message(&m);
	}
	a->ended_at = now_ms();
	close(s.fd);
	free_stream(&s);
}

void put_replica(const char *id, const char *service, uint16_t port, int slots,
		 const char *state, int64_t born)
{
	char spec[512], ip[32];

	replica_ip(ip, sizeof(ip));
	snprintf(
		spec, sizeof(spec),
		"{\"service\":\"%s\",\"address\":\"%s:%u\",\"zone\":\"zone-a\","
		"\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\","
		"\"coldRemainingMs\":0,\"sequence\":1,\"born\":%lld}",
		service, ip, port, slots, state, (long long)born);
	store_put("servers", id, spec);
}
