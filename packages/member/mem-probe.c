#include "member/mem-internal.h"

/* Answers to a VM that knows less than half of the members. */
#define ANSWERS_MAX 8

/* Members that are gone are pinged at this many beats, one at a time. */
#define BEATS_GONE 4

/* Members that are gone are forgotten later, so that a split tier heals. */
#define GONE_FOR (600 * GB_SEC)

/* Members that hear at once that this VM has become synced. */
#define TOLD_AT_ONCE 8

/* A VM that was paused knows nothing of the answers that it missed. */
#define PAUSE_INTERVALS 3

static bool is_unanswered(const struct mem_table *table,
			  const struct mem_member *member, gb_time now)
{
	return member->pinged_at &&
	       now - member->pinged_at >= table->settings.answer;
}

/* Suspects members that did not answer, and gives up those suspected. */
static void judge(struct mem_table *table, gb_time now)
{
	bool paused = now - table->beaten_at >
		      PAUSE_INTERVALS * table->settings.interval;

	for (guint i = table->members->len; i-- > 0;) {
		struct mem_member *member = table->members->pdata[i];

		if (paused)
			member->pinged_at = 0;
		if (member->row.state == MEM_LIVE &&
		    is_unanswered(table, member, now))
			mem_set_state(table, member, MEM_SUSPECT, now);
		else if (member->row.state == MEM_SUSPECT && !paused &&
			 now - member->since >= table->settings.suspicion)
			mem_set_state(table, member, MEM_GONE, now);
		else if (member->row.state == MEM_GONE &&
			 now - member->since >= GONE_FOR)
			mem_remove_at(table, i);
	}
}

static void ping(struct mem_table *table, struct gb_str address)
{
	struct mem_message message;
	struct mem_digest digest;

	mem_digest(table, &digest);
	mem_begin(table, MEM_PING, &digest, &message);
	table->ops->send(table->ctx, address, &message);
}

static void ping_next(struct mem_table *table, gb_time now)
{
	guint len = table->members->len;

	for (guint i = 0; i < len; i++) {
		struct mem_member *member =
			table->members->pdata[table->next++ % len];

		if (member->row.state == MEM_GONE)
			continue;
		if (!member->pinged_at)
			member->pinged_at = now;
		ping(table, mem_address(&member->row));
		return;
	}
}

void mem_set_synced(struct mem_table *table, bool synced)
{
	guint len = table->members->len;
	guint from = len ? gb_rng_below(table->rng, len) : 0;
	uint32_t told = 0;
	bool was = table->synced;

	table->synced = synced;
	if (!synced || was)
		return;
	for (guint i = 0; i < len && told < TOLD_AT_ONCE; i++) {
		const struct mem_member *member =
			table->members->pdata[(from + i) % len];

		if (member->row.state == MEM_GONE)
			continue;
		ping(table, mem_address(&member->row));
		told++;
	}
}

/* A seed that lives is a member like the others. */
static void ping_seeds(struct mem_table *table)
{
	for (guint i = 0; i < table->seeds->len; i++) {
		struct gb_str seed = mem_address(table->seeds->pdata[i]);
		const struct mem_member *member = mem_find(table, seed);

		if (!member || member->row.state == MEM_GONE)
			ping(table, seed);
	}
}

static void ping_gone(struct mem_table *table)
{
	guint len = table->members->len;
	guint from = len ? gb_rng_below(table->rng, len) : 0;

	for (guint i = 0; i < len; i++) {
		const struct mem_member *member =
			table->members->pdata[(from + i) % len];

		if (member->row.state != MEM_GONE)
			continue;
		ping(table, mem_address(&member->row));
		return;
	}
}

void mem_beat(struct mem_table *table, gb_time now)
{
	judge(table, now);
	table->beaten_at = now;
	ping_next(table, now);
	ping_seeds(table);
	if (++table->beats % BEATS_GONE == 0)
		ping_gone(table);
}

/* Tells the sender what others believe of it, if that is newer. */
static void add_sender(struct mem_message *answer,
		       const struct mem_member *sender)
{
	if (sender && sender->row.state != MEM_LIVE &&
	    answer->len < MEM_ROWS_MAX)
		answer->rows[answer->len++] = sender->row;
}

static void answer(struct mem_table *table, const struct mem_message *message)
{
	struct gb_str address = mem_address(&message->rows[0]);
	const struct mem_member *sender = mem_find(table, address);
	uint32_t answers = 1, buckets;
	struct mem_digest own;
	guint from = 0;

	mem_digest(table, &own);
	buckets = mem_differing(&own, &message->digest);
	if (table->members->len)
		from = gb_rng_below(table->rng, table->members->len);
	if (message->live * 2 < mem_live(table))
		answers = ANSWERS_MAX;
	for (uint32_t i = 0; i < answers; i++) {
		struct mem_message out;

		mem_begin(table, MEM_ANSWER, &own, &out);
		if (!i)
			add_sender(&out, sender);
		if (buckets)
			from = mem_fill(table, &out, from, buckets);
		table->ops->send(table->ctx, address, &out);
		if (out.len == 1 ||
		    (uint32_t)(i + 1) * (out.len - 1) >= table->members->len)
			return;
	}
}

void mem_take(struct mem_table *table, gb_time now,
	      const struct mem_message *message)
{
	struct mem_member *sender;

	if (!message->len)
		return;
	mem_merge(table, now, message);
	table->heard_live = MAX(table->heard_live, message->live);
	sender = mem_find(table, mem_address(&message->rows[0]));
	if (sender)
		sender->pinged_at = 0;
	if (message->kind == MEM_PING)
		answer(table, message);
}
