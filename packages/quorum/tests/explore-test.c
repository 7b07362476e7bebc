#include "quorum/quo.h"
#include "script/scr.h"

#include <glib.h>
#include <inttypes.h>

/*
 * Seeded runs of a cell over a lossy network, with restarts, pauses, drifting
 * clocks and changes of the roster. After each step no unit may have two
 * processes with an unexpired lease. Each fault breaks one rule and shows that
 * the runs would notice its absence.
 */

#define LEASE (1200 * GB_MSEC)
#define DRIFT (50 * GB_MSEC)
#define RATE_PPM 20000 /* two such clocks differ by 48 ms over one lease */
#define VMS 6
#define PROCS (VMS + 8) /* the last ones keep the leases of dead processes */
#define UNITS 2

static const uint32_t units[UNITS] = { 3, 200 };

struct proc {
	uint32_t vm; /* 0 when unused */
	int64_t ppm;
	gb_time offset;
	gb_time next_send;
	gb_time paused_until;
	gb_time stuck_until; /* learns no configuration before */
	struct cfg *cfg;
	struct quo_members members;
	struct quo_granter granter;
	struct quo_holder holder;
};

struct packet {
	gb_time due;
	uint32_t from;
	uint32_t to;
	bool is_reply;
	struct msg_heartbeat heartbeat;
	struct msg_heartbeat_reply reply;
};

struct fault {
	struct gb_str name;
	bool unsettled; /* changes the roster without waiting */
	void (*start)(struct proc *proc);
	void (*heartbeat)(struct proc *proc, struct packet *packet);
	void (*reply)(struct proc *proc, const struct packet *packet,
		      gb_time now);
};

/* How a run goes; runs alternate between the rows. */
struct mode {
	gb_time heartbeat;
	gb_time step; /* longest */
	gb_time delay; /* longest of an ordinary message */
	gb_time late_delay;
	uint32_t late; /* one message in so many is late */
	uint32_t restart; /* one step in so many */
	uint32_t stuck;
	uint32_t change;
};

struct world {
	struct gb_rng rng;
	gb_time now;
	uint64_t incarnations;
	struct proc proc[PROCS];
	uint32_t dead; /* next place for a dead process */
	GPtrArray *versions;
	GArray *packets;
	const struct fault *fault;
	const struct mode *mode;
	uint32_t last_holder[UNITS];
	bool was_held[UNITS][PROCS];
	int gained;
	int taken_over;
	int restarts;
	int epochs;
	int violations;
};

static const struct mode modes[] = {
	/* As the design sets it, over a bad network. */
	{ .heartbeat = 300 * GB_MSEC,
	  .step = 15 * GB_MSEC,
	  .delay = 80 * GB_MSEC,
	  .late_delay = 3 * GB_SEC,
	  .late = 8,
	  .restart = 150,
	  .stuck = 100,
	  .change = 150 },
	/* Quick heartbeats without delay, close to the drift margin. */
	{ .heartbeat = 20 * GB_MSEC,
	  .step = 3 * GB_MSEC,
	  .delay = GB_MSEC,
	  .late_delay = GB_SEC,
	  .late = 100,
	  .restart = 400,
	  .stuck = 1000,
	  .change = 2000 },
	/* Many late messages to short-lived processes. */
	{ .heartbeat = 60 * GB_MSEC,
	  .step = 8 * GB_MSEC,
	  .delay = 8 * GB_MSEC,
	  .late_delay = 4 * GB_SEC,
	  .late = 2,
	  .restart = 80,
	  .stuck = 200,
	  .change = 400 },
	/* Many changes of the roster, learned late. */
	{ .heartbeat = 100 * GB_MSEC,
	  .step = 15 * GB_MSEC,
	  .delay = 20 * GB_MSEC,
	  .late_delay = 2 * GB_SEC,
	  .late = 10,
	  .restart = 1000,
	  .stuck = 10,
	  .change = 20 },
};

static void no_silence(struct proc *proc)
{
	proc->granter.silent_until = 0;
}

static void no_margin(struct proc *proc)
{
	proc->holder.drift = 0;
}

static void same_sequences(struct proc *proc)
{
	proc->holder.seq = 0;
}

static void take_late(struct proc *proc, struct packet *packet)
{
	struct quo_member *member =
		quo_members_find(&proc->members, packet->from);

	if (member)
		member->seq = 0;
	for (int i = 0; i < UNITS; i++)
		proc->granter.grant[units[i]].seq = 0;
}

