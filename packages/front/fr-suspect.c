#include "front/fr-internal.h"

#include "wire/wire.h"

/* Fingerprints kept. */
#define SUSPECTS_MAX 4096

/*
 * Consecutive lost calls that quarantine a request, and how long the first
 * quarantine lasts.
 */
#define CRASHES_MAX 3
#define QUARANTINE_INITIAL (10 * GB_SEC)

/* Suspects of one datagram, small enough not to be fragmented. */
#define SUSPECTS_PER_DATAGRAM 60

/* Datagrams that answer a VM, at most. */
#define DATAGRAMS_PER_ANSWER 8

/*
 * A VM asks one other VM at a time for its suspects: often after its start,
 * when it knows none, and now and then later, since announcements are lost
 * while it is cut off or paused.
 */
#define ASK_INTERVAL_AT_START (200 * GB_MSEC)
#define ASK_INTERVAL (2 * GB_SEC)
#define START_TIME (2 * GB_SEC)

void fr_suspect_init(struct fr *fr)
{
	fr->engine.suspects =
		sus_new(SUSPECTS_MAX, CRASHES_MAX, QUARANTINE_INITIAL);
}

uint64_t fr_request_fingerprint(const struct ht_request *request,
				struct gb_str host)
{
	uint64_t host_and_path = gb_hash(request->path, gb_hash(host, 0));

	return gb_hash(gb_buf_str(&request->body), host_and_path);
}

static void announce(struct fr *fr, uint64_t fingerprint, uint32_t crashes)
{
	const struct msg msg = { .kind = MSG_QUARANTINE,
				 .quarantine = { .fingerprint = fingerprint,
						 .crashes = crashes } };

	fr_member_announce(fr, &msg, ANNOUNCE_FANOUT);
}

void fr_suspect_report(void *ctx, uint64_t fingerprint, uint32_t crashes)
{
	announce(ctx, fingerprint, crashes);
	fr_keep_crashes(ctx, fingerprint);
}

/*
 * Sends the end of a run to the VM that adds up the lost runs of this request
 * at all VMs, unless it is this one. A request that may run only once is lost
 * once at each VM that gets it, and no VM alone would see two in a row.
 */
static void tell_run_end(struct fr *fr, const struct msg_run_end *run_end)
{
	const struct msg msg = { .kind = MSG_RUN_END, .run_end = *run_end };
	struct gb_buf bytes = GB_BUF_INIT;
	struct gb_str member;

	if (!mem_rank(fr->members, MEM_ALL, run_end->fingerprint) ||
	    !mem_pick(fr->members, MEM_ALL, run_end->fingerprint, 1, &member))
		return;
	if (!wire_encode(&msg, &bytes))
		fr_member_send(fr, member, gb_buf_str(&bytes));
	gb_buf_free(&bytes);
}

void fr_suspect_tell_answer(void *ctx, uint64_t fingerprint, uint32_t crashes)
{
	const struct msg_run_end run_end = { .fingerprint = fingerprint,
					     .answered = true };

	tell_run_end(ctx, &run_end);
	if (crashes >= CRASHES_MAX)
		fr_keep_cleared(ctx, fingerprint);
}

static void tell_loss(void *ctx, const struct sus_loss *loss)
{
	const struct msg_run_end run_end = { .fingerprint = loss->fingerprint,
					     .sent_age = loss->sent_age,
					     .end_age = loss->lost_age };

	/* All VMs are told of further crashes at once. */
	if (loss->crashes < FW_CRASHES_REPORTED_MIN)
		tell_run_end(ctx, &run_end);
}

/* Logs crashes that another VM has told of. */
static void log_crashes(struct fr *fr, uint64_t fingerprint, uint32_t crashes)
{
	const struct ev_event event = {
		.code = crashes >= CRASHES_MAX ? EV_SUSPECT_QUARANTINED
					       : EV_SUSPECT_CRASH,
		.num1 = fingerprint,
		.num2 = crashes,
		.detail = GB_STR("source=vm"),
	};

	fr_log_event(fr, &event);
}

/* Adds up the runs of a request that were lost at different VMs. */
static void learn_run_end(struct fr *fr, const struct msg_run_end *m)
{
	struct sus_table *suspects = fr->engine.suspects;
	gb_time now = ht_now();
	uint32_t crashes;

	if (m->answered) {
		crashes = sus_clear(suspects, now, m->fingerprint);
		if (crashes >= CRASHES_MAX)
			fr_keep_cleared(fr, m->fingerprint);
		return;
	}
	if (!sus_run_lost(suspects, now - m->end_age, m->fingerprint,
			  now - m->sent_age))
		return;
	crashes = sus_crashes(suspects, m->fingerprint);
	log_crashes(fr, m->fingerprint, crashes);
	if (crashes >= FW_CRASHES_REPORTED_MIN)
		fr_suspect_report(fr, m->fingerprint, crashes);
}

