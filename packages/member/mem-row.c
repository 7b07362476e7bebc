#include "member/mem-internal.h"

/* Bytes of a row besides its address, in XDR. */
#define ROW_BYTES 28

static bool is_newer(const struct mem_row *a, const struct mem_row *b)
{
	if (a->incarnation != b->incarnation)
		return a->incarnation > b->incarnation;
	if (a->beat != b->beat)
		return a->beat > b->beat;
	return a->state > b->state;
}

/* Answers what others believe of this VM, such as that it is gone. */
static void refute(struct mem_table *table, const struct mem_row *row)
{
	struct mem_row *own = &table->own;

	if (row->incarnation > own->incarnation) {
		/* The clock was set back between two starts of the process. */
		own->incarnation = row->incarnation + 1;
		own->beat = 0;
	} else if (row->incarnation == own->incarnation &&
		   row->state != MEM_LIVE && row->beat >= own->beat) {
		own->beat = row->beat + 1;
	}
}

static void take_row(struct mem_table *table, gb_time now,
		     const struct mem_row *row)
{
	struct gb_str address = mem_address(row);
	struct mem_member *member;

	if (!address.len)
		return;
	if (gb_str_eq(address, mem_address(&table->own))) {
		refute(table, row);
		return;
	}
	member = mem_find(table, address);
	if (!member) {
		/* Those that were forgotten do not come back as gone. */
		if (row->state == MEM_GONE)
			return;
		member = mem_add(table, row);
		member->since = now;
		mem_tell(table, member);
		return;
	}
	if (!is_newer(row, &member->row))
		return;
	member->row.incarnation = row->incarnation;
	member->row.beat = row->beat;
	member->row.dc = row->dc;
	mem_set_state(table, member, row->state, now);
}

void mem_merge(struct mem_table *table, gb_time now,
	       const struct mem_message *message)
{
	for (uint32_t i = 0; i < message->len; i++)
		take_row(table, now, &message->rows[i]);
}

static size_t size_of(const struct mem_row *row)
{
	return ROW_BYTES + row->address_len;
}

static bool has_room(const struct mem_message *message,
		     const struct mem_row *row)
{
	size_t size = size_of(row);

	for (uint32_t i = 0; i < message->len; i++)
		size += size_of(&message->rows[i]);
	return message->len < MEM_ROWS_MAX && size <= MEM_ROWS_BYTES_MAX;
}

static bool is_told(const struct mem_message *message,
		    const struct mem_row *row)
{
	for (uint32_t i = 0; i < message->len; i++)
		if (gb_str_eq(mem_address(&message->rows[i]), mem_address(row)))
			return true;
	return false;
}

/* The member whose news was told least. */
static struct mem_member *next_news(const struct mem_table *table,
				    const struct mem_message *message)
{
	struct mem_member *found = NULL;

	for (guint i = 0; i < table->members->len; i++) {
		struct mem_member *member = table->members->pdata[i];

		if (member->tells && (!found || member->tells > found->tells) &&
		    !is_told(message, &member->row))
			found = member;
	}
	return found;
}

void mem_begin(struct mem_table *table, enum mem_kind kind,
	       const struct mem_digest *digest, struct mem_message *message)
{
	struct mem_member *news;

	message->kind = kind;
	message->live = mem_live(table);
	message->digest = *digest;
	message->synced = table->synced;
	message->rows[0] = table->own;
	message->len = 1;
	while ((news = next_news(table, message)) &&
	       has_room(message, &news->row)) {
		message->rows[message->len++] = news->row;
		news->tells--;
	}
}

guint mem_fill(struct mem_table *table, struct mem_message *message, guint from,
	       uint32_t buckets)
{
	guint len = table->members->len;
	guint i;

	for (i = 0; i < len; i++) {
		const struct mem_member *member =
			table->members->pdata[(from + i) % len];

		if (member->row.state == MEM_GONE ||
		    !(buckets & 1u << mem_bucket(&member->row)) ||
		    is_told(message, &member->row))
			continue;
		if (!has_room(message, &member->row))
			break;
		message->rows[message->len++] = member->row;
	}
	return len ? (from + i) % len : 0;
}
