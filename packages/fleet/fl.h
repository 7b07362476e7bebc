#ifndef FL_H
#define FL_H

/*
 * NAME
 *	fl - the upstreams that this VM knows, and which one to send to
 *
 * DESCRIPTION
 *	A fleet holds services by name and their upstreams by identity. Entries
 *	come from the directory of the platform; how well an upstream serves is
 *	learned from this VM's own calls alone:
 *
 *	- slowness: the moving average of its times over the usual time of the
 *	  same kind of request; it fades, so that an upstream that is no longer
 *	  tried comes back;
 *	- failures: the moving share of calls that failed or were refused, which
 *	  fades as well;
 *	- overdue calls: while a call is late, and for a while after one was
 *	  abandoned, others go elsewhere; the time doubles with each call that
 *	  is abandoned in a row, so that a silent upstream gets few requests;
 *	  one that was not heard of for a second gets none in that time;
 *	- unreachable: after a failed connect it gets nothing for a time that
 *	  doubles as well.
 *
 *	An upstream that leaves, or whose entry was removed, is a last resort
 *	for a short time, since the directory may lose entries while it is
 *	away, and then gets nothing.
 */

#include "base/gb.h"

#include <glib.h>

struct fl_fleet;
struct fl_upstream;

struct fl_service {
	struct gb_str name;
	GPtrArray *upstreams; /* of struct fl_upstream */
	uint32_t conns_max; /* to one upstream, of all VMs; 0: unknown */
	double cold_rate; /* requests/s that a cold upstream bears; 0: any */
	double work; /* mean time in a slot of a usual upstream; 0: unknown */
	void *data; /* of the forwarding decisions; freed with the service */
};

/* What the directory says of an upstream. */
struct fl_entry {
	struct gb_str id;
	struct gb_str service;
	struct gb_str address; /* "ADDRESS:PORT" */
	struct gb_str dc;
	uint32_t slots;
	bool leaving;
	gb_time cold; /* how much longer it stays cold */
	int64_t born; /* start of the process; 0 if not given */
};

struct fl_upstream {
	struct gb_str id;
	struct gb_str address;
	struct gb_str dc;
	struct fl_service *service;
	uint32_t slots;
	int64_t born;
	bool leaving; /* draining, or its entry was removed */
	gb_time left_at;
	gb_time cold_until;
	double cold_tokens;
	gb_time cold_at; /* of the tokens */
	uint32_t in_flight; /* calls of this VM */
	double slow; /* average time over the usual time; 1 is usual */
	gb_time slow_at;
	double failures; /* 0 to 1 */
	gb_time failures_at;
	gb_time avoid_until; /* since a call is or was overdue */
	uint32_t abandoned; /* calls in a row without an answer */
	gb_time silent_since; /* start of the first of those, or a refusal */
	gb_time down_until; /* since it could not be reached */
	uint32_t unreachable; /* connects in a row that failed */
	double others; /* calls of other VMs, as it last reported */
	gb_time others_at;
	bool listed; /* named by the list that is being read */
	void *data; /* connections of the shell */
};

/* Tells what part of a limit that all VMs share is this VM's. */
struct fl_share {
	uint32_t (*vms)(void *ctx); /* live VMs, this one included */
	/* Rank of this VM among the live ones for a key; 0 is the first. */
	uint32_t (*rank)(void *ctx, uint64_t key);
};

struct fl_settings {
	struct gb_str dc; /* of this VM */
	gb_time hop; /* there and back to another data centre */
	gb_time drain; /* for which an upstream that leaves still serves */
	double cold_burst; /* requests that a cold upstream bears at once */
};

struct fl_ops {
	/* The process behind an upstream is another one, or it is gone. */
	void (*forget)(void *ctx, struct fl_upstream *upstream);
	/* A list no longer names the exclusion of a data centre. */
	void (*included)(void *ctx, struct gb_str dc);
};

struct fl_fleet *fl_new(const struct fl_settings *settings,
			const struct fl_ops *ops, const struct fl_share *share,
			void *ctx, struct gb_rng *rng);
