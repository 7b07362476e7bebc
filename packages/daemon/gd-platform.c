#include "daemon/gd.h"

#define OBJECT_PATH "/objects/gentianbend/config"

/* The object API answers in milliseconds; 2 s means that it is down. */
#define CALL_TIMEOUT (2 * GB_SEC)

/* Long, since each watch counts as one call to the object API. */
#define WATCH_WAIT_S 30

/* A watch, a read or write, and a list of VMs may be in flight at once. */
#define CONNECTIONS_MAX 4

struct gd_store_call {
	struct gd_exchange x; /* must be first: it is cast to the call */
	struct gd *gd;
	struct nd_store_result result;
	uint64_t base_version; /* watched for changes, or replaced by a write */
	struct gb_buf body;
	uint64_t etag_version; /* 0 if the answer has no ETag */
};

static void start_call(struct gd *gd, enum nd_store_op op, uint64_t tag,
		       uint64_t version, const struct cfg *cfg);
static bool store_encode(struct gd_exchange *x, struct gb_buf *out);
static void store_on_header(struct gd_exchange *x, struct gb_str name,
			    struct gb_str value);
static void store_done(struct gd_exchange *x, enum gd_outcome outcome);
static void store_release(struct gd_exchange *x);
static void store_deliver(struct gd *gd, void *arg);
static enum nd_store_status map_status(const struct gd_store_call *call,
				       enum gd_outcome outcome);
static struct cfg *decode_config(struct gd_store_call *call);

/* Result of a call for each HTTP status that determines it. */
static const struct {
	int http;
	enum nd_store_status status;
} store_statuses[] = {
	{ 200, ND_STORE_OK },	     { 304, ND_STORE_OK },
	{ 404, ND_STORE_NOT_FOUND }, { 412, ND_STORE_CONFLICT },
	{ 429, ND_STORE_DOWN },	     { 503, ND_STORE_DOWN },
};

void gd_platform_read(struct gd *gd, uint64_t tag)
{
	start_call(gd, ND_STORE_READ, tag, 0, NULL);
}

void gd_platform_watch(struct gd *gd, uint64_t tag, uint64_t after)
{
	start_call(gd, ND_STORE_WATCH, tag, after, NULL);
}

void gd_platform_list_vms(struct gd *gd, uint64_t tag)
{
	start_call(gd, ND_STORE_LIST_VMS, tag, 0, NULL);
}

void gd_platform_write(struct gd *gd, uint64_t tag, const struct cfg *cfg,
		       uint64_t base)
{
	start_call(gd, ND_STORE_WRITE, tag, base, cfg);
}

static void start_call(struct gd *gd, enum nd_store_op op, uint64_t tag,
		       uint64_t version, const struct cfg *cfg)
{
	const struct set_settings *settings = &gd->settings;
	struct gd_store_call *call = g_new0(struct gd_store_call, 1);
	struct gd_endpoint *endpoint;
	gb_time timeout = CALL_TIMEOUT;

	call->gd = gd;
	call->result.op = op;
	call->result.tag = tag;
	call->base_version = version;
	if (cfg)
		js_config_encode(cfg, &call->body);
	if (call->body.len > CFG_OBJECT_MAX_BYTES) {
		call->result.status = ND_STORE_TOO_LARGE;
		gd_defer(gd, store_deliver, call);
		return;
	}
	endpoint = gd_endpoint_get(gd, settings->platform_host,
				   settings->platform_port, CONNECTIONS_MAX);
	if (!endpoint) {
		call->result.status = ND_STORE_DOWN;
		gd_defer(gd, store_deliver, call);
		return;
	}
	call->x.encode = store_encode;
	call->x.on_header = store_on_header;
	call->x.done = store_done;
	call->x.release = store_release;
	if (op == ND_STORE_WATCH)
		timeout += WATCH_WAIT_S * GB_SEC;
	gd_exchange_start(gd, &call->x, endpoint, timeout, false);
}

