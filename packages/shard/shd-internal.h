#ifndef SHD_INTERNAL_H
#define SHD_INTERNAL_H

/*
 * NAME
 *	shd-internal - the shard aggregate as its own files see it
 *
 * DESCRIPTION
 *	An entry is one sub-request. It holds at most two calls at a time, its
 *	attempt and a hedge. A call counts in flight at its upstream until its
 *	answer arrives or it expires, also when its entry is done; the entry
 *	is freed with its last call.
 *
 *	Every live entry has one timer in the shard's heap: the earliest of
 *	its deadline, its hedge and the expiry of its calls.
 *
 *	Calls go from the files named last below to those named before them.
 *	Table functions of shd_ops may call back into the shard. So a function
 *	that calls one does not use an entry afterwards unless it holds it.
 */

#include "shard/shd.h"

#include <glib.h>

#define SHD_CALLS 2

/* Bounds memory; the deadlines bound the queue long before, as a rule. */
#define SHD_QUEUE_MAX 1024

/*
 * A call without an answer is forgotten this long after its timeout: the
 * upstream has stopped by then, also when it counts the timeout from receipt.
 */
#define SHD_GRACE (100 * GB_MSEC)

/* Old times lose half of their weight after this many attempts. */
#define SHD_DECAY 2000

/* Crashes remembered, so that one crash is not counted twice. */
#define SHD_BLAMES 16

/* Retries have waited already and go before first attempts. */
enum shd_class { SHD_CLASS_RETRY, SHD_CLASS_FIRST, SHD_CLASSES };

enum shd_entry_state { SHD_QUEUED, SHD_PARKED, SHD_RUNNING, SHD_DONE };

/* What a call is to find out about its request. */
enum shd_trial { SHD_TRIAL_NONE, SHD_TRIAL_CANARY, SHD_TRIAL_ALONE };

struct shd_replica {
	struct up_upstream up;
	struct gb_str name;
	uint32_t index; /* within the shard's configuration */
	uint64_t bit; /* in the sets of an entry */
	uint32_t crashes; /* counts its lives */
	bool present; /* in the configuration */
};

struct shd_entry;

struct shd_call {
	uint64_t id;
	struct shd_entry *entry;
	struct shd_replica *replica;
	gb_time sent;
	gb_time cancelled; /* 0 if not */
	gb_time expires;
	uint32_t life; /* of the replica, at sending */
	enum shd_trial trial;
	bool active;
};

struct shd_entry {
	struct shd_request req; /* strings are in bytes */
	uint32_t vm;
	uint64_t query;
	enum shd_entry_state state;
	enum shd_class class;
	GList link; /* in a queue or among the parked */
	struct shd_entry *next; /* of the same query */
	struct shd_entry *prev;
	struct shd_call calls[SHD_CALLS];
	uint32_t calls_len; /* active ones */
	uint32_t hold; /* users that still need the entry */
	uint32_t attempts; /* without hedges */
	gb_time submitted;
	gb_time wait;
	gb_time hedge_at;
	GList hedge_link; /* in the shard's hedges */
	bool hedge_due; /* waits for room at another upstream */
	gb_time timer;
	size_t heap_pos;
	uint64_t avoid; /* replicas that failed it */
	uint64_t gone; /* replicas without its snapshot */
	bool free_retry; /* was used */
	bool may_have_run;
	bool refused; /* by its last upstream */
	char bytes[];
};

struct shd_blame {
	uint64_t fingerprint;
	const struct shd_replica *replica;
	uint32_t life;
};

