#ifndef FR_INTERNAL_H
#define FR_INTERNAL_H

/*
 * NAME
 *	fr-internal - the state of one VM, within the package
 *
 * DESCRIPTION
 *	The followers of the stored objects are kept in files that call one way:
 *	fr-directory.c runs the steps and applies what they bring, fr-silence.c
 *	finds watches that do not return, fr-source.c chooses the source of a
 *	step, and fr-step.c has its timer and call. Files named later do not
 *	call those named earlier.
 */

#include "directory/dir-audit.h"
#include "directory/dir.h"
#include "event/ev-log.h"
#include "front/fr.h"
#include "helper/hp.h"
#include "member/mem.h"
#include "msg/msg.h"
#include "suspect/sus-keep.h"

/*
 * The watches of the liveness kind show whether the store can be reached, and
 * whether those of the others have fallen silent (fr-silence.c). Meanwhile the
 * others wait for longer, which saves calls to the store.
 */
#define FR_WATCH_WAIT_QUIET (10 * GB_SEC)

enum fr_phase {
	FR_RUNNING,
	/* not ready; keep-alive connections close after their next answer */
	FR_STOPPING,
	/* idle connections are closed as well, and new attempts dropped */
	FR_CLOSING
};

/* Another VM, as a source of stored objects. */
struct fr_peer {
	struct ht_target *target;
	struct ht_target *query_target; /* for queries handed over; or NULL */
	gb_time avoid_until; /* end of the back-off after a failure */
};

struct fr_delegation;

/* State of following one kind of objects. */
struct fr_follower {
	struct fr *fr;
	enum fr_object_kind kind;
	struct dir_follower state;
	struct mir_table *mirror; /* copy of the objects, served to other VMs */
	GQueue long_polls; /* of struct fr_long_poll: VMs waiting for changes */
	struct fr_peer *peer; /* the current source, if it is a VM */
	/* next source, known to have the objects; or NULL */
	struct fr_peer *hinted_peer;
	struct fr_peer *last_peer; /* that answered; or NULL */
	gb_time requested_at;
	gb_time requested_at_boot; /* the same, by fr_boot_now() */
	bool had_changes; /* the last answer to a watch */
	bool peer_unresponsive; /* the last VM asked did not answer in time */
	/* until then a VM is preferred, after a failure of the store */
	gb_time avoid_store_until;
	struct ht_call call;
	bool call_running;
	int http_status;
	int64_t answer_era; /* of the last answer */
	bool is_era_bad; /* that answer has an era that cannot be read */
	/* fires when the step is due, or when its call times out */
	uv_timer_t timer;
	uv_timer_cb on_timer;
};

/* Calls to the store for the records of requests that crash upstreams. */
struct fr_keep {
	struct fr *fr;
	struct sus_keeper keeper;
	struct ht_call call;
	bool running;
	enum sus_keep_step step; /* of the call that runs */
	struct sus_kept kept; /* that it is about */
	bool replaces; /* there is a record of the request already */
	int http_status;
	gb_time started_at;
	uint32_t records_new; /* of the list that is being read */
};

/* A roll-out, and what the store has of it. */
struct fr_rollout {
	struct ro_rollout *rollout;
	int64_t era; /* of the store that had the order */
	int64_t revision; /* of the order's object */
	bool is_listed; /* in the list that is being read */
	bool has_status; /* in the store */
	enum ro_step stored_step;
	/* since when another step is to be stored; GB_NEVER if none is */
	gb_time to_store_since;
	gb_time write_at; /* the next write, not before */
};

/* The roll-outs, and the calls to the store for their status. */
struct fr_rollouts {
	GHashTable *by_service; /* name to struct fr_rollout */
	uint64_t vm; /* identity of this process in reports */
	struct ht_call call;
	bool call_running;
	struct gb_str written_service; /* owned; of the running call */
	uint64_t written_order;
	enum ro_step written_step;
	int http_status;
	gb_time started_at;
};

struct fr {
	struct fr_settings settings;
	const struct fr_platform *platform;
	const char *settings_file;
	fr_reload_fn reload;
	void *reload_ctx;
	uint64_t settings_hash;
	uv_loop_t *loop;
	uv_signal_t signals[3];
	uv_timer_t tick_timer;
	enum fr_phase phase;
	gb_time started_at;
	gb_time stopping_since; /* when SIGTERM was received */
	gb_time closing_since; /* when the phase FR_CLOSING began */
	bool was_ready;
	struct gb_rng rng;
	struct met_registry metrics;
	struct ev_log log;
	struct ht_server caller_server;
	struct ht_server ready_server;
	struct ht_server control_server;
	struct ht_server metrics_server;
	struct fl_fleet *fleet;
	struct fw_engine engine;
	struct rt_current config; /* routes and services in force */
	GQueue queries; /* of struct fr_query */
	struct ht_memory memory; /* bounds requests and answers together */
	uv_check_t loop_check;
	gb_time eviction_logged_at;
	struct mem_table *members;
	struct gb_str member_address; /* for datagrams; owned */
	uv_udp_t member_socket;
	gb_time suspects_asked_at;
	struct fr_keep keep;
	struct fr_rollouts rollouts;
	struct dir_proof routes_proof; /* by fr_boot_now() */
	bool keys_were_fresh;
	struct og_limiter *limiter;
	struct og_buckets *buckets;
	uint64_t quota_vm; /* identity of this process in reports */
	struct hp_table *helpers;
	GQueue delegations; /* of struct fr_delegation */
	uint32_t queries_of_others; /* gathered for other VMs */
	GHashTable *asks; /* number to struct fr_ask */
	uint64_t asks_made;
	uint32_t ticks;
	struct ht_target *store_target;
	GHashTable *peers; /* control address of a VM to struct fr_peer */
	struct fr_follower followers[FR_KINDS];
	int kinds; /* number of kinds that are followed */
	struct dir_bounds bounds; /* from which the waits are computed */
	struct dir_timing timing; /* waits of the followers */
	int64_t store_era; /* the latest of all followers; 0: none is known */
	struct dir_audit audit; /* of the watches of the store */
	uv_timer_t audit_timer;
};

