#include "member/mem-internal.h"

/* Acks sent, at most, to a VM that reports less than half of the live members.
 */
#define ACKS_MAX 8

/* One dead member is pinged every this many ticks. */
#define TICKS_PER_DEAD_PING 4

/*
 * Dead members are kept this long, so that pings to them can reunite the two
 * sides of a network partition.
 */
#define DEAD_RETENTION (600 * GB_SEC)

/* Members that are pinged at once when this VM becomes synced. */
#define SYNCED_FANOUT 8

/*
 * After a gap of more than this many intervals between two ticks, this process
 * was paused and may have missed acks, so it declares no member suspect or
 * dead.
 */
#define PAUSE_INTERVALS 3

/* Pings that are older say nothing about which members are in reach now. */
#define REACH_WINDOW (4 * GB_SEC)

static bool is_ack_overdue(const struct mem_table *table,
			   const struct mem_member *member, gb_time now)
{
	return member->unacked_since &&
	       now - member->unacked_since >= table->settings.ack_timeout;
}

/*
 * Marks members with an overdue ack as suspect, expired suspects as dead, and
 * removes members that have been dead for DEAD_RETENTION.
 */
static void update_states(struct mem_table *table, gb_time now)
{
	bool paused = now - table->last_tick >
		      PAUSE_INTERVALS * table->settings.probe_interval;

	for (guint i = table->members->len; i-- > 0;) {
		struct mem_member *member = table->members->pdata[i];

		if (paused)
			member->unacked_since = 0;
		if (member->row.state == MEM_LIVE &&
		    is_ack_overdue(table, member, now))
			mem_set_state(table, member, MEM_SUSPECT, now);
		else if (member->row.state == MEM_SUSPECT && !paused &&
			 now - member->state_since >=
				 table->settings.suspicion_timeout)
			mem_set_state(table, member, MEM_DEAD, now);
		else if (member->row.state == MEM_DEAD &&
			 now - member->state_since >= DEAD_RETENTION)
			mem_remove_at(table, i);
	}
}

static void ping(struct mem_table *table, struct gb_str address)
{
	struct mem_message message;
	struct mem_digest digest;

	mem_compute_digest(table, &digest);
	mem_init_message(table, MEM_PING, &digest, &message);
	table->ops->send(table->ctx, address, &message);
}

static void ping_next(struct mem_table *table, gb_time now)
{
	guint len = table->members->len;

	for (guint i = 0; i < len; i++) {
		struct mem_member *member =
			table->members->pdata[table->next_ping++ % len];

		if (member->row.state == MEM_DEAD)
			continue;
		if (!member->unacked_since)
			member->unacked_since = now;
		member->pinged_at = now;
		ping(table, mem_address(&member->row));
		return;
	}
}

void mem_set_synced(struct mem_table *table, bool synced)
{
	guint len = table->members->len;
	guint from = len ? gb_rng_below(table->rng, len) : 0;
	uint32_t pinged = 0;
	bool was_synced = table->synced;

	table->synced = synced;
	if (!synced || was_synced)
		return;
	for (guint i = 0; i < len && pinged < SYNCED_FANOUT; i++) {
		const struct mem_member *member =
			table->members->pdata[(from + i) % len];

		if (member->row.state == MEM_DEAD)
			continue;
		ping(table, mem_address(&member->row));
		pinged++;
	}
}

/*
 * Pings the seeds that are unknown or dead; ping_next() covers the live ones.
 */
static void ping_seeds(struct mem_table *table)
{
	for (guint i = 0; i < table->seeds->len; i++) {
		struct gb_str seed = mem_address(table->seeds->pdata[i]);
		const struct mem_member *member = mem_find(table, seed);

		if (!member || member->row.state == MEM_DEAD)
			ping(table, seed);
	}
}

static void ping_dead(struct mem_table *table)
{
	guint len = table->members->len;
	guint from = len ? gb_rng_below(table->rng, len) : 0;

	for (guint i = 0; i < len; i++) {
		const struct mem_member *member =
			table->members->pdata[(from + i) % len];

		if (member->row.state != MEM_DEAD)
			continue;
		ping(table, mem_address(&member->row));
		return;
	}
}

double mem_reach(const struct mem_table *table, gb_time now)
{
	uint32_t pinged = 0, heard = 0;

	for (guint i = 0; i < table->members->len; i++) {
		const struct mem_member *member = table->members->pdata[i];
		gb_time age = now - member->pinged_at;

		if (!member->pinged_at || age > REACH_WINDOW ||
		    age < table->settings.ack_timeout)
			continue;
		pinged++;
		heard += member->heard_at >= member->pinged_at;
	}
	return pinged ? (double)heard / pinged : 1;
}

void mem_tick(struct mem_table *table, gb_time now)
{
	update_states(table, now);
	table->last_tick = now;
	ping_next(table, now);
	ping_seeds(table);
	if (++table->ticks % TICKS_PER_DEAD_PING == 0)
		ping_dead(table);
}

/*
 * Appends the sender's own row if the tier holds it for suspect or dead, so
 * that it can refute that.
 */
static void append_sender_row(struct mem_message *ack,
			      const struct mem_member *sender)
{
	if (sender && sender->row.state != MEM_LIVE &&
	    ack->rows_len < MEM_ROWS_MAX)
		ack->rows[ack->rows_len++] = sender->row;
}

static void send_acks(struct mem_table *table,
		      const struct mem_message *message)
{
	struct gb_str address = mem_address(&message->rows[0]);
	const struct mem_member *sender = mem_find(table, address);
	uint32_t acks = 1, buckets;
	struct mem_digest own;
	guint from = 0;

	mem_compute_digest(table, &own);
	buckets = mem_differing_buckets(&own, &message->digest);
	if (table->members->len)
		from = gb_rng_below(table->rng, table->members->len);
	if (message->live_count * 2 < mem_live_count(table))
		acks = ACKS_MAX;
	for (uint32_t i = 0; i < acks; i++) {
		struct mem_message out;

		mem_init_message(table, MEM_ACK, &own, &out);
		if (!i)
			append_sender_row(&out, sender);
		if (buckets)
			from = mem_append_rows(table, &out, from, buckets);
		table->ops->send(table->ctx, address, &out);
		if (out.rows_len == 1 ||
		    (uint32_t)(i + 1) * (out.rows_len - 1) >=
			    table->members->len)
			return;
	}
}

void mem_receive(struct mem_table *table, gb_time now,
		 const struct mem_message *message)
{
	struct mem_member *sender;

	if (!message->rows_len)
		return;
	mem_merge(table, now, message);
	table->reported_live_max =
		MAX(table->reported_live_max, message->live_count);
	sender = mem_find(table, mem_address(&message->rows[0]));
	if (sender) {
		sender->unacked_since = 0;
		sender->heard_at = now;
	}
	if (message->kind == MEM_PING)
		send_acks(table, message);
}
