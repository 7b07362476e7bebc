#ifndef ND_INTERNAL_H
#define ND_INTERNAL_H

/*
 * NAME
 *	nd-internal - state of a node, shared by the files of this package
 *
 * DESCRIPTION
 *	Calls go from the files named last below to those named before them.
 *	What a lower file has to tell higher ones goes through the table of
 *	followers. nd-input.c takes all inputs and nd-node.c makes the node.
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

/* State of a service that outlives configuration versions. */
struct nd_service {
	struct gb_str name; /* owned */
	struct shd_service shared;
	struct qry_admission admission;
	GPtrArray *shards; /* of struct nd_shard by shard index; may be NULL */
};

/* One shard that this VM owns or owned. */
struct nd_shard {
	struct node *node;
	struct shd_shard *shard;
	struct nd_service *service;
	uint32_t index; /* of the shard within the service */
	uint32_t unit;
};

/* What one query of an entry VM has running here; its number names the VM. */
struct nd_work {
	uint32_t vm;
	uint64_t query;
	struct gb_str request; /* owned */
	uint32_t open; /* sub-requests without a result */
	bool queued; /* is in the list of results to be sent */
	GArray *results; /* of struct msg_sub_result; bodies are borrowed */
	GArray *shards; /* of struct nd_shard pointers, for the cancel */
};

enum nd_order_state {
	ND_ORDER_VOTING,
	ND_ORDER_DUE, /* may run; to be sent to the owner */
	ND_ORDER_SENT,
	ND_ORDER_CLOSED /* answered as unknown; waits for a late outcome */
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
	gb_time begin;
	gb_time deadline;
	gb_time next_tick;
	uint32_t shard;
	uint64_t sub; /* attempt identity of the sub-request */
	uint32_t sends;
};

/* One confirmation that waits for the platform. */
struct nd_confirm {
	uint64_t caller;
	uint64_t plan;
	uint64_t base_version;
	struct cfg *next; /* referenced */
	gb_time deadline;
	gb_time next_tick; /* GB_NEVER while a call is outstanding */
	uint64_t tag; /* of the outstanding call */
};

/* Reads and watches of the configuration object. */
struct nd_source {
	uint64_t read_tag; /* 0 when none is outstanding */
	uint64_t watch_tag;
	gb_time retry_at;
	gb_time pause;
	bool down;
	gb_time fetch_at; /* earliest time of the next fetch from a peer */
};

/* Hosts that leave, by the platform's list of VMs. */
struct nd_leaving {
	GHashTable *hosts; /* set of texts */
	uint64_t hlc; /* stamp of the newest list */
	uint64_t tag; /* of the outstanding call; 0 for none */
	gb_time next;
};

/* Takes over that another configuration is in force. */
typedef void (*nd_follower)(struct node *node);

struct node {
	struct nd_settings settings;
	const struct nd_ops *ops;
	const nd_follower *followers; /* ends with NULL */
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

	gb_time started;
	gb_time roster_at; /* next look at the roster */
	int self; /* roster index; -1 when not in the roster */
	gb_time heartbeat_at;
	gb_time hurry_until; /* heartbeats go faster until then */
	gb_time reply_at[CFG_VMS_MAX]; /* sent by a granter as new as us */
	uint64_t reply_epoch; /* of the positions in reply_at */
	uint64_t reply_ready; /* candidates as the last granter saw them */
	uint64_t reply_live;
	uint64_t live; /* members that counted as live at the last tick */
	uint64_t candidates; /* members that may own units */
	int8_t owner[CFG_UNITS]; /* roster index or -1 */
	struct msg_units draining; /* wanted no longer; their work ends */
	bool moving; /* units are on their way to or from this VM */
	struct msg_units held; /* for events */
	bool was_ready;

	GPtrArray *services; /* of struct nd_service */
	GPtrArray *shards; /* of struct nd_shard */
	GHashTable *warm; /* hash of an upstream to its warm instance */
	GHashTable *calls; /* call identity to struct nd_shard */
	GHashTable *works; /* query number to struct nd_work */
	GPtrArray *results; /* of struct nd_work with results to send */
	GHashTable *queries; /* number to struct qry_query */
	GPtrArray *ended; /* queries to be freed */
	GHashTable *orders; /* number to struct nd_order */
	GHashTable *orders_seen; /* sub-requests of orders that arrived here */
	GQueue *orders_seen_age; /* the same, oldest first */
	GPtrArray *confirms; /* of struct nd_confirm */
	struct nd_source source;
	struct nd_leaving leaving;
	struct cfg *view; /* configuration with leaving upstreams drained */
	GQueue *self_queue; /* messages of this VM to itself */

	uint64_t id_base;
	uint32_t id_next;
	uint64_t tag_next;
	bool stopping;
};

