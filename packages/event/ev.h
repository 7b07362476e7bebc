#ifndef EV_H
#define EV_H

/*
 * NAME
 *	ev - numbered events, hybrid logical clock and ring of recent events
 *
 * DESCRIPTION
 *	Each event has a fixed number, a severity and a name, listed in the
 *	catalogue that docs/events.md repeats. An event names the request, the
 *	upstream, the data centre and the VM that it concerns, if any, and up
 *	to two numbers whose keys are in the catalogue.
 *
 *	A stamp of the hybrid logical clock holds the wall time in
 *	milliseconds in its upper 48 bits and a counter in its lower 16 bits.
 *	Sorting events of all VMs by stamp, then VM, gives an order that
 *	agrees with cause and effect.
 */

#include "base/gb.h"

/* The values are those of syslog. */
enum ev_severity {
	EV_ERROR = 3,
	EV_WARNING = 4,
	EV_NOTICE = 5,
	EV_INFO = 6,
	EV_DEBUG = 7
};

/* A number never changes; that of a removed event is never reused. */
enum ev_code {
	EV_START = 100,
	EV_READY = 101,
	EV_UNREADY = 102,
	EV_STOP_BEGIN = 103,
	EV_STOP_END = 104,
	EV_STOP_CONNECTIONS = 105,
	EV_CONFIG_TAKEN = 200,
	EV_CONFIG_REFUSED = 201,
	EV_CONFIG_WRITTEN = 202,
	EV_CONFIG_CONFLICT = 203,
	EV_CONFIG_WRITE_UNKNOWN = 204,
	EV_STORE_DOWN = 205,
	EV_STORE_UP = 206,
	EV_MEMBER_LIVE = 300,
	EV_MEMBER_DEAD = 301,
	EV_LEASE_GAINED = 302,
	EV_LEASE_LOST = 303,
	EV_LEASE_RELEASED = 304,
	EV_EPOCH_ACTIVE = 305,
	EV_MEMBER_ADDED = 306,
	EV_MEMBER_REMOVED = 307,
	EV_VMS_LEAVING = 308,
	EV_UPSTREAM_COLD = 400,
	EV_UPSTREAM_WARM = 401,
	EV_UPSTREAM_OPENED = 402, /* circuit breaker */
	EV_UPSTREAM_CLOSED = 403,
	EV_UPSTREAM_MISMATCH = 404,
	EV_QUERY_BEGIN = 500,
	EV_QUERY_END = 501,
	EV_QUERY_REFUSED = 502,
	EV_QUERY_RESTARTED = 503,
	EV_QUERY_CANCELLED = 504,
	EV_SUB_SENT = 505,
	EV_SUB_DONE = 506,
	EV_SUB_HEDGED = 507,
	EV_SUB_RETRIED = 508,
	EV_SUB_REFUSED = 509,
	EV_ORDER_RUN = 600,
	EV_ORDER_DONE = 601,
	EV_ORDER_REPLAYED = 602,
	EV_ORDER_REFUSED = 603,
	EV_ORDER_UNKNOWN = 604,
	EV_SUSPECT_CRASH = 700,
	EV_SUSPECT_QUARANTINED = 701,
	EV_SUSPECT_CLEARED = 702,
	EV_SUSPECTS_LEARNED = 703,
	EV_SUSPECT_KEPT = 704,
	EV_SUSPECT_RECORDS_FAILED = 705,
	EV_SUSPECTS_READ = 706,
	EV_SUSPECT_REMOVED = 707,
	EV_SUSPECT_NOT_KEPT = 708,
	EV_SUSPECT_RECORDS_INVALID = 709,
	EV_PLAN_MADE = 800,
	EV_PLAN_CONFIRMED = 801,
	EV_PLAN_CONFLICT = 802,
	EV_PEER_CONNECTED = 900,
	EV_PEER_LOST = 901,
	EV_PEER_BAD_MESSAGE = 902,
	EV_HTTP_BAD_REQUEST = 904,
	EV_FORWARD_END = 1000,
	EV_FORWARD_RETRY = 1001,
	EV_FORWARD_HEDGE = 1002,
	EV_FORWARD_FAILED = 1003,
	EV_FORWARD_DENIED = 1004,
	EV_FORWARD_GONE = 1005,
	EV_FORWARD_UNROUTED = 1006,
	EV_FORWARD_OVERLOAD = 1007,
	EV_DIRECTORY_LOST = 1010,
	EV_DIRECTORY_BACK = 1011,
	EV_DIRECTORY_LISTED = 1012,
	EV_ENTRY_BAD = 1013,
	EV_ENTRY_TAKEN = 1014,
	EV_ENTRY_REMOVED = 1015,
	EV_DC_EXCLUDED = 1016,
	EV_DC_INCLUDED = 1017,
	EV_UPSTREAM_LEAVING = 1018,
	EV_UPSTREAM_PAUSED = 1019,
	EV_SETTINGS_RELOADED = 1020,
	EV_SETTINGS_REFUSED = 1021,
	EV_LOG_DROPPED = 1022,
	EV_MESSAGE_EVICTED = 1023,
	EV_WATCH_RENEWED = 1024,
	EV_FOLLOW_TIMING = 1025,
	EV_BOUNDS_TIGHT = 1026,
	EV_STORE_RESTORED = 1027,
	EV_STORE_ERA_BAD = 1028,
	EV_ROLLOUT_ORDERED = 1030,
	EV_ROLLOUT_STEP = 1031,
	EV_ROLLOUT_STORED = 1032,
	EV_ROLLOUT_STORE_FAILED = 1033,
	EV_ROLLOUT_WITHDRAWN = 1034,
	EV_ROLLOUT_STATUS_BAD = 1035,
	EV_ORG_REFUSED = 1040,
	EV_KEYS_STALE = 1041,
	EV_KEYS_FRESH = 1042,
	EV_ORGS_BAD = 1043,
	EV_DELEGATED = 1050,
	EV_DELEGATED_FAILED = 1051,
	EV_DELEGATED_LOST = 1052
};

