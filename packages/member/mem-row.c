#include "member/mem-internal.h"

/* XDR size of a row without the bytes of its address. */
#define ROW_BYTES 28

static bool is_newer(const struct mem_row *a, const struct mem_row *b)
{
	if (a->incarnation != b->incarnation)
		return a->incarnation > b->incarnation;
	if (a->refutations != b->refutations)
		return a->refutations > b->refutations;
	return a->state > b->state;
}

/*
 * Outdates a row that holds this VM for suspect or dead, or for a later
 * process.
 */
static void refute(struct mem_table *table, const struct mem_row *row)
{
	struct mem_row *own = &table->self;

	if (row->incarnation > own->incarnation) {
		/*
		 * The wall clock was set back between two starts of the
		 * process.
		 */
		own->incarnation = row->incarnation + 1;
		own->refutations = 0;
	} else if (row->incarnation == own->incarnation &&
		   row->state != MEM_LIVE &&
		   row->refutations >= own->refutations) {
		own->refutations = row->refutations + 1;
	}
}

static void merge_row(struct mem_table *table, gb_time now,
		      const struct mem_row *row)
{
	struct gb_str address = mem_address(row);
	struct mem_member *member;

	if (!address.len)
		return;
	if (gb_str_eq(address, mem_address(&table->self))) {
		refute(table, row);
		return;
	}
	member = mem_find(table, address);
	if (!member) {
		/*
		 * A member that was removed is not added again while it is
		 * dead.
		 */
		if (row->state == MEM_DEAD)
			return;
		member = mem_add(table, row);
		member->state_since = now;
		mem_schedule_gossip(table, member);
		return;
	}
	if (!is_newer(row, &member->row))
		return;
	member->row.incarnation = row->incarnation;
	member->row.refutations = row->refutations;
	member->row.dc_hash = row->dc_hash;
	member->row.halvings = row->halvings;
	mem_set_state(table, member, row->state, now);
}

void mem_merge(struct mem_table *table, gb_time now,
	       const struct mem_message *message)
{
	for (uint32_t i = 0; i < message->rows_len; i++)
		merge_row(table, now, &message->rows[i]);
}

static size_t row_size(const struct mem_row *row)
{
	return ROW_BYTES + row->address_len;
}

static bool row_fits(const struct mem_message *message,
		     const struct mem_row *row)
{
	size_t size = row_size(row);

	for (uint32_t i = 0; i < message->rows_len; i++)
		size += row_size(&message->rows[i]);
	return message->rows_len < MEM_ROWS_MAX && size <= MEM_ROWS_BYTES_MAX;
}

static bool has_row(const struct mem_message *message,
		    const struct mem_row *row)
{
	for (uint32_t i = 0; i < message->rows_len; i++)
		if (gb_str_eq(mem_address(&message->rows[i]), mem_address(row)))
			return true;
	return false;
}

/* Returns the member whose gossip has been sent least often. */
static struct mem_member *next_gossip(const struct mem_table *table,
				      const struct mem_message *message)
{
	struct mem_member *found = NULL;

	for (guint i = 0; i < table->members->len; i++) {
		struct mem_member *member = table->members->pdata[i];

		if (member->sends_left &&
		    (!found || member->sends_left > found->sends_left) &&
		    !has_row(message, &member->row))
			found = member;
	}
	return found;
}

void mem_init_message(struct mem_table *table, enum mem_message_kind kind,
		      const struct mem_digest *digest,
		      struct mem_message *message)
{
	struct mem_member *gossip;

	message->kind = kind;
	message->live_count = mem_live_count(table);
	message->digest = *digest;
	message->synced = table->synced;
	message->rows[0] = table->self;
	message->rows_len = 1;
	while ((gossip = next_gossip(table, message)) &&
	       row_fits(message, &gossip->row)) {
		message->rows[message->rows_len++] = gossip->row;
		gossip->sends_left--;
	}
}

guint mem_append_rows(struct mem_table *table, struct mem_message *message,
		      guint from, uint32_t buckets)
{
	guint len = table->members->len;
	guint i;

	for (i = 0; i < len; i++) {
		const struct mem_member *member =
			table->members->pdata[(from + i) % len];

		if (member->row.state == MEM_DEAD ||
		    !(buckets & 1u << mem_bucket(&member->row)) ||
		    has_row(message, &member->row))
			continue;
		if (!row_fits(message, &member->row))
			break;
		message->rows[message->rows_len++] = member->row;
	}
	return len ? (from + i) % len : 0;
}
