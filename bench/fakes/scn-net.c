#include "bench/fakes/scn.h"

#include "wire/wire.h"

struct packet {
	struct scn_vm *to;
	uint64_t to_run;
	struct msg *msg;
};

static void deliver(struct scn_world *world, void *data);
static void input(struct scn_vm *vm, void *data);
static void drop_packet(gpointer data);
static void post(struct scn_vm *from, struct scn_vm *to, const struct msg *msg,
		 gb_time delay);

gb_time scn_hop(const struct scn_world *world, uint32_t dc_a, uint32_t dc_b)
{
	return dc_a == dc_b ? world->hop_local : world->hop;
}

static void drop_packet(gpointer data)
{
	struct packet *packet = data;

	msg_free(packet->msg);
	g_free(packet);
}

static void input(struct scn_vm *vm, void *data)
{
	struct packet *packet = data;

	nd_peer_msg(vm->node, scn_vm_clock(vm), packet->msg);
}

/* A connection does not outlive the process that it leads to. */
static void deliver(struct scn_world *world, void *data)
{
	struct packet *packet = data;

	(void)world;
	if (packet->to->run != packet->to_run) {
		drop_packet(packet);
		return;
	}
	scn_vm_input(packet->to, input, packet, drop_packet);
}

static void post(struct scn_vm *from, struct scn_vm *to, const struct msg *msg,
		 gb_time delay)
{
	struct packet *packet = g_new(struct packet, 1);
	const struct scn_mutation *mutation = from->world->mutation;

	*packet = (struct packet){ .to = to,
				   .to_run = to->run,
				   .msg = msg_copy(msg) };
	if (mutation && mutation->message &&
	    !mutation->message(from, to, packet->msg)) {
		drop_packet(packet);
		return;
	}
	scn_after(from->world, delay, deliver, packet);
}

void scn_net_send(struct scn_vm *from, uint32_t to_id, const struct msg *msg)
{
	struct scn_world *world = from->world;
	struct scn_net *net = &world->net;
	struct scn_vm *to = scn_vm_by_id(world, to_id);
	const struct scn_link *link;
	gb_time delay;

	if (!to || !to->node)
		return;
	net->messages++;
	if (world->on_message)
		world->on_message(world, from, to, msg);
	link = &net->link[from->index][to->index];
	if (link->cut || gb_rng_below(&world->rng, 1000) < net->drop_permille)
		return;
	delay = scn_hop(world, from->dc, to->dc) + link->delay;
	if (gb_rng_below(&world->rng, 1000) < net->late_permille)
		delay += (gb_time)gb_rng_below(&world->rng, net->late);
	post(from, to, msg, delay);
	if (gb_rng_below(&world->rng, 1000) < net->double_permille)
		post(from, to, msg, delay + world->hop);
}