struct ev_event {
	uint64_t hlc;
	enum ev_code code;
	uint32_t vm;
	struct gb_str request;
	struct gb_str upstream;
	struct gb_str dc;
	int64_t num1; /* the event's row has the keys of both numbers */
	int64_t num2;
	/* further "key=value" words; a ring does not copy them */
	struct gb_str detail;
};

struct ev_row {
	enum ev_code code;
	enum ev_severity severity;
	struct gb_str name;
	struct gb_str meaning;
	struct gb_str num1_key; /* key in ev_text(); empty if unused */
	struct gb_str num2_key;
};

const struct ev_row *ev_row(enum ev_code code); /* NULL if unknown */
const struct ev_row *ev_rows(size_t *len);
struct gb_str ev_severity_name(enum ev_severity severity);

/* Appends the catalogue as a Markdown table, as in docs/events.md. */
void ev_catalogue(struct gb_buf *out);

struct ev_clock {
	uint64_t last;
};

/* Returns the stamp of a local event or of a message to send. */
uint64_t ev_clock_tick(struct ev_clock *clock, int64_t wall_ms);

/*
 * Returns the stamp of the receipt of a message. The clock moves past the
 * message's stamp unless that is too far ahead of the wall time.
 */
uint64_t ev_clock_merge(struct ev_clock *clock, int64_t wall_ms,
			uint64_t remote);

struct ev_ring; /* keeps copies of the newest capacity events */
struct ev_ring *ev_ring_new(size_t capacity);
void ev_ring_add(struct ev_ring *ring, const struct ev_event *event);
size_t ev_ring_len(const struct ev_ring *ring);
const struct ev_event *ev_ring_at(const struct ev_ring *ring, size_t index);
uint64_t ev_ring_dropped(const struct ev_ring *ring);
void ev_ring_free(struct ev_ring *ring);

/* Selects events; an empty string or a VM of -1 matches all. */
struct ev_filter {
	struct gb_str request;
	struct gb_str upstream;
	struct gb_str dc;
	int64_t vm;
};

bool ev_filter_match(const struct ev_filter *filter,
		     const struct ev_event *event);

/* Compares by stamp, then by VM, for sorting. */
int ev_cmp(const struct ev_event *a, const struct ev_event *b);

/* Appends "NAME key=value ..." without a final newline. */
void ev_text(const struct ev_event *event, struct gb_buf *out);

/*
 * Appends value in quotes, with all but printable ASCII escaped, so that it
 * cannot start a new line or send control bytes to a terminal.
 */
void ev_quote(struct gb_str value, struct gb_buf *out);

#endif
