#include "front/fr-organisation.h"

/* Retry-After while keys may be stale: another VM may have a newer answer. */
#define RETRY_AFTER_STALE (250 * GB_MSEC)

/* A member that died lately may be cut off, and use its part of the limits. */
#define CUT_OFF_COUNTED_TIME (120 * GB_SEC)

/* Thousandths of a request, in messages. */
#define LEVEL_UNIT 1000.0

/* Ticks between two removals of what is not used any more. */
#define TICKS_PER_PURGE 40

void fr_org_init(struct fr *fr)
{
	fr->quota_vm = gb_rng_next(&fr->rng);
	fr->limiter = og_limiter_new(&fr->settings.quota);
	fr->buckets = og_buckets_new(&fr->settings.quota);
	fr_ask_init(fr);
}

uint32_t fr_org_vms(const struct fr *fr)
{
	return mem_count_lately_live(fr->members, ht_now(),
				     CUT_OFF_COUNTED_TIME);
}

const struct og_org *fr_org_find(const struct fr *fr, uint64_t id)
{
	const struct rt_table *table = fr->config.table;

	if (!table || !table->organisations)
		return NULL;
	return og_table_by_id(table->organisations, id);
}

static struct msg level_message(const struct og_level *level)
{
	return (struct msg){
		.kind = MSG_QUOTA_LEVEL,
		.quota_level = { .org = level->org,
				 .is_answer = level->is_answer,
				 .admitted = level->admitted,
				 .level = level->tokens * LEVEL_UNIT },
	};
}

/* A message on its way to all members. */
struct broadcast {
	struct fr *fr;
	const struct msg *msg;
};

static void send_to_member(void *ctx, struct gb_str address)
{
	const struct broadcast *broadcast = ctx;
	struct sockaddr_storage to;

	if (!ht_parse_address(address, &to))
		fr_member_send_message(broadcast->fr, (struct sockaddr *)&to,
				       broadcast->msg);
}

/* Tells all VMs, this one included, that a level is low. */
static void tell_all(void *ctx, const struct og_level *level)
{
	struct fr *fr = ctx;
	const struct msg msg = level_message(level);
	struct broadcast broadcast = { .fr = fr, .msg = &msg };

	mem_each_live(fr->members, send_to_member, &broadcast);
	og_receive_level(fr->limiter, level, ht_now());
}

static void tell_if_low(struct fr *fr, const struct og_org *org)
{
	struct og_level level;

	if (og_low_level(fr->buckets, org, ht_now(), &level))
		tell_all(fr, &level);
}

/* This VM keeps the bucket itself. */
static void report_to_self(struct fr *fr, const struct og_use *use)
{
	const struct og_org *org = fr_org_find(fr, use->org);
	struct og_level level;

	if (!org)
		return;
	if (og_bucket_report(fr->buckets, org, fr_org_vms(fr), fr->quota_vm,
			     use, ht_now(), &level))
		og_receive_level(fr->limiter, &level, ht_now());
	tell_if_low(fr, org);
}

static void send_report(void *ctx, const struct og_use *use)
{
	struct fr *fr = ctx;
	const struct msg msg = {
		.kind = MSG_QUOTA_REPORT,
		.quota_report = { .vm = fr->quota_vm,
				  .org = use->org,
				  .since = use->since,
				  .admitted = use->admitted,
				  .recent = use->recent },
	};
	struct sockaddr_storage to;
	struct gb_str member;

	if (!mem_rank(fr->members, MEM_ALL, use->org))
		report_to_self(fr, use);
	else if (mem_pick(fr->members, MEM_ALL, use->org, 1, &member) &&
		 !ht_parse_address(member, &to))
		fr_member_send_message(fr, (struct sockaddr *)&to, &msg);
}

static void report_if_due(struct fr *fr, const struct og_org *org)
{
	struct og_use use;

	if (og_report(fr->limiter, org, ht_now(), &use))
		send_report(fr, &use);
}

struct og_use fr_org_use_of(const struct msg_quota_report *m)
{
	return (struct og_use){ .org = m->org,
				.since = m->since,
				.admitted = m->admitted,
				.recent = m->recent };
}

void fr_org_report(struct fr *fr, const struct sockaddr *from,
		   const struct msg_quota_report *m)
{
	const struct og_org *org = fr_org_find(fr, m->org);
	const struct og_use use = fr_org_use_of(m);
	struct og_level level;
	struct msg answer;

	met_add(&fr->metrics, MET_QUOTA_MESSAGES, 1);
	if (!org)
		return;
	if (og_bucket_report(fr->buckets, org, fr_org_vms(fr), m->vm, &use,
			     ht_now(), &level)) {
		answer = level_message(&level);
		fr_member_send_message(fr, from, &answer);
	}
	tell_if_low(fr, org);
}

