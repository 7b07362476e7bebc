#ifndef MSG_H
#define MSG_H

/*
 * NAME
 *	msg - the typed messages between VMs
 *
 * DESCRIPTION
 *	Messages are plain structs without encoding; package wire encodes them
 *	and the scenario runner passes them on as they are. All are one-way:
 *	a reply is a message of its own. A message owns its strings and arrays
 *	once it was made by msg_copy() or by a decoder; msg_free() frees them.
 *
 *	Times in messages are durations in microseconds, never points in time,
 *	since VMs share no monotonic clock.
 */

#include "base/gb.h"
#include "config/cfg.h"

#define MSG_UNIT_WORDS (CFG_UNITS / 64)

enum msg_kind {
	MSG_HEARTBEAT,
	MSG_HEARTBEAT_REPLY,
	MSG_QUERY_BATCH, /* <sys/socket.h> defines MSG_BATCH */
	MSG_RESULT,
	MSG_CANCEL,
	MSG_VOTE,
	MSG_VOTE_REPLY,
	MSG_RELEASE,
	MSG_OUTCOME,
	MSG_CONFIG_FETCH,
	MSG_CONFIG,
	MSG_QUARANTINE,
	MSG_WARM,
	MSG_JOIN,
	MSG_LEAVING,
	MSG_SUSPECTS_ASK,
	MSG_SUSPECTS,
	MSG_RUN_END,
	MSG_ROLLOUT_REPORT,
	MSG_ROLLOUT_STEP,
	MSG_QUOTA_REPORT,
	MSG_QUOTA_LEVEL,
	MSG_QUOTA_ASK,
	MSG_QUOTA_GRANT,
	MSG_HELPERS,
	MSG_KINDS
};

/* A bitmap of units, the groups of shards that are leased together. */
struct msg_units {
	uint64_t word[MSG_UNIT_WORDS];
};

struct msg_heartbeat {
	uint64_t incarnation; /* of the sending process */
	uint64_t epoch;
	uint64_t config_version;
	uint64_t seq;
	bool eligible; /* the sender may own units */
	bool leaving; /* the sender is shutting down and gets no new units */
	struct msg_units requested; /* the sender holds them or asks for them */
};

struct msg_heartbeat_reply {
	uint64_t incarnation; /* of the granter */
	uint64_t epoch;
	uint64_t config_version;
	uint64_t seq; /* of the heartbeat that this replies to */
	bool startup_wait; /* the granter just started and grants nothing */
	struct msg_units granted;
	uint64_t live_vms; /* by roster index: heard recently by the granter */
	uint64_t candidates; /* by roster index: may own units */
};

enum msg_status {
	MSG_STATUS_OK,
	MSG_STATUS_NOT_RUN, /* certain: no upstream ran it */
	MSG_STATUS_NOT_OWNER, /* as NOT_RUN; this VM does not own the shard */
	MSG_STATUS_MOVED, /* cancelled in mid-run: owner changes; send again */
	MSG_STATUS_OVERLOAD, /* as NOT_RUN; it would start after its deadline */
	MSG_STATUS_UNAVAILABLE, /* as NOT_RUN; no upstream accepts work now */
	MSG_STATUS_UNKNOWN, /* an upstream may have run it */
	MSG_STATUS_DEADLINE,
	MSG_STATUS_SNAPSHOT_GONE,
	MSG_STATUS_QUARANTINED,
	MSG_STATUS_FAILED, /* upstream answered with an error */
	MSG_STATUSES
};

/* One sub-request of a batch: the batch's request for one shard. */
struct msg_sub {
	uint64_t attempt; /* unique to the sending VM and incarnation */
	uint32_t shard;
};

