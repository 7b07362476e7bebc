#include "matrix/mtx.h"

#include <string.h>

/* A pause shorter than a lease, and one that outlasts it. */
#define PAUSE_SHORT (600 * GB_MSEC)
#define PAUSE_LONG (1600 * GB_MSEC)

/* Shorter starts of an upstream without a lost call are not proved. */
#define RESTART_TIME (60 * GB_MSEC)

/* Between two sends of a crashing request. */
#define RESEND_AFTER (60 * GB_MSEC)

/* Between the publishing of a snapshot and the end of the one before. */
#define GONE_AFTER (300 * GB_MSEC)

struct send_again {
	struct mtx_cell *cell;
	uint32_t vm;
};

static void straggler(struct mtx_cell *cell, const struct mtx_fault *fault);
static void replica_restart(struct mtx_cell *cell,
			    const struct mtx_fault *fault);
static void upstream_frozen(struct mtx_cell *cell,
			    const struct mtx_fault *fault);
static void load_lie(struct mtx_cell *cell, const struct mtx_fault *fault);
static void repartition(struct mtx_cell *cell, const struct mtx_fault *fault);
static void old_snapshots_go(struct scn_world *world, void *data);
static void platform_down(struct mtx_cell *cell, const struct mtx_fault *fault);
static void platform_slow(struct mtx_cell *cell, const struct mtx_fault *fault);
static void write_lost(struct mtx_cell *cell, const struct mtx_fault *fault);
static void operators(struct mtx_cell *cell, const struct mtx_fault *fault);
static void crashing(struct mtx_cell *cell, const struct mtx_fault *fault);
static void send_crashing(struct scn_world *world, void *data);
static void vm_killed(struct mtx_cell *cell, const struct mtx_fault *fault);
static void vm_restarted(struct mtx_cell *cell, const struct mtx_fault *fault);
static void vm_paused(struct mtx_cell *cell, const struct mtx_fault *fault);
static void thaw(struct scn_world *world, void *data);
static void isolated(struct mtx_cell *cell, const struct mtx_fault *fault);
static void cut_to(struct mtx_cell *cell, const struct mtx_fault *fault);
static void cut_from(struct mtx_cell *cell, const struct mtx_fault *fault);
static void cut_both(struct mtx_cell *cell, const struct mtx_fault *fault);
static void late(struct mtx_cell *cell, const struct mtx_fault *fault);
static void crossed(struct mtx_cell *cell, const struct mtx_fault *fault);
static void doubled(struct mtx_cell *cell, const struct mtx_fault *fault);
static void dropped(struct mtx_cell *cell, const struct mtx_fault *fault);
static void wall_jump(struct mtx_cell *cell, const struct mtx_fault *fault);

const struct mtx_fault mtx_faults[] = {
	{ .name = GB_STR_INIT("straggler"), .inject = straggler },
	{ .name = GB_STR_INIT("replica-lost"),
	  .inject = replica_restart,
	  .value = MTX_LASTING },
	{ .name = GB_STR_INIT("cold-start"),
	  .inject = replica_restart,
	  .value = RESTART_TIME },
	{ .name = GB_STR_INIT("shard-cold-start"),
	  .inject = replica_restart,
	  .all = true,
	  .value = RESTART_TIME },
	{ .name = GB_STR_INIT("upstream-frozen"), .inject = upstream_frozen },
	{ .name = GB_STR_INIT("shard-frozen"),
	  .inject = upstream_frozen,
	  .all = true },
	{ .name = GB_STR_INIT("load-lie-low"), .inject = load_lie, .value = 0 },
	{ .name = GB_STR_INIT("load-lie-high"),
	  .inject = load_lie,
	  .value = 1000 },
	{ .name = GB_STR_INIT("repartition"), .inject = repartition },
	{ .name = GB_STR_INIT("platform-down"), .inject = platform_down },
	{ .name = GB_STR_INIT("platform-slow"), .inject = platform_slow },
	{ .name = GB_STR_INIT("write-answer-lost"), .inject = write_lost },
	{ .name = GB_STR_INIT("operators-race"), .inject = operators },
	{ .name = GB_STR_INIT("crashing-request"), .inject = crashing },
	{ .name = GB_STR_INIT("entry-killed"),
	  .inject = vm_killed,
	  .role = MTX_ENTRY },
	{ .name = GB_STR_INIT("owner-killed"),
	  .inject = vm_killed,
	  .role = MTX_SUBJECT },
	{ .name = GB_STR_INIT("entry-restarted"),
	  .inject = vm_restarted,
	  .role = MTX_ENTRY },
	{ .name = GB_STR_INIT("owner-restarted"),
	  .inject = vm_restarted,
	  .role = MTX_SUBJECT },
	{ .name = GB_STR_INIT("entry-frozen"),
	  .inject = vm_paused,
	  .role = MTX_ENTRY,
	  .value = PAUSE_SHORT },
	{ .name = GB_STR_INIT("owner-frozen"),
	  .inject = vm_paused,
	  .role = MTX_SUBJECT,
	  .value = PAUSE_SHORT },
	{ .name = GB_STR_INIT("entry-lease-lapsed"),
	  .inject = vm_paused,
	  .role = MTX_ENTRY,
	  .value = PAUSE_LONG },
	{ .name = GB_STR_INIT("owner-lease-lapsed"),
	  .inject = vm_paused,
	  .role = MTX_SUBJECT,
	  .value = PAUSE_LONG },
	{ .name = GB_STR_INIT("cut-to-owner"), .inject = cut_to },
	{ .name = GB_STR_INIT("cut-from-owner"), .inject = cut_from },
	{ .name = GB_STR_INIT("cut-both-ways"), .inject = cut_both },
	{ .name = GB_STR_INIT("entry-isolated"),
	  .inject = isolated,
	  .value = MTX_ENTRY },
	{ .name = GB_STR_INIT("owner-isolated"),
	  .inject = isolated,
	  .value = MTX_SUBJECT },
	{ .name = GB_STR_INIT("messages-late"), .inject = late },
	{ .name = GB_STR_INIT("messages-crossed"), .inject = crossed },
	{ .name = GB_STR_INIT("messages-doubled"), .inject = doubled },
	{ .name = GB_STR_INIT("messages-dropped"), .inject = dropped },
	{ .name = GB_STR_INIT("wall-forward"),
	  .inject = wall_jump,
	  .value = 3600000 },
	{ .name = GB_STR_INIT("wall-backward"),
	  .inject = wall_jump,
	  .value = -3600000 },
};