static void inherit(struct proc *proc, struct packet *packet)
{
	for (int i = 0; i < UNITS; i++)
		if (proc->granter.grant[units[i]].vm == packet->from)
			proc->granter.grant[units[i]].incarnation =
				packet->heartbeat.incarnation;
}

static void shorten_grant(struct proc *proc, struct packet *packet)
{
	(void)packet;
	proc->granter.lease = LEASE - 2 * DRIFT;
}

static void from_receipt(struct proc *proc, const struct packet *packet,
			 gb_time now)
{
	proc->holder.sent[packet->reply.seq % QUO_SENT_MAX] = now;
}

static void since_ever(struct proc *proc, const struct packet *packet,
		       gb_time now)
{
	(void)packet;
	(void)now;
	for (int i = 0; i < UNITS; i++)
		proc->holder.wanted_since[units[i]] = 0;
}

static const struct fault faults[] = {
	{ .name = GB_STR_INIT("none") },
	{ .name = GB_STR_INIT("no-silence"), .start = no_silence },
	{ .name = GB_STR_INIT("no-margin"), .start = no_margin },
	{ .name = GB_STR_INIT("same-sequences"), .start = same_sequences },
	{ .name = GB_STR_INIT("take-late"), .heartbeat = take_late },
	{ .name = GB_STR_INIT("inherit"), .heartbeat = inherit },
	{ .name = GB_STR_INIT("short-grant"), .heartbeat = shorten_grant },
	{ .name = GB_STR_INIT("from-receipt"), .reply = from_receipt },
	{ .name = GB_STR_INIT("since-ever"), .reply = since_ever },
	{ .name = GB_STR_INIT("unsettled"), .unsettled = true },
};

static bool chance(struct world *world, uint32_t one_in)
{
	return !gb_rng_below(&world->rng, one_in);
}

static gb_time between(struct world *world, gb_time low, gb_time high)
{
	return low + (gb_time)gb_rng_below(&world->rng, high - low);
}

static gb_time local(const struct world *world, const struct proc *proc)
{
	return proc->offset + world->now + world->now / 1000000 * proc->ppm +
	       world->now % 1000000 * proc->ppm / 1000000;
}

static struct cfg *newest(const struct world *world)
{
	return g_ptr_array_index(world->versions, world->versions->len - 1);
}

static void adopt(struct proc *proc, struct cfg *cfg)
{
	if (proc->cfg && cfg->version <= proc->cfg->version)
		return;
	cfg_unref(proc->cfg);
	proc->cfg = cfg_ref(cfg);
	quo_members_follow(&proc->members, cfg);
	quo_holder_follow(&proc->holder, cfg);
}

/* Starts a process with empty memory; the VM's clock keeps its rate. */
static void start(struct world *world, uint32_t vm)
{
	struct proc *proc = &world->proc[vm - 1];
	int64_t ppm = proc->ppm;

	*proc = (struct proc){ .vm = vm, .ppm = ppm };
	if (!ppm)
		proc->ppm = chance(world, 2) ? RATE_PPM : -RATE_PPM;
	proc->offset = between(world, GB_SEC, 1000 * GB_SEC);
	quo_members_init(&proc->members, GB_SEC);
	quo_granter_init(&proc->granter, &proc->members, ++world->incarnations,
			 local(world, proc), LEASE);
	quo_holder_init(&proc->holder, world->incarnations, LEASE, DRIFT);
	if (world->fault->start)
		world->fault->start(proc);
	adopt(proc, newest(world));
}

/* The lease of a stopped process counts on: the process may be paused only. */
static void stop(struct world *world, struct proc *proc)
{
	struct proc *grave = &world->proc[VMS + world->dead++ % (PROCS - VMS)];

	cfg_unref(grave->cfg);
	*grave = *proc;
	*proc = (struct proc){ .ppm = grave->ppm };
}

/* Loses, delays and duplicates. */
static void post(struct world *world, const struct packet *packet)
{
	struct packet copy = *packet;

	while (!chance(world, 6)) {
		gb_time most = chance(world, world->mode->late)
				       ? 2 * GB_SEC
				       : world->mode->delay;

		copy.due = world->now + between(world, 0, most);
		g_array_append_val(world->packets, copy);
		if (!chance(world, 8))
			return;
	}
}

