#include "front/fr-organisation.h"

/*
 * Time after the start in which members that started at the same time are
 * discovered.
 */
#define DISCOVERY_TIME (300 * GB_MSEC)

/*
 * Time after its start in which a seed reads from the store, so that the
 * others have a source until the readers are up to date.
 */
#define SEEDS_READ_TIME (5 * GB_SEC)

/* Connections to each VM: one per follower. */
#define SOURCE_CONNS FR_KINDS

/* Connections to the store: one more for the records, one for roll-outs. */
#define STORE_CONNS (SOURCE_CONNS + 2)

/*
 * Sources are a few milliseconds away; a lost packet is retransmitted sooner.
 */
#define CONNECT_TIMEOUT (400 * GB_MSEC)
#define CONNECT_TIMEOUT_PEER (200 * GB_MSEC)

/*
 * Time for which a VM is not used as a source after it did not answer, or
 * answered that it is stale. The membership takes longer than this to declare a
 * VM dead.
 */
#define AVOID_UNREACHABLE (5 * GB_SEC)
#define AVOID_STALE (1500 * GB_MSEC)

/* After a failure of the store, a VM is used instead for this time. */
#define AVOID_STORE (4 * GB_SEC)

/*
 * Connections to each VM for queries that it gathers for this one. A VM takes
 * no more queries than this at a time from all others.
 */
#define QUERY_CONNS 64

/* Random members to try for one that has not failed recently. */
#define PEER_DRAWS_MAX 8

/*
 * While other VMs fail as sources, one attempt in this many goes to the store:
 * in an outage of the store all VMs fail, and each refused call to it is
 * billed. An unsynced VM retries at short intervals and asks VMs that may just
 * be starting as well, so fewer of its attempts go to the store.
 */
#define FAILURES_PER_STORE_ATTEMPT 4
#define FAILURES_PER_STORE_ATTEMPT_UNSYNCED 8

/*
 * The same for a kind that leaves the store to the liveness kind. It does not
 * rely on that alone, since a store may fail for one kind.
 */
#define FAILURES_PER_STORE_ATTEMPT_AWAITING 16

/* A running VM answers sooner, or refuses the connection. */
#define UNRESPONSIVE_AFTER (150 * GB_MSEC)

/*
 * A VM that has just started does not know the members yet. All VMs may start
 * at once, so only the seeds read from the store, and the others from the
 * seeds.
 */
static bool reads_store(const struct fr *fr, gb_time now)
{
	gb_time age = now - fr->started_at;

	if (age < SEEDS_READ_TIME && mem_is_seed(fr->members))
		return true;
	if (age < DISCOVERY_TIME)
		return !fr->settings.seeds.len;
	return mem_is_reader(fr->members) &&
	       mem_knows_members(fr->members, now);
}

/*
 * The control address of a member: its host, with the port of this VM's own
 * control address, which is the same on all VMs.
 */
static struct gb_str peer_address(const struct fr *fr, struct gb_str member,
				  struct gb_buf *out)
{
	struct gb_str host, port;

	if (!gb_str_cut_last(member, ':', &host, &port))
		return GB_STR("");
	gb_buf_add(out, host);
	gb_buf_addc(out, ':');
	if (gb_str_cut_last(fr->settings.control_address, ':', &host, &port))
		gb_buf_add(out, port);
	return gb_buf_str(out);
}

struct fr_peer *fr_get_peer(struct fr *fr, struct gb_str member)
{
	struct gb_buf text = GB_BUF_INIT;
	struct gb_str address = peer_address(fr, member, &text);
	char *key = gb_str_to_c(address);
	struct fr_peer *peer = g_hash_table_lookup(fr->peers, key);
	struct ht_target *target;

	if (peer)
		goto out;
	target = ht_target_new(fr->loop, address, SOURCE_CONNS);
	if (!target)
		goto out;
	target->connect_timeout = CONNECT_TIMEOUT_PEER;
	peer = g_new0(struct fr_peer, 1);
	peer->target = target;
	g_hash_table_insert(fr->peers, g_strdup(key), peer);
out:
	g_free(key);
	gb_buf_free(&text);
	return peer;
}

struct ht_target *fr_query_target(struct fr *fr, struct gb_str member)
{
	struct fr_peer *peer = fr_get_peer(fr, member);
	struct gb_buf text = GB_BUF_INIT;