const size_t mtx_faults_len = G_N_ELEMENTS(mtx_faults);

static void straggler(struct mtx_cell *cell, const struct mtx_fault *fault)
{
	(void)fault;
	mtx_upstream(cell, cell->shard, 0)->slow_factor = 20;
}

static void replica_restart(struct mtx_cell *cell,
			    const struct mtx_fault *fault)
{
	for (uint32_t i = 0; i <= fault->all; i++)
		scn_upstream_restart(cell->world,
				     mtx_upstream(cell, cell->shard, i),
				     fault->value);
}

static void upstream_frozen(struct mtx_cell *cell,
			    const struct mtx_fault *fault)
{
	for (uint32_t i = 0; i <= fault->all; i++)
		mtx_upstream(cell, cell->shard, i)->frozen_until =
			cell->world->now + MTX_LASTING;
}

static void load_lie(struct mtx_cell *cell, const struct mtx_fault *fault)
{
	mtx_upstream(cell, cell->shard, 0)->reported = fault->value;
}

static void old_snapshots_go(struct scn_world *world, void *data)
{
	struct mtx_cell *cell = data;

	for (guint i = 0; i < world->upstreams->len; i++) {
		struct scn_upstream *upstream =
			g_ptr_array_index(world->upstreams, i);

		if (upstream->service == 0)
			upstream->snapshot_min = cell->snapshot;
	}
}

/* The shard loses the old snapshot at once, the others a little later. */
static void repartition(struct mtx_cell *cell, const struct mtx_fault *fault)
{
	(void)fault;
	mtx_publish(cell);
	for (uint32_t i = 0; i < 2; i++)
		mtx_upstream(cell, cell->shard, i)->snapshot_min =
			cell->snapshot;
	scn_after(cell->world, GONE_AFTER, old_snapshots_go, cell);
}

static void platform_down(struct mtx_cell *cell, const struct mtx_fault *fault)
{
	(void)fault;
	scn_platform_set_down(cell->world, true);
}

static void platform_slow(struct mtx_cell *cell, const struct mtx_fault *fault)
{
	(void)fault;
	cell->world->platform.slow = 400 * GB_MSEC;
}

/* If the step itself writes nothing now, an operator's change does. */
static void write_lost(struct mtx_cell *cell, const struct mtx_fault *fault)
{
	(void)fault;
	cell->world->platform.lose_writes++;
	mtx_confirm(cell, mtx_vm(cell, MTX_SUBJECT), PLN_LIMIT_SET,
		    GB_STR("book"), 2500);
}

static void operators(struct mtx_cell *cell, const struct mtx_fault *fault)
{
	(void)fault;
	mtx_confirm(cell, mtx_vm(cell, MTX_ENTRY), PLN_LIMIT_SET,
		    GB_STR("find"), 2100);
	mtx_confirm(cell, mtx_vm(cell, MTX_SUBJECT), PLN_LIMIT_SET,
		    GB_STR("find"), 2200);
}

static void send_crashing(struct scn_world *world, void *data)
{
	struct send_again *again = data;
	struct scn_request *request = scn_request_new(
		world, again->vm, GB_STR("find"), GB_STR("boom"));

	gb_str_free(&request->id);
	request->id = gb_str_dup(GB_STR("crashing"));
	scn_request_send(world, request, 0);
	g_free(again);
}