struct shd_shard {
	uint32_t service;
	uint32_t index;
	struct shd_service *shared;
	struct sus_table *suspects;
	struct met_registry *metrics;
	const struct shd_ops *ops;
	void *ctx;
	gb_time now;
	gb_time lease;
	bool lease_lapsed;
	bool canary; /* the service's entry VMs vouch for requests */
	double time_mean;
	GPtrArray *replicas; /* of struct shd_replica, as configured */
	GPtrArray *removed; /* those that still have calls */
	GQueue queue[SHD_CLASSES];
	GQueue parked; /* wait for a verdict on their request */
	GQueue hedges; /* running entries whose hedge is due */
	GPtrArray *heap; /* of struct shd_entry, by timer */
	GHashTable *calls; /* by identity */
	GHashTable *queries; /* first entry of each query */
	uint32_t running;
	struct shd_replica *alone; /* reserved for, or running, a suspect */
	struct shd_entry *alone_entry; /* waits for the reserved replica */
	bool placing;
	bool place_again;
	struct shd_blame blames[SHD_BLAMES];
	uint32_t blames_next;
};

/* shd-state.c */
void shd_emit(struct shd_shard *shard, enum ev_code code, uint64_t query,
	      const struct shd_replica *replica, int64_t a, int64_t b);
void shd_set_now(struct shd_shard *shard, gb_time now);
bool shd_any_open(const struct shd_shard *shard);
bool shd_lease_held(const struct shd_shard *shard);
uint64_t shd_usable(const struct shd_shard *shard);
void shd_unreserve(struct shd_shard *shard);

/* shd-replica.c */
void shd_follow_replicas(struct shd_shard *shard, const struct cfg *cfg,
			 const struct cfg_service *service);
void shd_forget_removed(struct shd_shard *shard);
void shd_free_replicas(struct shd_shard *shard);

/* shd-timer.c */
void shd_arm(struct shd_shard *shard, struct shd_entry *entry);
void shd_disarm(struct shd_shard *shard, struct shd_entry *entry);
struct shd_entry *shd_first_due(const struct shd_shard *shard);

/* shd-queue.c */
void shd_enqueue(struct shd_entry *entry, struct shd_shard *shard,
		 enum shd_class class, bool first);
void shd_park(struct shd_shard *shard, struct shd_entry *entry);
void shd_unlink(struct shd_shard *shard, struct shd_entry *entry);
bool shd_meets_deadline(const struct shd_shard *shard,
			const struct shd_entry *entry);
enum msg_status shd_late_status(const struct shd_shard *shard);
size_t shd_waiting(const struct shd_shard *shard);

/* shd-hedge-time.c */
const struct shd_call *shd_only_call(const struct shd_entry *entry);
bool shd_may_hedge(const struct shd_entry *entry);
void shd_set_hedge(struct shd_shard *shard, struct shd_entry *entry);
void shd_hedge(struct shd_shard *shard, struct shd_entry *entry);
void shd_drop_hedge(struct shd_shard *shard, struct shd_entry *entry);

/* shd-entry.c */
struct shd_entry *shd_entry_new(const struct shd_request *req);
void shd_add_query(struct shd_shard *shard, struct shd_entry *entry);
void shd_leave(struct shd_shard *shard, struct shd_entry *entry);
void shd_release(struct shd_shard *shard, struct shd_entry *entry);

/* shd-suspect.c */
void shd_judge(struct shd_shard *shard, const struct shd_call *call,
	       enum shd_status status);
void shd_reserve(struct shd_shard *shard, struct shd_entry *entry);

/* shd-call.c */
void shd_send_call(struct shd_shard *shard, struct shd_entry *entry,
		   struct shd_replica *replica, enum shd_trial trial,
		   bool hedge);
void shd_cancel_calls(struct shd_shard *shard, struct shd_entry *entry);
void shd_end_call(struct shd_shard *shard, struct shd_call *call,
		  enum shd_status status, uint64_t instance);

/* shd-finish.c */
void shd_finish(struct shd_shard *shard, struct shd_entry *entry,
		enum msg_status status, const struct shd_answer *answer);
void shd_expire(struct shd_shard *shard, struct shd_entry *entry);
void shd_drop(struct shd_shard *shard, struct shd_entry *entry);
void shd_flush(struct shd_shard *shard, enum msg_status status);

/* shd-hedge.c */
void shd_send_hedges(struct shd_shard *shard);

/* shd-place.c */
void shd_place(struct shd_shard *shard);

/* shd-answer.c */
void shd_lost_call(struct shd_shard *shard, struct shd_call *call);

#endif
