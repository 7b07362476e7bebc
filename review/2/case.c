#include "../stand/replica.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

/*
 * One of four replicas is lost for good. 1.9 s later the other three crash for
 * 4.5 s, and 2 s after the loss a replica of another service has the address of
 * the first. Clients go on, also on that other service, all of whose replicas
 * are sound; its clients keep their connections. A VM that ends by itself is
 * started again.
 */

#define VMS 4
#define REPLICAS 4
#define LOST 1
#define TURNS 10
#define TURN_MS 10500
#define FIRST_TURN_MS 2000
#define CRASH_MS 1900
#define REUSE_MS 2050 /* addressReuseS is 2 */
#define EXPIRY_MS 3600 /* three heartbeat intervals of 1,200 ms */
#define DOWN_MS 4500
#define RESTART_MS 500
#define KEPT_CLIENTS 3 /* for each VM */
#define KEPT_PAUSE_MS 20
#define STABLE_MS 4000 /* stableWindowMs */
#define LOST_REQUESTS_MAX 3 /* that the rule allows */
#define GAP_MS 15
#define DEADLINE_MS 3000
#define ATTEMPTS_MAX 16384

static struct replica *replica[REPLICAS];
static int replicas_made;
static struct attempt attempt[ATTEMPTS_MAX];
static volatile int attempts_open;
static volatile bool faults_over;
static int ends[VMS];
static int64_t restart_at[VMS]; /* 0 while the VM runs */
static volatile int64_t vm_started_at[VMS];
static volatile int lost;
static volatile int kept_answered;

#define ROUTE(service)                                               \
	"{\"name\":\"" service "\",\"host\":\"shop.example\","       \
	"\"pathPrefix\":\"/" service "/\",\"kind\":\"safe\","        \
	"\"timeoutMs\":3000,\"targetLatencyMs\":500,\"priority\":2," \
	"\"service\":\"" service "\",\"maxAttempts\":2}"
#define SERVICE(service)                                            \
	"{\"name\":\"" service "\",\"healthPath\":\"/health\","     \
	"\"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false," \
	"\"coldStartS\":3.0,\"coldPerS\":0.0}"

static const char *const config = "{\"version\":7,\"routes\":[" ROUTE("desk") "," ROUTE(
	"courier") "],"
		   "\"services\":[" SERVICE("desk") "," SERVICE(
			   "courier") "],"
				      "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
				      "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

static struct replica *start_replica(const char *service, uint16_t port)
{
	struct replica *r = calloc(1, sizeof(*r));

	*r = (struct replica){ .slots = 3,
			       .queue = 12,
			       .work_min = 20,
			       .work_max = 60,
			       .port = port };
	if (!strcmp(service, "courier")) {
		r->work_min = 60;
		r->work_max = 180;
	}
	snprintf(r->id, ID_LEN, "i-%04d", ++replicas_made);
	snprintf(r->service, sizeof(r->service), "%s", service);
	replica_start(r);
	put_replica(r->id, service, r->port, r->slots, "ready",
		    1000 + now_ms());
	return r;
}

static void expire(int from, int to)
{
	for (int i = from; i < to; i++)
		store_delete("servers", replica[i]->id);
}

/* The addresses of the replicas that are lost are used again. */
static void play_turn(int64_t start)
{
	sleep_until(start);
	for (int i = 0; i < LOST; i++)
		replica_crash(replica[i]);
	sleep_until(start + CRASH_MS);
	for (int i = LOST; i < REPLICAS; i++)
		replica_crash(replica[i]);
	sleep_until(start + REUSE_MS);
	for (int i = 0; i < LOST; i++)
		start_replica("courier", replica[i]->port);
	sleep_until(start + EXPIRY_MS);
	expire(0, LOST);
	sleep_until(start + CRASH_MS + EXPIRY_MS);
	expire(LOST, REPLICAS);
	sleep_until(start + CRASH_MS + DOWN_MS);
	for (int i = 0; i < REPLICAS; i++)
		replica[i] = start_replica("desk", 0);
}

static void *play_faults(void *arg)
{
	int64_t start = now_ms() + FIRST_TURN_MS;

	(void)arg;
	for (int turn = 0; turn < TURNS; turn++) {
		if (trouble)
			play_turn(start + turn * TURN_MS);
		else
			sleep_until(start + (turn + 1) * TURN_MS);
	}
	faults_over = true;
	return NULL;
}

static void *play_client(void *arg)
{
	struct attempt *a = arg;
	char path[64];

	snprintf(path, sizeof(path), "/desk/%s", a->id);
	ask(a, "GET", path, "", DEADLINE_MS);
	record("client: %s answered %d by VM %d after %lld ms", a->id,
	       a->status, a->vm + 1, (long long)(a->ended_at - a->sent_at));
	__sync_sub_and_fetch(&attempts_open, 1);
	return NULL;
}

