#ifndef SHD_INTERNAL_H
#define SHD_INTERNAL_H

/*
 * NAME
 *	shd-internal - internal types and functions of the shard aggregate
 *
 * DESCRIPTION
 *	An entry is one sub-request. It has at most two active calls, an
 *	attempt and its hedge. A call counts as in flight at its upstream until
 *	its answer arrives or it expires, also when its entry is already done.
 *	The entry is freed with its last call.
 *
 *	Every live entry has one timer in the shard's heap, set to the earliest
 *	of its deadline, its hedge time and the expiry of its calls.
 *
 *	The functions are declared below by file. A file calls functions only
 *	of files that come before it there.
 *
 *	The functions of shd_ops may call back into the shard and end any
 *	entry. A function that calls one of them must hold a reference
 *	(ref_count) to an entry that it uses afterwards.
 */

#include "shard/shd.h"

#include <glib.h>

#define SHD_CALLS_MAX 2 /* active calls per entry: attempt and hedge */

/* Bounds memory; normally the deadlines keep the queue far shorter. */
#define SHD_QUEUE_MAX 1024

/*
 * A call without an answer is ended as timed out this long after its timeout.
 * By then the upstream has stopped working on it, also if it counts the
 * timeout from the receipt of the request.
 */
#define SHD_CALL_GRACE (100 * GB_MSEC)

/* The attempt time histogram is halved after this many attempts. */
#define SHD_DECAY_ATTEMPTS 2000

/* Crash records kept, so that one crash is not counted twice. */
#define SHD_CRASH_RECORDS_MAX 16

/* Retries go before first attempts, because they have waited already. */
enum shd_queue_class { SHD_CLASS_RETRY, SHD_CLASS_FIRST, SHD_CLASSES };

enum shd_entry_state { SHD_QUEUED, SHD_PARKED, SHD_RUNNING, SHD_DONE };

/* What a call tests about a request that may crash its upstream. */
enum shd_trial_kind {
	SHD_TRIAL_NONE,
	SHD_TRIAL_CANARY, /* first run of an unknown request */
	SHD_TRIAL_ISOLATED /* run of a suspect on an otherwise idle upstream */
};

struct shd_replica {
	struct up_upstream up;
	struct gb_str name;
	uint32_t index; /* within the shard's configuration */
	uint64_t bit; /* of this replica in the replica sets of an entry */
	uint32_t generation; /* incremented at each crash of the upstream */
	bool configured; /* is in the current configuration */
};

struct shd_entry;

struct shd_call {
	uint64_t id;
	struct shd_entry *entry;
	struct shd_replica *replica;
	gb_time sent_at;
	gb_time cancelled_at; /* 0 if not cancelled */
	gb_time expires;
	uint32_t generation; /* of the replica when the call was sent */
	enum shd_trial_kind trial;
	bool active;
};

struct shd_entry {
	struct shd_request request; /* its strings point into "strings" */
	uint32_t vm; /* entry VM */
	uint64_t query;
	enum shd_entry_state state;
	enum shd_queue_class class;
	GList link; /* in a queue or in the parked list */
	struct shd_entry *next; /* entry of the same query */
	struct shd_entry *prev;
	struct shd_call calls[SHD_CALLS_MAX];
	uint32_t calls_active;
	uint32_t ref_count; /* functions that still use the entry */
	uint32_t attempts; /* without hedges */
	gb_time submitted_at;
	gb_time queue_wait; /* before the first attempt */
	gb_time hedge_at; /* GB_NEVER for no hedge */
	GList hedge_link; /* in the shard's hedge queue */
	bool hedge_queued;
	gb_time timer_at;
	size_t heap_pos; /* SIZE_MAX when not in the timer heap */
	uint64_t failed_replicas; /* set of replicas that failed the entry */
	uint64_t no_snapshot_replicas; /* set, without the entry's snapshot */
	bool free_retry_used;
	bool may_have_run;
	bool last_refused; /* the last attempt was refused by its upstream */
	char strings[]; /* key and body */
};

/* A request that ran on an upstream when it crashed. */
struct shd_crash_record {
	uint64_t fingerprint;
	const struct shd_replica *replica;
	uint32_t generation; /* of the replica before the crash */
};

