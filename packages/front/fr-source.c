#include "front/fr-internal.h"

/* After the start, until others that started as well are known. */
#define LOOK_AROUND (300 * GB_MSEC)

/* Connections to the store, and to a VM: one for each follower. */
#define SOURCE_CONNS FR_KINDS

/* Sources are a few milliseconds away; a lost packet is sent anew sooner. */
#define CONNECT_TIMEOUT (400 * GB_MSEC)
#define CONNECT_TIMEOUT_PEER (200 * GB_MSEC)

/*
 * How long a source may hold a request while nothing changes. A connection
 * that has fallen silent is noticed when the wait should have ended, and VMs
 * that follow this one must hear of it within the bound of a configuration.
 */
#define WAIT_ALONE (5 * GB_SEC)
#define WAIT_RELAYED (1500 * GB_MSEC)

/*
 * Time for which a VM is not asked after it did not answer, or answered that
 * it is not up to date. Members notice a dead VM later than this.
 */
#define AVOID_UNREACHABLE (5 * GB_SEC)
#define AVOID_BEHIND (1500 * GB_MSEC)

/* Time after a failure of the store during which a VM is asked instead. */
#define AVOID_STORE (4 * GB_SEC)

/* Members drawn in search of one that did not fail lately. */
#define DRAWS 8

/*
 * Where other VMs fail, one in so many tries goes to the store: in an outage
 * of the store itself all of them fail, and each refused call is billed. A VM
 * that starts asks other VMs that may be starting as well, at short pauses.
 */
#define STORE_EACH 4
#define STORE_EACH_UNSYNCED 8

/* A VM that runs answers sooner, or refuses the connection. */
#define SILENT_AFTER (150 * GB_MSEC)

/*
 * A VM that starts does not know the others yet; all of them may start at
 * once, so just the seeds ask the store, and the others the seeds.
 */
static bool is_reader(const struct fr *fr, gb_time now)
{
	if (now - fr->started < LOOK_AROUND)
		return mem_is_seed(fr->members) || !fr->settings.seeds.len;
	return mem_is_reader(fr->members);
}

/* The control address of a VM has the same port on all of them. */
static struct gb_str control_address(const struct fr *fr, struct gb_str member,
				     struct gb_buf *out)
{
	struct gb_str host, port;

	if (!gb_str_cut_last(member, ':', &host, &port))
		return GB_STR("");
	gb_buf_add(out, host);
	gb_buf_addc(out, ':');
	if (gb_str_cut_last(fr->settings.control, ':', &host, &port))
		gb_buf_add(out, port);
	return gb_buf_str(out);
}

struct fr_peer *fr_find_peer(struct fr *fr, struct gb_str member)
{
	struct gb_buf text = GB_BUF_INIT;
	struct gb_str address = control_address(fr, member, &text);
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

static bool is_avoided(const struct fr_peer *peer, gb_time now)
{
	return !peer || peer->avoid_until > now;
}

/*
 * A reader of this data centre, or else another one; if there is one, one that
 * did not fail lately.
 */
static struct fr_peer *choose_peer(struct fr *fr, gb_time now)
{
	struct fr_peer *peer = NULL;
	struct gb_str member;

	if (!fr->settings.control.len)
		return NULL;
	if (mem_pick_reader(fr->members, MEM_SAME_DC, &member))
		peer = fr_find_peer(fr, member);
	for (int i = 0; i < DRAWS && is_avoided(peer, now); i++) {
		if (!mem_pick_reader(fr->members, MEM_ALL, &member) &&
		    !mem_pick_seed(fr->members, &member))
			return NULL;
		peer = fr_find_peer(fr, member);
	}
	return peer;
}

static bool prefers_store(const struct fr_follow *follow, gb_time now)
{
	uint32_t failures = follow->follower.failures;

	if (!is_reader(follow->fr, now)) {
		uint32_t each = follow->follower.synced ? STORE_EACH
							: STORE_EACH_UNSYNCED;

		if (!follow->follower.synced && follow->silent)
			return true;
		return failures % each == each - 1;
	}
	if (!failures)
		return now >= follow->avoid_store_until;
	return failures % 2 == 0;
}

static struct ht_target *store_target(struct fr *fr)
{
	if (fr->store)
		return fr->store;
	fr->store = ht_target_new(fr->loop, fr->settings.store, SOURCE_CONNS);
	if (fr->store)
		fr->store->connect_timeout = CONNECT_TIMEOUT;
	return fr->store;
}

struct ht_target *fr_choose_source(struct fr_follow *follow, gb_time now)
{
	struct fr *fr = follow->fr;
	struct fr_peer *peer = NULL;
	gb_time wait = WAIT_RELAYED;

	if (follow->hint)
		peer = follow->hint;
	else if (!prefers_store(follow, now))
		peer = choose_peer(fr, now);
	/* With all readers away a VM that has not tried the store yet does. */
	if (peer && peer->avoid_until > now && follow->follower.synced &&
	    follow->follower.failures < STORE_EACH)
		peer = NULL;
	follow->hint = NULL;
	follow->peer = peer;
	follow->at_store = !peer;
	if (follow->at_store && mem_all_read(fr->members))
		wait = WAIT_ALONE;
	dir_begin(&follow->follower, wait);
	return peer ? peer->target : store_target(fr);
}

void fr_note_source(struct fr_follow *follow, bool answered, bool good)
{
	gb_time now = ht_now();

	follow->silent = !follow->at_store && !answered &&
			 now - follow->asked_at >= SILENT_AFTER;
	if (follow->at_store)
		follow->avoid_store_until = good ? 0 : now + AVOID_STORE;
	else if (!good)
		follow->peer->avoid_until =
			now + (answered ? AVOID_BEHIND : AVOID_UNREACHABLE);
}
