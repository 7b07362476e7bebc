#include "front/fr-internal.h"

#include <string.h>

/* Ticks between two announcements. */
#define TICKS_PER_ANNOUNCEMENT 8

/* Random members that get an announcement; each passes it on. */
#define ANNOUNCEMENT_FANOUT 2

/* Shares of a core are counted in thousandths. */
#define SHARE_UNIT 1000.0

void fr_helper_init(struct fr *fr)
{
	const struct hp_settings settings = {
		.address = fr->member_address,
		.dc_hash = gb_hash(fr->settings.dc, 0),
		.share = fr->settings.processor_share * SHARE_UNIT,
	};

	g_queue_init(&fr->delegations);
	fr->helpers = hp_new(&settings);
}

static void announce(struct fr *fr)
{
	struct hp_announcement said[HP_ANNOUNCED_MAX];
	struct msg_helper rows[HP_ANNOUNCED_MAX];
	struct msg msg = { .kind = MSG_HELPERS, .helpers.helpers = rows };
	uint32_t len = hp_announce(fr->helpers,
				   fr->phase == FR_RUNNING && fr_is_ready(fr),
				   fr->queries_of_others, ht_now(), said);

	for (uint32_t i = 0; i < len; i++)
		rows[i] = (struct msg_helper){
			.address = { said[i].address, said[i].address_len },
			.dc_hash = said[i].dc_hash,
			.share = said[i].share,
			.queries = said[i].queries,
			.age = said[i].age,
		};
	msg.helpers.helpers_len = len;
	if (len)
		fr_member_announce(fr, &msg, ANNOUNCEMENT_FANOUT);
}

void fr_helper_tick(struct fr *fr)
{
	hp_purge(fr->helpers, ht_now());
	fr_close_idle_query_targets(fr);
	if (fr->ticks % TICKS_PER_ANNOUNCEMENT == 0)
		announce(fr);
}

void fr_helper_receive(struct fr *fr, const struct msg_helpers *m)
{
	for (uint32_t i = 0; i < m->helpers_len; i++) {
		const struct msg_helper *row = &m->helpers[i];
		struct hp_announcement said = { .dc_hash = row->dc_hash,
						.share = row->share,
						.queries = row->queries,
						.age = row->age };

		if (row->address.len > HP_ADDRESS_MAX)
			continue;
		memcpy(said.address, row->address.ptr, row->address.len);
		said.address_len = row->address.len;
		hp_receive(fr->helpers, ht_now(), &said);
	}
}
