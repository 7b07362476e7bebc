#include "../stand/replica.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Clients send POST requests that may run once to two services of five replicas
 * each. In turns of 6 s, for 5 s each, all replicas reject 30% of their
 * requests, and three replicas of each service add a late second copy to 4% of
 * their answers.
 */

#define SERVICES 2
#define SERVICE_REPLICAS 5
#define GARBLED 3
#define REPLICAS (SERVICE_REPLICAS * SERVICES)
#define GAP_MS 10
#define TURN_MS 6000
#define FAULT_MS 5000
#define LENGTH_MS 102000
#define DEADLINE_MS 3000
#define ATTEMPTS_MAX (LENGTH_MS / GAP_MS + 10)

static const char *const services[SERVICES] = { "desk", "ledger" };
static struct replica replica[REPLICAS];
static struct attempt attempt[ATTEMPTS_MAX];
static volatile int attempts_open;

#define ROUTE(service)                                               \
	"{\"name\":\"" service "\",\"host\":\"shop.example\","       \
	"\"pathPrefix\":\"/" service "/\",\"kind\":\"unsafe\","      \
	"\"timeoutMs\":3000,\"targetLatencyMs\":500,\"priority\":2," \
	"\"service\":\"" service "\",\"maxAttempts\":2}"
#define SERVICE(service)                                           \
	"{\"name\":\"" service "\",\"healthPath\":\"/health\","    \
	"\"maxConnections\":26,\"protocol\":\"h1\",\"tls\":false," \
	"\"coldStartS\":3.0,\"coldPerS\":0.0}"

static const char *const config = "{\"version\":7,\"routes\":[" ROUTE("desk") "," ROUTE(
	"ledger") "],"
		  "\"services\":[" SERVICE("desk") "," SERVICE(
			  "ledger") "],"
				    "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
				    "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

static void set_faults(bool on)
{
	for (int i = 0; i < REPLICAS; i++) {
		replica[i].shed_percent = on ? 30 : 0;
		replica[i].extra_percent =
			on && i % SERVICE_REPLICAS < GARBLED ? 4 : 0;
	}
	record("faults %s", on ? "begin" : "end");
}

static void *play_faults(void *arg)
{
	int64_t start = now_ms();

	(void)arg;
	for (int turn = 0; trouble && turn < LENGTH_MS / TURN_MS; turn++) {
		sleep_until(start + turn * TURN_MS);
		set_faults(true);
		sleep_ms(FAULT_MS);
		set_faults(false);
	}
	return NULL;
}

static void *play_client(void *arg)
{
	struct attempt *a = arg;
	char path[64];

	snprintf(path, sizeof(path), "/%s/%s", services[a->id[5] % SERVICES],
		 a->id);
	ask(a, "POST", path, "one job card", DEADLINE_MS);
	record("client: %s answered %d by VM %d", a->id, a->status, a->vm + 1);
	__sync_sub_and_fetch(&attempts_open, 1);
	return NULL;
}

static void check(int attempts)
{
	int twice = 0, refused = 0, served = 0;
	uint32_t extras = 0;

	for (int i = 0; i < attempts; i++) {
		const struct attempt *a = &attempt[i];
		int runs = history_runs(a->id);

		served += a->status == 200;
		if (runs > 1) {
			twice++;
			record("BROKEN: %s ran %d times, answered %d", a->id,
			       runs, a->status);
		} else if (runs && (a->status == 503 || a->status == 429)) {
			refused++;
			record("BROKEN: %s was answered %d and has run", a->id,
			       a->status);
		}
	}
	for (int i = 0; i < REPLICAS; i++)
		extras += replica[i].extras_sent;
	if (served < attempts / 2)
		finish(UNUSABLE, "only %d of %d requests were served", served,
		       attempts);
	finish(twice ? BROKEN : HELD,
	       "%d requests, %d served, %u extra answers, %d ran more than "
	       "once, %d more were refused and have run",
	       attempts, served, extras, twice, refused);
}

int main(int argc, char **argv)
{
	int attempts = 0;
	int64_t end;

	stand_init(argc, argv);
	store_start();
	store_put("config", "main", config);
	for (int i = 0; i < REPLICAS; i++) {
		replica[i] = (struct replica){
			.slots = 2, .queue = 12, .work_min = 5, .work_max = 25
		};
		snprintf(replica[i].id, ID_LEN, "i-%d", i);
		snprintf(replica[i].service, sizeof(replica[i].service), "%s",
			 services[i / SERVICE_REPLICAS]);
		replica_start(&replica[i]);
		put_replica(replica[i].id, replica[i].service, replica[i].port,
			    2, "ready", 1000 + i);
	}
	vms_start(4, store_port());
	if (!vms_wait_ready(4, 10000))
		finish(UNUSABLE, "the VMs are not ready");
	start_thread(play_faults, NULL);
	for (end = now_ms() + LENGTH_MS; now_ms() < end; sleep_ms(GAP_MS)) {
		struct attempt *a = &attempt[attempts];

		if (attempts++ == ATTEMPTS_MAX - 1)
			break;
		new_id(a->id);
		a->vm = random_below(4);
		__sync_add_and_fetch(&attempts_open, 1);
		start_thread(play_client, a);
	}
	while (attempts_open)
		sleep_ms(50);
	sleep_ms(DEADLINE_MS);
	check(attempts);
}