	if (!peer || peer->query_target)
		return peer ? peer->query_target : NULL;
	peer->query_target = ht_target_new(
		fr->loop, peer_address(fr, member, &text), QUERY_CONNS);
	peer->query_target->connect_timeout = CONNECT_TIMEOUT_PEER;
	peer->query_target->memory = &fr->memory;
	gb_buf_free(&text);
	return peer->query_target;
}

void fr_close_idle_query_targets(struct fr *fr)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fr->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct fr_peer *peer = value;

		if (peer->query_target)
			ht_target_close_expired(peer->query_target, ht_now());
	}
}

static bool is_avoided(const struct fr_peer *peer, gb_time now)
{
	return !peer || peer->avoid_until > now;
}

/*
 * Chooses the first VM that has not failed recently among the readers of that
 * scope and those that take their place. *is_own_turn is set if that is this
 * VM, which then reads the store itself.
 */
static struct fr_peer *choose_candidate(struct fr *fr, enum mem_scope scope,
					gb_time now, bool *is_own_turn)
{
	enum mem_candidate found;
	struct fr_peer *peer;
	struct gb_str member;

	for (uint32_t i = 0; !*is_own_turn; i++) {
		found = mem_reader_candidate(fr->members, scope, i, &member);
		if (found == MEM_NO_MORE)
			return NULL;
		*is_own_turn = found == MEM_SELF;
		peer = *is_own_turn ? NULL : fr_get_peer(fr, member);
		if (!is_avoided(peer, now))
			return peer;
	}
	return NULL;
}

/*
 * Chooses a reader of this data centre, or else of the tier; if possible, one
 * that has not failed recently. If the reader has failed, the VM that answered
 * last (soon after the start) or a standby takes its place. Returns NULL if
 * this VM has to read the store.
 */
static struct fr_peer *choose_peer(const struct fr_follower *follower,
				   gb_time now)
{
	struct fr *fr = follower->fr;
	bool is_own_turn = false;
	struct fr_peer *peer = NULL;
	struct gb_str member;

	if (!fr->settings.control_address.len)
		return NULL;
	if (!mem_knows_members(fr->members, now) &&
	    mem_pick_seed(fr->members, &member))
		return fr_get_peer(fr, member);
	if (mem_pick_reader(fr->members, MEM_SAME_DC, &member))
		peer = fr_get_peer(fr, member);
	/* After a start, the standbys may have started with this VM, too. */
	if (is_avoided(peer, now) && now - fr->started_at < SEEDS_READ_TIME &&
	    !is_avoided(follower->last_peer, now))
		return follower->last_peer;
	if (is_avoided(peer, now) && !mem_all_are_readers(fr->members)) {
		peer = choose_candidate(fr, MEM_SAME_DC, now, &is_own_turn);
		if (!peer)
			peer = choose_candidate(fr, MEM_ALL, now, &is_own_turn);
		if (peer || is_own_turn)
			return peer;
	}
	for (int i = 0; i < PEER_DRAWS_MAX && is_avoided(peer, now); i++) {
		if (!mem_pick_reader(fr->members, MEM_ALL, &member) &&
		    !mem_pick_seed(fr->members, &member))
			return NULL;
		peer = fr_get_peer(fr, member);
	}
	return peer;
}

/*
 * Chooses a VM while all readers have failed recently: the one that answered
 * last, or a seed that may have started together with this VM.
 */
static struct fr_peer *choose_other_peer(const struct fr_follower *follower,
					 gb_time now)
{
	struct fr *fr = follower->fr;
	struct fr_peer *peer = NULL;
	struct gb_str member;

	if (!is_avoided(follower->last_peer, now))
		return follower->last_peer;
	if (now - fr->started_at >= SEEDS_READ_TIME)
		return NULL;
	for (int i = 0; i < PEER_DRAWS_MAX && is_avoided(peer, now); i++) {
		if (!mem_pick_seed(fr->members, &member))
			return NULL;
		peer = fr_get_peer(fr, member);
	}
	return is_avoided(peer, now) ? NULL : peer;
}

/* Tells whether a watch of the store would show that others are silent. */
static bool is_liveness_at_store(const struct fr *fr)
{
	const struct dir_follower *live =
		&fr->followers[fr_liveness_kind(fr)].state;

	return !live->from_peer && live->synced && !live->failures;
}

