#include "event/ev.h"

#define ROW(c, s, n, m, x, y)                                          \
	{                                                              \
		.code = (c), .severity = (s), .name = GB_STR_INIT(n),  \
		.meaning = GB_STR_INIT(m), .num1_key = GB_STR_INIT(x), \
		.num2_key = GB_STR_INIT(y),                            \
	}

/* Ordered by number. */
static const struct ev_row rows[] = {
	ROW(EV_START, EV_NOTICE, "start",
	    "The process has started and listens.", "", ""),
	ROW(EV_READY, EV_NOTICE, "ready", "The VM accepts requests.", "", ""),
	ROW(EV_UNREADY, EV_NOTICE, "unready",
	    "The VM no longer accepts requests.", "", ""),
	ROW(EV_STOP_BEGIN, EV_NOTICE, "stop_begin",
	    "A graceful stop has begun; requests in flight may finish.", "",
	    ""),
	ROW(EV_STOP_END, EV_NOTICE, "stop_end",
	    "The process ends after a graceful stop.", "requests_cut", ""),
	ROW(EV_STOP_CONNECTIONS, EV_NOTICE, "stop_connections",
	    "A stopping process drops attempts to connect and closes idle connections; errno is not 0 if attempts are still accepted.",
	    "errno", ""),
	ROW(EV_CONFIG_TAKEN, EV_NOTICE, "config_taken",
	    "A newer configuration is in force on this VM.", "config_version",
	    "epoch"),
	ROW(EV_CONFIG_REFUSED, EV_WARNING, "config_refused",
	    "A configuration was not applied: it is invalid, too large or not newer.",
	    "config_version", "error"),
	ROW(EV_CONFIG_WRITTEN, EV_NOTICE, "config_written",
	    "The platform accepted a conditional write of the configuration.",
	    "plan", "config_version"),
	ROW(EV_CONFIG_CONFLICT, EV_NOTICE, "config_conflict",
	    "The platform refused a write of the configuration that was based on an older version.",
	    "plan", "base_version"),
	ROW(EV_CONFIG_WRITE_UNKNOWN, EV_WARNING, "config_write_unknown",
	    "The outcome of a write of the configuration could not be read back in time.",
	    "plan", "config_version"),
	ROW(EV_STORE_DOWN, EV_WARNING, "store_down",
	    "The platform does not answer.", "", ""),
	ROW(EV_STORE_UP, EV_NOTICE, "store_up", "The platform answers again.",
	    "", ""),
	ROW(EV_MEMBER_LIVE, EV_NOTICE, "member_live",
	    "A VM of the roster is live.", "member", ""),
	ROW(EV_MEMBER_DEAD, EV_WARNING, "member_dead",
	    "A VM of the roster has been silent for too long.", "member", ""),
	ROW(EV_LEASE_GAINED, EV_INFO, "lease_gained",
	    "This VM gained the leases of units.", "units", "units_held"),
	ROW(EV_LEASE_LOST, EV_WARNING, "lease_lost",
	    "This VM no longer holds the leases of units.", "units",
	    "units_held"),
	ROW(EV_LEASE_RELEASED, EV_INFO, "lease_released",
	    "This VM finished the work of units and released their leases.",
	    "units", "units_held"),
	ROW(EV_EPOCH_ACTIVE, EV_NOTICE, "epoch_active",
	    "A roster epoch is in force on this VM.", "epoch", ""),
	ROW(EV_MEMBER_ADDED, EV_NOTICE, "member_added",
	    "This VM writes a roster that adds a VM that asked to join.",
	    "member", ""),
	ROW(EV_MEMBER_REMOVED, EV_WARNING, "member_removed",
	    "This VM writes a roster that removes a VM that was silent for too long.",
	    "member", ""),
	ROW(EV_VMS_LEAVING, EV_NOTICE, "vms_leaving",
	    "The platform's list of leaving VMs changed; upstreams there are "
	    "drained.",
	    "hosts", ""),
	ROW(EV_UPSTREAM_COLD, EV_NOTICE, "upstream_cold",
	    "The limit of an upstream was reset to its cold limit.", "shard",
	    ""),
	ROW(EV_UPSTREAM_WARM, EV_INFO, "upstream_warm",
	    "An upstream completed its slow start and has its full limit again.",
	    "shard", ""),
	ROW(EV_UPSTREAM_OPENED, EV_WARNING, "upstream_opened",
	    "The circuit breaker of an upstream opened.", "shard", "pause_us"),
	ROW(EV_UPSTREAM_CLOSED, EV_NOTICE, "upstream_closed",
	    "The circuit breaker of an upstream closed.", "shard", ""),
	ROW(EV_UPSTREAM_MISMATCH, EV_WARNING, "upstream_mismatch",
	    "An answer named another attempt, shard or snapshot and was dropped.",
	    "shard", "call"),
	ROW(EV_QUERY_BEGIN, EV_DEBUG, "query_begin", "A lookup was accepted.",
	    "snapshot", "shards"),
	ROW(EV_QUERY_END, EV_DEBUG, "query_end", "A lookup was answered.",
	    "error", "elapsed_us"),
	ROW(EV_QUERY_REFUSED, EV_INFO, "query_refused", "A lookup was refused.",
	    "error", ""),
	ROW(EV_QUERY_RESTARTED, EV_INFO, "query_restarted",
	    "A lookup started over on a newer snapshot.", "snapshot", "shards"),
	ROW(EV_QUERY_CANCELLED, EV_DEBUG, "query_cancelled",
	    "The caller of a lookup disconnected.", "", ""),
	ROW(EV_SUB_SENT, EV_DEBUG, "sub_sent",
	    "A sub-request was sent to an upstream.", "shard", "call"),
	ROW(EV_SUB_DONE, EV_DEBUG, "sub_done",
	    "A sub-request ended; its result goes to the entry VM.", "shard",
	    "status"),
	ROW(EV_SUB_HEDGED, EV_DEBUG, "sub_hedged",
	    "A sub-request was sent to a second replica.", "shard", "call"),
	ROW(EV_SUB_RETRIED, EV_DEBUG, "sub_retried",
	    "A sub-request was sent again after a failure.", "shard", "status"),
	ROW(EV_SUB_REFUSED, EV_DEBUG, "sub_refused",
	    "The owner refused a sub-request.", "shard", "status"),
	ROW(EV_ORDER_RUN, EV_INFO, "order_run",
	    "A majority of granters voted for an order; it is sent once.",
	    "owner", "shard"),
	ROW(EV_ORDER_DONE, EV_INFO, "order_done",
	    "The outcome of an order is known.", "elapsed_us", ""),
	ROW(EV_ORDER_REPLAYED, EV_INFO, "order_replayed",
	    "The outcome of an earlier run of the same order was returned.", "",
	    ""),
	ROW(EV_ORDER_REFUSED, EV_INFO, "order_refused", "An order was refused.",
	    "error", ""),
	ROW(EV_ORDER_UNKNOWN, EV_WARNING, "order_unknown",
	    "An order was answered with unknown outcome.", "", ""),
	ROW(EV_SUSPECT_CRASH, EV_WARNING, "suspect_crash",
	    "An upstream crashed while it ran a request that is not known to be harmless.",
	    "fingerprint", "crashes"),
	ROW(EV_SUSPECT_QUARANTINED, EV_ERROR, "suspect_quarantined",
	    "A request crashed two upstreams; all VMs refuse it.",
	    "fingerprint", "crashes"),
	ROW(EV_SUSPECT_CLEARED, EV_INFO, "suspect_cleared",
	    "A suspected request ran to its end and is no longer suspected.",
	    "fingerprint", ""),
	ROW(EV_SUSPECTS_LEARNED, EV_NOTICE, "suspects_learned",
	    "Another VM told of requests that crash upstreams.", "suspects",
	    "since_start_us"),
	ROW(EV_SUSPECT_KEPT, EV_NOTICE, "suspect_kept",
	    "A record of a quarantined request was written to the platform.",
	    "fingerprint", "crashes"),
	ROW(EV_SUSPECT_RECORDS_FAILED, EV_WARNING, "suspect_records_failed",
	    "A call for the records of quarantined requests failed; it is repeated.",
	    "fingerprint", "status"),
	ROW(EV_SUSPECTS_READ, EV_NOTICE, "suspects_read",
	    "The platform had records of requests that crash upstreams.",
	    "suspects", "since_start_us"),
	ROW(EV_SUSPECT_REMOVED, EV_NOTICE, "suspect_removed",
	    "The record of a request was removed: it was answered, or has not crashed an upstream for ten minutes.",
	    "fingerprint", "answered"),
	ROW(EV_SUSPECT_NOT_KEPT, EV_WARNING, "suspect_not_kept",
	    "A quarantined request has no record, since this VM keeps too many.",
	    "fingerprint", "crashes"),
	ROW(EV_SUSPECT_RECORDS_INVALID, EV_WARNING, "suspect_records_invalid",
	    "Objects beside the records of crashing requests cannot be read.",
	    "objects", ""),
	ROW(EV_PLAN_MADE, EV_NOTICE, "plan_made",
	    "A plan was made for an operator.", "plan", "base_version"),
	ROW(EV_PLAN_CONFIRMED, EV_NOTICE, "plan_confirmed",
	    "A plan was confirmed and accepted.", "plan", "config_version"),
	ROW(EV_PLAN_CONFLICT, EV_NOTICE, "plan_conflict",
	    "A confirmation was refused: the configuration has changed since the plan was made.",
	    "plan", "base_version"),
	ROW(EV_PEER_CONNECTED, EV_INFO, "peer_connected",
	    "A connection to another VM is open.", "peer", ""),
	ROW(EV_PEER_LOST, EV_WARNING, "peer_lost",
	    "A connection to another VM was lost.", "peer", "system_error"),
	ROW(EV_PEER_BAD_MESSAGE, EV_WARNING, "peer_bad_message",
	    "A message from another VM could not be decoded; its connection was closed.",
	    "peer", "error"),
	ROW(EV_HTTP_BAD_REQUEST, EV_INFO, "http_bad_request",
	    "An HTTP request was malformed.", "status", "error"),
	ROW(EV_FORWARD_END, EV_INFO, "forward_end",
	    "A forwarded request was answered.", "status", "elapsed_us"),
	ROW(EV_FORWARD_RETRY, EV_INFO, "forward_retry",
	    "A request is sent again after a failure.", "", ""),
	ROW(EV_FORWARD_HEDGE, EV_INFO, "forward_hedge",
	    "A request is sent to a second upstream, since the first is late.",
	    "", ""),
	ROW(EV_FORWARD_FAILED, EV_INFO, "forward_failed",
	    "A call to an upstream failed: it got no answer or an error.", "",
	    ""),
	ROW(EV_FORWARD_DENIED, EV_INFO, "forward_denied",
	    "A repeat was not sent: the retry budget is used up.", "", ""),
	ROW(EV_FORWARD_GONE, EV_INFO, "forward_gone",
	    "The caller disconnected before the answer; calls in flight were cancelled.",
	    "", "elapsed_us"),
	ROW(EV_FORWARD_UNROUTED, EV_INFO, "forward_unrouted",
	    "A request was answered without being forwarded.", "status",
	    "config_version"),
	ROW(EV_FORWARD_OVERLOAD, EV_INFO, "forward_overload",
	    "A request was refused before it was sent: its answer would be late.",
	    "", ""),
	ROW(EV_DIRECTORY_LOST, EV_WARNING, "directory_lost",
	    "The platform's store, or the VM that is followed, does not answer; the objects read before stay in force.",
	    "from_store", "waited_us"),
	ROW(EV_DIRECTORY_BACK, EV_NOTICE, "directory_back",
	    "The platform's store, or the VM that is followed, answers again.",
	    "failures", "silent_us"),
	ROW(EV_DIRECTORY_LISTED, EV_NOTICE, "directory_listed",
	    "All objects of one kind were read.", "revision", "objects"),
	ROW(EV_ENTRY_BAD, EV_WARNING, "entry_bad",
	    "An object of the store cannot be used.", "", ""),
	ROW(EV_ENTRY_TAKEN, EV_INFO, "entry_taken",
	    "An upstream's entry was read and applied.", "", ""),
	ROW(EV_ENTRY_REMOVED, EV_INFO, "entry_removed",
	    "An upstream's entry was removed from the store.", "", ""),
	ROW(EV_DC_EXCLUDED, EV_NOTICE, "dc_excluded",
	    "Nothing more is sent to the upstreams of a data centre.", "", ""),
	ROW(EV_DC_INCLUDED, EV_NOTICE, "dc_included",
	    "Requests are sent to the upstreams of a data centre again.", "",
	    ""),
	ROW(EV_UPSTREAM_LEAVING, EV_NOTICE, "upstream_leaving",
	    "An upstream announced in an answer that it is leaving.", "", ""),
	ROW(EV_UPSTREAM_PAUSED, EV_INFO, "upstream_paused",
	    "An upstream refused a request and asked for no more for some time.",
	    "shortened", "asked_us"),
	ROW(EV_SETTINGS_RELOADED, EV_NOTICE, "settings_reloaded",
	    "The settings file was read again.", "", ""),
	ROW(EV_SETTINGS_REFUSED, EV_WARNING, "settings_refused",
	    "The settings file has errors; the last valid settings stay in force.",
	    "problems", ""),
	ROW(EV_LOG_DROPPED, EV_WARNING, "log_dropped",
	    "Lines were dropped to bound the volume of the log.", "lines", ""),
	ROW(EV_MESSAGE_EVICTED, EV_WARNING, "message_evicted",
	    "Messages in transit took too much memory; the longest incomplete one was given up.",
	    "bytes", "bytes_of_all"),
	ROW(EV_WATCH_RENEWED, EV_NOTICE, "watch_renewed",
	    "A watch was sent again, since its connection was closed or may have fallen silent.",
	    "revision", "waited_us"),
	ROW(EV_FOLLOW_TIMING, EV_NOTICE, "follow_timing",
	    "The waits for changes of the store that the bounds of the settings allow.",
	    "watch_us", "relayed_us"),
	ROW(EV_BOUNDS_TIGHT, EV_WARNING, "bounds_tight",
	    "The bounds are too short to repeat a failed call to the store within them.",
	    "change_us", "silence_us"),
	ROW(EV_STORE_RESTORED, EV_WARNING, "store_restored",
	    "The platform's store has come back from an older copy; all objects are read anew.",
	    "era", "before"),
	ROW(EV_STORE_ERA_BAD, EV_WARNING, "store_era_bad",
	    "An answer has an era that cannot be read; it is not used.",
	    "from_store", ""),
	ROW(EV_ROLLOUT_ORDERED, EV_NOTICE, "rollout_ordered",
	    "An operator moves a service to another version of its upstreams.",
	    "duration_us", "age_us"),
	ROW(EV_ROLLOUT_STEP, EV_NOTICE, "rollout_step",
	    "A roll-out has reached another step.", "requests", "exposed"),
	ROW(EV_ROLLOUT_STORED, EV_INFO, "rollout_stored",
	    "The status of a roll-out was written to the platform.", "revision",
	    ""),
	ROW(EV_ROLLOUT_STORE_FAILED, EV_WARNING, "rollout_store_failed",
	    "The status of a roll-out could not be written; the write is repeated if it is still needed.",
	    "revision", "status"),
	ROW(EV_ROLLOUT_WITHDRAWN, EV_NOTICE, "rollout_withdrawn",
	    "The order of a roll-out was removed, or cannot be read any more.",
	    "requests", "exposed"),
	ROW(EV_ROLLOUT_STATUS_BAD, EV_WARNING, "rollout_status_bad",
	    "The status of a roll-out is not one that a VM writes; it is replaced.",
	    "revision", ""),
	ROW(EV_ORG_REFUSED, EV_INFO, "org_refused",
	    "A request was refused for its key, or the limit of its organisation.",
	    "status", "retry_after_us"),
	ROW(EV_KEYS_STALE, EV_WARNING, "keys_stale",
	    "A key may have been taken away without this VM knowing; requests with keys are refused.",
	    "age_us", ""),
	ROW(EV_KEYS_FRESH, EV_NOTICE, "keys_fresh",
	    "The keys are known to be in force; requests with keys are served.",
	    "age_us", ""),
	ROW(EV_ORGS_BAD, EV_WARNING, "orgs_bad",
	    "Keys or limits of organisations in a version of the configuration cannot be used.",
	    "keys", "limits"),
	ROW(EV_DELEGATED, EV_INFO, "delegated",
	    "A query was gathered by another VM, which has more processor time.",
	    "status", "elapsed_us"),
	ROW(EV_DELEGATED_FAILED, EV_INFO, "delegated_failed",
	    "Another VM did not gather a query in time, or refused it; this VM gathers it itself.",
	    "may_have_run", "elapsed_us"),
	ROW(EV_DELEGATED_LOST, EV_WARNING, "delegated_lost",
	    "Another VM has not answered a query, and no attempt is left for this VM: the caller gets a failure.",
	    "status", "elapsed_us"),
};

