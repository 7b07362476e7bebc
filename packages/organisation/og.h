#ifndef OG_H
#define OG_H

/*
 * NAME
 *	og - organisations: their keys, and limits that all VMs share
 *
 * DESCRIPTION
 *	A table holds the organisations of one version of the configuration; a
 *	lookup of a key takes one step.
 *
 *	Each organisation may have a limit: a token bucket over all VMs. The VM
 *	with the first rank for the organisation by rendezvous hashing, its
 *	bucket VM, keeps the level. Every VM admits requests by itself, without
 *	asking, and reports its totals; the bucket VM answers with the level.
 *	While a level is low, the bucket VM tells all VMs, and these ask it
 *	before each request. So only organisations that are beyond their limit,
 *	or near it, wait for another VM, and for each moment the same requests
 *	are admitted as by one bucket alone.
 *
 *	A VM whose reports are not answered keeps to an equal part of the limit.
 *	Each VM reports when it is told a low level, and the bucket VM leaves
 *	the parts of those that do not to them. So the sum stays within the
 *	limit on both sides of a partition, but for a few requests that VMs
 *	admit before a low level, or the loss of contact, is known to them.
 *
 *	The package reads no clock and does no I/O.
 */

#include "base/gb.h"

#include <glib.h>

struct og_org {
	struct gb_str name;
	uint64_t id; /* hash of the name */
	uint32_t priority; /* 0 is the most urgent */
	double rate; /* requests/s of all VMs; 0: no limit */
	double burst; /* further requests */
};

struct og_table;

struct og_table *og_table_new(void);
void og_table_free(struct og_table *table);

/* Adds a copy. Returns NULL if there is one of that name. */
struct og_org *og_table_add(struct og_table *table, const struct og_org *org);

/* Keys and limits of the table that cannot be used. */
void og_table_count_bad_limit(struct og_table *table);
uint32_t og_table_bad_limits(const struct og_table *table);
uint32_t og_table_bad_keys(const struct og_table *table);

/* Returns false, and ignores the key, if it is empty or in use. */
bool og_table_add_key(struct og_table *table, const struct og_org *org,
		      struct gb_str key);

/* Returns the organisation that has the key, or NULL. */
const struct og_org *og_table_find(const struct og_table *table,
				   struct gb_str key);
const struct og_org *og_table_by_id(const struct og_table *table, uint64_t id);
size_t og_table_len(const struct og_table *table);

/* Tell whether another organisation has a more, or a less, urgent priority. */
bool og_table_has_more_urgent(const struct og_table *table, uint32_t priority);
bool og_table_has_less_urgent(const struct og_table *table, uint32_t priority);

/* How far the sum of all VMs may go beyond a limit in its window. */
struct og_settings {
	double tolerance; /* requests */
	gb_time window;
};

/*
 * ADMISSION
 *	What this VM has admitted, and the levels that bucket VMs told it.
 */
struct og_limiter;

struct og_limiter *og_limiter_new(const struct og_settings *settings);
void og_limiter_free(struct og_limiter *limiter);
void og_limiter_set(struct og_limiter *limiter,
		    const struct og_settings *settings);

enum og_verdict {
	OG_ADMITTED,
	OG_REFUSED,
	OG_ASK /* the bucket VM decides, see og_bucket_ask() */
};

/*
 * Decides about a request of an organisation; if it is refused, *wait is the
 * time until there may be room. The number of VMs that may be running errs on
 * the high side, here and below.
 */
enum og_verdict og_admit(struct og_limiter *limiter, const struct og_org *org,
			 uint32_t vms, gb_time now, gb_time *wait);

/* Takes what the bucket VM has decided. */
void og_asked(struct og_limiter *limiter, const struct og_org *org,
	      bool granted, gb_time now);

/* Decides without the bucket VM, which has not answered in time. */
bool og_admit_unasked(struct og_limiter *limiter, const struct og_org *org,
		      uint32_t vms, gb_time now, gb_time *wait);

/* Gives back what a request took that was refused before it ran. */
void og_refund(struct og_limiter *limiter, const struct og_org *org,
	       gb_time now);

