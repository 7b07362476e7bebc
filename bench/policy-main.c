#include "bench/policy.h"

#include <stdio.h>
#include <string.h>

/*
 * Usage: bench-policy [--seed N] [RUN]
 *
 * Prints one row for each run and policy; with RUN only that run.
 */

#define SHARDS 20
#define REPLICAS 2
#define SLOTS 2
#define MEAN_MS 5.0
#define SLOW_FACTOR 10.0

/* VMs take their leases and the histograms fill before the measure. */
#define SETTLE (12 * GB_SEC)
#define WARM_UP (8 * GB_SEC)

static void lose_replica(struct scn_world *world);
static void dc_out_and_back(struct scn_world *world);
static void cold_return(struct scn_world *world);
static void kill_vm(struct scn_world *world);
static void bring_back(struct scn_world *world, void *data);
static void restart_all(struct scn_world *world, void *data);
static struct scn_world *build(const struct bpl_run *run,
			       const struct bpl_policy *policy, uint64_t seed);
static void measure(const struct bpl_run *run, const struct bpl_policy *policy,
		    uint64_t seed);
static double capacity(uint32_t slow_permille);

static const struct bpl_run runs[] = {
	{ .name = GB_STR_INIT("load50"), .load = 0.5, .slow_permille = 10 },
	{ .name = GB_STR_INIT("load80"), .load = 0.8, .slow_permille = 10 },
	{ .name = GB_STR_INIT("load80-no-slow"), .load = 0.8 },
	{ .name = GB_STR_INIT("load80-all-new"),
	  .load = 0.8,
	  .slow_permille = 10,
	  .bodies = 1000000000 },
	{ .name = GB_STR_INIT("load95"), .load = 0.95, .slow_permille = 10 },
	{ .name = GB_STR_INIT("load100-200ms"),
	  .load = 1.0,
	  .slow_permille = 10,
	  .deadline = 200 * GB_MSEC },
	{ .name = GB_STR_INIT("load130-200ms"),
	  .load = 1.3,
	  .slow_permille = 10,
	  .deadline = 200 * GB_MSEC },
	{ .name = GB_STR_INIT("replica-lost"),
	  .load = 0.4,
	  .slow_permille = 10,
	  .fault = lose_replica },
	{ .name = GB_STR_INIT("dc-steady"), .load = 0.4, .slow_permille = 10 },
	{ .name = GB_STR_INIT("dc-out-and-back"),
	  .load = 0.4,
	  .slow_permille = 10,
	  .fault = dc_out_and_back },
	{ .name = GB_STR_INIT("cold-return"),
	  .load = 0.4,
	  .slow_permille = 10,
	  .fault = cold_return },
	{ .name = GB_STR_INIT("vm-killed"),
	  .load = 0.8,
	  .slow_permille = 10,
	  .fault = kill_vm },
};

/* Whole queries per second that keep all slots busy. */
static double capacity(uint32_t slow_permille)
{
	double slow = slow_permille / 1000.0;
	double mean = MEAN_MS * (1 - slow + slow * SLOW_FACTOR);

	return REPLICAS * SLOTS * 1000.0 / mean;
}

static void lose_replica(struct scn_world *world)
{
	scn_command(world, GB_STR("upstream bench-assist-3-1 die"));
}

static void bring_back(struct scn_world *world, void *data)
{
	(void)data;
	scn_command(world, GB_STR("plan dc-back dc-a vm=2"));
	scn_command(world, GB_STR("confirm vm=2"));
}

/* The baselines know of no plan: for them the data centre just goes on. */
static void dc_out_and_back(struct scn_world *world)
{
	if (world->take_request)
		return;
	scn_command(world, GB_STR("plan dc-out dc-a vm=2"));
	scn_command(world, GB_STR("confirm vm=2"));
	scn_after(world, 8 * GB_SEC, bring_back, NULL);
}

/* All upstreams of a data centre are back without warning, cold. */
static void restart_all(struct scn_world *world, void *data)
{
	(void)data;
	for (guint i = 0; i < world->upstreams->len; i++) {
		struct scn_upstream *upstream =
			g_ptr_array_index(world->upstreams, i);

		if (upstream->dc == 0)
			scn_upstream_restart(world, upstream, 500 * GB_MSEC);
	}
}

static void cold_return(struct scn_world *world)
{
	scn_after(world, 2 * GB_SEC, restart_all, NULL);
}

static void kill_vm(struct scn_world *world)
{
	if (!world->take_request)
		scn_command(world, GB_STR("kill 1"));
}