/* nd-state.c */
uint64_t nd_id(struct node *node);
bool nd_quorum(const struct node *node);
int nd_owner_of(const struct node *node, const struct cfg_service *service,
		uint32_t shard);

/* nd-event.c */
void nd_event(struct node *node, enum ev_code code, struct gb_str request,
	      struct gb_str upstream, struct gb_str dc, int64_t a, int64_t b);
void nd_event_plain(struct node *node, enum ev_code code, int64_t a, int64_t b);

/* nd-peer.c */
void nd_send(struct node *node, uint32_t vm, struct msg *msg);
void nd_send_all(struct node *node, struct msg *msg);
void nd_send_granters(struct node *node, struct msg *msg);

/* nd-config.c */
void nd_config_tick(struct node *node);
void nd_config_offer(struct node *node, struct cfg *cfg);
void nd_config_heard(struct node *node, uint32_t vm, uint64_t version);
void nd_config_store_done(struct node *node,
			  const struct nd_store_result *result);
void nd_on_config_fetch(struct node *node, const struct msg *msg);
void nd_on_config(struct node *node, const struct msg *msg);

/* nd-work.c */
struct nd_work *nd_work_find(struct node *node, uint64_t query);
struct nd_work *nd_work_get(struct node *node, const struct msg *msg);
void nd_work_add(struct node *node, struct nd_work *work,
		 const struct msg_sub_result *result);
void nd_work_flush(struct node *node);
void nd_work_free(struct node *node, struct nd_work *work);
void nd_work_free_all(struct node *node);

/* nd-seen.c */
bool nd_seen_is_new(struct node *node, const struct msg *msg, uint64_t attempt);
void nd_seen_tick(struct node *node);

/* nd-warm.c */
void nd_warm_note(struct node *node, struct nd_shard *entry, uint32_t replica,
		  uint64_t instance);
void nd_warm_apply(struct node *node, struct nd_shard *entry);
void nd_warm_follow(struct node *node);
void nd_warm_send(struct node *node, uint32_t vm);
void nd_on_warm(struct node *node, const struct msg *msg);

/* nd-owner.c */
void nd_owner_tick(struct node *node);
void nd_owner_follow(struct node *node);
void nd_owner_leases(struct node *node);
bool nd_owner_unit_idle(const struct node *node, uint32_t unit);
void nd_owner_unit_drain(struct node *node, uint32_t unit);
uint32_t nd_owner_running(const struct node *node);
void nd_owner_answer(struct node *node,
		     const struct nd_upstream_result *result);
void nd_owner_free(struct node *node);
struct nd_shard *nd_shard_get(struct node *node, int service, uint32_t index);
struct nd_service *nd_service_get(struct node *node,
				  const struct cfg_service *cfg);
void nd_on_quarantine(struct node *node, const struct msg *msg);

/* nd-batch.c */
void nd_on_batch(struct node *node, const struct msg *msg);
void nd_on_cancel(struct node *node, const struct msg *msg);

/* nd-leaving.c */
void nd_leaving_tick(struct node *node);
void nd_leaving_follow(struct node *node);
void nd_leaving_send(struct node *node, uint32_t vm);
bool nd_leaving_self(const struct node *node);
void nd_leaving_done(struct node *node, const struct nd_store_result *result);
void nd_on_leaving(struct node *node, const struct msg *msg);

/* nd-greet.c */
void nd_greet(struct node *node, uint32_t vm);

/* nd-order.c */
void nd_order_start(struct node *node, const struct nd_request *request);
void nd_order_tick(struct node *node);
void nd_order_free(gpointer data);
bool nd_order_result(struct node *node, uint64_t number,
		     const struct msg_sub_result *result);
void nd_order_caller_gone(struct node *node, uint64_t caller);
uint32_t nd_order_running(const struct node *node);
void nd_on_vote(struct node *node, const struct msg *msg);
void nd_on_vote_reply(struct node *node, const struct msg *msg);
void nd_on_release(struct node *node, const struct msg *msg);
void nd_on_outcome(struct node *node, const struct msg *msg);

/* nd-query.c */
void nd_query_start(struct node *node, const struct nd_request *request);
void nd_query_tick(struct node *node);
void nd_query_follow(struct node *node);
void nd_query_vm_lost(struct node *node, uint32_t vm);
void nd_query_caller_gone(struct node *node, uint64_t caller);
void nd_query_reap(struct node *node);
void nd_on_result(struct node *node, const struct msg *msg);

/* nd-member.c */
void nd_member_tick(struct node *node);
void nd_member_follow(struct node *node);
void nd_member_hurry(struct node *node);
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
void nd_confirm_free(gpointer data);

/* nd-roster.c */
void nd_roster_tick(struct node *node);
void nd_on_join(struct node *node, const struct msg *msg);

#endif