/* Totals of one organisation at one VM. */
struct og_use {
	uint64_t org;
	gb_time since; /* start of the totals, by the clock of the VM */
	int64_t admitted; /* less those refunded */
	uint32_t recent; /* admitted during the last window */
};

typedef void (*og_use_fn)(void *ctx, const struct og_use *use);

/* Returns the totals of an organisation that has had requests. */
void og_totals(const struct og_limiter *limiter, const struct og_org *org,
	       gb_time now, struct og_use *totals);

/* Returns whether the totals of the organisation are to be reported now. */
bool og_report(struct og_limiter *limiter, const struct og_org *org,
	       gb_time now, struct og_use *report);

/* Visits all that are to be reported now, or were not answered in time. */
void og_each_report(struct og_limiter *limiter, gb_time now, og_use_fn visit,
		    void *ctx);

/* The level of an organisation's bucket, as its bucket VM tells it. */
struct og_level {
	uint64_t org;
	bool is_answer; /* to a report of this VM, with these totals */
	int64_t admitted;
	double tokens; /* negative beyond the limit */
};

void og_receive_level(struct og_limiter *limiter, const struct og_level *level,
		      gb_time now);

/* Drops what has not been used for some time and is reported. */
void og_limiter_purge(struct og_limiter *limiter, gb_time now);

/* What is known of an organisation, for operators. */
struct og_view {
	uint64_t org;
	int64_t admitted;
	uint64_t refused;
	double tokens; /* by the last level; the burst if there is none */
	bool is_low; /* a low level is in force */
	bool contact_lost; /* this VM keeps to its own part */
};

typedef void (*og_view_fn)(void *ctx, const struct og_view *view);
void og_each_view(const struct og_limiter *limiter, gb_time now,
		  og_view_fn visit, void *ctx);

/* Those with the most requests, which metrics show one by one. */
#define OG_LARGEST_MAX 20

struct og_largest {
	struct og_view view[OG_LARGEST_MAX]; /* the largest first */
	uint32_t len;
	uint32_t others_len;
	int64_t others_admitted;
	uint64_t others_refused;
};

void og_find_largest(const struct og_limiter *limiter, gb_time now,
		     struct og_largest *largest);
void og_add_to_others(struct og_largest *largest, const struct og_view *view);

/*
 * BUCKETS
 *	The levels that this VM keeps for all.
 */
struct og_buckets;

struct og_buckets *og_buckets_new(const struct og_settings *settings);
void og_buckets_free(struct og_buckets *buckets);
void og_buckets_set(struct og_buckets *buckets,
		    const struct og_settings *settings);

/*
 * Takes a report of a VM. Returns false if it is not to be answered yet: this
 * VM has just taken the bucket over, and does not know its level.
 */
bool og_bucket_report(struct og_buckets *buckets, const struct og_org *org,
		      uint32_t vms, uint64_t vm, const struct og_use *use,
		      gb_time now, struct og_level *level);

/*
 * Decides about a request that another VM has, with its totals so far. If it is
 * refused, *wait is the time until there may be room. OG_ASK means that this VM
 * does not know the level yet, and gives no answer.
 */
enum og_verdict og_bucket_ask(struct og_buckets *buckets,
			      const struct og_org *org, uint32_t vms,
			      uint64_t vm, const struct og_use *use,
			      gb_time now, gb_time *wait);

/*
 * Sets the part of the VMs that this one reaches: the parts of the others are
 * left to them.
 */
void og_buckets_set_reach(struct og_buckets *buckets, double part);

typedef void (*og_level_fn)(void *ctx, const struct og_level *level);

/* Returns whether all VMs are to be told that the level is low now. */
bool og_low_level(struct og_buckets *buckets, const struct og_org *org,
		  gb_time now, struct og_level *level);

/* Visits all such levels. */
void og_each_low_level(struct og_buckets *buckets, gb_time now,
		       og_level_fn visit, void *ctx);
void og_buckets_purge(struct og_buckets *buckets, gb_time now);

#endif