static void send_heartbeats(struct world *world, struct proc *proc)
{
	struct packet packet = { .from = proc->vm };
	bool leaving = chance(world, 30);

	for (int i = 0; i < UNITS; i++) {
		bool wanted = msg_units_has(&proc->holder.wanted, units[i]);

		if (wanted && chance(world, 10))
			quo_holder_release(&proc->holder, units[i]);
		else if (!wanted && !chance(world, 3))
			continue;
		if (chance(world, 2))
			quo_holder_want(&proc->holder, units[i]);
	}
	quo_holder_heartbeat(&proc->holder, local(world, proc), proc->cfg,
			     !leaving, leaving, &packet.heartbeat);
	for (uint32_t i = 0; i < cfg_granters(proc->cfg); i++) {
		packet.to = cfg_vm(proc->cfg, i)->id;
		post(world, &packet);
	}
	proc->next_send = world->now + world->mode->heartbeat;
}

/* Fetches a newer version from the peer that showed it. */
static void learn(struct world *world, struct proc *proc, uint64_t version)
{
	if (version <= proc->cfg->version || world->now < proc->stuck_until)
		return;
	adopt(proc, g_ptr_array_index(world->versions, version - 1));
}

static void receive(struct world *world, struct proc *proc,
		    struct packet *packet)
{
	const struct fault *fault = world->fault;
	gb_time now = local(world, proc);
	struct packet answer = { .from = proc->vm,
				 .to = packet->from,
				 .is_reply = true };

	if (packet->is_reply) {
		const struct msg_heartbeat_reply *reply = &packet->reply;

		if (fault->reply)
			fault->reply(proc, packet, now);
		quo_members_heard(&proc->members, now, packet->from,
				  reply->incarnation, reply->epoch,
				  reply->config_version);
		quo_holder_reply(&proc->holder, proc->cfg, packet->from, reply);
		learn(world, proc, reply->config_version);
		return;
	}
	if (fault->heartbeat)
		fault->heartbeat(proc, packet);
	if (quo_granter_heartbeat(&proc->granter, now, proc->cfg, packet->from,
				  &packet->heartbeat, &answer.reply))
		post(world, &answer);
	learn(world, proc, packet->heartbeat.config_version);
}

static void deliver(struct world *world)
{
	for (guint i = 0; i < world->packets->len;) {
		struct packet *next =
			&g_array_index(world->packets, struct packet, i);
		struct proc *proc = &world->proc[next->to - 1];
		struct packet packet;

		if (next->due > world->now ||
		    (proc->vm && proc->paused_until > world->now)) {
			i++;
			continue;
		}
		packet = *next;
		g_array_remove_index_fast(world->packets, i);
		if (proc->vm)
			receive(world, proc, &packet);
	}
}

static bool may_change_roster(struct world *world)
{
	const struct cfg *cfg = newest(world);

	if (world->fault->unsettled)
		return true;
	for (int i = 0; i < VMS; i++) {
		struct proc *proc = &world->proc[i];

		if (proc->vm && proc->cfg == cfg &&
		    quo_epoch_settled(&proc->members, cfg, local(world, proc),
				      LEASE))
			return true;
	}
	return false;
}

/* Writes a next version: another roster if the epoch is settled. */
static void change_config(struct world *world)
{
	struct cfg *next = cfg_copy(newest(world));
	uint32_t vm = 1 + gb_rng_below(&world->rng, VMS);
	int index = cfg_find_vm(next, vm);
	bool roster = chance(world, 2) && may_change_roster(world) &&
		      (index < 0 ? next->vms->len < 5 : next->vms->len > 3);

	next->version++;
	if (roster && index >= 0)
		cfg_remove_vm(next, index);
	if (roster && index < 0)
		cfg_add_vm(next, vm, GB_STR("vm"), GB_STR("host"));
	next->epoch += roster;
	world->epochs += roster;
	g_ptr_array_add(world->versions, next);
	if (roster && index < 0 && !world->proc[vm - 1].vm)
		start(world, vm);
	if (chance(world, 2))
		return;
	/* One VM writes it and knows it at once. */
	vm = 1 + gb_rng_below(&world->rng, VMS);
	if (world->proc[vm - 1].vm)
		adopt(&world->proc[vm - 1], next);
}

static void disturb(struct world *world)
{
	uint32_t vm = 1 + gb_rng_below(&world->rng, VMS);
	struct proc *proc = &world->proc[vm - 1];

	if (chance(world, world->mode->change))
		change_config(world);
	if (!proc->vm)
		return;
	if (chance(world, world->mode->restart)) {
		stop(world, proc);
		start(world, vm);
		world->restarts++;
	} else if (chance(world, 150)) {
		proc->paused_until = world->now + between(world, 0, 3 * GB_SEC);
	} else if (chance(world, world->mode->stuck)) {
		proc->stuck_until = world->now + between(world, 0, 6 * GB_SEC);
	} else if (chance(world, 50) && world->now >= proc->stuck_until) {
		adopt(proc, newest(world));
	}
}