/*
 * Tells whether a follower without a source should leave the store to the one
 * that shows whether the store can be reached: one kind is enough to find out.
 */
static bool awaits_liveness(const struct fr_follower *follower)
{
	return follower->state.synced &&
	       follower->kind != fr_liveness_kind(follower->fr) &&
	       follower->fr->followers[fr_liveness_kind(follower->fr)]
		       .state.failures;
}

/* One attempt in so many goes to the store while other VMs fail as sources. */
static uint32_t store_attempt_period(const struct fr_follower *follower)
{
	if (!follower->state.synced)
		return FAILURES_PER_STORE_ATTEMPT_UNSYNCED;
	if (awaits_liveness(follower))
		return FAILURES_PER_STORE_ATTEMPT_AWAITING;
	return FAILURES_PER_STORE_ATTEMPT;
}

/* Tells whether a VM that is no reader makes its next attempt at the store. */
static bool tries_store(const struct fr_follower *follower)
{
	uint32_t period = store_attempt_period(follower);
	uint32_t failures = follower->state.failures;

	if (!follower->state.synced && follower->peer_unresponsive)
		return true;
	if (failures && is_liveness_at_store(follower->fr))
		return true;
	return failures % period == period - 1;
}

static bool prefers_store(const struct fr_follower *follower, gb_time now)
{
	uint32_t failures = follower->state.failures;

	if (!reads_store(follower->fr, now))
		return tries_store(follower);
	if (!failures)
		return now >= follower->avoid_store_until;
	return failures % 2 == 0;
}

struct ht_target *fr_store_target(struct fr *fr)
{
	if (fr->store_target)
		return fr->store_target;
	fr->store_target = ht_target_new(fr->loop, fr->settings.store_address,
					 STORE_CONNS);
	if (fr->store_target)
		fr->store_target->connect_timeout = CONNECT_TIMEOUT;
	return fr->store_target;
}

/* Time for which the store may hold a watch of this VM. */
static gb_time direct_watch_wait(const struct fr_follower *follower)
{
	if (follower->kind != fr_liveness_kind(follower->fr) &&
	    is_liveness_at_store(follower->fr))
		return FR_WATCH_WAIT_QUIET;
	return mem_all_are_readers(follower->fr->members)
		       ? follower->fr->timing.watch_wait
		       : follower->fr->timing.relayed_wait;
}

struct ht_target *fr_choose_source(struct fr_follower *follower, gb_time now)
{
	struct fr *fr = follower->fr;
	struct fr_peer *peer = NULL;
	gb_time wait = fr->timing.relayed_wait;

	if (follower->hinted_peer)
		peer = follower->hinted_peer;
	else if (!prefers_store(follower, now))
		peer = choose_peer(follower, now);
	/*
	 * If all readers fail, a VM that has not tried the store yet tries it,
	 * unless another VM may have the objects.
	 */
	if (peer && peer->avoid_until > now && follower->state.synced &&
	    !awaits_liveness(follower) &&
	    follower->state.failures < FAILURES_PER_STORE_ATTEMPT)
		peer = choose_other_peer(follower, now);
	follower->hinted_peer = NULL;
	follower->peer = peer;
	if (!peer)
		wait = direct_watch_wait(follower);
	wait = fr_proof_wait(follower, wait);
	dir_begin_step(&follower->state, now, wait, peer);
	return peer ? peer->target : fr_store_target(fr);
}

/*
 * Time for which a VM that failed as a source is not asked. One that refuses
 * while this VM still lacks objects may have started together with it, and be
 * up to date in a moment.
 */
static gb_time avoid_time(const struct fr_follower *follower, bool answered)
{
	if (!follower->state.synced && !follower->peer_unresponsive)
		return 0;
	return answered ? AVOID_STALE : AVOID_UNREACHABLE;
}

void fr_record_source_result(struct fr_follower *follower, bool answered,
			     bool is_usable)
{
	gb_time now = ht_now();

	follower->peer_unresponsive =
		follower->state.from_peer && !answered &&
		now - follower->requested_at >= UNRESPONSIVE_AFTER;
	if (follower->state.from_peer && is_usable)
		follower->last_peer = follower->peer;
	if (!follower->state.from_peer)
		follower->avoid_store_until = is_usable ? 0 : now + AVOID_STORE;
	else if (!is_usable)
		follower->peer->avoid_until =
			now + avoid_time(follower, answered);
}
