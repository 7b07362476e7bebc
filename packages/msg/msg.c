#include "msg/msg.h"

#include <glib.h>

/* Name of a kind of message, and how to copy and free the data it owns. */
struct kind_info {
	struct gb_str name;
	/* Replaces borrowed data by copies. */
	void (*copy_data)(struct msg *msg);
	void (*free_data)(struct msg *msg);
};

static void copy_batch_data(struct msg *msg);
static void free_batch_data(struct msg *msg);
static void copy_result_data(struct msg *msg);
static void free_result_data(struct msg *msg);
static void copy_vote_data(struct msg *msg);
static void free_vote_data(struct msg *msg);
static void copy_vote_reply_data(struct msg *msg);
static void free_vote_reply_data(struct msg *msg);
static void copy_release_data(struct msg *msg);
static void free_release_data(struct msg *msg);
static void copy_outcome_data(struct msg *msg);
static void free_outcome_data(struct msg *msg);
static void copy_warm_data(struct msg *msg);
static void free_warm_data(struct msg *msg);
static void copy_join_data(struct msg *msg);
static void free_join_data(struct msg *msg);
static void copy_leaving_data(struct msg *msg);
static void free_leaving_data(struct msg *msg);
static void copy_suspects_data(struct msg *msg);
static void free_suspects_data(struct msg *msg);
static void copy_rollout_report_data(struct msg *msg);
static void free_rollout_report_data(struct msg *msg);
static void copy_helpers_data(struct msg *msg);
static void free_helpers_data(struct msg *msg);
static void copy_config_data(struct msg *msg);
static void free_config_data(struct msg *msg);

static const struct kind_info kinds[MSG_KINDS] = {
	[MSG_HEARTBEAT] = { .name = GB_STR_INIT("heartbeat") },
	[MSG_HEARTBEAT_REPLY] = { .name = GB_STR_INIT("heartbeat_reply") },
	[MSG_QUERY_BATCH] = { .name = GB_STR_INIT("batch"),
			      .copy_data = copy_batch_data,
			      .free_data = free_batch_data },
	[MSG_RESULT] = { .name = GB_STR_INIT("result"),
			 .copy_data = copy_result_data,
			 .free_data = free_result_data },
	[MSG_CANCEL] = { .name = GB_STR_INIT("cancel") },
	[MSG_VOTE] = { .name = GB_STR_INIT("vote"),
		       .copy_data = copy_vote_data,
		       .free_data = free_vote_data },
	[MSG_VOTE_REPLY] = { .name = GB_STR_INIT("vote_reply"),
			     .copy_data = copy_vote_reply_data,
			     .free_data = free_vote_reply_data },
	[MSG_RELEASE] = { .name = GB_STR_INIT("release"),
			  .copy_data = copy_release_data,
			  .free_data = free_release_data },
	[MSG_OUTCOME] = { .name = GB_STR_INIT("outcome"),
			  .copy_data = copy_outcome_data,
			  .free_data = free_outcome_data },
	[MSG_CONFIG_FETCH] = { .name = GB_STR_INIT("config_fetch") },
	[MSG_CONFIG] = { .name = GB_STR_INIT("config"),
			 .copy_data = copy_config_data,
			 .free_data = free_config_data },
	[MSG_QUARANTINE] = { .name = GB_STR_INIT("quarantine") },
	[MSG_WARM] = { .name = GB_STR_INIT("warm"),
		       .copy_data = copy_warm_data,
		       .free_data = free_warm_data },
	[MSG_JOIN] = { .name = GB_STR_INIT("join"),
		       .copy_data = copy_join_data,
		       .free_data = free_join_data },
	[MSG_LEAVING] = { .name = GB_STR_INIT("leaving"),
			  .copy_data = copy_leaving_data,
			  .free_data = free_leaving_data },
	[MSG_SUSPECTS_ASK] = { .name = GB_STR_INIT("suspects_ask") },
	[MSG_SUSPECTS] = { .name = GB_STR_INIT("suspects"),
			   .copy_data = copy_suspects_data,
			   .free_data = free_suspects_data },
	[MSG_RUN_END] = { .name = GB_STR_INIT("run_end") },
	[MSG_ROLLOUT_REPORT] = { .name = GB_STR_INIT("rollout_report"),
				 .copy_data = copy_rollout_report_data,
				 .free_data = free_rollout_report_data },
	[MSG_ROLLOUT_STEP] = { .name = GB_STR_INIT("rollout_step") },
	[MSG_QUOTA_REPORT] = { .name = GB_STR_INIT("quota_report") },
	[MSG_QUOTA_LEVEL] = { .name = GB_STR_INIT("quota_level") },
	[MSG_QUOTA_ASK] = { .name = GB_STR_INIT("quota_ask") },
	[MSG_QUOTA_GRANT] = { .name = GB_STR_INIT("quota_grant") },
	[MSG_HELPERS] = { .name = GB_STR_INIT("helpers"),
			  .copy_data = copy_helpers_data,
			  .free_data = free_helpers_data },
};

static void copy_batch_data(struct msg *msg)
{
	struct msg_batch *batch = &msg->batch;

	batch->request_id = gb_str_dup(batch->request_id);
	batch->service = gb_str_dup(batch->service);
	batch->key = gb_str_dup(batch->key);
	batch->body = gb_str_dup(batch->body);
	batch->subs = g_memdup2(batch->subs,
				batch->subs_len * sizeof(batch->subs[0]));
}

