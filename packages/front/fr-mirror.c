#include "front/fr-internal.h"

/* A follower that was not answered for longer than its wait may be behind. */
#define FRESH_MARGIN (1 * GB_SEC)

/* A VM that waits for changes of one kind. */
struct fr_poll {
	struct fr_follow *follow;
	struct ht_exchange *x;
	int64_t revision;
	gb_time until;
	GList link; /* in follow->polls */
};

struct page {
	const struct fr_platform *platform;
	bool watch;
	struct gb_buf bytes;
	size_t objects;
};

static void add_object(void *ctx, const struct mir_object *object)
{
	struct page *page = ctx;

	page->platform->add_object(page->watch, object, &page->bytes);
	page->objects++;
}

static void reply(struct ht_exchange *x, int status, struct gb_str body)
{
	const struct ht_reply answer = {
		.status = status,
		.fields = GB_STR_INIT("Content-Type: application/json\r\n"),
		.body = body,
	};

	ht_reply(x, &answer);
}

static void reply_page(struct fr_follow *follow, struct ht_exchange *x,
		       struct page *page)
{
	page->platform->end_page(page->watch, mir_revision(follow->mirror),
				 &page->bytes);
	reply(x, 200, gb_buf_str(&page->bytes));
	gb_buf_free(&page->bytes);
}

/* Only what comes straight from the store is handed on as fresh. */
static bool is_fresh(const struct fr_follow *follow, gb_time now)
{
	return follow->follower.synced && follow->at_store &&
	       !follow->follower.failures &&
	       now - follow->answered_at <=
		       follow->follower.wait + FRESH_MARGIN;
}

static void serve_list(struct fr_follow *follow, struct ht_exchange *x)
{
	struct page page = { .platform = follow->fr->platform };

	mir_list(follow->mirror, add_object, &page);
	reply_page(follow, x, &page);
}

/* Returns false if there is nothing to tell yet. */
static bool serve_changes(struct fr_follow *follow, struct ht_exchange *x,
			  int64_t revision, bool last)
{
	struct page page = { .platform = follow->fr->platform, .watch = true };

	if (!mir_changes(follow->mirror, revision, add_object, &page)) {
		reply(x, 410, GB_STR("{}"));
		return true;
	}
	if (!page.objects && !last)
		return false;
	/* A VM that is ahead of this one keeps its revision. */
	reply_page(follow, x, &page);
	return true;
}

static void wait_for_changes(struct fr_follow *follow, struct ht_exchange *x,
			     const struct fr_store_query *query)
{
	struct fr_poll *poll = g_new0(struct fr_poll, 1);

	poll->follow = follow;
	poll->x = x;
	poll->revision = query->revision;
	poll->until = ht_now() + query->wait;
	poll->link.data = poll;
	x->data = poll;
	g_queue_push_tail_link(&follow->polls, &poll->link);
}

static void free_poll(struct fr_poll *poll)
{
	g_queue_unlink(&poll->follow->polls, &poll->link);
	g_free(poll);
}

void fr_mirror_serve(struct fr *fr, struct ht_exchange *x,
		     const struct fr_store_query *query)
{
	struct fr_follow *follow = &fr->follows[query->kind];
	bool fresh = is_fresh(follow, ht_now());

	if (!fresh && !(query->stale && follow->follower.synced))
		reply(x, 503, GB_STR("{}"));
	else if (!query->watch)
		serve_list(follow, x);
	else if (!serve_changes(follow, x, query->revision, !query->wait))
		wait_for_changes(follow, x, query);
}

void fr_mirror_gone(struct ht_exchange *x)
{
	if (x->data)
		free_poll(x->data);
}

/* Answers those that wait: with changes, or that this VM no longer knows. */
static void answer_polls(struct fr_follow *follow, gb_time now)
{
	bool fresh = is_fresh(follow, now);
	GList *next;

	for (GList *at = follow->polls.head; at; at = next) {
		struct fr_poll *poll = at->data;

		next = at->next;
		poll->x->data = NULL;
		if (!fresh)
			reply(poll->x, 503, GB_STR("{}"));
		else if (!serve_changes(follow, poll->x, poll->revision,
					now >= poll->until)) {
			poll->x->data = poll;
			continue;
		}
		free_poll(poll);
	}
}

void fr_mirror_changed(struct fr_follow *follow)
{
	answer_polls(follow, ht_now());
}

void fr_mirror_tick(struct fr *fr, gb_time now)
{
	for (int kind = 0; kind < FR_KINDS; kind++)
		answer_polls(&fr->follows[kind], now);
}