/* A caller sends a request that crashes upstreams to one VM after another. */
static void crashing(struct mtx_cell *cell, const struct mtx_fault *fault)
{
	(void)fault;
	for (uint32_t i = 0; i < cell->world->vms; i++) {
		struct send_again *again = g_new(struct send_again, 1);

		*again = (struct send_again){ .cell = cell, .vm = i };
		scn_after(cell->world, i * RESEND_AFTER, send_crashing, again);
	}
}

static void vm_killed(struct mtx_cell *cell, const struct mtx_fault *fault)
{
	uint32_t index = mtx_vm(cell, fault->role)->index;

	cell->vm_hit[index] = true;
	scn_vm_kill(cell->world, index);
}

static void vm_restarted(struct mtx_cell *cell, const struct mtx_fault *fault)
{
	vm_killed(cell, fault);
	scn_vm_start(cell->world, mtx_vm(cell, fault->role)->index);
}

static void thaw(struct scn_world *world, void *data)
{
	struct scn_vm *vm = data;

	scn_vm_thaw(world, vm->index);
}

static void vm_paused(struct mtx_cell *cell, const struct mtx_fault *fault)
{
	struct scn_vm *vm = mtx_vm(cell, fault->role);

	cell->vm_hit[vm->index] = true;
	if (!vm->node)
		return;
	scn_vm_freeze(cell->world, vm->index);
	scn_after(cell->world, fault->value, thaw, vm);
}

static void isolated(struct mtx_cell *cell, const struct mtx_fault *fault)
{
	uint32_t index = mtx_vm(cell, (enum mtx_role)fault->value)->index;

	for (uint32_t i = 0; i < cell->world->vms; i++) {
		cell->world->net.link[index][i].cut = true;
		cell->world->net.link[i][index].cut = true;
	}
}

static void cut_to(struct mtx_cell *cell, const struct mtx_fault *fault)
{
	uint32_t entry = mtx_vm(cell, MTX_ENTRY)->index;
	uint32_t subject = mtx_vm(cell, MTX_SUBJECT)->index;

	(void)fault;
	cell->world->net.link[entry][subject].cut = true;
}

static void cut_from(struct mtx_cell *cell, const struct mtx_fault *fault)
{
	uint32_t entry = mtx_vm(cell, MTX_ENTRY)->index;
	uint32_t subject = mtx_vm(cell, MTX_SUBJECT)->index;

	(void)fault;
	cell->world->net.link[subject][entry].cut = true;
}

static void cut_both(struct mtx_cell *cell, const struct mtx_fault *fault)
{
	cut_to(cell, fault);
	cut_from(cell, fault);
}

static void late(struct mtx_cell *cell, const struct mtx_fault *fault)
{
	(void)fault;
	cell->world->net.late_permille = 300;
	cell->world->net.late = 150 * GB_MSEC;
}

/* Small delays of every message let many of them overtake each other. */
static void crossed(struct mtx_cell *cell, const struct mtx_fault *fault)
{
	(void)fault;
	cell->world->net.late_permille = 1000;
	cell->world->net.late = 5 * GB_MSEC;
}

static void doubled(struct mtx_cell *cell, const struct mtx_fault *fault)
{
	(void)fault;
	cell->world->net.double_permille = 500;
}

static void dropped(struct mtx_cell *cell, const struct mtx_fault *fault)
{
	(void)fault;
	cell->world->net.drop_permille = 100;
}

static void wall_jump(struct mtx_cell *cell, const struct mtx_fault *fault)
{
	mtx_vm(cell, MTX_SUBJECT)->wall_skew_ms += fault->value;
}

/* Ends all faults; VMs that are down start again. */
void mtx_heal(struct mtx_cell *cell)
{
	struct scn_world *world = cell->world;

	memset(world->net.link, 0, sizeof(world->net.link));
	world->net.drop_permille = 0;
	world->net.double_permille = 0;
	world->net.late_permille = 0;
	scn_platform_set_down(world, false);
	world->platform.slow = 0;
	world->platform.lose_writes = 0;
	for (guint i = 0; i < world->upstreams->len; i++) {
		struct scn_upstream *upstream =
			g_ptr_array_index(world->upstreams, i);

		upstream->slow_factor = 1;
		upstream->reported = -1;
	}
	for (uint32_t i = 0; i < world->vms; i++) {
		world->vm[i].wall_skew_ms = 0;
		scn_vm_thaw(world, i);
		/* A second SIGTERM ends a stop that waits. */
		if (world->vm[i].node && world->vm[i].stopping) {
			cell->vm_hit[i] = true;
			scn_vm_kill(world, i);
		}
		if (!world->vm[i].node)
			scn_vm_start(world, i);
	}
}