static void free_batch_data(struct msg *msg)
{
	gb_str_free(&msg->batch.request_id);
	gb_str_free(&msg->batch.service);
	gb_str_free(&msg->batch.key);
	gb_str_free(&msg->batch.body);
	g_free(msg->batch.subs);
}

static void copy_result_data(struct msg *msg)
{
	struct msg_result *result = &msg->result;

	result->subs = g_memdup2(result->subs,
				 result->subs_len * sizeof(result->subs[0]));
	for (uint32_t i = 0; i < result->subs_len; i++)
		result->subs[i].body = gb_str_dup(result->subs[i].body);
}

static void free_result_data(struct msg *msg)
{
	for (uint32_t i = 0; i < msg->result.subs_len; i++)
		gb_str_free(&msg->result.subs[i].body);
	g_free(msg->result.subs);
}

static void copy_vote_data(struct msg *msg)
{
	msg->vote.key = gb_str_dup(msg->vote.key);
}

static void free_vote_data(struct msg *msg)
{
	gb_str_free(&msg->vote.key);
}

static void copy_vote_reply_data(struct msg *msg)
{
	msg->vote_reply.key = gb_str_dup(msg->vote_reply.key);
	msg->vote_reply.outcome = gb_str_dup(msg->vote_reply.outcome);
}

static void free_vote_reply_data(struct msg *msg)
{
	gb_str_free(&msg->vote_reply.key);
	gb_str_free(&msg->vote_reply.outcome);
}

static void copy_release_data(struct msg *msg)
{
	msg->release.key = gb_str_dup(msg->release.key);
}

static void free_release_data(struct msg *msg)
{
	gb_str_free(&msg->release.key);
}

static void copy_outcome_data(struct msg *msg)
{
	msg->outcome.key = gb_str_dup(msg->outcome.key);
	msg->outcome.outcome = gb_str_dup(msg->outcome.outcome);
}

static void free_outcome_data(struct msg *msg)
{
	gb_str_free(&msg->outcome.key);
	gb_str_free(&msg->outcome.outcome);
}

static void copy_warm_data(struct msg *msg)
{
	struct msg_warm *warm = &msg->warm;

	warm->upstreams =
		g_memdup2(warm->upstreams,
			  warm->upstreams_len * sizeof(warm->upstreams[0]));
}

static void free_warm_data(struct msg *msg)
{
	g_free(msg->warm.upstreams);
}

static void copy_join_data(struct msg *msg)
{
	msg->join.name = gb_str_dup(msg->join.name);
	msg->join.host = gb_str_dup(msg->join.host);
	msg->join.dc = gb_str_dup(msg->join.dc);
}

static void free_join_data(struct msg *msg)
{
	gb_str_free(&msg->join.name);
	gb_str_free(&msg->join.host);
	gb_str_free(&msg->join.dc);
}

static void copy_leaving_data(struct msg *msg)
{
	struct msg_leaving *leaving = &msg->leaving;

	leaving->hosts = g_memdup2(
		leaving->hosts, leaving->hosts_len * sizeof(leaving->hosts[0]));
	for (uint32_t i = 0; i < leaving->hosts_len; i++)
		leaving->hosts[i] = gb_str_dup(leaving->hosts[i]);
}

static void free_leaving_data(struct msg *msg)
{
	for (uint32_t i = 0; i < msg->leaving.hosts_len; i++)
		gb_str_free(&msg->leaving.hosts[i]);
	g_free(msg->leaving.hosts);
}

static void copy_suspects_data(struct msg *msg)
{
	struct msg_suspects *m = &msg->suspects;

	m->suspects = g_memdup2(m->suspects,
				m->suspects_len * sizeof(m->suspects[0]));
}

static void free_suspects_data(struct msg *msg)
{
	g_free(msg->suspects.suspects);
}

static void copy_helpers_data(struct msg *msg)
{
	struct msg_helpers *m = &msg->helpers;

	m->helpers =
		g_memdup2(m->helpers, m->helpers_len * sizeof(m->helpers[0]));
	for (uint32_t i = 0; i < m->helpers_len; i++)
		m->helpers[i].address = gb_str_dup(m->helpers[i].address);
}

static void free_helpers_data(struct msg *msg)
{
	for (uint32_t i = 0; i < msg->helpers.helpers_len; i++)
		gb_str_free(&msg->helpers.helpers[i].address);
	g_free(msg->helpers.helpers);
}

static void copy_rollout_report_data(struct msg *msg)
{
	struct msg_rollout_report *m = &msg->rollout_report;

	m->rows = g_memdup2(m->rows, m->rows_len * sizeof(m->rows[0]));
}

static void free_rollout_report_data(struct msg *msg)
{
	g_free(msg->rollout_report.rows);
}

static void copy_config_data(struct msg *msg)
{
	if (msg->config.cfg)
		cfg_ref(msg->config.cfg);
}

static void free_config_data(struct msg *msg)
{
	cfg_unref(msg->config.cfg);
}

struct msg *msg_copy(const struct msg *msg)
{
	struct msg *copy = g_memdup2(msg, sizeof(*msg));

	if (kinds[copy->kind].copy_data)
		kinds[copy->kind].copy_data(copy);
	return copy;
}

void msg_free(struct msg *msg)
{
	if (!msg)
		return;
	if (kinds[msg->kind].free_data)
		kinds[msg->kind].free_data(msg);
	g_free(msg);
}

struct gb_str msg_kind_name(enum msg_kind kind)
{
	return kind < MSG_KINDS ? kinds[kind].name : GB_STR("unknown");
}
