#include "once/once.h"
#include "script/scr.h"

#include <glib.h>
#include <inttypes.h>

/*
 * Seeded runs of attempts on few keys over a lossy network, with restarts,
 * skewed clocks and changes of the roster that VMs adopt late. No key may run
 * twice, no attempt may say "not run" after its key ran, and a replay must
 * carry the outcome of the attempt that ran. Each fault breaks one rule and
 * shows that the runs would notice its absence. Times are milliseconds; skew
 * and retention are short, so that few steps pass them.
 */

#define VMS 6
#define KEYS 4
#define ATTEMPTS 24
#define SKEW 60
#define RETENTION 2500
#define LEASE 100

struct vm {
	bool up;
	bool pending; /* its memory starts when the epoch is settled */
	int64_t lead; /* of its wall clock */
	int64_t adopted;
	int64_t stuck_until;
	struct cfg *cfg;
	struct once_voter *voter;
};

struct key {
	char name[32];
	uint64_t ran; /* attempt, 0 for none */
};

struct attempt {
	bool open;
	uint32_t vm;
	uint32_t key;
	int64_t closes;
	struct once_attempt once;
};

struct packet {
	int64_t due;
	uint32_t to;
	uint64_t start; /* of the attempt's slot, to match a reply */
	struct msg *msg;
};

struct fault {
	struct gb_str name;
	int64_t memory; /* added to the start of the voter's memory */
	bool at_adoption;
	bool skip; /* keeps the memory over skipped epochs */
	bool any_epoch;
	bool unsettled;
	bool count_only; /* counts granted votes only for "not run" */
	bool forget; /* frees the votes of attempts that ran */
};

static const struct fault faults[] = {
	{ .name = GB_STR_INIT("none") },
	{ .name = GB_STR_INIT("no-abstention"), .memory = -1000000 },
	{ .name = GB_STR_INIT("one-skew"), .memory = -SKEW },
	{ .name = GB_STR_INIT("at-adoption"), .at_adoption = true },
	{ .name = GB_STR_INIT("skipped-epoch"), .skip = true },
	{ .name = GB_STR_INIT("any-epoch"), .any_epoch = true },
	{ .name = GB_STR_INIT("unsettled"), .unsettled = true },
	{ .name = GB_STR_INIT("count-only"), .count_only = true },
	{ .name = GB_STR_INIT("forget"), .forget = true },
};

struct world {
	struct gb_rng rng;
	int64_t now;
	uint64_t number;
	const struct fault *fault;
	uint32_t restart; /* one step in so many */
	uint32_t roster;
	uint32_t adopt;
	struct vm vm[VMS];
	struct key key[KEYS];
	struct attempt attempt[ATTEMPTS];
	GPtrArray *versions;
	GArray *packets;
	int verdicts[ONCE_VERDICTS];
	int epochs;
	int ran_twice;
	int not_run_false;
	int replay_wrong;
};

static bool chance(struct world *world, uint32_t one_in)
{
	return !gb_rng_below(&world->rng, one_in);
}

static int64_t between(struct world *world, int64_t low, int64_t high)
{
	return low + (int64_t)gb_rng_below(&world->rng, high - low);
}

static struct cfg *newest(const struct world *world)
{
	return g_ptr_array_index(world->versions, world->versions->len - 1);
}

static bool is_granter(const struct cfg *cfg, uint32_t id)
{
	int index = cfg_find_vm(cfg, id);

	return index >= 0 && (uint32_t)index < cfg_granters(cfg);
}

/* Tells whether a majority of the epoch adopted it one lease ago. */
static bool is_settled(const struct world *world, const struct cfg *cfg)
{
	uint32_t adopted = 0;

	for (uint32_t i = 0; i < cfg_granters(cfg); i++) {
		const struct vm *vm = &world->vm[cfg_vm(cfg, i)->id - 1];

		adopted += vm->up && vm->cfg->epoch >= cfg->epoch &&
			   world->now - vm->adopted >= LEASE;
	}
	return adopted >= cfg_majority(cfg);
}

/* Empties the voter; until its memory starts it abstains on new keys. */
static void empty_voter(struct world *world, struct vm *vm)
{
	once_voter_free(vm->voter);
	vm->voter = once_voter_new(RETENTION * GB_MSEC, SKEW * GB_MSEC);
	vm->pending = !world->fault->at_adoption;
	if (!vm->pending)
		once_voter_start(vm->voter, world->now + vm->lead);
}