static bool store_encode(struct gd_exchange *x, struct gb_buf *out)
{
	struct gd_store_call *call = (struct gd_store_call *)x;
	const struct set_settings *settings = &call->gd->settings;

	switch (call->result.op) {
	case ND_STORE_READ:
		gb_buf_addf(out, "GET " OBJECT_PATH " HTTP/1.1\r\n");
		break;
	case ND_STORE_LIST_VMS:
		gb_buf_addf(out, "GET /vms HTTP/1.1\r\n");
		break;
	case ND_STORE_WATCH:
		gb_buf_addf(out,
			    "GET " OBJECT_PATH "?watch=%" PRIu64
			    "&wait=%d HTTP/1.1\r\n",
			    call->base_version, WATCH_WAIT_S);
		break;
	case ND_STORE_WRITE:
		gb_buf_addf(out,
			    "PUT " OBJECT_PATH " HTTP/1.1\r\n"
			    "If-Match: \"%" PRIu64 "\"\r\n"
			    "Content-Type: application/json\r\n"
			    "Content-Length: %zu\r\n",
			    call->base_version, call->body.len);
		break;
	}
	gb_buf_addf(out, "Host: %.*s:%u\r\n\r\n",
		    (int)settings->platform_host.len,
		    settings->platform_host.ptr, settings->platform_port);
	gb_buf_add(out, gb_buf_str(&call->body));
	return true;
}

/* Parses the version in the quoted ETag. */
static void store_on_header(struct gd_exchange *x, struct gb_str name,
			    struct gb_str value)
{
	struct gd_store_call *call = (struct gd_store_call *)x;
	int64_t version;

	if (!gb_str_eq(name, GB_STR("etag")) || value.len < 2)
		return;
	if (!gb_str_to_int(gb_str_sub(value, 1, value.len - 2), 1, INT64_MAX,
			   &version))
		call->etag_version = version;
}

static enum nd_store_status map_status(const struct gd_store_call *call,
				       enum gd_outcome outcome)
{
	bool write = call->result.op == ND_STORE_WRITE;

	if (outcome == GD_NOT_SENT)
		return ND_STORE_DOWN;
	if (outcome == GD_ANSWERED)
		for (size_t i = 0; i < G_N_ELEMENTS(store_statuses); i++)
			if (store_statuses[i].http == call->x.status)
				return store_statuses[i].status;
	/* No answer, or one that does not tell whether a write took effect. */
	return write ? ND_STORE_UNKNOWN : ND_STORE_DOWN;
}

static void store_done(struct gd_exchange *x, enum gd_outcome outcome)
{
	struct gd_store_call *call = (struct gd_store_call *)x;

	call->result.status = map_status(call, outcome);
}

/* Returns NULL if the version or the configuration is missing or invalid. */
static struct cfg *decode_config(struct gd_store_call *call)
{
	struct gb_error err = { 0 };
	struct cfg *cfg;

	if (!call->etag_version)
		return NULL;
	cfg = js_config_decode(gb_buf_str(&call->x.call.body), &err);
	if (!cfg) {
		gd_event(call->gd, EV_CONFIG_REFUSED, GB_STR(""), GB_STR(""),
			 call->etag_version, err.code);
		return NULL;
	}
	cfg->version = call->etag_version;
	return cfg;
}

static void store_release(struct gd_exchange *x)
{
	struct gd_store_call *call = (struct gd_store_call *)x;

	store_deliver(call->gd, call);
}

/* Reports the result to the node and frees the call. */
static void store_deliver(struct gd *gd, void *arg)
{
	struct gd_store_call *call = arg;
	struct nd_store_result *result = &call->result;
	struct cfg *cfg = NULL;
	GArray *leaving = NULL;

	if (result->status == ND_STORE_OK && result->op == ND_STORE_LIST_VMS) {
		leaving = js_leaving_hosts_decode(
			gb_buf_str(&call->x.call.body), NULL);
		result->leaving_hosts = leaving ? (void *)leaving->data : NULL;
		result->leaving_hosts_len = leaving ? leaving->len : 0;
		if (!leaving)
			result->status = ND_STORE_DOWN;
	} else if (result->status == ND_STORE_OK &&
		   result->op == ND_STORE_WRITE) {
		result->version = call->etag_version;
	} else if (result->status == ND_STORE_OK && call->x.status == 200) {
		cfg = decode_config(call);
		if (!cfg)
			result->status = ND_STORE_DOWN;
	}
	result->cfg = cfg;
	nd_store_done(gd->node, gd_clock(), result);
	if (cfg)
		cfg_unref(cfg);
	if (leaving)
		g_array_unref(leaving);
	gd_exchange_clear(&call->x);
	gb_buf_free(&call->body);
	g_free(call);
}
