#include "http/ht-link.h"
#include "http/ht-server.h"

#define CONNECT_TIMEOUT (1 * GB_SEC)

/*
 * An idle connection is closed before the server closes it, so that no request
 * is sent while the server's FIN is in flight. A server that announces no
 * timeout in Keep-Alive may close early, hence the short default.
 */
#define DEFAULT_IDLE_TIMEOUT (800 * GB_MSEC)

/*
 * The server may have closed a connection that was idle for longer since the
 * event loop last polled it, so the socket is checked before a request is sent.
 */
#define IDLE_CHECK_AGE (1 * GB_SEC)

static void start_waiting_calls(struct ht_target *target);

struct ht_target *ht_target_new(uv_loop_t *loop, struct gb_str address,
				uint32_t limit)
{
	struct ht_target *target = g_new0(struct ht_target, 1);

	if (ht_parse_address(address, &target->addr)) {
		g_free(target);
		return NULL;
	}
	target->loop = loop;
	target->conns_max = MAX(limit, 1);
	target->connect_timeout = CONNECT_TIMEOUT;
	target->idle_timeout = DEFAULT_IDLE_TIMEOUT;
	g_queue_init(&target->idle_links);
	g_queue_init(&target->waiting_calls);
	return target;
}

static void free_target_if_unused(struct ht_target *target)
{
	if (target->free_pending && !target->conns_open &&
	    !target->waiting_calls.length)
		g_free(target);
}

static void on_link_idle(struct ht_link *link)
{
	struct ht_target *target = link->target;

	link->is_idle = true;
	g_queue_push_head_link(&target->idle_links, &link->idle_link);
	if (target->waiting_calls.length)
		start_waiting_calls(target);
}

static void on_link_closed(struct ht_link *link)
{
	struct ht_target *target = link->target;

	if (link->is_idle)
		g_queue_unlink(&target->idle_links, &link->idle_link);
	link->is_idle = false;
	target->conns_open--;
	if (target->waiting_calls.length)
		start_waiting_calls(target);
	free_target_if_unused(target);
}

static const struct ht_link_ops link_ops = { .became_idle = on_link_idle,
					     .closed = on_link_closed };

static bool is_usable(struct ht_link *link, gb_time now)
{
	gb_time idle_time = now - link->idle_since;

	if (idle_time >= link->idle_timeout)
		return false;
	if (idle_time < IDLE_CHECK_AGE || !ht_link_peer_closed(link))
		return true;
	link->target->idle_closed = true;
	return false;
}

/* Closes the most recently used connections that are not usable any more. */
static void close_unusable_links(struct ht_target *target)
{
	gb_time now = ht_now();

	while (target->idle_links.length) {
		struct ht_link *link = target->idle_links.head->data;

		if (is_usable(link, now))
			return;
		ht_link_close(link);
	}
}

/* Takes the most recently used connection that has not sent the key. */
static struct ht_link *take_idle_link(struct ht_target *target, uint64_t key)
{
	gb_time now = ht_now();
	GList *at;

	close_unusable_links(target);
	for (at = target->idle_links.head; at; at = at->next) {
		struct ht_link *link = at->data;

		if (ht_link_has_sent(link, key) || !is_usable(link, now))
			continue;
		g_queue_unlink(&target->idle_links, at);
		link->is_idle = false;
		return link;
	}
	return NULL;
}

static void open_link(struct ht_target *target, struct ht_call *call)
{
	target->conns_open++;
	ht_link_open(target, call, &link_ops);
}

/*
 * Assigns a connection to the call; false if none is available now. Idle
 * connections that have sent the call's key must not keep it waiting, so one of
 * them is replaced if no further connection may be opened.
 */
static bool try_dispatch(struct ht_target *target, struct ht_call *call)
{
	struct ht_link *link = take_idle_link(target, call->key);

	if (link) {
		ht_link_send(link, call);
		return true;
	}
	if (target->conns_open < target->conns_max) {
		open_link(target, call);
		return true;
	}
	if (!target->idle_links.length)
		return false;
	open_link(target, call);
	ht_link_close(target->idle_links.tail->data);
	return true;
}

/* Starts waiting calls while connections are available. */
static void start_waiting_calls(struct ht_target *target)
{
	while (target->waiting_calls.length) {
		struct ht_call *call = target->waiting_calls.head->data;

		g_queue_unlink(&target->waiting_calls, &call->waiting_link);
		if (try_dispatch(target, call))
			continue;
		g_queue_push_head_link(&target->waiting_calls,
				       &call->waiting_link);
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
	call->waiting_link = (GList){ .data = call };
	call->body = GB_BUF_INIT;
	if (try_dispatch(target, call))
		return;
	if (call->high_priority)
		g_queue_push_head_link(&target->waiting_calls,
				       &call->waiting_link);
	else
		g_queue_push_tail_link(&target->waiting_calls,
				       &call->waiting_link);
}

void ht_call_cancel(struct ht_call *call)
{
	struct ht_link *link = call->link;

	call->link = NULL;
	if (link) {
		link->call = NULL;
		ht_memory_hold(&link->holder, 0);
		/* A connection that is being opened can serve the next call. */
		if (link->connected)
			ht_link_close(link);
		return;
	}
	if (call->target && g_queue_find(&call->target->waiting_calls, call))
		g_queue_unlink(&call->target->waiting_calls,
			       &call->waiting_link);
	call->target = NULL;
}

void ht_target_close_expired(struct ht_target *target, gb_time now)
{
	/* The tail is the least recently used connection. */
	while (target->idle_links.length) {
		struct ht_link *link = target->idle_links.tail->data;

		if (now - link->idle_since < link->idle_timeout)
			return;
		ht_link_close(link);
	}
}

bool ht_target_take_idle_closed(struct ht_target *target)
{
	bool closed = target->idle_closed;

	target->idle_closed = false;
	return closed;
}

void ht_target_close_idle(struct ht_target *target)
{
	while (target->idle_links.length)
		ht_link_close(target->idle_links.head->data);
}

void ht_target_retire(struct ht_target *target)
{
	target->retired = true;
	ht_target_close_idle(target);
}

void ht_target_free(struct ht_target *target)
{
	target->free_pending = true;
	if (!target->conns_open && !target->waiting_calls.length) {
		g_free(target);
		return;
	}
	/* The extra count keeps the target allocated during the loop. */
	target->conns_open++;
	ht_target_close_idle(target);
	target->conns_open--;
	free_target_if_unused(target);
}