void fr_org_level(struct fr *fr, const struct msg_quota_level *m)
{
	const struct og_org *org = fr_org_find(fr, m->org);
	const struct og_level level = { .org = m->org,
					.is_answer = m->is_answer,
					.admitted = m->admitted,
					.tokens = m->level / LEVEL_UNIT };

	met_add(&fr->metrics, MET_QUOTA_MESSAGES, 1);
	if (!org)
		return;
	og_receive_level(fr->limiter, &level, ht_now());
	report_if_due(fr, org);
}

static struct fr_org_verdict refuse(int status, gb_time retry_after,
				    struct gb_str reason,
				    const struct og_org *org)
{
	return (struct fr_org_verdict){ .status = status,
					.retry_after = retry_after,
					.reason = reason,
					.org = org };
}

static bool needs_key(const struct fr *fr, const struct rt_route *route)
{
	return fr->config.table->organisations && !route->is_public;
}

struct fr_org_verdict fr_org_check_key(const struct fr *fr,
				       const struct rt_route *route,
				       const struct fr_request_info *info)
{
	const struct og_org *org;

	if (!needs_key(fr, route))
		return (struct fr_org_verdict){ 0 };
	org = og_table_find(fr->config.table->organisations, info->key);
	/* A VM that may lack a newer version denies nothing for good. */
	if (!fr_keys_are_fresh(fr))
		return refuse(503, RETRY_AFTER_STALE, GB_STR("stale_keys"),
			      org);
	if (!org)
		return refuse(401, 0,
			      info->key.len ? GB_STR("unknown_key")
					    : GB_STR("no_key"),
			      NULL);
	return (struct fr_org_verdict){ .org = org };
}

/* Takes a request from the limit of its organisation. */
static struct fr_org_verdict take_from_limit(struct fr *fr,
					     const struct og_org *org)
{
	gb_time wait = 0;

	switch (og_admit(fr->limiter, org, fr_org_vms(fr), ht_now(), &wait)) {
	case OG_ASK:
		return (struct fr_org_verdict){ .asks = true, .org = org };
	case OG_REFUSED:
		report_if_due(fr, org);
		return refuse(429, wait, GB_STR("over_limit"), org);
	case OG_ADMITTED:
		break;
	}
	report_if_due(fr, org);
	return (struct fr_org_verdict){ .org = org };
}

void fr_org_log_refusal(struct fr *fr, const struct fr_request_info *info,
			const struct fr_org_verdict *verdict)
{
	struct gb_buf detail = GB_BUF_INIT;
	struct ev_event event = { .code = EV_ORG_REFUSED,
				  .request = info->id,
				  .num1 = verdict->status,
				  .num2 = verdict->retry_after };

	gb_buf_addf(&detail, "reason=%.*s", (int)verdict->reason.len,
		    verdict->reason.ptr);
	if (verdict->org) {
		gb_buf_add(&detail, GB_STR(" organisation="));
		ev_quote(verdict->org->name, &detail);
	}
	event.detail = gb_buf_str(&detail);
	fr_log_event(fr, &event);
	gb_buf_free(&detail);
	met_add(&fr->metrics,
		verdict->status == 429 ? MET_LIMIT_REFUSED : MET_KEYS_REFUSED,
		1);
}

struct fr_org_verdict fr_org_admit(struct fr *fr, const struct rt_route *route,
				   const struct fr_request_info *info)
{
	struct fr_org_verdict verdict = fr_org_check_key(fr, route, info);

	if (!verdict.status && verdict.org)
		verdict = take_from_limit(fr, verdict.org);
	if (verdict.status)
		fr_org_log_refusal(fr, info, &verdict);
	return verdict;
}

void fr_org_refund(struct fr *fr, const struct og_org *org)
{
	if (org)
		og_refund(fr->limiter, org, ht_now());
}

void fr_org_tick(struct fr *fr)
{
	gb_time now = ht_now();
	double live = mem_live_count(fr->members);

	fr_proof_tick(fr);
	og_buckets_set_reach(fr->buckets, mem_reach(fr->members, now) * live /
						  fr_org_vms(fr));
	og_each_report(fr->limiter, now, send_report, fr);
	og_each_low_level(fr->buckets, now, tell_all, fr);
	if (fr->ticks % TICKS_PER_PURGE)
		return;
	og_limiter_purge(fr->limiter, now);
	og_buckets_purge(fr->buckets, now);
}

void fr_org_log_table(struct fr *fr, const struct rt_table *table)
{
	const struct og_table *orgs = table->organisations;
	const struct ev_event event = {
		.code = EV_ORGS_BAD,
		.num1 = orgs ? og_table_bad_keys(orgs) : 0,
		.num2 = orgs ? og_table_bad_limits(orgs) : 0,
	};

	if (event.num1 || event.num2)
		fr_log_event(fr, &event);
}