#define ROWS (sizeof(rows) / sizeof(rows[0]))

static void add_cell(struct gb_buf *out, struct gb_str text);

const struct ev_row *ev_rows(size_t *len)
{
	*len = ROWS;
	return rows;
}

const struct ev_row *ev_row(enum ev_code code)
{
	for (size_t i = 0; i < ROWS; i++)
		if (rows[i].code == code)
			return &rows[i];
	return NULL;
}

struct gb_str ev_severity_name(enum ev_severity severity)
{
	switch (severity) {
	case EV_ERROR:
		return GB_STR("error");
	case EV_WARNING:
		return GB_STR("warning");
	case EV_NOTICE:
		return GB_STR("notice");
	case EV_INFO:
		return GB_STR("info");
	case EV_DEBUG:
		return GB_STR("debug");
	}
	return GB_STR("");
}

static void add_cell(struct gb_buf *out, struct gb_str text)
{
	gb_buf_addf(out, " %.*s |", (int)text.len, text.ptr);
}

void ev_catalogue(struct gb_buf *out)
{
	gb_buf_add(out, GB_STR("| number | severity | name | meaning | first "
			       "number | second number |\n"
			       "| --- | --- | --- | --- | --- | --- |\n"));
	for (size_t i = 0; i < ROWS; i++) {
		gb_buf_addf(out, "| %d |", rows[i].code);
		add_cell(out, ev_severity_name(rows[i].severity));
		add_cell(out, rows[i].name);
		add_cell(out, rows[i].meaning);
		add_cell(out, rows[i].num1_key);
		add_cell(out, rows[i].num2_key);
		gb_buf_addc(out, '\n');
	}
}