/* A caller's request in flight. */
struct fr_query {
	struct fr *fr;
	struct fr_delegation *delegation; /* to a VM that is late; or NULL */
	bool is_of_other; /* gathered for another VM */
	GList link; /* in fr->queries */
	struct ht_exchange *exchange;
	struct fw_request *request;
	struct ht_memory_holder holder; /* of the request and answered parts */
	struct gb_buf common_head; /* part of the head that all upstreams get */
	uv_timer_t timer;
};

void fr_log_event(struct fr *fr, const struct ev_event *event);

/* Requests of callers. */
extern const struct ht_server_ops fr_caller_ops;
extern const struct fw_ops fr_forward_ops;
void fr_query_free_or_rearm(struct fr_query *query);
void fr_abort_queries(struct fr *fr);

/* Calls to upstreams. */
extern const struct fl_ops fr_fleet_ops;
extern const struct fl_membership fr_membership;
void fr_upstream_send(void *ctx, struct fw_call *call);
void fr_upstream_cancel(void *ctx, struct fw_call *call);

/* Applies the objects that were read from the store; the context is the VM. */
extern const struct fr_object_ops fr_object_ops;

/* Reading the objects of the store. */
int fr_directory_start(struct fr *fr);

/*
 * Reads the objects from a member at once, if this VM still lacks some; the
 * member has announced that it has all of them.
 */
void fr_directory_try_member(struct fr *fr, struct gb_str member);
bool fr_is_synced(const struct fr *fr);
bool fr_routes_may_be_stale(const struct fr *fr);

/* Ends the call of a follower, if any, without a result. */
void fr_cancel_step(struct fr_follower *follower);

/* Starts the next step of a follower at that time. */
void fr_schedule_step(struct fr_follower *follower, gb_time at);

/* Computes the waits of the followers from the bounds, and logs them. */
void fr_update_timing(struct fr *fr);

/* Watches of the store that may have fallen silent. */
void fr_silence_init(struct fr *fr);

/*
 * Appends what a request would meet now. The question has lines of "NAME
 * VALUE": host, path, and the key of an organisation.
 */
void fr_explain(struct fr *fr, struct gb_str question, struct gb_buf *out);

/* Called at the end of a step, whose answer may be of a later era. */
void fr_era_seen(struct fr_follower *follower);

/* Records that a list was read to its end. */
void fr_silence_listed(struct fr_follower *follower);

/* Records the answer to a watch; called before the follower takes it over. */
void fr_silence_watched(struct fr_follower *follower,
			const struct fr_page *page);

/*
 * Handles a watch that was not answered in time: it may have fallen silent, and
 * at the store those of the other kinds with it. Returns false if the call of
 * the follower should have been answered at once.
 */
bool fr_silence_handle_timeout(struct fr_follower *follower);

/*
 * Renews a watch of the store whose connection was closed while it waited.
 * Returns false if the call of the follower is no such watch.
 */
bool fr_silence_handle_cut(struct fr_follower *follower);

/* Renews watches whose silence is not noticed any more, by a new source. */
void fr_silence_source_chosen(const struct fr_follower *follower);

struct fr_peer *fr_get_peer(struct fr *fr, struct gb_str member);

/* Returns where to send queries that a member gathers; NULL if unknown. */
struct ht_target *fr_query_target(struct fr *fr, struct gb_str member);
void fr_close_idle_query_targets(struct fr *fr);

/* The store; NULL if its address cannot be read. */
struct ht_target *fr_store_target(struct fr *fr);

/* Chooses the source of the next step: the store, or a VM that follows it. */
struct ht_target *fr_choose_source(struct fr_follower *follower, gb_time now);

/* Records whether the source answered, and whether the answer was usable. */
void fr_record_source_result(struct fr_follower *follower, bool answered,
			     bool is_usable);

/* Serves lists and watches to VMs that follow this one. */
void fr_mirror_serve(struct fr *fr, struct ht_exchange *exchange,
		     const struct fr_store_query *query);
void fr_mirror_on_disconnect(struct ht_exchange *exchange);
void fr_mirror_notify(struct fr_follower *follower);
void fr_mirror_tick(struct fr *fr, gb_time now);

