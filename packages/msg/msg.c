#include "msg/msg.h"

#include <glib.h>

/* How to copy and free what the message of one kind owns. */
struct kind_row {
	struct gb_str name;
	void (*own)(struct msg *msg); /* replaces borrowed parts by copies */
	void (*drop)(struct msg *msg);
};

static void own_batch(struct msg *msg);
static void drop_batch(struct msg *msg);
static void own_result(struct msg *msg);
static void drop_result(struct msg *msg);
static void own_vote(struct msg *msg);
static void drop_vote(struct msg *msg);
static void own_vote_reply(struct msg *msg);
static void drop_vote_reply(struct msg *msg);
static void own_release(struct msg *msg);
static void drop_release(struct msg *msg);
static void own_outcome(struct msg *msg);
static void drop_outcome(struct msg *msg);
static void own_warm(struct msg *msg);
static void drop_warm(struct msg *msg);
static void own_join(struct msg *msg);
static void drop_join(struct msg *msg);
static void own_leaving(struct msg *msg);
static void drop_leaving(struct msg *msg);
static void own_config(struct msg *msg);
static void drop_config(struct msg *msg);

static const struct kind_row kinds[MSG_KINDS] = {
	[MSG_HEARTBEAT] = { .name = GB_STR_INIT("heartbeat") },
	[MSG_HEARTBEAT_REPLY] = { .name = GB_STR_INIT("heartbeat_reply") },
	[MSG_QUERY_BATCH] = { .name = GB_STR_INIT("batch"),
			      .own = own_batch,
			      .drop = drop_batch },
	[MSG_RESULT] = { .name = GB_STR_INIT("result"),
			 .own = own_result,
			 .drop = drop_result },
	[MSG_CANCEL] = { .name = GB_STR_INIT("cancel") },
	[MSG_VOTE] = { .name = GB_STR_INIT("vote"),
		       .own = own_vote,
		       .drop = drop_vote },
	[MSG_VOTE_REPLY] = { .name = GB_STR_INIT("vote_reply"),
			     .own = own_vote_reply,
			     .drop = drop_vote_reply },
	[MSG_RELEASE] = { .name = GB_STR_INIT("release"),
			  .own = own_release,
			  .drop = drop_release },
	[MSG_OUTCOME] = { .name = GB_STR_INIT("outcome"),
			  .own = own_outcome,
			  .drop = drop_outcome },
	[MSG_CONFIG_FETCH] = { .name = GB_STR_INIT("config_fetch") },
	[MSG_CONFIG] = { .name = GB_STR_INIT("config"),
			 .own = own_config,
			 .drop = drop_config },
	[MSG_QUARANTINE] = { .name = GB_STR_INIT("quarantine") },
	[MSG_WARM] = { .name = GB_STR_INIT("warm"),
		       .own = own_warm,
		       .drop = drop_warm },
	[MSG_JOIN] = { .name = GB_STR_INIT("join"),
		       .own = own_join,
		       .drop = drop_join },
	[MSG_LEAVING] = { .name = GB_STR_INIT("leaving"),
			  .own = own_leaving,
			  .drop = drop_leaving },
};

static void own_batch(struct msg *msg)
{
	struct msg_batch *batch = &msg->batch;

	batch->request = gb_str_dup(batch->request);
	batch->service = gb_str_dup(batch->service);
	batch->key = gb_str_dup(batch->key);
	batch->body = gb_str_dup(batch->body);
	batch->subs = g_memdup2(batch->subs,
				batch->subs_len * sizeof(batch->subs[0]));
}

static void drop_batch(struct msg *msg)
{
	gb_str_free(&msg->batch.request);
	gb_str_free(&msg->batch.service);
	gb_str_free(&msg->batch.key);
	gb_str_free(&msg->batch.body);
	g_free(msg->batch.subs);
}

static void own_result(struct msg *msg)
{
	struct msg_result *result = &msg->result;

	result->subs = g_memdup2(result->subs,
				 result->subs_len * sizeof(result->subs[0]));
	for (uint32_t i = 0; i < result->subs_len; i++)
		result->subs[i].body = gb_str_dup(result->subs[i].body);
}

static void drop_result(struct msg *msg)
{
	for (uint32_t i = 0; i < msg->result.subs_len; i++)
		gb_str_free(&msg->result.subs[i].body);
	g_free(msg->result.subs);
}

static void own_vote(struct msg *msg)
{
	msg->vote.key = gb_str_dup(msg->vote.key);
}

static void drop_vote(struct msg *msg)
{
	gb_str_free(&msg->vote.key);
}

static void own_vote_reply(struct msg *msg)
{
	msg->vote_reply.key = gb_str_dup(msg->vote_reply.key);
	msg->vote_reply.outcome = gb_str_dup(msg->vote_reply.outcome);
}

static void drop_vote_reply(struct msg *msg)
{
	gb_str_free(&msg->vote_reply.key);
	gb_str_free(&msg->vote_reply.outcome);
}

static void own_release(struct msg *msg)
{
	msg->release.key = gb_str_dup(msg->release.key);
}

static void drop_release(struct msg *msg)
{
	gb_str_free(&msg->release.key);
}

static void own_outcome(struct msg *msg)
{
	msg->outcome.key = gb_str_dup(msg->outcome.key);
	msg->outcome.outcome = gb_str_dup(msg->outcome.outcome);
}

static void drop_outcome(struct msg *msg)
{
	gb_str_free(&msg->outcome.key);
	gb_str_free(&msg->outcome.outcome);
}

static void own_warm(struct msg *msg)
{
	struct msg_warm *warm = &msg->warm;

	warm->items = g_memdup2(warm->items,
				warm->items_len * sizeof(warm->items[0]));
}

static void drop_warm(struct msg *msg)
{
	g_free(msg->warm.items);
}

static void own_join(struct msg *msg)
{
	msg->join.name = gb_str_dup(msg->join.name);
	msg->join.host = gb_str_dup(msg->join.host);
	msg->join.dc = gb_str_dup(msg->join.dc);
}

static void drop_join(struct msg *msg)
{
	gb_str_free(&msg->join.name);
	gb_str_free(&msg->join.host);
	gb_str_free(&msg->join.dc);
}

static void own_leaving(struct msg *msg)
{
	struct msg_leaving *leaving = &msg->leaving;

	leaving->hosts = g_memdup2(
		leaving->hosts, leaving->hosts_len * sizeof(leaving->hosts[0]));
	for (uint32_t i = 0; i < leaving->hosts_len; i++)
		leaving->hosts[i] = gb_str_dup(leaving->hosts[i]);
}

static void drop_leaving(struct msg *msg)
{
	for (uint32_t i = 0; i < msg->leaving.hosts_len; i++)
		gb_str_free(&msg->leaving.hosts[i]);
	g_free(msg->leaving.hosts);
}

static void own_config(struct msg *msg)
{
	if (msg->config.cfg)
		cfg_ref(msg->config.cfg);
}

static void drop_config(struct msg *msg)
{
	cfg_unref(msg->config.cfg);
}

struct msg *msg_copy(const struct msg *msg)
{
	struct msg *copy = g_memdup2(msg, sizeof(*msg));

	if (kinds[copy->kind].own)
		kinds[copy->kind].own(copy);
	return copy;
}

void msg_free(struct msg *msg)
{
	if (!msg)
		return;
	if (kinds[msg->kind].drop)
		kinds[msg->kind].drop(msg);
	g_free(msg);
}

struct gb_str msg_kind_name(enum msg_kind kind)
{
	return kind < MSG_KINDS ? kinds[kind].name : GB_STR("unknown");
}
