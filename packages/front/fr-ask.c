#include "front/fr-organisation.h"

/*
 * Without an answer of the bucket VM for this long, this VM decides alone. It
 * is a small part of any target latency, and many round trips.
 */
#define ANSWER_TIME_MS 20

/* A request that waits for the answer. */
struct fr_ask {
	struct fr *fr;
	uint64_t number;
	struct ht_exchange *exchange;
	struct rt_table *table; /* held */
	struct rt_route *route;
	const struct og_org *org; /* of the table */
	struct fr_request_info info; /* its strings are in the exchange */
	uv_timer_t timer;
};

void fr_ask_init(struct fr *fr)
{
	fr->asks = g_hash_table_new(g_int64_hash, g_int64_equal);
}

static void on_closed(uv_handle_t *handle)
{
	struct fr_ask *ask = handle->data;

	rt_table_unref(ask->table);
	g_free(ask);
}

static void end_ask(struct fr_ask *ask)
{
	g_hash_table_remove(ask->fr->asks, &ask->number);
	uv_close((uv_handle_t *)&ask->timer, on_closed);
}

static void refuse(struct fr_ask *ask, gb_time wait)
{
	const struct fr_org_verdict verdict = { .status = 429,
						.retry_after = wait,
						.reason = GB_STR("over_limit"),
						.org = ask->org };

	fr_org_log_refusal(ask->fr, &ask->info, &verdict);
	fr_query_refuse(ask->fr, ask->exchange, &ask->info, verdict.status,
			wait);
	end_ask(ask);
}

static void forward(struct fr_ask *ask)
{
	fr_query_start(ask->fr, ask->exchange, ask->table, ask->route, ask->org,
		       &ask->info);
	end_ask(ask);
}

static void decide_alone(struct fr_ask *ask)
{
	gb_time wait = 0;

	if (og_admit_unasked(ask->fr->limiter, ask->org, fr_org_vms(ask->fr),
			     ht_now(), &wait))
		forward(ask);
	else
		refuse(ask, wait);
}

static void on_timer(uv_timer_t *timer)
{
	decide_alone(timer->data);
}

static void take_decision(struct fr_ask *ask, bool granted, gb_time wait)
{
	og_asked(ask->fr->limiter, ask->org, granted, ht_now());
	if (granted)
		forward(ask);
	else
		refuse(ask, wait);
}

/* This VM keeps the bucket itself. */
static void ask_self(struct fr_ask *ask, const struct og_use *use)
{
	struct fr *fr = ask->fr;
	gb_time wait = 0;
	enum og_verdict verdict =
		og_bucket_ask(fr->buckets, ask->org, fr_org_vms(fr),
			      fr->quota_vm, use, ht_now(), &wait);

	if (verdict == OG_ASK)
		decide_alone(ask);
	else
		take_decision(ask, verdict == OG_ADMITTED, wait);
}

static void send_question(struct fr_ask *ask, const struct og_use *use)
{
	const struct msg msg = {
		.kind = MSG_QUOTA_ASK,
		.quota_report = { .vm = ask->fr->quota_vm,
				  .org = use->org,
				  .since = use->since,
				  .admitted = use->admitted,
				  .recent = use->recent,
				  .number = ask->number },
	};
	struct sockaddr_storage to;
	struct gb_str member;

	if (mem_pick(ask->fr->members, MEM_ALL, use->org, 1, &member) &&
	    !ht_parse_address(member, &to))
		fr_member_send_message(ask->fr, (struct sockaddr *)&to, &msg);
}

void fr_ask_start(struct fr *fr, struct ht_exchange *exchange,
		  struct rt_route *route, const struct og_org *org,
		  const struct fr_request_info *info)
{
	struct fr_ask *ask = g_new0(struct fr_ask, 1);
	struct og_use use;

	ask->fr = fr;
	ask->number = ++fr->asks_made;
	ask->exchange = exchange;
	ask->table = rt_table_ref(fr->config.table);
	ask->route = route;
	ask->org = org;
	ask->info = *info;
	g_hash_table_insert(fr->asks, &ask->number, ask);
	uv_timer_init(fr->loop, &ask->timer);
	ask->timer.data = ask;
	og_totals(fr->limiter, org, ht_now(), &use);
	if (!mem_rank(fr->members, MEM_ALL, org->id)) {
		ask_self(ask, &use);
		return;
	}
	send_question(ask, &use);
	uv_timer_start(&ask->timer, on_timer, ANSWER_TIME_MS, 0);
}

bool fr_ask_cancel(struct fr *fr, struct ht_exchange *exchange)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fr->asks);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct fr_ask *ask = value;

		if (ask->exchange != exchange)
			continue;
		end_ask(ask);
		return true;
	}
	return false;
}

void fr_ask_abort(struct fr *fr)
{
	GList *asks = g_hash_table_get_values(fr->asks);

	for (GList *at = asks; at; at = at->next)
		refuse(at->data, 0);
	g_list_free(asks);
}

void fr_ask_receive(struct fr *fr, const struct sockaddr *from,
		    const struct msg_quota_report *m)
{
	const struct og_org *org = fr_org_find(fr, m->org);
	const struct og_use use = fr_org_use_of(m);
	struct msg answer = { .kind = MSG_QUOTA_GRANT,
			      .quota_grant = { .org = m->org,
					       .number = m->number } };
	enum og_verdict verdict;

	met_add(&fr->metrics, MET_QUOTA_MESSAGES, 1);
	if (!org)
		return;
	verdict = og_bucket_ask(fr->buckets, org, fr_org_vms(fr), m->vm, &use,
				ht_now(), &answer.quota_grant.wait);
	if (verdict == OG_ASK)
		return;
	answer.quota_grant.granted = verdict == OG_ADMITTED;
	fr_member_send_message(fr, from, &answer);
}

void fr_ask_granted(struct fr *fr, const struct msg_quota_grant *m)
{
	struct fr_ask *ask = g_hash_table_lookup(fr->asks, &m->number);

	met_add(&fr->metrics, MET_QUOTA_MESSAGES, 1);
	if (ask && ask->org->id == m->org)
		take_decision(ask, m->granted, m->wait);
}