struct shd_shard {
	uint32_t service; /* index in the configuration */
	uint32_t index; /* within the service */
	struct shd_service *shared;
	struct sus_table *suspects;
	struct met_registry *metrics;
	const struct shd_ops *ops;
	void *ctx; /* argument of the shd_ops functions */
	gb_time now;
	gb_time lease_expires; /* 0 without a lease */
	bool lease_lapsed;
	bool canary_enabled; /* entry VMs send unknown requests as canaries */
	double mean_time; /* us; moving average over successful attempts */
	GPtrArray *replicas; /* of struct shd_replica, as configured */
	GPtrArray *removed_replicas; /* unconfigured, but still in use */
	GQueue queues[SHD_CLASSES];
	GQueue parked; /* entries that wait for the end of a trial */
	GQueue hedge_queue; /* running entries whose hedge is due */
	GPtrArray *timer_heap; /* of struct shd_entry, earliest timer first */
	GHashTable *calls; /* set of call ids, each within its shd_call */
	GHashTable *queries; /* first entry of each query */
	uint32_t calls_in_flight;
	struct shd_replica *isolation_replica; /* reserved for a suspect */
	struct shd_entry *isolation_entry; /* suspect that is not yet sent */
	bool placing; /* shd_place_entries() is on the stack */
	bool place_again;
	struct shd_crash_record crash_records[SHD_CRASH_RECORDS_MAX];
	uint32_t crash_records_next; /* ring index, modulo the size */
};

/* shd-state.c */
void shd_emit_event(struct shd_shard *shard, enum ev_code code, uint64_t query,
		    const struct shd_replica *replica, int64_t a, int64_t b);
void shd_set_now(struct shd_shard *shard, gb_time now);
bool shd_has_open_replica(const struct shd_shard *shard);
bool shd_lease_held(const struct shd_shard *shard);
uint64_t shd_usable_replicas(const struct shd_shard *shard);
void shd_unreserve_replica(struct shd_shard *shard);

/* shd-replica.c */
void shd_apply_replicas(struct shd_shard *shard, const struct cfg *cfg,
			const struct cfg_service *service);
void shd_free_removed_replicas(struct shd_shard *shard);
void shd_free_replicas(struct shd_shard *shard);

/* shd-timer.c */
void shd_arm_timer(struct shd_shard *shard, struct shd_entry *entry);
void shd_disarm_timer(struct shd_shard *shard, struct shd_entry *entry);
struct shd_entry *shd_earliest_entry(const struct shd_shard *shard);

/* shd-queue.c */
void shd_enqueue(struct shd_entry *entry, struct shd_shard *shard,
		 enum shd_queue_class class, bool at_head);
void shd_park_entry(struct shd_shard *shard, struct shd_entry *entry);
void shd_remove_from_queue(struct shd_shard *shard, struct shd_entry *entry);
bool shd_meets_deadline(const struct shd_shard *shard,
			const struct shd_entry *entry);
gb_time shd_retry_wait_end(const struct shd_shard *shard,
			   const struct shd_entry *entry);
enum msg_status shd_late_status(const struct shd_shard *shard);
size_t shd_waiting_entries(const struct shd_shard *shard);

/* shd-hedge-time.c */
const struct shd_call *shd_unhedged_call(const struct shd_entry *entry);
bool shd_can_hedge(const struct shd_entry *entry);
void shd_schedule_hedge(struct shd_shard *shard, struct shd_entry *entry);
void shd_queue_or_delay_hedge(struct shd_shard *shard, struct shd_entry *entry);
void shd_unqueue_hedge(struct shd_shard *shard, struct shd_entry *entry);

/* shd-entry.c */
struct shd_entry *shd_entry_new(const struct shd_request *req);
void shd_add_to_query(struct shd_shard *shard, struct shd_entry *entry);
void shd_detach_entry(struct shd_shard *shard, struct shd_entry *entry);
void shd_free_or_arm_entry(struct shd_shard *shard, struct shd_entry *entry);

/* shd-suspect.c */
void shd_update_suspect(struct shd_shard *shard, const struct shd_call *call,
			enum shd_call_status status);
void shd_reserve_replica(struct shd_shard *shard, struct shd_entry *entry);

/* shd-call.c */
void shd_send_call(struct shd_shard *shard, struct shd_entry *entry,
		   struct shd_replica *replica, enum shd_trial_kind trial,
		   bool hedge);
void shd_cancel_calls(struct shd_shard *shard, struct shd_entry *entry);
void shd_end_call(struct shd_shard *shard, struct shd_call *call,
		  enum shd_call_status status, uint64_t instance);

/* shd-finish.c */
void shd_finish_entry(struct shd_shard *shard, struct shd_entry *entry,
		      enum msg_status status, const struct shd_answer *answer);
void shd_expire_entry(struct shd_shard *shard, struct shd_entry *entry);
void shd_drop_entry(struct shd_shard *shard, struct shd_entry *entry);
void shd_finish_waiting(struct shd_shard *shard, enum msg_status status);

/* shd-hedge.c */
void shd_send_hedges(struct shd_shard *shard);

/* shd-place.c */
void shd_place_entries(struct shd_shard *shard);

/* shd-answer.c */
void shd_time_out_call(struct shd_shard *shard, struct shd_call *call);

#endif
