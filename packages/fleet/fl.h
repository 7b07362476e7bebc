#ifndef FL_H
#define FL_H

/*
 * NAME
 *	fl - the upstreams that this VM knows, and the choice among them
 *
 * DESCRIPTION
 *	A fleet holds services by name and their upstreams by identity. Entries
 *	come from the directory of the platform; how well an upstream serves is
 *	learned from this VM's own calls alone:
 *
 *	- latency ratio: the moving average of the upstream's latency over the
 *	  latency expected for the same kind of request; it decays towards 1,
 *	  so that an upstream that is no longer tried is chosen again;
 *	- failure rate: the moving share of calls that failed or were refused,
 *	  which decays as well. While it is above a half and the last call
 *	  failed, other upstreams are preferred;
 *	- overdue calls: while a call is overdue, and for some time after one
 *	  was abandoned, other upstreams are preferred; that time doubles with
 *	  each consecutive abandoned call. An upstream that has left several
 *	  calls in a row unanswered, for more than a second, gets no requests
 *	  during that time;
 *	- unreachable: after a failed connect the upstream gets no requests for
 *	  a time that doubles with each consecutive failure;
 *	- paused: an upstream that refused a request and asked to be left alone
 *	  for some time gets no requests until then. That is no failure.
 *
 *	An upstream that is draining, or whose entry was removed, is used only
 *	when no other can be, and only for a short time, since the directory
 *	may lose entries while it is unavailable. After that it gets no
 *	requests. One that has announced in an answer that it is leaving stays
 *	so until another process starts with its identity, whatever its entry
 *	says: an entry that was written, or relayed, before may come later.
 */

#include "base/gb.h"

#include <glib.h>

struct fl_fleet;
struct fl_upstream;
struct ro_rollout;

struct fl_service {
	struct gb_str name;
	/*
	 * The version whose upstreams get requests, and the one to which an
	 * operator moves the service; empty if not known, or if there is none.
	 */
	struct gb_str current_version;
	struct gb_str target_version;
	bool target_barred; /* it was rolled back, and gets no requests */
	struct ro_rollout *rollout; /* of the caller; NULL if there is none */
	GPtrArray *upstreams; /* of struct fl_upstream */
	/* Connections to one upstream from all VMs together; 0: unknown. */
	uint32_t conns_max;
	/* Requests/s to one cold upstream from all VMs; 0: no limit. */
	double cold_rate;
	/*
	 * Mean time that a request takes once it has a slot, in microseconds,
	 * at an upstream whose latency ratio is 1; 0: unknown.
	 */
	double service_time;
	void *data; /* state of the forwarding code; freed with the service */
};

/* An upstream as the directory lists it. */
struct fl_entry {
	struct gb_str id;
	struct gb_str service;
	struct gb_str address; /* "ADDRESS:PORT" */
	struct gb_str dc;
	struct gb_str version; /* of its software; may be empty */
	uint32_t slots; /* requests that it runs at once */
	bool leaving; /* draining */
	bool restored; /* from an older copy of the store */
	gb_time unseen; /* time for which a change may have gone unseen */
	gb_time cold_remaining; /* time until it is warm; 0: warm */
	int64_t process_start; /* start time of the process; 0: unknown */
};

struct fl_upstream {
	struct gb_str id;
	struct gb_str address;
	struct gb_str dc;
	struct gb_str version;
	struct fl_service *service;
	uint32_t slots;
	int64_t process_start;
	bool leaving; /* draining, announced it, or its entry was removed */
	gb_time left_at;
	bool entry_leaving; /* its last entry says so */
	bool leaving_announced; /* by this process, in an answer */
	gb_time paused_until; /* the end of the time it asked for */
	gb_time cold_until;
	double cold_tokens; /* left in this VM's share of the cold rate */
	gb_time cold_tokens_at; /* last refill of cold_tokens */
	uint32_t in_flight; /* calls of this VM */
	uint32_t holders; /* calls that refer to it, ended ones included */
	double latency_ratio; /* moving average of latency over expected */
	gb_time latency_ratio_at;
	double failure_rate; /* 0 to 1 */
	gb_time failure_rate_at;
	bool last_call_failed; /* rather than answered or refused */
	gb_time avoid_until; /* set while a call is overdue or abandoned */
	uint32_t abandoned_calls; /* consecutive, without an answer */
	/* Start of the first abandoned call, or the time of a later refusal. */
	gb_time unresponsive_since;
	gb_time unreachable_until;
	uint32_t failed_connects; /* consecutive */
	double other_calls; /* calls of other VMs, by its last report */
	gb_time other_calls_at;
	bool listed; /* in the list that is being read */
	void *data; /* connection pool, kept by the caller */
};

