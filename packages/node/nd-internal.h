#ifndef ND_INTERNAL_H
#define ND_INTERNAL_H

/*
 * NAME
 *	nd-internal - state of a node, shared by the files of this package
 *
 * DESCRIPTION
 *	The files are layered: a file calls only functions of files that are
 *	listed above it in this header. A new configuration is announced from
 *	nd-config.c to higher files through the table of configuration
 *	listeners. nd-input.c has all input functions and nd-node.c creates
 *	the node.
 */

#include "node/nd.h"
#include "once/once.h"
#include "query/qry.h"
#include "quorum/quo.h"
#include "shard/shd.h"
#include "suspect/sus.h"

#include <glib.h>

/* Crashes after which a request is quarantined. */
#define ND_CRASHES_MAX 2

/* State of a service that is kept from one configuration to the next. */
struct nd_service {
	struct gb_str name; /* owned */
	struct shd_service shared;
	struct qry_admission admission;
	GPtrArray *shards; /* of struct nd_shard, by index; an element may be
			      NULL */
};

/* A shard that this VM owns or has owned. */
struct nd_shard {
	struct node *node;
	struct shd_shard *shard;
	struct nd_service *service;
	uint32_t index; /* of the shard within the service */
	uint32_t unit;
};

/*
 * The sub-requests of one query that run on this VM. Query numbers are unique
 * over all entry VMs.
 */
struct nd_work {
	uint32_t vm; /* entry VM, which the results go to */
	uint64_t query;
	struct gb_str request_id; /* owned */
	uint32_t pending; /* sub-requests without a result */
	bool results_queued; /* is in works_to_send */
	GArray *results; /* of struct msg_sub_result; bodies are borrowed */
	GArray *shards; /* of struct nd_shard pointers, for a cancel message */
};

enum nd_order_state {
	ND_ORDER_VOTING,
	ND_ORDER_SEND_PENDING, /* may run; not yet sent to the owner */
	ND_ORDER_SENT,
	/* the caller was answered; a late result is still awaited */
	ND_ORDER_OUTCOME_UNKNOWN
};

/* One order that this VM coordinates. */
struct nd_order {
	enum nd_order_state state;
	struct once_attempt attempt;
	struct gb_str id; /* owned */
	struct gb_str service; /* owned */
	struct gb_str body; /* owned */
	uint64_t fingerprint;
	uint64_t caller;
	bool caller_gone;
	gb_time started_at;
	gb_time deadline;
	gb_time next_tick;
	uint32_t shard;
	uint64_t sub_attempt; /* attempt id of the sub-request */
	uint32_t sends;
};

/* One write of a new configuration to the platform. */
struct nd_config_write {
	uint64_t caller; /* 0 for a change of the roster by this VM */
	uint64_t plan; /* id that the new configuration records */
	uint64_t base_version;
	struct cfg *new_cfg; /* referenced */
	gb_time deadline;
	gb_time read_back_at; /* GB_NEVER while a call is outstanding */
	uint64_t call_tag; /* of the outstanding call */
};

/* State of the reads and watches of the platform's configuration object. */
struct nd_config_source {
	uint64_t read_tag; /* 0 if none is outstanding */
	uint64_t watch_tag;
	gb_time retry_at;
	gb_time backoff;
	bool down; /* the platform does not answer */
	gb_time next_fetch_at; /* no fetch from a peer before this time */
};

/* Hosts that are leaving, by the platform's list of VMs. */
struct nd_leaving {
	GHashTable *hosts; /* set of host names, as C strings */
	uint64_t list_hlc; /* time stamp of the newest list */
	uint64_t call_tag; /* of the outstanding call; 0 for none */
	gb_time next_read_at;
};

/* Is called after a new configuration took effect. */
typedef void (*nd_config_listener)(struct node *node);

struct node {
	struct nd_settings settings;
	const struct nd_ops *ops;
	const nd_config_listener *config_listeners; /* ends with NULL */
	void *ctx;
	struct met_registry *metrics;
	struct nd_clock clock;
	struct gb_rng rng;
	struct ev_clock hlc;

