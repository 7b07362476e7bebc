#include "front/fr-organisation.h"

/* A VM that waits for changes of one kind. */
struct fr_long_poll {
	struct fr_follower *follower;
	struct ht_exchange *exchange;
	int64_t era; /* in which it began */
	int64_t revision;
	gb_time expires_at;
	GList link; /* in follower->long_polls */
};

struct page {
	const struct fr_platform *platform;
	bool is_watch;
	struct gb_buf bytes;
	size_t objects_len;
};

static void add_object(void *ctx, const struct mir_object *object)
{
	struct page *page = ctx;

	page->platform->add_object(page->is_watch, object, &page->bytes);
	page->objects_len++;
}

static void reply_json(const struct fr_follower *follower,
		       struct ht_exchange *exchange, int status,
		       struct gb_str body)
{
	struct gb_buf fields = GB_BUF_INIT;
	struct ht_reply answer = { .status = status, .body = body };

	gb_buf_add(&fields, GB_STR("Content-Type: application/json\r\n"));
	if (follower->state.era)
		follower->fr->platform->write_era(follower->state.era, &fields);
	answer.fields = gb_buf_str(&fields);
	ht_reply(exchange, &answer);
	gb_buf_free(&fields);
}

/* The age that a page tells, or -1 where none is needed. */
static gb_time page_age(const struct fr_follower *follower)
{
	const struct fr *fr = follower->fr;

	if (follower->kind == FR_UPSTREAMS)
		return dir_age(&follower->state, ht_now());
	return follower->kind == FR_ROUTES && fr->settings.revoke_time
		       ? fr_proof_age(fr)
		       : -1;
}

static void reply_page(struct fr_follower *follower,
		       struct ht_exchange *exchange, struct page *page)
{
	page->platform->end_page(page->is_watch, mir_revision(follower->mirror),
				 page_age(follower), &page->bytes);
	reply_json(follower, exchange, 200, gb_buf_str(&page->bytes));
	gb_buf_free(&page->bytes);
}

/*
 * Only objects read directly from the store are served as fresh, and only while
 * the store can be reached.
 */
static bool is_fresh(const struct fr_follower *follower, gb_time now)
{
	const struct fr *fr = follower->fr;

	return dir_is_confirmed(&follower->state, now) &&
	       dir_is_confirmed(&fr->followers[fr_liveness_kind(fr)].state,
				now);
}

static void serve_list(struct fr_follower *follower,
		       struct ht_exchange *exchange)
{
	struct page page = { .platform = follower->fr->platform };

	mir_visit_objects(follower->mirror, add_object, &page);
	reply_page(follower, exchange, &page);
}

/*
 * Replies with the changes after a revision; returns false without a reply if
 * there are none yet.
 */
static bool serve_changes(struct fr_follower *follower,
			  struct ht_exchange *exchange, int64_t revision,
			  bool reply_if_empty)
{
	struct page page = { .platform = follower->fr->platform,
			     .is_watch = true };

	if (!mir_visit_changes(follower->mirror, revision, add_object, &page)) {
		reply_json(follower, exchange, 410, GB_STR("{}"));
		return true;
	}
	if (!page.objects_len && !reply_if_empty)
		return false;
	/* A VM that is ahead of this one keeps its own revision. */
	reply_page(follower, exchange, &page);
	return true;
}

static void wait_for_changes(struct fr_follower *follower,
			     struct ht_exchange *exchange,
			     const struct fr_store_query *query)
{
	struct fr_long_poll *poll = g_new0(struct fr_long_poll, 1);

	poll->follower = follower;
	poll->exchange = exchange;
	poll->era = follower->state.era;
	poll->revision = query->after_revision;
	poll->expires_at = ht_now() + query->max_wait;
	poll->link.data = poll;
	exchange->data = poll;
	g_queue_push_tail_link(&follower->long_polls, &poll->link);
}

static void free_poll(struct fr_long_poll *poll)
{
	g_queue_unlink(&poll->follower->long_polls, &poll->link);
	g_free(poll);
}

/* Objects of an earlier era are of no use to a VM that knows the later one. */
static bool may_serve_stale(const struct fr_follower *follower,
			    const struct fr_store_query *query)
{
	return query->allow_stale && follower->state.synced &&
	       !follower->state.restored;
}

void fr_mirror_serve(struct fr *fr, struct ht_exchange *exchange,
		     const struct fr_store_query *query)
{
	struct fr_follower *follower = &fr->followers[query->kind];
	bool fresh = is_fresh(follower, ht_now());

	if (query->kind >= (enum fr_object_kind)fr->kinds)
		reply_json(follower, exchange, 404, GB_STR("{}"));
	else if (!fresh && !may_serve_stale(follower, query))
		reply_json(follower, exchange, 503, GB_STR("{}"));
	else if (!query->is_watch)
		serve_list(follower, exchange);
	else if (!serve_changes(follower, exchange, query->after_revision,
				!query->max_wait))
		wait_for_changes(follower, exchange, query);
}

void fr_mirror_on_disconnect(struct ht_exchange *exchange)
{
	if (exchange->data)
		free_poll(exchange->data);
}

/* Answers a VM that waits; returns false if it is to wait on. */
static bool answer_poll(struct fr_follower *follower,
			const struct fr_long_poll *poll, gb_time now)
{
	bool fresh = is_fresh(follower, now);
	bool in_past_era = poll->era != follower->state.era;

	/* It lists all objects again, which this VM is reading just now. */
	if (in_past_era && !fresh && now < poll->expires_at)
		return false;
	poll->exchange->data = NULL;
	if (!fresh || in_past_era) {
		reply_json(follower, poll->exchange, fresh ? 410 : 503,
			   GB_STR("{}"));
		return true;
	}
	if (serve_changes(follower, poll->exchange, poll->revision,
			  now >= poll->expires_at))
		return true;
	poll->exchange->data = (void *)poll;
	return false;
}

/*
 * Answers waiting VMs: with changes, on expiry, or with 503 once this VM is no
 * longer fresh.
 */
static void answer_polls(struct fr_follower *follower, gb_time now)
{
	GList *next;

	for (GList *at = follower->long_polls.head; at; at = next) {
		struct fr_long_poll *poll = at->data;

		next = at->next;
		if (answer_poll(follower, poll, now))
			free_poll(poll);
	}
}

void fr_mirror_notify(struct fr_follower *follower)
{
	answer_polls(follower, ht_now());
}

void fr_mirror_tick(struct fr *fr, gb_time now)
{
	for (int kind = 0; kind < fr->kinds; kind++)
		answer_polls(&fr->followers[kind], now);
}