static void adopt(struct world *world, uint32_t id, struct cfg *cfg)
{
	struct vm *vm = &world->vm[id - 1];
	/* It may not have been a granter in an epoch that it skipped. */
	bool was = vm->cfg && is_granter(vm->cfg, id) &&
		   (cfg->epoch == vm->cfg->epoch + 1 || world->fault->skip);

	if (vm->cfg && cfg->epoch <= vm->cfg->epoch)
		return;
	cfg_unref(vm->cfg);
	vm->cfg = cfg_ref(cfg);
	vm->adopted = world->now;
	if (!was && is_granter(cfg, id))
		empty_voter(world, vm);
}

static void start(struct world *world, uint32_t id)
{
	struct vm *vm = &world->vm[id - 1];

	vm->up = true;
	vm->lead = between(world, -SKEW / 2, SKEW / 2 + 1);
	for (int i = 0; i < ATTEMPTS; i++)
		if (world->attempt[i].open && world->attempt[i].vm == id)
			world->attempt[i].open = false;
	cfg_unref(vm->cfg);
	vm->cfg = NULL;
	adopt(world, id, newest(world));
	empty_voter(world, vm);
}

/* Loses, delays and duplicates; some messages are very late. */
static void post(struct world *world, uint32_t to, const struct msg *msg)
{
	while (!chance(world, 6)) {
		struct packet packet = {
			.due = world->now +
			       between(world, 0, chance(world, 6) ? 400 : 10),
			.to = to,
			.msg = msg_copy(msg),
		};

		g_array_append_val(world->packets, packet);
		if (!chance(world, 6))
			return;
	}
}

static void post_to_granters(struct world *world,
			     const struct once_attempt *once, struct msg *msg)
{
	for (uint32_t i = 0; i < once->granters; i++)
		post(world, once->granter_vm[i], msg);
}

static void begin(struct world *world)
{
	uint32_t id = 1 + gb_rng_below(&world->rng, VMS);
	uint32_t k = gb_rng_below(&world->rng, KEYS);
	struct vm *vm = &world->vm[id - 1];
	struct gb_str key = gb_str_from_c(world->key[k].name);
	struct msg msg = { .kind = MSG_VOTE, .from = id };
	struct msg_order_id order = { .vm = id, .number = world->number + 1 };
	struct attempt *attempt = &world->attempt[order.number % ATTEMPTS];

	if (!vm->up || attempt->open ||
	    once_key_check(key, world->now + vm->lead, RETENTION * GB_MSEC,
			   SKEW * GB_MSEC, NULL))
		return;
	once_attempt_free(&attempt->once);
	if (once_attempt_init(&attempt->once, vm->cfg, key, &order, NULL))
		return;
	world->number++;
	attempt->open = true;
	attempt->vm = id;
	attempt->key = k;
	attempt->closes = world->now + between(world, 5, 200);
	once_attempt_message(&attempt->once, &msg.vote);
	post_to_granters(world, &attempt->once, &msg);
}

/* Tells whether the granted votes alone exclude others of the same epoch. */
static bool excludes_others(const struct once_attempt *once)
{
	uint32_t granted = 0;

	for (uint32_t i = 0; i < once->granters; i++)
		granted +=
			once->answered[i] && once->vote[i] == MSG_VOTE_GRANTED;
	return granted >= once->granters - once->majority + 1;
}

static void finish(struct world *world, struct attempt *attempt,
		   enum once_verdict verdict)
{
	struct once_attempt *once = &attempt->once;
	struct key *key = &world->key[attempt->key];
	char outcome[24];
	struct msg msg = { .kind = MSG_RELEASE, .from = attempt->vm };