void fl_free(struct fl_fleet *fleet);

/* Finds the service, or makes it. */
struct fl_service *fl_service(struct fl_fleet *fleet, struct gb_str name);

/* Takes an entry; returns NULL if it is that of an earlier process. */
struct fl_upstream *fl_put(struct fl_fleet *fleet, gb_time now,
			   const struct fl_entry *entry);
void fl_remove(struct fl_fleet *fleet, gb_time now, struct gb_str id);

/* Between these, fl_put() names all entries; the others are removed. */
void fl_list_begin(struct fl_fleet *fleet);
void fl_list_end(struct fl_fleet *fleet, gb_time now);

/*
 * Sends nothing more to a data centre, or ends that; tells whether it was
 * otherwise before.
 */
bool fl_exclude(struct fl_fleet *fleet, struct gb_str dc, bool excluded);

/* Between these, fl_exclude() names all exclusions; the others end. */
void fl_exclusions_begin(struct fl_fleet *fleet);
void fl_exclusions_end(struct fl_fleet *fleet);

size_t fl_len(const struct fl_fleet *fleet);

/* Forgets upstreams that have left and run nothing of this VM. */
void fl_sweep(struct fl_fleet *fleet, gb_time now);

/* One choice of an upstream. */
struct fl_need {
	gb_time usual; /* time of this kind of request */
	const struct fl_upstream *const *except;
	size_t except_len;
	bool spare; /* a second try: only an upstream that does well */
	bool free_slot; /* and, with spare, that has a free slot */
};

/*
 * The upstream that should answer first, or NULL; *wait then holds the time
 * after which there may be one, or GB_NEVER.
 */
struct fl_upstream *fl_pick(struct fl_fleet *fleet, struct fl_service *service,
			    const struct fl_need *need, gb_time now,
			    gb_time *wait);

/*
 * Rounds of its slots that a request would wait for at the upstream: 0 while a
 * slot is free, 1 while each slot is taken and as many requests wait.
 */
double fl_queued(const struct fl_upstream *upstream, gb_time now);

/* Its time over the usual time; what was learned fades. */
double fl_slowness(const struct fl_upstream *upstream, gb_time now);

/* Mean time in a slot, or the usual time of the kind while that is unknown. */
gb_time fl_work(const struct fl_service *service, gb_time usual);

/* Time that a request would wait for a slot. */
gb_time fl_wait(const struct fl_upstream *upstream, gb_time usual, gb_time now);

/* A request that waited for so many rounds was answered after the time. */
void fl_worked(const struct fl_upstream *upstream, gb_time now, gb_time elapsed,
	       double queued);

/* Calls of this VM to an upstream; each fl_sent() has one of the ends. */
void fl_sent(struct fl_fleet *fleet, struct fl_upstream *upstream, gb_time now);
void fl_answered(struct fl_upstream *upstream, gb_time now, gb_time elapsed,
		 gb_time usual);
void fl_refused(struct fl_upstream *upstream, gb_time now);
void fl_failed(struct fl_upstream *upstream, gb_time now);
void fl_unreachable(struct fl_upstream *upstream, gb_time now);
void fl_abandoned(struct fl_upstream *upstream, gb_time now, gb_time elapsed,
		  gb_time usual);

/* Another upstream has the address: this one is gone. */
void fl_misdirected(struct fl_fleet *fleet, struct fl_upstream *upstream,
		    gb_time now);

/* A call has run for longer than usual and still runs. */
void fl_overdue(struct fl_upstream *upstream, gb_time now, gb_time usual);

/* The upstream reported its running and waiting requests. */
void fl_reported(struct fl_upstream *upstream, gb_time now, uint32_t running,
		 uint32_t waiting);

/*
 * Tells whether several calls in a row had no answer, and nothing was heard of
 * the upstream for longer than a slow one takes.
 */
bool fl_is_silent(const struct fl_upstream *upstream, gb_time now);

/* Open connections to the upstream that this VM may have. */
uint32_t fl_conns(const struct fl_fleet *fleet,
		  const struct fl_upstream *upstream);

#endif