/* Restarts a VM that ended by itself, as the platform does. */
static void check_vms(void)
{
	for (int vm = 0; vm < VMS; vm++) {
		int status;

		if (restart_at[vm] && now_ms() >= restart_at[vm]) {
			restart_at[vm] = 0;
			vm_start(vm);
			vm_started_at[vm] = now_ms();
		}
		if (restart_at[vm] || !vm_ended(vm, &status))
			continue;
		record("BROKEN: VM %d ended by itself, %s %d", vm + 1,
		       WIFSIGNALED(status) ? "signal" : "status",
		       WIFSIGNALED(status) ? WTERMSIG(status)
					   : WEXITSTATUS(status));
		ends[vm]++;
		restart_at[vm] = now_ms() + RESTART_MS;
	}
}

/* Notes a request that got no answer before its connection was closed. */
static void note_closed(const char *id, int vm, int answers, int64_t sent_at)
{
	int runs = history_runs(id);

	record("client: %s, request %d of its connection, VM %d closed it "
	       "without an answer; it ran %d times",
	       id, answers + 1, vm + 1, runs);
	if (!answers || !runs || sent_at < vm_started_at[vm] + STABLE_MS)
		return;
	__sync_add_and_fetch(&lost, 1);
	record("BROKEN: %s is lost", id);
}

/* Sends requests to the sound service until its connection is closed. */
static void use_kept_connection(int vm)
{
	struct stream s = { 0 };
	struct message m;
	char ip[32], id[ID_LEN];
	int answers = 0;

	vm_ip(vm, ip, sizeof(ip));
	s.fd = connect_to(ip, FRONT_PORT, 1000);
	if (s.fd < 0) {
		sleep_ms(100);
		return;
	}
	while (!faults_over) {
		int64_t sent_at = now_ms();
		enum read_result result;

		new_id(id);
		if (!send_text(s.fd,
			       "GET /courier/%s HTTP/1.1\r\n"
			       "Host: shop.example\r\nX-Request-Id: %s\r\n"
			       "X-Deadline-Milliseconds: %d\r\n\r\n",
			       id, id, DEADLINE_MS))
			break;
		result = read_message(&s, &m, DEADLINE_MS + 500);
		if (result == READ_CLOSED)
			note_closed(id, vm, answers, sent_at);
		if (result != READ_OK)
			break;
		answers++;
		kept_answered += m.status == 200;
		free_message(&m);
		sleep_ms(KEPT_PAUSE_MS);
	}
	close(s.fd);
	free_stream(&s);
}

static void *play_kept_client(void *arg)
{
	while (!faults_over)
		use_kept_connection((int)(intptr_t)arg);
	return NULL;
}

int main(int argc, char **argv)
{
	int attempts = 0, served = 0;

	stand_init(argc, argv);
	store_start();
	store_put("config", "main", config);
	for (int i = 0; i < REPLICAS; i++)
		replica[i] = start_replica("desk", 0);
	for (int i = 0; i < REPLICAS; i++)
		start_replica("courier", 0);
	vms_start(VMS, store_port());
	if (!vms_wait_ready(VMS, 10000))
		finish(UNUSABLE, "the VMs are not ready");
	start_thread(play_faults, NULL);
	for (int i = 0; i < VMS * KEPT_CLIENTS; i++)
		start_thread(play_kept_client, (void *)(intptr_t)(i % VMS));
	while (!faults_over && attempts < ATTEMPTS_MAX) {
		struct attempt *a = &attempt[attempts++];

		new_id(a->id);
		a->vm = random_below(VMS);
		__sync_add_and_fetch(&attempts_open, 1);
		start_thread(play_client, a);
		sleep_ms(GAP_MS);
		check_vms();
	}
	while (attempts_open)
		sleep_ms(50);
	check_vms();
	for (int i = 0; i < attempts; i++)
		served += attempt[i].status == 200;
	if (served < attempts / 4 || kept_answered < 1000)
		finish(UNUSABLE, "only %d of %d and %d requests were served",
		       served, attempts, kept_answered);
	finish(lost > LOST_REQUESTS_MAX ? BROKEN : HELD,
	       "%d + %d requests served; ends of the VMs by themselves: "
	       "%d, %d, %d, %d; %d requests on kept connections to the sound "
	       "service were passed on and lost, %d are allowed",
	       served, kept_answered, ends[0], ends[1], ends[2], ends[3], lost,
	       LOST_REQUESTS_MAX);
}
