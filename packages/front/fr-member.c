#include "front/fr-internal.h"

#include "wire/wire-member.h"

/*
 * Heartbeats travel through a few members at a time, so that one of a large
 * tier may need some intervals to reach all.
 */
#define SILENT_AFTER (8 * GB_SEC)

/* A VM that is cut off may still send, so it counts for longer. */
#define COUNTED_FOR (20 * GB_SEC)

#define SETTLE_TIME (1500 * GB_MSEC)
#define TOLD_AT_ONCE 3

static char read_buffer[WIRE_MEMBER_MAX];

struct sending {
	struct fr *fr;
	struct gb_str bytes;
};

/* Appends the host of "HOST:PORT" with the port for datagrams. */
static void member_address(const struct fr *fr, struct gb_str text,
			   struct gb_buf *out)
{
	struct gb_str host, port;

	if (!gb_str_cut_last(text, ':', &host, &port))
		return;
	gb_buf_add(out, host);
	gb_buf_addf(out, ":%u", fr->settings.member_port);
}

static void add_seeds(struct fr *fr)
{
	struct gb_str rest = fr->settings.seeds, seed;
	bool more = rest.len > 0;

	while (more) {
		struct gb_buf address = GB_BUF_INIT;

		more = gb_str_cut(&rest, ',', &seed);
		member_address(fr, gb_str_trim(seed), &address);
		mem_add_seed(fr->members, gb_buf_str(&address));
		gb_buf_free(&address);
	}
}

static void on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	(void)handle;
	(void)size;
	*buf = uv_buf_init(read_buffer, sizeof(read_buffer));
}

static void on_datagram(uv_udp_t *udp, ssize_t len, const uv_buf_t *buf,
			const struct sockaddr *from, unsigned int flags)
{
	struct fr *fr = udp->data;
	struct mem_message message;

	(void)flags;
	if (len <= 0 || !from)
		return;
	if (wire_member_decode((struct gb_str){ buf->base, len }, &message))
		return;
	met_add(&fr->metrics, MET_PEER_MESSAGES, 1);
	met_add(&fr->metrics, MET_PEER_BYTES, len);
	mem_take(fr->members, ht_now(), &message);
	fr_update_limits(fr);
}

static void send_to(void *ctx, struct gb_str address)
{
	const struct sending *sending = ctx;
	struct sockaddr_storage addr;
	uv_buf_t buf =
		uv_buf_init((char *)sending->bytes.ptr, sending->bytes.len);

	if (ht_address(address, &addr))
		return;
	/* A datagram that the socket does not take is lost like others. */
	uv_udp_try_send(&sending->fr->udp, &buf, 1, (struct sockaddr *)&addr);
	met_add(&sending->fr->metrics, MET_CONTROL_BYTES, sending->bytes.len);
}

void fr_member_tick(struct fr *fr)
{
	struct mem_message message;
	struct gb_buf bytes = GB_BUF_INIT;
	struct sending sending = { .fr = fr };
	gb_time now = ht_now();

	mem_beat(fr->members, now, &message);
	wire_member_encode(&message, &bytes);
	sending.bytes = gb_buf_str(&bytes);
	mem_targets(fr->members, now, send_to, &sending);
	gb_buf_free(&bytes);
	met_set(&fr->metrics, MET_MEMBERS_LIVE, mem_live(fr->members, now));
}

int fr_member_start(struct fr *fr)
{
	struct gb_buf own = GB_BUF_INIT;
	struct sockaddr_storage addr;
	struct mem_settings settings = {
		.incarnation = g_get_real_time() / 1000,
		.silent = SILENT_AFTER,
		.counted = COUNTED_FOR,
		.settle = SETTLE_TIME,
		.fanout = TOLD_AT_ONCE,
	};

	member_address(fr, fr->settings.listen, &own);
	/* The table keeps the address for the life of the process. */
	settings.address = gb_str_dup(gb_buf_str(&own));
	gb_buf_free(&own);
	fr->members = mem_new(&settings, ht_now(), &fr->rng);
	add_seeds(fr);
	if (ht_address(settings.address, &addr))
		return UV_EINVAL;
	uv_udp_init(fr->loop, &fr->udp);
	fr->udp.data = fr;
	if (uv_udp_bind(&fr->udp, (struct sockaddr *)&addr, UV_UDP_REUSEADDR))
		return UV_EADDRINUSE;
	return uv_udp_recv_start(&fr->udp, on_alloc, on_datagram);
}