struct msg_batch {
	uint64_t query; /* unique to the sending VM and incarnation */
	uint64_t config_version;
	struct gb_str request_id; /* the caller's request id, for events */
	struct gb_str service;
	uint64_t snapshot;
	uint64_t fingerprint;
	gb_time time_left; /* until the deadline, when sent */
	bool order; /* a non-idempotent request */
	bool canary;
	struct gb_str key; /* idempotency key of an order */
	struct gb_str body;
	struct msg_sub *subs;
	uint32_t subs_len;
};

struct msg_sub_result {
	uint64_t attempt;
	uint32_t shard;
	enum msg_status status;
	uint64_t snapshot;
	uint64_t docs_searched;
	gb_time queue_wait; /* in the owner's queue */
	struct gb_str body;
};

struct msg_result {
	uint64_t query;
	struct msg_sub_result *subs;
	uint32_t subs_len;
};

struct msg_cancel {
	uint64_t query;
};

/* Identity of one attempt to run an order. */
struct msg_order_id {
	uint32_t vm;
	uint64_t incarnation;
	uint64_t number;
};

struct msg_vote {
	struct gb_str key;
	int64_t issued_ms; /* wall time, from the key */
	uint64_t epoch;
	struct msg_order_id order;
};

enum msg_vote_status {
	MSG_VOTE_GRANTED,
	MSG_VOTE_TAKEN, /* another attempt has the vote and no outcome yet */
	MSG_VOTE_DONE, /* another attempt ended; its outcome is attached */
	/* The key is older than the voter's records, or these are full. */
	MSG_VOTE_ABSTAINED,
	MSG_VOTE_WRONG_EPOCH, /* the voter is in another roster epoch */
	MSG_VOTE_STATUSES
};

struct msg_vote_reply {
	struct gb_str key;
	struct msg_order_id order; /* the attempt that asked for the vote */
	enum msg_vote_status status;
	struct msg_order_id holder; /* TAKEN, DONE: attempt with the vote */
	struct gb_str outcome; /* DONE: outcome of the holder */
};

struct msg_release {
	struct gb_str key;
	struct msg_order_id order;
};

struct msg_outcome {
	struct gb_str key;
	struct msg_order_id order;
	struct gb_str outcome;
};

struct msg_config_fetch {
	uint64_t known_version;
};

struct msg_config {
	struct cfg *cfg; /* NULL when the sender has none */
};

struct msg_quarantine {
	uint64_t fingerprint;
	uint32_t crashes;
};

/*
 * An upstream process that has completed its slow start: its owner found that
 * it handles its full load.
 */
struct msg_warm_upstream {
	uint64_t upstream_hash; /* of service and replica names */
	uint64_t instance;
};

struct msg_warm {
	struct msg_warm_upstream *upstreams;
	uint32_t upstreams_len;
};

/* A VM that is not in the roster asks a granter to add it. */
struct msg_join {
	uint64_t config_version;
	struct gb_str name;
	struct gb_str host;
	uint32_t peer_port;
	uint32_t http_port;
	struct gb_str dc;
};

/*
 * The hosts that are leaving, by the platform's list of VMs. It replaces the
 * hosts of earlier messages.
 */
struct msg_leaving {
	struct gb_str *hosts;
	uint32_t hosts_len;
};

/*
 * The requests with crashes that a VM knows. It answers
 * MSG_SUSPECTS_ASK, which has no body.
 */
struct msg_suspect {
	uint64_t fingerprint;
	uint32_t crashes;
	gb_time age; /* time since the last crash */
};

struct msg_suspects {
	struct msg_suspect *suspects;
	uint32_t suspects_len;
};

/*
 * The end of a run of a request that may crash upstreams, told to the one VM
 * that adds up the lost runs of all.
 */
struct msg_run_end {
	uint64_t fingerprint;
	bool answered; /* otherwise it was lost */
	gb_time sent_age; /* time since it was sent */
	gb_time end_age; /* time since it was lost, or answered */
};

/*
 * What a VM has seen of a roll-out since its order: totals of answers by route
 * and upstream, told to the VMs that judge the target version.
 */
