#include "shard/shd-internal.h"

static bool vouched(const struct shd_shard *shard,
		    const struct shd_entry *entry);
static bool note_blame(struct shd_shard *shard, const struct shd_call *call);
static bool is_innocent(const struct shd_shard *shard,
			const struct shd_call *call);
static void crash(struct shd_shard *shard, const struct shd_call *call);
static void succeed(struct shd_shard *shard, const struct shd_call *call);
static void wake(struct shd_shard *shard, uint64_t fingerprint);

/*
 * Where a service uses canaries, an entry VM sends a request without the
 * canary mark only after a success of it.
 */
static bool vouched(const struct shd_shard *shard,
		    const struct shd_entry *entry)
{
	return shard->canary && !entry->req.canary;
}

/*
 * Remembers that a request ran on an upstream in the life that ended. Returns
 * false if it is known: several runs of it there were one crash.
 */
static bool note_blame(struct shd_shard *shard, const struct shd_call *call)
{
	const struct shd_blame blame = {
		.fingerprint = call->entry->req.fingerprint,
		.replica = call->replica,
		.life = call->life,
	};

	for (int i = 0; i < SHD_BLAMES; i++) {
		const struct shd_blame *known = &shard->blames[i];

		if (known->replica == blame.replica &&
		    known->life == blame.life &&
		    known->fingerprint == blame.fingerprint)
			return false;
	}
	shard->blames[shard->blames_next++ % SHD_BLAMES] = blame;
	return true;
}

/* Tells whether a crash during the call says nothing about its request. */
static bool is_innocent(const struct shd_shard *shard,
			const struct shd_call *call)
{
	enum sus_state state;

	if (call->trial != SHD_TRIAL_NONE)
		return false;
	state = sus_state(shard->suspects, shard->now,
			  call->entry->req.fingerprint);
	if (state == SUS_UNKNOWN || state == SUS_CANARY)
		return vouched(shard, call->entry);
	return state == SUS_GOOD || state == SUS_QUARANTINED;
}

static void crash(struct shd_shard *shard, const struct shd_call *call)
{
	uint64_t fingerprint = call->entry->req.fingerprint;
	enum sus_state state;
	uint32_t crashes;

	if (call->life == call->replica->crashes)
		call->replica->crashes++;
	if (is_innocent(shard, call))
		return;
	if (!note_blame(shard, call)) {
		if (call->trial != SHD_TRIAL_NONE)
			sus_abandon(shard->suspects, fingerprint);
		wake(shard, fingerprint);
		return;
	}
	state = sus_crash(shard->suspects, shard->now, fingerprint);
	crashes = sus_crashes(shard->suspects, fingerprint);
	wake(shard, fingerprint);
	shd_emit(shard,
		 state == SUS_QUARANTINED ? EV_SUSPECT_QUARANTINED
					  : EV_SUSPECT_CRASH,
		 call->entry->query, call->replica, (int64_t)fingerprint,
		 crashes);
	shard->ops->crashed(shard->ctx, shard, fingerprint, crashes);
}

static void succeed(struct shd_shard *shard, const struct shd_call *call)
{
	uint64_t fingerprint = call->entry->req.fingerprint;
	enum sus_state before =
		sus_state(shard->suspects, shard->now, fingerprint);

	/* A run beside others does not clear a suspect. */
	if (call->trial == SHD_TRIAL_NONE && before != SUS_UNKNOWN)
		return;
	sus_success(shard->suspects, shard->now, fingerprint);
	if (call->trial == SHD_TRIAL_NONE)
		return;
	if (before == SUS_ALONE)
		shd_emit(shard, EV_SUSPECT_CLEARED, call->entry->query,
			 call->replica, (int64_t)fingerprint, 0);
	wake(shard, fingerprint);
}

/* Draws the conclusions about the request from the end of a call. */
void shd_judge(struct shd_shard *shard, const struct shd_call *call,
	       enum shd_status status)
{
	if (status == SHD_OK) {
		succeed(shard, call);
		return;
	}
	/* The reset of a cancelled call may be the cancellation's doing. */
	if (status == SHD_RESET && !call->cancelled) {
		crash(shard, call);
		return;
	}
	if (call->trial == SHD_TRIAL_NONE)
		return;
	sus_abandon(shard->suspects, call->entry->req.fingerprint);
	wake(shard, call->entry->req.fingerprint);
}

/* Puts the entries that waited for a verdict back, in their order. */
static void wake(struct shd_shard *shard, uint64_t fingerprint)
{
	GList *link = shard->parked.tail;

	while (link) {
		struct shd_entry *entry = link->data;

		link = link->prev;
		if (entry->req.fingerprint != fingerprint)
			continue;
		shd_unlink(shard, entry);
		shd_enqueue(entry, shard, entry->class, true);
		shd_arm(shard, entry);
	}
}

/* Reserves the least busy replica for a suspect; it runs there when idle. */
void shd_reserve(struct shd_shard *shard, struct shd_entry *entry)
{
	struct shd_replica *found = NULL;

	/* One at a time, so that the others go on with their work. */
	if (shard->alone)
		return;
	for (guint i = 0; i < shard->replicas->len; i++) {
		struct shd_replica *replica = shard->replicas->pdata[i];

		if (!up_limit(&replica->up, shard->now) ||
		    replica->bit & (entry->avoid | entry->gone))
			continue;
		if (!found || replica->up.in_flight < found->up.in_flight)
			found = replica;
	}
	if (!found)
		return;
	found->up.exclusive = true;
	shard->alone = found;
	shard->alone_entry = entry;
}