/* Counts the processes that hold each unit at this moment of real time. */
static void check(struct world *world)
{
	for (int u = 0; u < UNITS; u++) {
		int holders = 0;

		for (uint32_t p = 0; p < PROCS; p++) {
			struct proc *proc = &world->proc[p];
			bool held = proc->vm &&
				    local(world, proc) <
					    quo_holder_expires(&proc->holder,
							       units[u]);

			holders += held;
			if (held && !world->was_held[u][p] && p < VMS) {
				world->gained++;
				world->taken_over +=
					world->last_holder[u] != proc->vm;
				world->last_holder[u] = proc->vm;
			}
			world->was_held[u][p] = held;
		}
		world->violations += holders > 1;
	}
}

static void run(struct world *world, uint32_t vms, int steps)
{
	struct cfg *cfg = cfg_new();

	cfg->version = cfg->epoch = 1;
	cfg_add_dc(cfg, GB_STR("dc"));
	for (uint32_t vm = 1; vm <= vms; vm++)
		cfg_add_vm(cfg, vm, GB_STR("vm"), GB_STR("host"));
	world->versions = g_ptr_array_new_with_free_func(
		(GDestroyNotify)(void (*)(void))cfg_unref);
	world->packets = g_array_new(FALSE, FALSE, sizeof(struct packet));
	g_ptr_array_add(world->versions, cfg);
	for (uint32_t vm = 1; vm <= vms; vm++)
		start(world, vm);
	for (int step = 0; step < steps; step++) {
		world->now += between(world, 1, world->mode->step);
		disturb(world);
		for (int i = 0; i < VMS; i++) {
			struct proc *proc = &world->proc[i];

			if (proc->vm && proc->paused_until <= world->now &&
			    proc->next_send <= world->now)
				send_heartbeats(world, proc);
		}
		deliver(world);
		check(world);
	}
	for (int i = 0; i < PROCS; i++)
		cfg_unref(world->proc[i].cfg);
	g_array_unref(world->packets);
	g_ptr_array_unref(world->versions);
}

static void *open_ctx(void)
{
	return g_new0(struct world, 1);
}

/* explore [fault=] [mode=] [from=] seeds= steps= */
static void cmd_explore(void *ctx, const struct scr_args *args,
			struct gb_buf *out)
{
	struct gb_str name = scr_str(args, GB_STR("fault"), GB_STR("none"));
	int seeds = scr_int(args, GB_STR("seeds"), 1);
	int steps = scr_int(args, GB_STR("steps"), 1000);
	struct world *world = ctx;
	int from = scr_int(args, GB_STR("from"), 1);
	int mode = scr_int(args, GB_STR("mode"), -1);
	int sum[6] = { 0 };

	for (int seed = from; seed < from + seeds; seed++) {
		*world = (struct world){ .rng = { .state = seed } };
		world->mode = &modes[mode < 0 ? seed % G_N_ELEMENTS(modes)
					      : (size_t)mode];
		for (size_t i = 0; i < G_N_ELEMENTS(faults); i++)
			if (gb_str_eq(faults[i].name, name))
				world->fault = &faults[i];
		g_assert_nonnull(world->fault);
		run(world, 3 + seed / G_N_ELEMENTS(modes) % 3, steps);
		sum[0] += world->gained;
		sum[1] += world->taken_over;
		sum[2] += world->restarts;
		sum[3] += world->epochs;
		sum[4] += world->violations;
		sum[5] += world->violations > 0;
	}
	gb_buf_addf(out,
		    "%d steps: %d gained, %d taken over, %d restarts, %d "
		    "epochs; %d violations in %d of %d seeds\n",
		    seeds * steps, sum[0], sum[1], sum[2], sum[3], sum[4],
		    sum[5], seeds);
}

int main(int argc, char **argv)
{
	static const struct scr_command commands[] = {
		{ .name = GB_STR_INIT("explore"), .run = cmd_explore },
	};
	const struct scr_suite suite = {
		.name = "quorum-explore",
		.folder = "packages/quorum/tests/explore",
		.commands = commands,
		.commands_len = G_N_ELEMENTS(commands),
		.open = open_ctx,
		.close = g_free,
	};

	return scr_main(argc, argv, &suite);
}
