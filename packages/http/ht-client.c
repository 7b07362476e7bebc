#include "http/ht-link.h"
#include "http/ht-server.h"

#define CONNECT_TIMEOUT (1 * GB_SEC)

/*
 * An idle connection is given up before the server closes it, so that no
 * request crosses its close. A server that announces no time may close early.
 */
#define IDLE_UNANNOUNCED (800 * GB_MSEC)

/*
 * The end of a connection that was idle for longer may have arrived after the
 * loop's last look, so it is looked for before a request.
 */
#define IDLE_CHECK (1 * GB_SEC)

static void pump(struct ht_target *target);

struct ht_target *ht_target_new(uv_loop_t *loop, struct gb_str address,
				uint32_t limit)
{
	struct ht_target *target = g_new0(struct ht_target, 1);

	if (ht_address(address, &target->addr)) {
		g_free(target);
		return NULL;
	}
	target->loop = loop;
	target->limit = MAX(limit, 1);
	target->connect_timeout = CONNECT_TIMEOUT;
	target->idle_max = IDLE_UNANNOUNCED;
	g_queue_init(&target->idle);
	g_queue_init(&target->waiting);
	return target;
}

static void release_target(struct ht_target *target)
{
	if (target->freed && !target->open && !target->waiting.length)
		g_free(target);
}

static void on_idle(struct ht_link *link)
{
	struct ht_target *target = link->target;

	link->is_idle = true;
	g_queue_push_head_link(&target->idle, &link->idle);
	if (target->waiting.length)
		pump(target);
}

static void on_closed(struct ht_link *link)
{
	struct ht_target *target = link->target;

	if (link->is_idle)
		g_queue_unlink(&target->idle, &link->idle);
	link->is_idle = false;
	target->open--;
	if (target->waiting.length)
		pump(target);
	release_target(target);
}

static const struct ht_link_ops link_ops = { .idle = on_idle,
					     .closed = on_closed };

static bool is_usable(struct ht_link *link, gb_time now)
{
	gb_time idle = now - link->idle_since;

	if (idle >= link->idle_max)
		return false;
	if (idle < IDLE_CHECK || !ht_link_is_ended(link))
		return true;
	link->target->lost = true;
	return false;
}

static struct ht_link *take_idle(struct ht_target *target)
{
	gb_time now = ht_now();

	while (target->idle.length) {
		struct ht_link *link = target->idle.head->data;

		if (is_usable(link, now)) {
			g_queue_unlink(&target->idle, &link->idle);
			link->is_idle = false;
			return link;
		}
		ht_link_close(link);
	}
	return NULL;
}

/* Gives the call a connection; false if none can be had now. */
static bool dispatch(struct ht_target *target, struct ht_call *call)
{
	struct ht_link *link = take_idle(target);

	if (link) {
		ht_link_send(link, call);
		return true;
	}
	if (target->open >= target->limit)
		return false;
	target->open++;
	ht_link_open(target, call, &link_ops);
	return true;
}

/* Starts waiting calls while there are connections for them. */
static void pump(struct ht_target *target)
{
	while (target->waiting.length) {
		struct ht_call *call = target->waiting.head->data;

		g_queue_unlink(&target->waiting, &call->waiting);
		if (dispatch(target, call))
			continue;
		g_queue_push_head_link(&target->waiting, &call->waiting);
		return;
	}
}

void ht_call_start(struct ht_call *call, struct ht_target *target,
		   const struct ht_call_ops *ops)
{
	call->ops = ops;
	call->target = target;
	call->link = NULL;
	call->sent = false;
	call->waiting = (GList){ .data = call };
	call->body = GB_BUF_INIT;
	if (dispatch(target, call))
		return;
	if (call->urgent)
		g_queue_push_head_link(&target->waiting, &call->waiting);
	else
		g_queue_push_tail_link(&target->waiting, &call->waiting);
}

void ht_call_cancel(struct ht_call *call)
{
	struct ht_link *link = call->link;

	call->link = NULL;
	if (link) {
		link->call = NULL;
		/* A connection that is being opened can serve the next call. */
		if (link->connected)
			ht_link_close(link);
		return;
	}
	if (call->target && g_queue_find(&call->target->waiting, call))
		g_queue_unlink(&call->target->waiting, &call->waiting);
	call->target = NULL;
}

void ht_target_expire(struct ht_target *target, gb_time now)
{
	/* The tail was used least recently. */
	while (target->idle.length) {
		struct ht_link *link = target->idle.tail->data;

		if (now - link->idle_since < link->idle_max)
			return;
		ht_link_close(link);
	}
}

bool ht_target_lost(struct ht_target *target)
{
	bool lost = target->lost;

	target->lost = false;
	return lost;
}

void ht_target_free(struct ht_target *target)
{
	target->freed = true;
	if (!target->open && !target->waiting.length) {
		g_free(target);
		return;
	}
	/* Keeps the target until its last connection is closed here. */
	target->open++;
	while (target->idle.length)
		ht_link_close(target->idle.head->data);
	target->open--;
	release_target(target);
}