/* The live VMs, among which cluster-wide limits are divided. */
struct fl_membership {
	uint32_t (*live_vms)(void *ctx); /* number, including this VM */
	/* Rank of this VM among the live VMs for a key, from 0. */
	uint32_t (*rank)(void *ctx, uint64_t key);
};

struct fl_settings {
	struct gb_str dc; /* of this VM */
	gb_time cross_dc_rtt; /* to another data centre */
	gb_time drain_time; /* a draining upstream serves this long */
	double cold_burst; /* requests at once to a cold upstream, all VMs */
	/*
	 * Upstreams of a version other than the current one of their service
	 * get no requests before an operator moves the service to it.
	 */
	bool checks_versions;
};

struct fl_ops {
	/* The upstream is gone, or a new process or address replaced it. */
	void (*upstream_reset)(void *ctx, struct fl_upstream *upstream);
	/* A complete list no longer names this excluded data centre. */
	void (*exclusion_ended)(void *ctx, struct gb_str dc);
};

struct fl_fleet *fl_new(const struct fl_settings *settings,
			const struct fl_ops *ops,
			const struct fl_membership *membership, void *ctx,
			struct gb_rng *rng);
void fl_free(struct fl_fleet *fleet);

/* Returns the service of that name; creates it if it does not exist. */
struct fl_service *fl_service(struct fl_fleet *fleet, struct gb_str name);

/*
 * Adds or updates an upstream. Returns NULL, and ignores the entry, if it is
 * from an earlier process than the known one.
 */
struct fl_upstream *fl_apply_entry(struct fl_fleet *fleet, gb_time now,
				   const struct fl_entry *entry);
/*
 * Marks an upstream as leaving, since its entry was removed; it may have been
 * so for the time for which changes may have gone unseen.
 */
void fl_remove_entry(struct fl_fleet *fleet, gb_time now, struct gb_str id,
		     gb_time unseen);

/* Upstreams without a fl_apply_entry() between these are marked as leaving. */
void fl_list_begin(struct fl_fleet *fleet);
void fl_list_end(struct fl_fleet *fleet, gb_time now, gb_time unseen);

/*
 * Excludes a data centre from all choices, or includes it again. Returns
 * whether this changed anything.
 */
bool fl_set_dc_excluded(struct fl_fleet *fleet, struct gb_str dc,
			bool excluded);

/* Exclusions without a fl_set_dc_excluded() between these are lifted. */
void fl_exclusions_begin(struct fl_fleet *fleet);
void fl_exclusions_end(struct fl_fleet *fleet);

/* Number of known upstreams, those that are leaving included. */
size_t fl_upstream_count(const struct fl_fleet *fleet);

/*
 * Records that an answer of the upstream announced that it is leaving. Returns
 * whether that was not known before.
 */
bool fl_leaving_announced(struct fl_upstream *upstream, gb_time now);

/* Records that the upstream wants no requests of this VM for that time. */
void fl_pause_requested(struct fl_upstream *upstream, gb_time now,
			gb_time wait);
bool fl_is_paused(const struct fl_upstream *upstream, gb_time now);

/* Tells whether the upstream has left and gets no more requests. */
bool fl_has_departed(const struct fl_fleet *fleet,
		     const struct fl_upstream *upstream, gb_time now);

/*
 * Returns the shortest time until an upstream of the service ends its pause, if
 * all that have not departed are paused; otherwise 0.
 */
gb_time fl_service_pause(const struct fl_fleet *fleet,
			 const struct fl_service *service, gb_time now);

/*
 * Holds an upstream, so that a pointer to it stays valid until fl_release().
 * The fleet owns its upstreams; a pointer that is kept while others may run
 * needs a hold, also when the call to the upstream has ended.
 */
void fl_hold(struct fl_upstream *upstream);
void fl_release(struct fl_upstream *upstream);

/* Frees upstreams that have left, are not held and have no call in flight. */
void fl_purge_departed(struct fl_fleet *fleet, gb_time now);

/*
 * VERSIONS
 *	These have an effect only if the fleet checks versions. The current
 *	version of a service is that of the first upstream that was listed, as
 *	long as one of that version is left.
 */

/* Begins moving a service to a version. */
void fl_set_target_version(struct fl_fleet *fleet, struct fl_service *service,
			   struct gb_str version, gb_time now);

/* Ends it without success: the target version gets no requests any more. */
void fl_bar_target_version(struct fl_service *service);

/* Makes the target version the current one. */
void fl_complete_target_version(struct fl_service *service);
bool fl_is_target(const struct fl_upstream *upstream);

/* Upstreams of the target or the current version that take requests. */
uint32_t fl_count_ready(const struct fl_fleet *fleet,
			const struct fl_service *service, bool is_target,
			gb_time now);

/* Calls of this VM at upstreams of any but the target version. */
uint32_t fl_calls_off_target(const struct fl_service *service);