struct msg_rollout_row {
	uint64_t route;
	uint64_t upstream;
	bool is_target;
	uint32_t answers;
	uint32_t bad;
};

struct msg_rollout_report {
	uint64_t order;
	uint64_t vm; /* identity of the reporting process */
	gb_time age; /* of the order */
	uint32_t step;
	uint32_t calls_current; /* in flight at the current version */
	struct msg_rollout_row *rows;
	uint32_t rows_len;
};

/* The step of a roll-out; it answers a report, and spreads a roll-back. */
struct msg_rollout_step {
	uint64_t order;
	gb_time age;
	uint32_t step;
};

/* Steps of a roll-out: canary, promoting, completed, rolled back. */
#define MSG_ROLLOUT_STEPS 4

/* What a VM has admitted of an organisation, told to its bucket VM. */
struct msg_quota_report {
	uint64_t vm; /* identity of the reporting process */
	uint64_t org;
	gb_time since; /* start of the totals, by the clock of that VM */
	int64_t admitted;
	uint32_t recent; /* admitted during the last window */
	uint64_t
		number; /* of a request that the bucket VM is to decide about */
};

/* The answer to MSG_QUOTA_ASK, which is a report with a request. */
struct msg_quota_grant {
	uint64_t org;
	uint64_t number;
	bool granted;
	gb_time wait; /* until there may be room, if not granted */
};

/* The level of an organisation's bucket, in thousandths of a request. */
struct msg_quota_level {
	uint64_t org;
	bool is_answer; /* to the report with these totals */
	int64_t admitted;
	int64_t level;
};

/* VMs that may gather queries for others, as far as the sender knows. */
struct msg_helper {
	struct gb_str address; /* for datagrams */
	uint32_t dc_hash;
	uint32_t share; /* of a core, in thousandths */
	uint32_t queries; /* that it gathers */
	gb_time age; /* since it said so */
};

struct msg_helpers {
	struct msg_helper *helpers;
	uint32_t helpers_len;
};

struct msg {
	enum msg_kind kind;
	uint32_t from; /* id of the sending VM */
	uint64_t hlc; /* hybrid logical clock of the sender */
	union {
		struct msg_heartbeat heartbeat;
		struct msg_heartbeat_reply heartbeat_reply;
		struct msg_batch batch;
		struct msg_result result;
		struct msg_cancel cancel;
		struct msg_vote vote;
		struct msg_vote_reply vote_reply;
		struct msg_release release;
		struct msg_outcome outcome;
		struct msg_config_fetch config_fetch;
		struct msg_config config;
		struct msg_quarantine quarantine;
		struct msg_warm warm;
		struct msg_join join;
		struct msg_leaving leaving;
		struct msg_suspects suspects;
		struct msg_run_end run_end;
		struct msg_rollout_report rollout_report;
		struct msg_rollout_step rollout_step;
		struct msg_quota_report quota_report;
		struct msg_quota_level quota_level;
		struct msg_quota_grant quota_grant;
		struct msg_helpers helpers;
	};
};

/* Returns a deep copy on the heap. */
struct msg *msg_copy(const struct msg *msg);

/* Frees a message made by msg_copy() or a decoder, and msg itself. */
void msg_free(struct msg *msg);

/* Returns the name of a kind for error texts; "unknown" for bad values. */
struct gb_str msg_kind_name(enum msg_kind kind);

static inline bool msg_units_has(const struct msg_units *units, uint32_t unit)
{
	return units->word[unit / 64] >> (unit % 64) & 1;
}

static inline void msg_units_set(struct msg_units *units, uint32_t unit)
{
	units->word[unit / 64] |= 1ULL << (unit % 64);
}

static inline bool msg_order_id_eq(const struct msg_order_id *a,
				   const struct msg_order_id *b)
{
	return a->vm == b->vm && a->incarnation == b->incarnation &&
	       a->number == b->number;
}

#endif