	if (verdict == ONCE_WAIT)
		return;
	if (world->fault->count_only && verdict == ONCE_UNKNOWN &&
	    excludes_others(once))
		verdict = ONCE_NOT_RUN;
	world->verdicts[verdict]++;
	attempt->open = false;
	/* A slot's key may be a newer one than that of the attempt. */
	if (!gb_str_eq(once->key, gb_str_from_c(key->name)))
		return;
	g_snprintf(outcome, sizeof(outcome), "%" PRIu64, once->order.number);
	if (verdict == ONCE_RUN) {
		world->ran_twice += key->ran != 0;
		key->ran = once->order.number;
		msg.kind = MSG_OUTCOME;
		msg.outcome.key = once->key;
		msg.outcome.order = once->order;
		msg.outcome.outcome = gb_str_from_c(outcome);
	} else if (verdict == ONCE_REPLAY) {
		g_snprintf(outcome, sizeof(outcome), "%" PRIu64, key->ran);
		world->replay_wrong +=
			!gb_str_eq(once->outcome, gb_str_from_c(outcome));
	}
	world->not_run_false += verdict == ONCE_NOT_RUN && key->ran;
	if (verdict != ONCE_RUN || world->fault->forget) {
		msg.kind = MSG_RELEASE;
		msg.release.key = once->key;
		msg.release.order = once->order;
	}
	if (verdict != ONCE_RUN || !chance(world, 3))
		post_to_granters(world, once, &msg);
}

static void receive(struct world *world, uint32_t id, const struct msg *msg)
{
	struct vm *vm = &world->vm[id - 1];
	struct msg reply = { .kind = MSG_VOTE_REPLY, .from = id };
	struct attempt *attempt;

	switch (msg->kind) {
	case MSG_VOTE:
		if (!is_granter(vm->cfg, id))
			return;
		once_voter_vote(vm->voter, world->now + vm->lead,
				world->fault->any_epoch ? msg->vote.epoch
							: vm->cfg->epoch,
				&msg->vote, &reply.vote_reply);
		post(world, msg->from, &reply);
		break;
	case MSG_VOTE_REPLY:
		attempt = &world->attempt[msg->vote_reply.order.number %
					  ATTEMPTS];
		if (attempt->open && attempt->vm == id)
			finish(world, attempt,
			       once_attempt_reply(&attempt->once, msg->from,
						  &msg->vote_reply));
		break;
	case MSG_RELEASE:
		once_voter_release(vm->voter, &msg->release);
		break;
	default:
		once_voter_outcome(vm->voter, &msg->outcome);
		break;
	}
}

static void deliver(struct world *world)
{
	for (guint i = 0; i < world->packets->len;) {
		struct packet packet =
			g_array_index(world->packets, struct packet, i);

		if (packet.due > world->now) {
			i++;
			continue;
		}
		g_array_remove_index_fast(world->packets, i);
		if (world->vm[packet.to - 1].up)
			receive(world, packet.to, packet.msg);
		msg_free(packet.msg);
	}
}

/* Adds or removes one VM; the new roster is known to one VM at first. */
static void change_roster(struct world *world)
{
	struct cfg *cfg = newest(world);
	uint32_t id = 1 + gb_rng_below(&world->rng, VMS);
	int index = cfg_find_vm(cfg, id);
	struct cfg *next;

	if (!world->fault->unsettled && !is_settled(world, cfg))
		return;
	if (index < 0 ? cfg->vms->len >= 5 : cfg->vms->len <= 3)
		return;
	next = cfg_copy(cfg);
	next->epoch++;
	if (index < 0)
		cfg_add_vm(next, id, GB_STR("vm"), GB_STR("host"));
	else
		cfg_remove_vm(next, index);
	g_ptr_array_add(world->versions, next);
	world->epochs++;
	if (index < 0 && !world->vm[id - 1].up)
		start(world, id);
}

static void disturb(struct world *world)
{
	uint32_t id = 1 + gb_rng_below(&world->rng, VMS);
	struct vm *vm = &world->vm[id - 1];
	struct key *key = &world->key[gb_rng_below(&world->rng, KEYS)];

	if (chance(world, world->roster))
		change_roster(world);
	if (chance(world, 60)) {
		g_snprintf(key->name, sizeof(key->name), "%" PRId64 "-%" PRIu64,
			   world->now + between(world, -SKEW, 2 * SKEW),
			   ++world->number);
		key->ran = 0;
	}
	if (!vm->up)
		return;
	if (chance(world, world->restart))
		start(world, id);
	else if (chance(world, 20))
		vm->stuck_until = world->now + between(world, 0, 900);
	else if (chance(world, world->adopt) && world->now >= vm->stuck_until)
		adopt(world, id, newest(world));
	if (vm->pending && is_settled(world, vm->cfg)) {
		vm->pending = false;
		once_voter_start(vm->voter,
				 world->now + vm->lead + world->fault->memory);
	}
}

