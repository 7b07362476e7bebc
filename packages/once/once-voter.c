#include "once/once.h"

#include <glib.h>

/* The vote on one key. */
struct entry {
	struct gb_str key;
	int64_t issued_ms;
	struct msg_order_id order; /* attempt that holds the vote */
	bool done; /* has its outcome */
	struct gb_str outcome;
	GSequenceIter *sorted_pos;
};

struct once_voter {
	gb_time retention;
	gb_time skew;
	bool started;
	int64_t min_issued_ms; /* votes on older keys may be lost */
	GHashTable *entries; /* of struct entry, by key */
	GSequence *by_issued; /* the same entries by issue time */
	size_t outcome_bytes;
	GHashTable *released; /* set of struct msg_order_id */
	GQueue released_order; /* elements of released, oldest first */
};

static guint key_hash(gconstpointer data);
static gboolean key_equal(gconstpointer a, gconstpointer b);
static guint order_hash(gconstpointer data);
static gboolean order_equal(gconstpointer a, gconstpointer b);
static gint entry_cmp(gconstpointer a, gconstpointer b, gpointer data);
static void entry_free(gpointer data);
static void raise_min_issued(struct once_voter *voter, int64_t min_issued_ms);
static void entry_add(struct once_voter *voter, const struct msg_vote *vote);
static void entry_remove(struct once_voter *voter, struct entry *entry);
static void add_released(struct once_voter *voter,
			 const struct msg_order_id *order);
static enum msg_vote_status answer_known_key(const struct entry *entry,
					     struct msg_vote_reply *reply);
static enum msg_vote_status vote_on_new_key(struct once_voter *voter,
					    uint64_t epoch,
					    const struct msg_vote *vote);

static guint key_hash(gconstpointer data)
{
	return gb_hash(*(const struct gb_str *)data, 0);
}

static gboolean key_equal(gconstpointer a, gconstpointer b)
{
	return gb_str_eq(*(const struct gb_str *)a, *(const struct gb_str *)b);
}

static guint order_hash(gconstpointer data)
{
	const struct msg_order_id *order = data;

	return gb_hash_u64(gb_hash_u64(order->vm, order->incarnation),
			   order->number);
}

static gboolean order_equal(gconstpointer a, gconstpointer b)
{
	return msg_order_id_eq(a, b);
}

static gint entry_cmp(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct entry *left = a;
	const struct entry *right = b;

	(void)data;
	return (left->issued_ms > right->issued_ms) -
	       (left->issued_ms < right->issued_ms);
}

static void entry_free(gpointer data)
{
	struct entry *entry = data;

	gb_str_free(&entry->key);
	gb_str_free(&entry->outcome);
	g_free(entry);
}

struct once_voter *once_voter_new(gb_time retention, gb_time skew)
{
	struct once_voter *voter = g_new0(struct once_voter, 1);

	voter->retention = retention;
	voter->skew = skew;
	voter->entries =
		g_hash_table_new_full(key_hash, key_equal, NULL, entry_free);
	voter->by_issued = g_sequence_new(NULL);
	voter->released =
		g_hash_table_new_full(order_hash, order_equal, g_free, NULL);
	g_queue_init(&voter->released_order);
	return voter;
}

void once_voter_free(struct once_voter *voter)
{
	if (!voter)
		return;
	g_sequence_free(voter->by_issued);
	g_hash_table_destroy(voter->entries);
	g_queue_clear(&voter->released_order);
	g_hash_table_destroy(voter->released);
	g_free(voter);
}

/* Sets the earliest issue time to vote on; it never goes back. */
static void raise_min_issued(struct once_voter *voter, int64_t min_issued_ms)
{
	if (!voter->started || min_issued_ms > voter->min_issued_ms)
		voter->min_issued_ms = min_issued_ms;
	voter->started = true;
}

void once_voter_start(struct once_voter *voter, int64_t wall_ms)
{
	/*
	 * A coordinator accepts keys issued up to one skew ahead of its clock,
	 * which may be one skew ahead of this clock.
	 */
	raise_min_issued(voter, wall_ms + 2 * (voter->skew / GB_MSEC));
}

static void entry_add(struct once_voter *voter, const struct msg_vote *vote)
{
	struct entry *entry = g_new0(struct entry, 1);

	entry->key = gb_str_dup(vote->key);
	entry->issued_ms = vote->issued_ms;
	entry->order = vote->order;
	entry->sorted_pos = g_sequence_insert_sorted(voter->by_issued, entry,
						     entry_cmp, NULL);
	g_hash_table_insert(voter->entries, &entry->key, entry);
}

