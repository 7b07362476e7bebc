#include "../stand/replica.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * A request crashes each replica that begins to run it and comes again, with
 * the same path and body, at any VM. After its first crashes the VMs are
 * stopped and started in turn. Then it comes again, at VMs that count as in
 * touch.
 */

#define VMS 4
#define REPLICAS 6
#define REPLICA_BACK_MS 2000
#define FIRST_MS 1000 /* start of the requests that crash */
#define FIRST_END_MS 6000
#define ROLL_MS 7000
#define ROLL_GAP_MS 1300
#define AGAIN_MS 34000
#define AGAIN_GAP_MS 2000
#define LENGTH_MS 88000
#define STABLE_MS 4000 /* stableWindowMs */
#define RETRIES_MAX 3 /* that the rule allows */
#define GAP_MS 45
#define DEADLINE_MS 3000
#define ATTEMPTS_MAX 4096
#define CRASHES_MAX 256

static struct replica replica[REPLICAS];
static struct attempt attempt[ATTEMPTS_MAX];
static volatile int attempts_open;
static volatile bool over;

/* The runs of the request that crashes replicas. */
static struct {
	pthread_mutex_t lock;
	int len;
	struct {
		char id[ID_LEN];
		int64_t at;
	} crash[CRASHES_MAX];
} crashes = { .lock = PTHREAD_MUTEX_INITIALIZER };

/* Its attempts. */
static struct attempt again[CRASHES_MAX];
static int again_len;
static int64_t vm_started_at[VMS];

static const char *const config =
	"{\"version\":7,\"routes\":[{\"name\":\"cards\","
	"\"host\":\"shop.example\",\"pathPrefix\":\"/card/\","
	"\"kind\":\"safe\",\"timeoutMs\":3000,\"targetLatencyMs\":500,"
	"\"priority\":2,\"service\":\"desk\",\"maxAttempts\":2}],"
	"\"services\":[{\"name\":\"desk\",\"healthPath\":\"/health\","
	"\"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false,"
	"\"coldStartS\":3.0,\"coldPerS\":0.0}],"
	"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
	"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

static bool run_begins(struct replica *r, const char *id,
		       const struct message *m)
{
	bool crashes_us = strstr(m->head, "/card/crash ") != NULL;

	(void)r;
	if (!crashes_us)
		return false;
	pthread_mutex_lock(&crashes.lock);
	if (crashes.len < CRASHES_MAX) {
		snprintf(crashes.crash[crashes.len].id, ID_LEN, "%s", id);
		crashes.crash[crashes.len++].at = now_ms();
	}
	pthread_mutex_unlock(&crashes.lock);
	return true;
}

/* Restarts a replica that has crashed, with a new id. */
static void *keep_replica(void *arg)
{
	struct replica *r = arg;
	uint32_t generation = r->generation;
	static uint32_t made = REPLICAS;

	for (;;) {
		sleep_ms(20);
		if (r->generation == generation)
			continue;
		generation = r->generation;
		sleep_ms(REPLICA_BACK_MS);
		store_delete("servers", r->id);
		snprintf(r->id, ID_LEN, "i-%u", __sync_add_and_fetch(&made, 1));
		r->port = 0;
		r->running = 0;
		replica_start(r);
		put_replica(r->id, r->service, r->port, r->slots, "ready",
			    1000 + now_ms());
	}
	return NULL;
}

static void *play_client(void *arg)
{
	struct attempt *a = arg;
	char path[64];

	snprintf(path, sizeof(path), "/card/%s", a->id);
	ask(a, "GET", path, "", DEADLINE_MS);
	record("client: %s answered %d by VM %d", a->id, a->status, a->vm + 1);
	__sync_sub_and_fetch(&attempts_open, 1);
	return NULL;
}

static void *play_clients(void *arg)
{
	(void)arg;
	for (int i = 0; i < ATTEMPTS_MAX && !over; i++) {
		struct attempt *a = &attempt[i];

		new_id(a->id);
		a->vm = random_below(VMS);
		__sync_add_and_fetch(&attempts_open, 1);
		start_thread(play_client, a);
		sleep_ms(GAP_MS);
	}
	return NULL;
}

/* SIGTERM to one VM after the other; each starts again when it has ended. */
static void *roll_vms(void *arg)
{
	int64_t start = *(int64_t *)arg;

	sleep_until(start + ROLL_MS);
	for (int vm = 0; trouble && vm < VMS; vm++) {
		vm_signal(vm, SIGTERM);
		if (vm_wait(vm, 6000) == -1) {
			vm_signal(vm, SIGKILL);
			vm_wait(vm, 1000);
		}
		vm_start(vm);
		vm_started_at[vm] = now_ms();
		sleep_ms(ROLL_GAP_MS);
	}
	return NULL;
}

static void ask_again(void)
{
	struct attempt *a = &again[again_len++];

	new_id(a->id);
	a->vm = random_below(VMS);
	ask(a, "GET", "/card/crash", "", DEADLINE_MS);
	record("client: the request that crashes, as %s, answered %d by VM %d",
	       a->id, a->status, a->vm + 1);
}

static bool has_run(const char *id)
{
	for (int i = 0; i < crashes.len; i++)
		if (!strcmp(crashes.crash[i].id, id))
			return true;
	return false;
}

/* Attempts that the rule counts. */
static int count_retries(int64_t third)
{
	int count = 0;

	for (int i = 0; i < again_len; i++) {
		const struct attempt *a = &again[i];

		if (a->sent_at <= third + STABLE_MS ||
		    a->sent_at < vm_started_at[a->vm] + STABLE_MS ||
		    !has_run(a->id))
			continue;
		count++;
		record("counted: %s by VM %d, %lld ms after the third crash",
		       a->id, a->vm + 1, (long long)(a->sent_at - third));
	}
	return count;
}

int main(int argc, char **argv)
{
	int64_t start;
	int retries;

	stand_init(argc, argv);
	store_start();
	store_put("config", "main", config);
	for (int i = 0; i < REPLICAS; i++) {
		replica[i] = (struct replica){ .service = "desk",
					       .slots = 3,
					       .queue = 12,
					       .work_min = 60,
					       .work_max = 180,
					       .run_begins = run_begins };
		snprintf(replica[i].id, ID_LEN, "i-%d", i);
		replica_start(&replica[i]);
		put_replica(replica[i].id, "desk", replica[i].port, 3, "ready",
			    1000 + i);
		start_thread(keep_replica, &replica[i]);
	}
	vms_start(VMS, store_port());
	if (!vms_wait_ready(VMS, 10000))
		finish(UNUSABLE, "the VMs are not ready");
	start = now_ms();
	start_thread(play_clients, NULL);
	start_thread(roll_vms, &start);
	sleep_until(start + FIRST_MS);
	while (now_ms() < start + FIRST_END_MS) {
		ask_again();
		sleep_ms(300);
	}
	if (crashes.len < 3)
		finish(UNUSABLE, "only %d crashes at first", crashes.len);
	for (int64_t at = start + AGAIN_MS; at < start + LENGTH_MS;
	     at += AGAIN_GAP_MS) {
		sleep_until(at);
		ask_again();
	}
	over = true;
	while (attempts_open)
		sleep_ms(50);
	retries = count_retries(crashes.crash[2].at);
	finish(retries > RETRIES_MAX ? BROKEN : HELD,
	       "%d crashes; %d retries that count reached replicas, %d are "
	       "allowed",
	       crashes.len, retries, RETRIES_MAX);
}