static void learn_crashes(struct fr *fr, const struct msg_quarantine *m)
{
	const struct sus_record record = { .fingerprint = m->fingerprint,
					   .crashes = m->crashes };

	if (!sus_merge(fr->engine.suspects, ht_now(), &record))
		return;
	fr_keep_told(fr, &record);
	log_crashes(fr, m->fingerprint, m->crashes);
	announce(fr, m->fingerprint, m->crashes);
}

/* Messages with the suspects of this VM, on their way to another one. */
struct answer {
	struct fr *fr;
	const struct sockaddr *to;
	struct msg_suspect suspects[SUSPECTS_PER_DATAGRAM];
	uint32_t suspects_len;
	uint32_t datagrams;
};

static void send_answer(struct answer *answer)
{
	const struct msg msg = { .kind = MSG_SUSPECTS,
				 .suspects = {
					 .suspects = answer->suspects,
					 .suspects_len = answer->suspects_len,
				 } };

	fr_member_send_message(answer->fr, answer->to, &msg);
	answer->suspects_len = 0;
	answer->datagrams++;
}

static void add_to_answer(void *ctx, const struct sus_record *record)
{
	struct answer *answer = ctx;

	if (record->crashes < FW_CRASHES_REPORTED_MIN ||
	    answer->datagrams == DATAGRAMS_PER_ANSWER)
		return;
	answer->suspects[answer->suspects_len++] =
		(struct msg_suspect){ .fingerprint = record->fingerprint,
				      .crashes = record->crashes,
				      .age = record->age };
	if (answer->suspects_len == SUSPECTS_PER_DATAGRAM)
		send_answer(answer);
}

static void answer_ask(struct fr *fr, const struct sockaddr *to)
{
	struct answer answer = { .fr = fr, .to = to };

	sus_each_crashed(fr->engine.suspects, ht_now(), add_to_answer, &answer);
	if (answer.suspects_len)
		send_answer(&answer);
}

static void learn_suspects(struct fr *fr, const struct msg_suspects *m)
{
	struct ev_event event = { .code = EV_SUSPECTS_LEARNED };
	gb_time now = ht_now();

	for (uint32_t i = 0; i < m->suspects_len; i++) {
		const struct sus_record record = {
			.fingerprint = m->suspects[i].fingerprint,
			.crashes = m->suspects[i].crashes,
			.age = m->suspects[i].age,
		};

		if (!sus_merge(fr->engine.suspects, now, &record))
			continue;
		event.num1++;
		fr_keep_told(fr, &record);
	}
	event.num2 = now - fr->started_at;
	if (event.num1)
		fr_log_event(fr, &event);
}

void fr_suspect_receive(struct fr *fr, const struct sockaddr *from,
			const struct msg *msg)
{
	if (msg->kind == MSG_QUARANTINE)
		learn_crashes(fr, &msg->quarantine);
	else if (msg->kind == MSG_SUSPECTS_ASK)
		answer_ask(fr, from);
	else if (msg->kind == MSG_SUSPECTS)
		learn_suspects(fr, &msg->suspects);
	else if (msg->kind == MSG_RUN_END)
		learn_run_end(fr, &msg->run_end);
}

static void ask_for_suspects(struct fr *fr, gb_time now)
{
	const struct msg msg = { .kind = MSG_SUSPECTS_ASK };
	gb_time interval = now - fr->started_at < START_TIME
				   ? ASK_INTERVAL_AT_START
				   : ASK_INTERVAL;
	struct sockaddr_storage to;
	struct gb_str member;

	if (now - fr->suspects_asked_at < interval)
		return;
	fr->suspects_asked_at = now;
	if (!mem_pick(fr->members, MEM_ALL, 0, 0, &member) &&
	    !mem_pick_seed(fr->members, &member))
		return;
	if (!ht_parse_address(member, &to))
		fr_member_send_message(fr, (struct sockaddr *)&to, &msg);
}

void fr_suspect_tick(struct fr *fr)
{
	gb_time now = ht_now();

	sus_each_new_loss(fr->engine.suspects, now, tell_loss, fr);
	ask_for_suspects(fr, now);
}
