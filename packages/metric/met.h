#ifndef MET_H
#define MET_H

/*
 * NAME
 *	met - counters, gauges and histograms of one process
 *
 * DESCRIPTION
 *	Each metric is an enum constant that indexes an array of values, so
 *	that an update is one addition, and a table of names and help texts.
 *	Histograms have logarithmic buckets, 8 per power of two, in
 *	microseconds.
 */

#include "base/gb.h"

enum met_counter {
	MET_QUERIES,
	MET_QUERIES_COMPLETE,
	MET_QUERIES_PARTIAL,
	MET_QUERIES_REFUSED,
	MET_QUERIES_LATE,
	MET_QUERIES_RESTARTED,
	MET_ORDERS,
	MET_ORDERS_RUN,
	MET_ORDERS_REPLAYED,
	MET_ORDERS_UNKNOWN,
	MET_ORDERS_REFUSED,
	MET_SUB_REQUESTS,
	MET_SUB_HEDGES,
	MET_SUB_RETRIES,
	MET_SUB_REFUSED,
	MET_SUB_CANCELLED,
	MET_ANSWERS_DROPPED, /* late, duplicated, truncated, of another attempt
			      */
	MET_UPSTREAM_COLD,
	MET_LEASES_GAINED,
	MET_LEASES_LOST,
	MET_CONFIG_CHANGES,
	MET_STORE_READS,
	MET_OBJECTS_INVALID,
	MET_MESSAGES_EVICTED,
	MET_STORE_WATCHES,
	MET_STORE_WRITES,
	MET_PEER_MESSAGES,
	MET_PEER_BYTES,
	MET_CONTROL_BYTES,
	MET_HTTP_REQUESTS,
	MET_HTTP_BAD,
	MET_ROLLOUT_REPORTS,
	MET_ROLLOUT_CALLS,
	MET_KEYS_REFUSED,
	MET_LIMIT_REFUSED,
	MET_QUOTA_MESSAGES,
	MET_DELEGATED,
	MET_DELEGATED_FAILED,
	MET_GATHERED_FOR_OTHERS,
	MET_COUNTERS
};

enum met_gauge {
	MET_QUERIES_RUNNING,
	MET_CALLS_RUNNING,
	MET_UNITS_HELD,
	MET_CONFIG_VERSION,
	MET_MEMBERS_LIVE,
	MET_CONNECTIONS,
	MET_ROLLOUTS_RUNNING,
	MET_GAUGES
};

enum met_histogram {
	MET_QUERY_TIME,
	MET_SUB_TIME,
	MET_QUEUE_WAIT,
	MET_HISTOGRAMS
};

#define MET_BUCKETS 256

struct met_hist {
	uint64_t count;
	uint64_t sum;
	uint64_t bucket[MET_BUCKETS];
};

struct met_registry {
	uint64_t counter[MET_COUNTERS];
	int64_t gauge[MET_GAUGES];
	struct met_hist histogram[MET_HISTOGRAMS];
};

static inline void met_add(struct met_registry *reg, enum met_counter counter,
			   uint64_t n)
{
	reg->counter[counter] += n;
}

static inline void met_set(struct met_registry *reg, enum met_gauge gauge,
			   int64_t value)
{
	reg->gauge[gauge] = value;
}

void met_hist_add(struct met_hist *hist, gb_time value);

/*
 * Returns the inclusive upper bound of a bucket. The last bucket also counts
 * larger values.
 */
gb_time met_hist_upper_bound(unsigned int bucket);

/* Returns the upper bound of the bucket with the quantile; 0 if empty. */
gb_time met_hist_quantile(const struct met_hist *hist, double quantile);

/* Halves the counts of all buckets, so that old samples lose weight. */
void met_hist_decay(struct met_hist *hist);

struct gb_str met_counter_name(enum met_counter counter);
struct gb_str met_gauge_name(enum met_gauge gauge);
struct gb_str met_histogram_name(enum met_histogram histogram);

/* A metric with a sample for each value of one label. */
struct met_family {
	struct gb_str name;
	struct gb_str help;
	struct gb_str label;
	bool is_counter;
};

/* Append the lines about the family, and one sample, in the same format. */
void met_family(const struct met_family *family, struct gb_buf *out);
void met_sample(const struct met_family *family, struct gb_str value,
		int64_t number, struct gb_buf *out);

/* Appends all metrics in the Prometheus text format. */
void met_text(const struct met_registry *reg, struct gb_buf *out);

#endif
