#include "front/fr-rollout.h"

/* VMs that judge: those with the first ranks for the service. */
#define JUDGES 2

void fr_rollout_send_report(struct fr *fr, const struct fr_rollout *entry,
			    uint32_t calls_current)
{
	struct msg_rollout_row rows[RO_ROWS_MAX];
	struct msg msg = { .kind = MSG_ROLLOUT_REPORT,
			   .rollout_report = { .rows = rows } };
	uint64_t key = fr_rollout_key(entry);
	struct ro_report report;
	struct gb_str member;
	struct sockaddr_storage to;

	ro_write_report(entry->rollout, fr->rollouts.vm, calls_current,
			ht_now(), &report);
	msg.rollout_report.order = report.order;
	msg.rollout_report.vm = report.vm;
	msg.rollout_report.age = MAX(report.age, 0);
	msg.rollout_report.step = report.step;
	msg.rollout_report.calls_current = report.calls_current;
	msg.rollout_report.rows_len = report.rows_len;
	for (uint32_t i = 0; i < report.rows_len; i++)
		rows[i] = (struct msg_rollout_row){
			.route = report.rows[i].route,
			.upstream = report.rows[i].upstream,
			.is_target = report.rows[i].is_target,
			.answers = report.rows[i].answers,
			.bad = report.rows[i].bad,
		};
	for (uint32_t ranks = 1; ranks <= JUDGES; ranks++)
		if (mem_pick(fr->members, MEM_ALL, key, ranks, &member) &&
		    !ht_parse_address(member, &to))
			fr_member_send_message(fr, (struct sockaddr *)&to,
					       &msg);
}

static struct msg step_message(const struct fr_rollout *entry)
{
	return (struct msg){
		.kind = MSG_ROLLOUT_STEP,
		.rollout_step = {
			.order = ro_order(entry->rollout)->id,
			.age = MAX(ro_age(entry->rollout, ht_now()), 0),
			.step = ro_step(entry->rollout),
		},
	};
}

void fr_rollout_spread_step(struct fr *fr, const struct fr_rollout *entry)
{
	const struct msg msg = step_message(entry);

	if (ro_step(entry->rollout) == RO_ROLLED_BACK)
		fr_member_announce(fr, &msg, ANNOUNCE_FANOUT);
}

static struct fr_rollout *find_order(struct fr *fr, uint64_t order)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fr->rollouts.by_service);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct fr_rollout *entry = value;

		if (ro_order(entry->rollout)->id == order)
			return entry;
	}
	return NULL;
}

void fr_rollout_report(struct fr *fr, const struct sockaddr *from,
		       const struct msg_rollout_report *m)
{
	struct fr_rollout *entry = find_order(fr, m->order);
	struct ro_report report = { .order = m->order,
				    .vm = m->vm,
				    .age = m->age,
				    .step = m->step,
				    .calls_current = m->calls_current,
				    .rows_len = MIN(m->rows_len, RO_ROWS_MAX) };
	struct msg reply;

	met_add(&fr->metrics, MET_ROLLOUT_REPORTS, 1);
	if (!entry)
		return;
	for (uint32_t i = 0; i < report.rows_len; i++)
		report.rows[i] = (struct ro_row){
			.route = m->rows[i].route,
			.upstream = m->rows[i].upstream,
			.is_target = m->rows[i].is_target,
			.answers = m->rows[i].answers,
			.bad = m->rows[i].bad,
		};
	ro_receive_report(entry->rollout, &report, ht_now());
	reply = step_message(entry);
	fr_member_send_message(fr, from, &reply);
}

void fr_rollout_step(struct fr *fr, const struct msg_rollout_step *m)
{
	struct fr_rollout *entry = find_order(fr, m->order);

	if (!entry ||
	    !ro_receive_step(entry->rollout, m->step, m->age, ht_now()))
		return;
	fr_rollout_apply_step(fr, entry);
	fr_rollout_spread_step(fr, entry);
}