static struct scn_world *build(const struct bpl_run *run,
			       const struct bpl_policy *policy, uint64_t seed)
{
	static const char *const lines[] = {
		"dc dc-a",	"dc dc-b",	"dc dc-c",	"vm 1 dc=dc-a",
		"vm 2 dc=dc-b", "vm 3 dc=dc-c", "vm 4 dc=dc-b",
	};
	struct scn_world *world = scn_new(seed);
	struct gb_buf line = GB_BUF_INIT;

	for (size_t i = 0; i < G_N_ELEMENTS(lines); i++)
		scn_command(world, gb_str_from_c(lines[i]));
	gb_buf_addf(&line,
		    "service bench-assist shards=%d replicas=%d slots=%d "
		    "queue=1 backlog=23 connections=25 connect_us=6000 "
		    "mean_us=%d slow_permille=%u slow_factor=%d",
		    SHARDS, REPLICAS, SLOTS, (int)(MEAN_MS * 1000),
		    run->slow_permille, (int)SLOW_FACTOR);
	scn_command(world, gb_buf_str(&line));
	gb_buf_free(&line);
	if (!policy->product)
		bpl_baseline_start(world, policy);
	scn_command(world,
		    policy->product ? GB_STR("start") : GB_STR("start vms=0"));
	return world;
}

static void measure(const struct bpl_run *run, const struct bpl_policy *policy,
		    uint64_t seed)
{
	struct scn_world *world = build(run, policy, seed);
	double rate = run->load * capacity(10);
	gb_time duration = run->duration ? run->duration : 20 * GB_SEC;
	gb_time deadline = run->deadline ? run->deadline : GB_SEC;
	uint32_t bodies = run->bodies ? run->bodies : 2000;
	struct scn_load *load;
	struct scn_tally *t;
	uint64_t before = 0, after = 0, shed = 0;
	uint32_t peak = 0, connections = 0;
	double wanted;

	if (policy->product)
		scn_run(world, SETTLE);
	scn_load_start(world, 0, rate, WARM_UP, deadline, bodies, false);
	scn_run(world, WARM_UP);
	for (guint i = 0; i < world->upstreams->len; i++) {
		struct scn_upstream *u = g_ptr_array_index(world->upstreams, i);

		before += u->received;
	}
	if (run->fault)
		run->fault(world);
	load = scn_load_start(world, 0, rate, duration, deadline, bodies,
			      false);
	scn_run(world, duration);
	for (guint i = 0; i < world->upstreams->len; i++) {
		struct scn_upstream *u = g_ptr_array_index(world->upstreams, i);

		after += u->received;
		shed += u->shed;
		peak = MAX(peak, u->peak_load);
		connections = MAX(connections, u->peak_connections);
	}
	scn_run(world, 3 * GB_SEC);
	t = &load->tally;
	wanted = (double)(t->sent - t->refused) * SHARDS;
	printf("%-16.*s %-16.*s %6.1f %7.1f %7.1f %6" PRIu64 " %6" PRIu64
	       " %5" PRIu64 " %6" PRIu64 " %5" PRIu64 " %5" PRIu64
	       " %7.4f %6.2f%% %5u %4u %5" PRIu64 " %6.1f %4u\n",
	       (int)run->name.len, run->name.ptr, (int)policy->name.len,
	       policy->name.ptr, (double)scn_tally_quantile(t, 0.5) / GB_MSEC,
	       (double)scn_tally_quantile(t, 0.99) / GB_MSEC,
	       (double)scn_tally_quantile(t, 0.999) / GB_MSEC, t->sent,
	       t->complete, t->partial, t->refused, t->late, t->lost,
	       t->coverage_sum / MAX((double)(t->complete + t->partial), 1),
	       100.0 * ((double)(after - before) / wanted - 1), peak,
	       connections, shed, (double)t->refusal_max / GB_MSEC,
	       policy->product ? world->violations : 0);
	fflush(stdout);
	if (policy->product && world->violations)
		fwrite(world->trace.ptr, 1, world->trace.len, stderr);
	scn_free(world);
	if (!policy->product)
		bpl_baseline_free(world);
}

int main(int argc, char **argv)
{
	uint64_t seed = 1;

	if (argc > 2 && !strcmp(argv[1], "--seed")) {
		seed = g_ascii_strtoull(argv[2], NULL, 10);
		argv += 2;
		argc -= 2;
	}
	printf("Times in ms; capacity %.0f queries/s over %d shards; peak and "
	       "conn are the most work and connections of one upstream.\n",
	       capacity(10), SHARDS);
	printf("%-16s %-16s %6s %7s %7s %6s %6s %5s %6s %5s %5s %7s %7s %5s "
	       "%4s %5s %6s %4s\n",
	       "run", "policy", "p50", "p99", "p99.9", "sent", "compl", "part",
	       "refus", "late", "lost", "cover", "extra", "peak", "conn",
	       "shed", "refuse", "viol");
	for (size_t i = 0; i < G_N_ELEMENTS(runs); i++) {
		if (argc > 1 &&
		    !gb_str_eq(runs[i].name, gb_str_from_c(argv[1])))
			continue;
		for (size_t k = 0; k < bpl_policies_len; k++)
			measure(&runs[i], &bpl_policies[k], seed);
	}
	return 0;
}