static void run(struct world *world, int steps)
{
	struct cfg *cfg = cfg_new();

	world->now = 1000000;
	cfg->epoch = 1;
	for (uint32_t id = 1; id <= 4; id++)
		cfg_add_vm(cfg, id, GB_STR("vm"), GB_STR("host"));
	world->versions = g_ptr_array_new_with_free_func(
		(GDestroyNotify)(void (*)(void))cfg_unref);
	world->packets = g_array_new(FALSE, FALSE, sizeof(struct packet));
	g_ptr_array_add(world->versions, cfg);
	for (uint32_t id = 1; id <= 4; id++)
		start(world, id);
	for (int step = 0; step < steps; step++) {
		world->now += between(world, 0, 8);
		disturb(world);
		if (chance(world, 3))
			begin(world);
		deliver(world);
		for (int i = 0; i < ATTEMPTS; i++)
			if (world->attempt[i].open &&
			    world->attempt[i].closes <= world->now)
				finish(world, &world->attempt[i],
				       once_attempt_close(
					       &world->attempt[i].once));
	}
	for (guint i = 0; i < world->packets->len; i++)
		msg_free(g_array_index(world->packets, struct packet, i).msg);
	for (int i = 0; i < ATTEMPTS; i++)
		once_attempt_free(&world->attempt[i].once);
	for (int i = 0; i < VMS; i++) {
		once_voter_free(world->vm[i].voter);
		cfg_unref(world->vm[i].cfg);
	}
	g_array_unref(world->packets);
	g_ptr_array_unref(world->versions);
}

/* explore [fault=] [from=] [restart=] [roster=] [adopt=] seeds= steps= */
static void cmd_explore(void *ctx, const struct scr_args *args,
			struct gb_buf *out)
{
	struct gb_str name = scr_str(args, GB_STR("fault"), GB_STR("none"));
	int from = scr_int(args, GB_STR("from"), 1);
	int seeds = scr_int(args, GB_STR("seeds"), 1);
	int steps = scr_int(args, GB_STR("steps"), 1000);
	struct world *world = ctx;
	int sum[ONCE_VERDICTS + 4] = { 0 };

	for (int seed = from; seed < from + seeds; seed++) {
		*world = (struct world){
			.rng = { .state = seed },
			.restart = scr_int(args, GB_STR("restart"), 150),
			.roster = scr_int(args, GB_STR("roster"), 30),
			.adopt = scr_int(args, GB_STR("adopt"), 4),
		};
		for (size_t i = 0; i < G_N_ELEMENTS(faults); i++)
			if (gb_str_eq(faults[i].name, name))
				world->fault = &faults[i];
		g_assert_nonnull(world->fault);
		run(world, steps);
		for (int i = 0; i < ONCE_VERDICTS; i++)
			sum[i] += world->verdicts[i];
		sum[ONCE_VERDICTS] += world->epochs;
		sum[ONCE_VERDICTS + 1] += world->ran_twice;
		sum[ONCE_VERDICTS + 2] += world->not_run_false;
		sum[ONCE_VERDICTS + 3] += world->replay_wrong;
	}
	gb_buf_addf(out,
		    "%d steps, %d epochs: %d run, %d replay, %d not run, %d "
		    "unknown; violations: %d ran twice, %d not run after a "
		    "run, %d wrong replays\n",
		    seeds * steps, sum[ONCE_VERDICTS], sum[ONCE_RUN],
		    sum[ONCE_REPLAY], sum[ONCE_NOT_RUN], sum[ONCE_UNKNOWN],
		    sum[ONCE_VERDICTS + 1], sum[ONCE_VERDICTS + 2],
		    sum[ONCE_VERDICTS + 3]);
}

static void *open_ctx(void)
{
	return g_new0(struct world, 1);
}

int main(int argc, char **argv)
{
	static const struct scr_command commands[] = {
		{ .name = GB_STR_INIT("explore"), .run = cmd_explore },
	};
	const struct scr_suite suite = {
		.name = "once-explore",
		.folder = "packages/once/tests/explore",
		.commands = commands,
		.commands_len = G_N_ELEMENTS(commands),
		.open = open_ctx,
		.close = g_free,
	};

	return scr_main(argc, argv, &suite);
}