	struct cfg_store store;
	struct quo_members members;
	struct quo_granter granter;
	struct quo_holder holder;
	struct once_voter *voter;
	bool voter_started;
	bool is_granter;
	uint64_t granter_epoch; /* last epoch in which this VM was a granter */
	struct sus_table *suspects;

	gb_time started_at;
	gb_time next_roster_check;
	int self_index; /* roster index; -1 when not in the roster */
	gb_time next_heartbeat_at;
	gb_time fast_heartbeat_until;
	gb_time reply_at[CFG_VMS_MAX]; /* last counted reply; see
					  nd_has_quorum() */
	uint64_t reply_epoch; /* roster epoch of the indexes of reply_at */
	uint64_t reply_candidates; /* by the last reply of a granter */
	uint64_t reply_live_vms;
	uint64_t live_vms; /* bitmap of members, as of the last tick */
	uint64_t candidates; /* bitmap of members that may own units */
	int8_t unit_owner[CFG_UNITS]; /* roster index or -1 */
	struct msg_units draining_units; /* to be released once idle */
	bool units_moving; /* units are being gained or released by this VM */
	struct msg_units held_units; /* as last reported by events */
	bool was_ready;

	GPtrArray *services; /* of struct nd_service */
	GPtrArray *shards; /* of struct nd_shard */
	GHashTable *warm_instances; /* hash of an upstream to instance */
	GHashTable *calls; /* call id to struct nd_shard */
	GHashTable *works; /* query number to struct nd_work */
	GPtrArray *works_to_send; /* of struct nd_work with results to send */
	GHashTable *queries; /* number to struct qry_query */
	GPtrArray *ended_queries; /* queries to be freed */
	GHashTable *orders; /* number to struct nd_order */
	GHashTable *seen_orders; /* attempts of orders that arrived here */
	GQueue *seen_orders_by_age; /* the same attempts, oldest first */
	GPtrArray *config_writes; /* of struct nd_config_write */
	struct nd_config_source config_source;
	struct nd_leaving leaving;
	struct cfg *effective_cfg; /* configuration, with the upstreams on
				      leaving hosts marked as draining */
	GQueue *loopback_queue; /* messages of this VM to itself */

	uint64_t id_base;
	uint32_t id_next;
	uint64_t tag_next;
	bool stopping;
};

/* nd-state.c */
uint64_t nd_new_id(struct node *node);
bool nd_has_quorum(const struct node *node);
int nd_shard_owner(const struct node *node, const struct cfg_service *service,
		   uint32_t shard);

/* nd-event.c */
void nd_event_emit(struct node *node, enum ev_code code, struct gb_str request,
		   struct gb_str upstream, struct gb_str dc, int64_t a,
		   int64_t b);
void nd_event_emit_plain(struct node *node, enum ev_code code, int64_t a,
			 int64_t b);

/* nd-peer.c */
void nd_send(struct node *node, uint32_t vm, struct msg *msg);
void nd_send_all(struct node *node, struct msg *msg);
void nd_send_granters(struct node *node, struct msg *msg);

/* nd-config.c */
void nd_config_tick(struct node *node);
void nd_config_adopt(struct node *node, struct cfg *cfg);
void nd_config_fetch_if_newer(struct node *node, uint32_t vm, uint64_t version);
void nd_config_store_done(struct node *node,
			  const struct nd_store_result *result);
void nd_on_config_fetch(struct node *node, const struct msg *msg);
void nd_on_config(struct node *node, const struct msg *msg);

/* nd-work.c */
struct nd_work *nd_work_find(struct node *node, uint64_t query);
struct nd_work *nd_work_find_or_add(struct node *node, const struct msg *msg);
void nd_work_add_result(struct node *node, struct nd_work *work,
			const struct msg_sub_result *result);
void nd_work_send_results(struct node *node);
void nd_work_free(struct node *node, struct nd_work *work);
void nd_work_free_all(struct node *node);

/* nd-dedup.c */
bool nd_dedup_accept_order(struct node *node, const struct msg *msg,
			   uint64_t attempt);