/* Membership of the tier. */
int fr_member_start(struct fr *fr);
void fr_member_tick(struct fr *fr);

/* Send a datagram to a member, without retransmission. */
void fr_member_send(struct fr *fr, struct gb_str member, struct gb_str bytes);
void fr_member_send_to(struct fr *fr, const struct sockaddr *to,
		       struct gb_str bytes);

/* Requests that crash upstreams. */
void fr_suspect_init(struct fr *fr);

/* Hashes host, path and body, to recognise a repeated request. */
uint64_t fr_request_fingerprint(const struct ht_request *request,
				struct gb_str host);

/*
 * Announces to some members how many upstreams a request may have crashed, by
 * the count of this VM, and keeps a record of it once it is quarantined.
 */
void fr_suspect_report(void *ctx, uint64_t fingerprint, uint32_t crashes);

/* Records of crashing requests, for when all VMs end together. */
void fr_keep_init(struct fr *fr);

/* Keeps a record of the request in the store if it is quarantined. */
void fr_keep_crashes(struct fr *fr, uint64_t fingerprint);

/* Records crashes that another VM has counted and keeps a record of. */
void fr_keep_told(struct fr *fr, const struct sus_record *record);

/* Removes the record of a quarantined request, since it was answered. */
void fr_keep_cleared(struct fr *fr, uint64_t fingerprint);

/* Ends a call that has timed out, and makes the one that is due. */
void fr_keep_tick(struct fr *fr);

/*
 * Tells the VM that adds up the lost runs of a request that it was answered
 * after so many crashes.
 */
void fr_suspect_tell_answer(void *ctx, uint64_t fingerprint, uint32_t crashes);

/* Tells other VMs of lost runs, and asks one for what it suspects. */
void fr_suspect_tick(struct fr *fr);

/* Handles a message about requests that crash upstreams; ignores others. */
void fr_suspect_receive(struct fr *fr, const struct sockaddr *from,
			const struct msg *msg);

/* Roll-outs of services to other versions. */
void fr_rollout_init(struct fr *fr);
void fr_rollout_ordered(struct fr *fr, const struct fr_rollout_order *order);
void fr_rollout_withdrawn(struct fr *fr, struct gb_str service);

/* Orders without a fr_rollout_ordered() between these are withdrawn. */
void fr_rollout_list_begin(struct fr *fr);
void fr_rollout_list_end(struct fr *fr);
void fr_rollout_tick(struct fr *fr);

/* Handle messages of other VMs; an unknown order is ignored. */
void fr_rollout_report(struct fr *fr, const struct sockaddr *from,
		       const struct msg_rollout_report *m);
void fr_rollout_step(struct fr *fr, const struct msg_rollout_step *m);

/* Appends a line for each roll-out. */
void fr_rollout_text(struct fr *fr, struct gb_buf *out);

/* Takes over the step of a roll-out: logs it, and sets the versions. */
void fr_rollout_apply_step(struct fr *fr, struct fr_rollout *entry);

/* Writes the status of a roll-out that the store does not have yet. */
void fr_rollout_store_tick(struct fr *fr);

/* Random members to announce to; each announces in turn. */
#define ANNOUNCE_FANOUT 8

/* Send a message to another VM, or to some random ones. */
void fr_member_send_message(struct fr *fr, const struct sockaddr *to,
			    const struct msg *msg);
void fr_member_announce(struct fr *fr, const struct msg *msg, uint32_t members);

/* Continue with a request: forward it, or refuse it as not run. */
void fr_query_start(struct fr *fr, struct ht_exchange *exchange,
		    struct rt_table *table, struct rt_route *route,
		    const struct og_org *org,
		    const struct fr_request_info *info);
void fr_query_refuse(struct fr *fr, struct ht_exchange *exchange,
		     const struct fr_request_info *info, int status,
		     gb_time retry_after);
/* Queries that other VMs gather, and announcements of who may do so. */
void fr_helper_init(struct fr *fr);
void fr_helper_tick(struct fr *fr);
void fr_helper_receive(struct fr *fr, const struct msg_helpers *m);

/*
 * A query to be gathered by this VM: fr_query_run() starts it, and may end it
 * at once.
 */
struct fr_query *fr_query_new(struct fr *fr, struct ht_exchange *exchange,
			      struct rt_table *table, struct rt_route *route,
			      const struct fw_request_params *params);
void fr_query_run(struct fr_query *query);

/* Ends a query without a reply. */
void fr_query_cancel(struct fr_query *query);

/* Readiness, metrics and status. */
extern const struct ht_server_ops fr_ready_ops;
extern const struct ht_server_ops fr_control_ops;
bool fr_is_ready(const struct fr *fr);

/* Time at which a stopping process answers what still runs, and ends. */
gb_time fr_stop_deadline(const struct fr *fr);

/* Applies settings and the number of members to the retry budget. */
void fr_update_budget(struct fr *fr);
void fr_set_server_limits(struct ht_server *server,
			  const struct rt_limits *limits);
void fr_apply_settings(struct fr *fr);
void fr_reload_settings(struct fr *fr, bool forced);

#endif
