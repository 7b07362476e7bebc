#include "quorum/quo.h"

#include <string.h>

static bool is_live(const struct quo_members *members,
		    const struct quo_member *member, gb_time now);

void quo_members_init(struct quo_members *members, gb_time suspect_after)
{
	memset(members, 0, sizeof(*members));
	members->suspect_after = suspect_after;
}

void quo_members_set_roster(struct quo_members *members, const struct cfg *cfg)
{
	struct quo_members next = { .suspect_after = members->suspect_after };

	for (guint i = 0; i < cfg->vms->len && i < CFG_VMS_MAX; i++) {
		const struct cfg_vm *vm = cfg_vm(cfg, i);
		struct quo_member *old = quo_members_find(members, vm->id);
		struct quo_member *member = &next.member[next.len++];

		if (old)
			*member = *old;
		member->vm = vm->id;
		member->dc_excluded =
			vm->dc < cfg->dcs->len && cfg_dc(cfg, vm->dc)->excluded;
	}
	*members = next;
}

struct quo_member *quo_members_find(struct quo_members *members, uint32_t vm)
{
	for (uint32_t i = 0; i < members->len; i++)
		if (members->member[i].vm == vm)
			return &members->member[i];
	return NULL;
}

/*
 * An incarnation is read from the wall clock. If a VM is replaced by one whose
 * clock is behind, the new process has a lower incarnation. It is accepted once
 * nothing was heard of the old process for the suspicion time.
 */
bool quo_members_is_outdated(const struct quo_members *members,
			     const struct quo_member *member, gb_time now,
			     uint64_t incarnation)
{
	return incarnation < member->incarnation &&
	       is_live(members, member, now);
}

void quo_members_record_message(struct quo_members *members, gb_time now,
				uint32_t vm, uint64_t incarnation,
				uint64_t epoch, uint64_t config_version)
{
	struct quo_member *member = quo_members_find(members, vm);

	if (!member ||
	    quo_members_is_outdated(members, member, now, incarnation))
		return;
	if (incarnation != member->incarnation)
		*member = (struct quo_member){ .vm = vm,
					       .incarnation = incarnation,
					       .dc_excluded =
						       member->dc_excluded };
	if (!member->last_heard || epoch > member->epoch) {
		member->epoch = epoch;
		member->epoch_adopted_at = now;
	}
	if (config_version > member->config_version)
		member->config_version = config_version;
	member->last_heard = now;
}

/* Tells whether the member was heard within the suspicion time. */
static bool is_live(const struct quo_members *members,
		    const struct quo_member *member, gb_time now)
{
	return member->last_heard &&
	       now - member->last_heard < members->suspect_after;
}

uint64_t quo_members_live(const struct quo_members *members, gb_time now)
{
	uint64_t live = 0;

	for (uint32_t i = 0; i < members->len; i++)
		if (is_live(members, &members->member[i], now))
			live |= 1ULL << i;
	return live;
}

uint64_t quo_members_candidates(const struct quo_members *members, gb_time now)
{
	uint64_t candidates = 0;

	for (uint32_t i = 0; i < members->len; i++) {
		const struct quo_member *member = &members->member[i];

		if (is_live(members, member, now) && member->eligible &&
		    !member->leaving && !member->dc_excluded)
			candidates |= 1ULL << i;
	}
	return candidates;
}

/*
 * Consecutive rosters differ by one VM. Any majority of an epoch's granters
 * therefore contains at least n - m + 1 of the n granters of the previous
 * epoch, whose majority is m, and leaves too few of them for a majority.
 * Counting the granters of the new epoch is enough; the previous roster need
 * not be known.
 */
bool quo_epoch_settled(const struct quo_members *members, const struct cfg *cfg,
		       gb_time now, gb_time lease)
{
	uint32_t granters = cfg_granter_count(cfg);
	uint32_t adopted = 0;

	for (uint32_t i = 0; i < members->len; i++) {
		const struct quo_member *member = &members->member[i];
		int index = cfg_find_vm(cfg, member->vm);

		if (index < 0 || (uint32_t)index >= granters ||
		    !member->last_heard)
			continue;
		adopted += member->epoch >= cfg->epoch &&
			   now - member->epoch_adopted_at >= lease;
	}
	return granters && adopted >= cfg_majority(cfg);
}

int quo_choose_owner(const struct cfg *cfg, uint64_t candidates, uint32_t unit)
{
	uint64_t highest = 0;
	int owner = -1;

	/* VMs are ordered by id, so the lowest id wins a tie. */
	for (guint i = 0; i < cfg->vms->len && i < CFG_VMS_MAX; i++) {
		uint64_t score;

		if (!(candidates >> i & 1))
			continue;
		score = gb_hash_u64(cfg_vm(cfg, i)->id, unit);
		if (owner >= 0 && score <= highest)
			continue;
		highest = score;
		owner = i;
	}
	return owner;
}