/* The live VMs, and the rank of this one for a key, from 0. */
uint32_t fl_live_vms(const struct fl_fleet *fleet);
uint32_t fl_vm_rank(const struct fl_fleet *fleet, uint64_t key);

/* Constraints on the choice of an upstream. */
struct fl_pick_options {
	bool of_target; /* of the target version, instead of the current one */
	gb_time median_latency; /* of this kind of request */
	const struct fl_upstream *const *skip; /* never chosen */
	size_t skip_len;
	bool healthy_only; /* for hedges: none that is avoided or leaving */
	bool free_slot_only; /* only with healthy_only */
};

/*
 * Returns the upstream with the lowest expected response time, or NULL; *wait
 * then holds the time after which one may be available, or GB_NEVER.
 */
struct fl_upstream *fl_pick_upstream(struct fl_fleet *fleet,
				     struct fl_service *service,
				     const struct fl_pick_options *options,
				     gb_time now, gb_time *wait);

/* A later class is used only if there are none of the earlier ones. */
enum fl_class { FL_GOOD, FL_AVOIDED, FL_LAST_RESORT, FL_UNUSABLE };

/* What the choice between upstreams goes by. */
struct fl_assessment {
	struct fl_upstream *upstream;
	enum fl_class class;
	struct gb_str reason; /* of the class; empty for a good upstream */
	gb_time wait; /* until it may be usable; GB_NEVER: not known, or it is
		       */
	double expected; /* response time, us, before the random part */
	double load; /* requests of all VMs, as far as they are known */
	double latency_ratio;
	double failure_rate;
};

void fl_assess(const struct fl_fleet *fleet, struct fl_upstream *upstream,
	       gb_time median_latency, gb_time now,
	       struct fl_assessment *found);

typedef void (*fl_assessed_fn)(void *ctx, const struct fl_assessment *found);

/* Visits the upstreams in the order in which they would be chosen now. */
void fl_explain(struct fl_fleet *fleet, const struct fl_service *service,
		const struct fl_pick_options *options, gb_time now,
		fl_assessed_fn visit, void *ctx);

/*
 * Service times that a new request would wait in the upstream's queue: 0 while
 * a slot is free, 1 if, with the new one, as many requests wait as run.
 */
double fl_queue_rounds(const struct fl_upstream *upstream, gb_time now);

/* Latency over the expected latency; decays towards 1. */
double fl_latency_ratio(const struct fl_upstream *upstream, gb_time now);

/* Mean service time, or the median latency given while that is unknown. */
gb_time fl_service_time(const struct fl_service *service,
			gb_time median_latency);

/* Expected time that a new request waits for a slot. */
gb_time fl_queue_wait(const struct fl_upstream *upstream,
		      gb_time median_latency, gb_time now);

/* Adds a sample: the latency of a request that found a queue this long. */
void fl_add_service_time(const struct fl_upstream *upstream, gb_time now,
			 gb_time elapsed, double queue_rounds);

/*
 * Calls of this VM to an upstream. Each fl_call_sent() is followed by exactly
 * one of the functions down to fl_call_misdirected().
 */
void fl_call_sent(struct fl_fleet *fleet, struct fl_upstream *upstream,
		  gb_time now);
void fl_call_answered(struct fl_upstream *upstream, gb_time now,
		      gb_time elapsed, gb_time expected_latency);
void fl_call_refused(struct fl_upstream *upstream, gb_time now);
void fl_call_failed(struct fl_upstream *upstream, gb_time now);
void fl_call_unreachable(struct fl_upstream *upstream, gb_time now);

/* A call was cancelled after the elapsed time, before any answer. */
void fl_call_abandoned(struct fl_upstream *upstream, gb_time now,
		       gb_time elapsed, gb_time expected_latency);

/* The call was taken back before anything was sent. */
void fl_call_withdrawn(struct fl_upstream *upstream);

/* Another upstream answered at the address, so this one is gone. */
void fl_call_misdirected(struct fl_fleet *fleet, struct fl_upstream *upstream,
			 gb_time now);

/* A call has run for longer than expected and is still in flight. */
void fl_call_overdue(struct fl_upstream *upstream, gb_time now,
		     gb_time expected_latency);

/* The upstream reported its running and waiting requests, of all VMs. */
void fl_load_reported(struct fl_upstream *upstream, gb_time now,
		      uint32_t running, uint32_t waiting);

/*
 * Tells whether several calls in a row had no answer, and the upstream has
 * sent nothing for longer than a slow one takes to answer.
 */
bool fl_is_unresponsive(const struct fl_upstream *upstream, gb_time now);

/* Connections that this VM may have open to the upstream. */
uint32_t fl_conns_max(const struct fl_fleet *fleet,
		      const struct fl_upstream *upstream);

#endif
