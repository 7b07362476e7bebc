#include "front/fr-internal.h"

/*
 * Up to this number of VMs each follows the store. In a larger tier a few do,
 * chosen by rendezvous hashing, and the others follow one of those, so that
 * the calls to the store do not grow with the tier.
 */
#define DIRECT_VMS 6
#define READERS 3
#define READERS_KEY 0x726561646572ull

/* Connections to the store, and to a VM: one for each follower. */
#define SOURCE_CONNS FR_KINDS

/* Sources are a few milliseconds away; a lost packet is sent anew sooner. */
#define CONNECT_TIMEOUT (400 * GB_MSEC)

/*
 * How long a source may hold a request while nothing changes. A connection
 * that has fallen silent is noticed when the wait should have ended, and VMs
 * that follow this one must hear of it within the bound of a configuration.
 */
#define WAIT_ALONE (5 * GB_SEC)
#define WAIT_RELAYED (1500 * GB_MSEC)

static bool is_reader(const struct fr *fr, gb_time now)
{
	return mem_live(fr->members, now) <= DIRECT_VMS ||
	       !mem_settled(fr->members, now) ||
	       mem_rank(fr->members, now, READERS_KEY) < READERS;
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

static struct ht_target *peer_target(struct fr *fr, struct gb_str member)
{
	struct gb_buf text = GB_BUF_INIT;
	struct gb_str address = control_address(fr, member, &text);
	char *key = gb_str_to_c(address);
	struct ht_target *target = g_hash_table_lookup(fr->peers, key);

	if (!target) {
		target = ht_target_new(fr->loop, address, SOURCE_CONNS);
		if (target) {
			target->connect_timeout = CONNECT_TIMEOUT;
			g_hash_table_insert(fr->peers, g_strdup(key), target);
		}
	}
	g_free(key);
	gb_buf_free(&text);
	return target;
}

/* A VM that follows the store, or any VM where those cannot be told apart. */
static struct ht_target *choose_peer(struct fr *fr, gb_time now)
{
	uint32_t ranks =
		mem_live(fr->members, now) > DIRECT_VMS ? READERS : UINT32_MAX;
	struct gb_str member;

	if (!fr->settings.control.len ||
	    !mem_pick(fr->members, now, READERS_KEY, ranks, &member))
		return NULL;
	return peer_target(fr, member);
}

/* After each failure the other kind of source is tried. */
static bool prefers_store(const struct fr_follow *follow, gb_time now)
{
	uint32_t failures = follow->follower.failures;

	if (!is_reader(follow->fr, now))
		return failures % 2 == 1;
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
	struct ht_target *peer = NULL;
	gb_time wait = WAIT_RELAYED;

	if (!prefers_store(follow, now))
		peer = choose_peer(fr, now);
	follow->at_store = !peer;
	if (follow->at_store && mem_live(fr->members, now) <= DIRECT_VMS)
		wait = WAIT_ALONE;
	dir_begin(&follow->follower, wait);
	return peer ? peer : store_target(fr);
}
