#include "event/ev.h"

#include <glib.h>
#include <string.h>

/* An overwritten slot keeps its text buffer for the next event. */
struct slot {
	struct ev_event event;
	char *text;
	size_t cap;
};

struct ev_ring {
	struct slot *slots;
	size_t cap;
	uint64_t added;
};

static struct gb_str copy_str(char **at, struct gb_str s);

/* Copies s to *at, advances *at and returns the copy. */
static struct gb_str copy_str(char **at, struct gb_str s)
{
	struct gb_str copy = { .ptr = *at, .len = s.len };

	if (s.len)
		memcpy(*at, s.ptr, s.len);
	*at += s.len;
	return copy;
}

struct ev_ring *ev_ring_new(size_t capacity)
{
	struct ev_ring *ring = g_new0(struct ev_ring, 1);

	ring->cap = MAX(capacity, 1);
	ring->slots = g_new0(struct slot, ring->cap);
	return ring;
}

void ev_ring_add(struct ev_ring *ring, const struct ev_event *event)
{
	struct slot *slot = &ring->slots[ring->added++ % ring->cap];
	size_t need = event->request.len + event->upstream.len + event->dc.len;
	char *at;

	if (need > slot->cap) {
		slot->text = g_realloc(slot->text, need);
		slot->cap = need;
	}
	at = slot->text;
	slot->event = *event;
	slot->event.request = copy_str(&at, event->request);
	slot->event.upstream = copy_str(&at, event->upstream);
	slot->event.dc = copy_str(&at, event->dc);
}

size_t ev_ring_len(const struct ev_ring *ring)
{
	return MIN(ring->added, ring->cap);
}

const struct ev_event *ev_ring_at(const struct ev_ring *ring, size_t index)
{
	size_t len = ev_ring_len(ring);

	if (index >= len)
		return NULL;
	return &ring->slots[(ring->added - len + index) % ring->cap].event;
}

uint64_t ev_ring_dropped(const struct ev_ring *ring)
{
	return ring->added - ev_ring_len(ring);
}

void ev_ring_free(struct ev_ring *ring)
{
	if (!ring)
		return;
	for (size_t i = 0; i < ring->cap; i++)
		g_free(ring->slots[i].text);
	g_free(ring->slots);
	g_free(ring);
}
