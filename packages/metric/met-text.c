#include "metric/met.h"

#include <inttypes.h>

#define ROW(n, h)                                                             \
	{                                                                     \
		.name = GB_STR_INIT("gentianbend_" n), .help = GB_STR_INIT(h) \
	}

/* Buckets per power of two; only bounds at powers of two are printed. */
#define PRINTED_STEP 8

struct row {
	struct gb_str name;
	struct gb_str help;
};

static const struct row counters[MET_COUNTERS] = {
	[MET_QUERIES] = ROW("queries_total", "Lookups received."),
	[MET_QUERIES_COMPLETE] = ROW("queries_complete_total",
				     "Lookups answered with full coverage."),
	[MET_QUERIES_PARTIAL] = ROW("queries_partial_total",
				    "Lookups answered with partial coverage."),
	[MET_QUERIES_REFUSED] =
		ROW("queries_refused_total", "Lookups refused."),
	[MET_QUERIES_LATE] = ROW("queries_late_total",
				 "Lookups answered after their deadline."),
	[MET_QUERIES_RESTARTED] =
		ROW("queries_restarted_total",
		    "Lookups started over on a newer snapshot."),
	[MET_ORDERS] = ROW("orders_total", "Orders received."),
	[MET_ORDERS_RUN] = ROW("orders_run_total", "Orders run."),
	[MET_ORDERS_REPLAYED] =
		ROW("orders_replayed_total",
		    "Orders answered with the outcome of an earlier run."),
	[MET_ORDERS_UNKNOWN] = ROW("orders_unknown_total",
				   "Orders answered with unknown outcome."),
	[MET_ORDERS_REFUSED] = ROW("orders_refused_total", "Orders refused."),
	[MET_SUB_REQUESTS] =
		ROW("sub_requests_total", "Sub-requests sent to upstreams, "
					  "hedges and retries included."),
	[MET_SUB_HEDGES] = ROW("sub_hedges_total", "Hedges sent."),
	[MET_SUB_RETRIES] = ROW("sub_retries_total", "Retries sent."),
	[MET_SUB_REFUSED] = ROW("sub_refused_total",
				"Sub-requests refused by the owner's queue."),
	[MET_SUB_CANCELLED] =
		ROW("sub_cancelled_total", "Sub-requests cancelled."),
	[MET_ANSWERS_DROPPED] =
		ROW("answers_dropped_total",
		    "Upstream answers dropped: late, of another attempt, "
		    "duplicated or truncated."),
	[MET_UPSTREAM_COLD] = ROW("upstream_cold_total",
				  "Times an upstream was put at its cold "
				  "limit."),
	[MET_LEASES_GAINED] = ROW("leases_gained_total", "Unit leases gained."),
	[MET_LEASES_LOST] = ROW("leases_lost_total", "Unit leases lost."),
	[MET_CONFIG_CHANGES] =
		ROW("config_changes_total", "Configuration versions taken."),
	[MET_STORE_READS] = ROW("store_reads_total", "Platform reads."),
	[MET_OBJECTS_INVALID] =
		ROW("objects_invalid_total",
		    "Objects of the store that cannot be used, by the reads."),
	[MET_MESSAGES_EVICTED] =
		ROW("messages_evicted_total",
		    "Incomplete requests and answers given up because all "
		    "together took too much memory."),
	[MET_STORE_WATCHES] =
		ROW("store_watches_total", "Platform watches started."),
	[MET_STORE_WRITES] = ROW("store_writes_total", "Platform writes."),
	[MET_PEER_MESSAGES] =
		ROW("peer_messages_total", "Messages received from other VMs."),
	[MET_PEER_BYTES] = ROW("peer_bytes_total", "Bytes sent to other VMs."),
	[MET_CONTROL_BYTES] =
		ROW("control_bytes_total",
		    "Bytes of heartbeats, votes and configuration sent to "
		    "other VMs."),
	[MET_HTTP_REQUESTS] =
		ROW("http_requests_total", "HTTP requests received."),
	[MET_HTTP_BAD] =
		ROW("http_bad_total", "HTTP requests refused as malformed."),
	[MET_ROLLOUT_REPORTS] =
		ROW("rollout_reports_total",
		    "Reports about roll-outs received from other VMs."),
	[MET_ROLLOUT_CALLS] =
		ROW("rollout_calls_total",
		    "Calls to the target version of a running roll-out."),
	[MET_KEYS_REFUSED] =
		ROW("keys_refused_total",
		    "Requests refused for a key that is unknown or stale."),
	[MET_LIMIT_REFUSED] =
		ROW("limit_refused_total",
		    "Requests refused beyond the limit of their organisation."),
	[MET_QUOTA_MESSAGES] =
		ROW("quota_messages_total",
		    "Messages about limits received from other VMs."),
	[MET_DELEGATED] = ROW("delegated_total",
			      "Queries handed to another VM to gather."),
	[MET_DELEGATED_FAILED] =
		ROW("delegated_failed_total",
		    "Queries that another VM did not gather in time."),
	[MET_GATHERED_FOR_OTHERS] = ROW("gathered_for_others_total",
					"Queries gathered for other VMs."),
};