void nd_dedup_expire_orders(struct node *node);

/* nd-warm.c */
void nd_warm_record(struct node *node, struct nd_shard *owned, uint32_t replica,
		    uint64_t instance);
void nd_warm_update_shard(struct node *node, struct nd_shard *owned);
void nd_warm_apply_config(struct node *node);
void nd_warm_send(struct node *node, uint32_t vm);
void nd_on_warm(struct node *node, const struct msg *msg);

/* nd-owner.c */
void nd_owner_tick(struct node *node);
void nd_owner_apply_config(struct node *node);
void nd_owner_update_leases(struct node *node);
bool nd_owner_is_unit_idle(const struct node *node, uint32_t unit);
void nd_owner_drain_unit(struct node *node, uint32_t unit);
uint32_t nd_owner_count_running(const struct node *node);
void nd_owner_upstream_done(struct node *node,
			    const struct nd_upstream_result *result);
void nd_owner_free(struct node *node);
struct nd_shard *nd_shard_find_or_add(struct node *node, int service,
				      uint32_t index);
struct nd_service *nd_service_find_or_add(struct node *node,
					  const struct cfg_service *cfg);
void nd_on_quarantine(struct node *node, const struct msg *msg);

/* nd-batch.c */
void nd_on_batch(struct node *node, const struct msg *msg);
void nd_on_cancel(struct node *node, const struct msg *msg);

/* nd-leaving.c */
void nd_leaving_tick(struct node *node);
void nd_leaving_apply_config(struct node *node);
void nd_leaving_send(struct node *node, uint32_t vm);
bool nd_leaving_includes_self(const struct node *node);
void nd_leaving_store_done(struct node *node,
			   const struct nd_store_result *result);
void nd_on_leaving(struct node *node, const struct msg *msg);

/* nd-soft-state.c */
void nd_send_soft_state(struct node *node, uint32_t vm);

/* nd-order.c */
void nd_order_start(struct node *node, const struct nd_request *request);
void nd_order_tick(struct node *node);
void nd_order_free(gpointer data);
bool nd_order_handle_result(struct node *node, uint64_t number,
			    const struct msg_sub_result *result);
void nd_order_caller_gone(struct node *node, uint64_t caller);
uint32_t nd_order_count_running(const struct node *node);
void nd_on_vote(struct node *node, const struct msg *msg);
void nd_on_vote_reply(struct node *node, const struct msg *msg);
void nd_on_release(struct node *node, const struct msg *msg);
void nd_on_outcome(struct node *node, const struct msg *msg);

/* nd-query.c */
void nd_query_start(struct node *node, const struct nd_request *request);
void nd_query_tick(struct node *node);
void nd_query_apply_config(struct node *node);
void nd_query_vm_lost(struct node *node, uint32_t vm);
void nd_query_caller_gone(struct node *node, uint64_t caller);
void nd_query_free_ended(struct node *node);
void nd_on_result(struct node *node, const struct msg *msg);

/* nd-member.c */
void nd_member_tick(struct node *node);
void nd_member_apply_config(struct node *node);
void nd_member_speed_up_heartbeats(struct node *node);
void nd_on_heartbeat(struct node *node, const struct msg *msg);
void nd_on_heartbeat_reply(struct node *node, const struct msg *msg);

/* nd-plan.c */
void nd_plan_make(struct node *node, uint64_t caller,
		  const struct pln_intent *intent);
void nd_plan_confirm(struct node *node, uint64_t caller, uint64_t plan,
		     uint64_t base_version, const struct pln_intent *intent);
void nd_plan_write(struct node *node, uint64_t caller, uint64_t plan,
		   uint64_t base_version, struct cfg *next);
void nd_plan_tick(struct node *node);
void nd_plan_store_done(struct node *node,
			const struct nd_store_result *result);
void nd_config_write_free(gpointer data);

/* nd-roster.c */
void nd_roster_tick(struct node *node);
void nd_on_join(struct node *node, const struct msg *msg);

#endif
