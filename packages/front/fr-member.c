#include "front/fr-organisation.h"

#include "wire/wire-member.h"
#include "wire/wire.h"

#define PROBE_INTERVAL (500 * GB_MSEC)

/* Even a VM with half a core acks within this time. */
#define ACK_TIMEOUT (1 * GB_SEC)
#define SUSPICION_TIMEOUT (5 * GB_SEC)

/*
 * A VM declared dead may just be cut off and still send requests, so it counts
 * for longer.
 */
#define DEAD_COUNTED_TIME (12 * GB_SEC)

#define SETTLE_TIME (1500 * GB_MSEC)

static char read_buffer[WIRE_MEMBER_MAX];

/* Appends the member address of "HOST:PORT": its host with the member port. */
static void append_member_address(const struct fr *fr, struct gb_str text,
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
		append_member_address(fr, gb_str_trim(seed), &address);
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

/* Handles a datagram that is not about membership; ignores unreadable ones. */
static void receive_message(struct fr *fr, const struct sockaddr *from,
			    struct gb_str datagram)
{
	struct wire_reader reader = { 0 };
	struct msg *msg = NULL;
	struct gb_error error;

	wire_reader_feed(&reader, datagram);
	if (wire_reader_next(&reader, &msg, &error) == 1) {
		if (msg->kind == MSG_ROLLOUT_REPORT)
			fr_rollout_report(fr, from, &msg->rollout_report);
		else if (msg->kind == MSG_ROLLOUT_STEP)
			fr_rollout_step(fr, &msg->rollout_step);
		else if (msg->kind == MSG_QUOTA_REPORT)
			fr_org_report(fr, from, &msg->quota_report);
		else if (msg->kind == MSG_QUOTA_LEVEL)
			fr_org_level(fr, &msg->quota_level);
		else if (msg->kind == MSG_QUOTA_ASK)
			fr_ask_receive(fr, from, &msg->quota_report);
		else if (msg->kind == MSG_QUOTA_GRANT)
			fr_ask_granted(fr, &msg->quota_grant);
		else if (msg->kind == MSG_HELPERS)
			fr_helper_receive(fr, &msg->helpers);
		else
			fr_suspect_receive(fr, from, msg);
		msg_free(msg);
	}
	wire_reader_free(&reader);
}

static void on_datagram(uv_udp_t *udp, ssize_t len, const uv_buf_t *buf,
			const struct sockaddr *from, unsigned int flags)
{
	struct fr *fr = udp->data;
	struct gb_str bytes = { buf->base, len };
	struct mem_message message;

	(void)flags;
	if (len <= 0 || !from)
		return;
	met_add(&fr->metrics, MET_PEER_MESSAGES, 1);
	met_add(&fr->metrics, MET_PEER_BYTES, len);
	if (wire_member_decode(bytes, &message)) {
		receive_message(fr, from, bytes);
		return;
	}
	mem_receive(fr->members, ht_now(), &message);
	fr_update_budget(fr);
	if (message.synced && message.rows_len)
		fr_directory_try_member(
			fr, (struct gb_str){ message.rows[0].address,
					     message.rows[0].address_len });
}

void fr_member_send_to(struct fr *fr, const struct sockaddr *to,
		       struct gb_str bytes)
{
	uv_buf_t buf = uv_buf_init((char *)bytes.ptr, bytes.len);

	/* A datagram that the socket does not accept is lost like any other. */
	uv_udp_try_send(&fr->member_socket, &buf, 1, to);
	met_add(&fr->metrics, MET_CONTROL_BYTES, bytes.len);
}

void fr_member_send(struct fr *fr, struct gb_str member, struct gb_str bytes)
{
	struct sockaddr_storage addr;

	if (!ht_parse_address(member, &addr))
		fr_member_send_to(fr, (struct sockaddr *)&addr, bytes);
}

void fr_member_send_message(struct fr *fr, const struct sockaddr *to,
			    const struct msg *msg)
{
	struct gb_buf bytes = GB_BUF_INIT;

	if (!wire_encode(msg, &bytes))
		fr_member_send_to(fr, to, gb_buf_str(&bytes));
	gb_buf_free(&bytes);
}

void fr_member_announce(struct fr *fr, const struct msg *msg, uint32_t members)
{
	struct gb_buf bytes = GB_BUF_INIT;
	struct gb_str member;

	if (wire_encode(msg, &bytes))
		return;
	for (uint32_t i = 0; i < members; i++)
		if (mem_pick(fr->members, MEM_ALL, 0, 0, &member))
			fr_member_send(fr, member, gb_buf_str(&bytes));
	gb_buf_free(&bytes);
}

static void on_send(void *ctx, struct gb_str address,
		    const struct mem_message *message)
{
	struct gb_buf bytes = GB_BUF_INIT;

	wire_member_encode(message, &bytes);
	fr_member_send(ctx, address, gb_buf_str(&bytes));
	gb_buf_free(&bytes);
}

static const struct mem_ops member_ops = { .send = on_send };

void fr_member_tick(struct fr *fr)
{
	mem_tick(fr->members, ht_now());
	met_set(&fr->metrics, MET_MEMBERS_LIVE, mem_live_count(fr->members));
}

int fr_member_start(struct fr *fr)
{
	struct gb_buf own_address = GB_BUF_INIT;
	struct sockaddr_storage addr;
	struct mem_settings settings = {
		.dc = fr->settings.dc,
		.processor_share = fr->settings.processor_share,
		.incarnation = g_get_real_time() / 1000,
		.probe_interval = PROBE_INTERVAL,
		.ack_timeout = ACK_TIMEOUT,
		.suspicion_timeout = SUSPICION_TIMEOUT,
		.dead_counted_time = DEAD_COUNTED_TIME,
		.settle_time = SETTLE_TIME,
	};

	append_member_address(fr, fr->settings.listen_address, &own_address);
	fr->member_address = gb_str_dup(gb_buf_str(&own_address));
	settings.address = fr->member_address;
	gb_buf_free(&own_address);
	fr->members = mem_new(&settings, &member_ops, fr, ht_now(), &fr->rng);
	add_seeds(fr);
	if (ht_parse_address(settings.address, &addr))
		return UV_EINVAL;
	uv_udp_init(fr->loop, &fr->member_socket);
	fr->member_socket.data = fr;
	if (uv_udp_bind(&fr->member_socket, (struct sockaddr *)&addr,
			UV_UDP_REUSEADDR))
		return UV_EADDRINUSE;
	return uv_udp_recv_start(&fr->member_socket, on_alloc, on_datagram);
}