static const struct row gauges[MET_GAUGES] = {
	[MET_QUERIES_RUNNING] =
		ROW("queries_running", "Lookups and orders now running."),
	[MET_CALLS_RUNNING] =
		ROW("calls_running", "Upstream calls now running."),
	[MET_UNITS_HELD] = ROW("units_held", "Units under a valid lease."),
	[MET_CONFIG_VERSION] =
		ROW("config_version", "Version of the configuration."),
	[MET_MEMBERS_LIVE] =
		ROW("members_live", "VMs of the roster that are live."),
	[MET_CONNECTIONS] = ROW("connections", "Open caller connections."),
	[MET_ROLLOUTS_RUNNING] =
		ROW("rollouts_running", "Roll-outs that have not ended."),
};

static const struct row histograms[MET_HISTOGRAMS] = {
	[MET_QUERY_TIME] = ROW("query_seconds", "Time from request to answer."),
	[MET_SUB_TIME] =
		ROW("sub_request_seconds", "Time of one upstream call."),
	[MET_QUEUE_WAIT] =
		ROW("queue_wait_seconds", "Time in the owner's queue."),
};

static void add_help_and_type(const struct row *row, const char *type,
			      struct gb_buf *out);
static void add_histogram(const struct row *row, const struct met_hist *hist,
			  struct gb_buf *out);

struct gb_str met_counter_name(enum met_counter counter)
{
	return counter < MET_COUNTERS ? counters[counter].name : GB_STR("");
}

struct gb_str met_gauge_name(enum met_gauge gauge)
{
	return gauge < MET_GAUGES ? gauges[gauge].name : GB_STR("");
}

struct gb_str met_histogram_name(enum met_histogram histogram)
{
	return histogram < MET_HISTOGRAMS ? histograms[histogram].name
					  : GB_STR("");
}

/* Appends the HELP and TYPE lines of a metric. */
static void add_help_and_type(const struct row *row, const char *type,
			      struct gb_buf *out)
{
	int len = row->name.len;
	const char *name = row->name.ptr;

	gb_buf_addf(out, "# HELP %.*s %.*s\n# TYPE %.*s %s\n", len, name,
		    (int)row->help.len, row->help.ptr, len, name, type);
}

/* Appends cumulative buckets; the last bucket is only in the +Inf line. */
static void add_histogram(const struct row *row, const struct met_hist *hist,
			  struct gb_buf *out)
{
	int len = row->name.len;
	const char *name = row->name.ptr;
	uint64_t cumulative = 0;

	add_help_and_type(row, "histogram", out);
	for (unsigned int i = 0; i < MET_BUCKETS - 1; i++) {
		cumulative += hist->bucket[i];
		if (i % PRINTED_STEP != PRINTED_STEP - 1)
			continue;
		gb_buf_addf(out, "%.*s_bucket{le=\"%.6f\"} %" PRIu64 "\n", len,
			    name, (double)met_hist_upper_bound(i) / GB_SEC,
			    cumulative);
	}
	gb_buf_addf(out, "%.*s_bucket{le=\"+Inf\"} %" PRIu64 "\n", len, name,
		    hist->count);
	gb_buf_addf(out, "%.*s_sum %.6f\n%.*s_count %" PRIu64 "\n", len, name,
		    (double)hist->sum / GB_SEC, len, name, hist->count);
}

void met_text(const struct met_registry *reg, struct gb_buf *out)
{
	for (int i = 0; i < MET_COUNTERS; i++) {
		add_help_and_type(&counters[i], "counter", out);
		gb_buf_addf(out, "%.*s %" PRIu64 "\n",
			    (int)counters[i].name.len, counters[i].name.ptr,
			    reg->counter[i]);
	}
	for (int i = 0; i < MET_GAUGES; i++) {
		add_help_and_type(&gauges[i], "gauge", out);
		gb_buf_addf(out, "%.*s %" PRId64 "\n", (int)gauges[i].name.len,
			    gauges[i].name.ptr, reg->gauge[i]);
	}
	for (int i = 0; i < MET_HISTOGRAMS; i++)
		add_histogram(&histograms[i], &reg->histogram[i], out);
}