static void entry_remove(struct once_voter *voter, struct entry *entry)
{
	voter->outcome_bytes -= entry->outcome.len;
	g_sequence_remove(entry->sorted_pos);
	g_hash_table_remove(voter->entries, &entry->key);
}

/* Records a released attempt; drops the oldest one above the limit. */
static void add_released(struct once_voter *voter,
			 const struct msg_order_id *order)
{
	struct msg_order_id *copy;

	if (g_hash_table_contains(voter->released, order))
		return;
	copy = g_memdup2(order, sizeof(*order));
	g_hash_table_add(voter->released, copy);
	g_queue_push_tail(&voter->released_order, copy);
	if (voter->released_order.length > ONCE_RELEASED_MAX)
		g_hash_table_remove(voter->released,
				    g_queue_pop_head(&voter->released_order));
}

/* Answers another attempt on a key that has this voter's vote already. */
static enum msg_vote_status answer_known_key(const struct entry *entry,
					     struct msg_vote_reply *reply)
{
	reply->holder = entry->order;
	if (!entry->done)
		return MSG_VOTE_TAKEN;
	reply->outcome = entry->outcome;
	return MSG_VOTE_DONE;
}

/* Votes on a key without an entry. */
static enum msg_vote_status vote_on_new_key(struct once_voter *voter,
					    uint64_t epoch,
					    const struct msg_vote *vote)
{
	if (vote->epoch != epoch)
		return MSG_VOTE_WRONG_EPOCH;
	if (!voter->started || vote->issued_ms < voter->min_issued_ms)
		return MSG_VOTE_ABSTAINED;
	if (g_hash_table_contains(voter->released, &vote->order))
		return MSG_VOTE_ABSTAINED;
	if (g_hash_table_size(voter->entries) >= ONCE_KEYS_MAX)
		return MSG_VOTE_ABSTAINED;
	entry_add(voter, vote);
	return MSG_VOTE_GRANTED;
}

void once_voter_vote(struct once_voter *voter, int64_t wall_ms, uint64_t epoch,
		     const struct msg_vote *vote, struct msg_vote_reply *reply)
{
	struct entry *entry;

	once_voter_expire(voter, wall_ms);
	*reply = (struct msg_vote_reply){
		.key = vote->key,
		.order = vote->order,
	};
	entry = g_hash_table_lookup(voter->entries, &vote->key);
	if (!entry)
		reply->status = vote_on_new_key(voter, epoch, vote);
	else if (msg_order_id_eq(&entry->order, &vote->order))
		reply->status = MSG_VOTE_GRANTED;
	else
		reply->status = answer_known_key(entry, reply);
}

void once_voter_release(struct once_voter *voter,
			const struct msg_release *release)
{
	struct entry *entry =
		g_hash_table_lookup(voter->entries, &release->key);
	bool is_holder =
		entry && msg_order_id_eq(&entry->order, &release->order);

	if (is_holder && entry->done)
		return;
	if (is_holder)
		entry_remove(voter, entry);
	/*
	 * The vote request of the attempt may still arrive, late or as a
	 * duplicate. It must not be granted then.
	 */
	add_released(voter, &release->order);
}

void once_voter_record_outcome(struct once_voter *voter,
			       const struct msg_outcome *outcome)
{
	struct entry *entry =
		g_hash_table_lookup(voter->entries, &outcome->key);

	if (!entry || entry->done ||
	    !msg_order_id_eq(&entry->order, &outcome->order))
		return;
	/* A key without an outcome stays taken, which is safe. */
	if (outcome->outcome.len >
	    ONCE_OUTCOME_BYTES_MAX - voter->outcome_bytes)
		return;
	entry->outcome = gb_str_dup(outcome->outcome);
	entry->done = true;
	voter->outcome_bytes += entry->outcome.len;
}

void once_voter_expire(struct once_voter *voter, int64_t wall_ms)
{
	int64_t expired_ms =
		wall_ms - (voter->retention + voter->skew) / GB_MSEC;

	if (!voter->started || expired_ms <= voter->min_issued_ms)
		return;
	/* Raised first, so that no removed key is ever voted on again. */
	raise_min_issued(voter, expired_ms);
	while (!g_sequence_is_empty(voter->by_issued)) {
		struct entry *entry = g_sequence_get(
			g_sequence_get_begin_iter(voter->by_issued));

		if (entry->issued_ms >= voter->min_issued_ms)
			return;
		entry_remove(voter, entry);
	}
}

size_t once_voter_key_count(const struct once_voter *voter)
{
	return g_hash_table_size(voter->entries);
}
