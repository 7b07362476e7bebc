#ifndef FR_H
#define FR_H

/*
 * NAME
 *	fr - runs a VM of the tier that forwards requests directly to upstreams
 *
 * DESCRIPTION
 *	This package does the I/O for the decisions of the packages route,
 *	fleet, forward, member and directory: it owns the event loop, the
 *	connections and the timers. The encoding of requests, answers and stored
 *	objects is left to a platform: a table of functions that translate
 *	between its messages and the types of this code base.
 */

#include "forward/fw.h"
#include "http/ht-client.h"
#include "http/ht-server.h"
#include "mirror/mir.h"

struct fr_settings {
	struct gb_str name; /* of this VM, in log lines */
	struct gb_str dc;
	struct gb_str listen_address; /* "ADDRESS:PORT" for callers */
	/* for health checks of the load balancer */
	struct gb_str ready_address;
	/* for metrics and status; may be empty */
	struct gb_str control_address;
	/* a further address for metrics and status; may be empty */
	struct gb_str metrics_address;
	struct gb_str seeds; /* control addresses of VMs, comma-separated */
	uint16_t member_port; /* for datagrams between VMs */
	struct gb_str store_address; /* of the platform's store */
	gb_time drain_time; /* for which a leaving upstream still serves */
	gb_time apply_time; /* by which a configuration must be in force */
	gb_time exclusion_time; /* by which an exclusion must be */
	/* after lost connections, by which changes must be in force again */
	gb_time stable_time;
	gb_time grace_period; /* from SIGTERM until the process is killed */
	gb_time retry_window;
	double retry_ratio; /* retries and hedges per request, over all VMs */
	/* further retries and hedges per window, over all VMs */
	double retry_extra;
	size_t memory; /* bytes that the process may use */
	double processor_share; /* cores that it may use; 0: not known */
	double cold_allowance; /* burst of requests to a cold upstream */
	/* of a version being rolled out; share 0: roll-outs are not followed */
	struct ro_exposure_limits exposure;
	/* after which no key that was taken away is served; 0: no bound */
	gb_time revoke_time;
	struct og_settings quota; /* tolerance of limits */
	int log_severity;
	uint32_t log_rate; /* lines/s of severity info and below */
};

/* Fields of a caller's request, apart from its route. */
struct fr_request_info {
	struct gb_str id;
	struct gb_str host; /* without a port */
	gb_time timeout; /* time that the caller waits; 0 if not given */
	struct gb_str key; /* of its organisation; empty if there is none */
};

/* What upstreams are told of the caller. */
struct fr_identity {
	bool needs_key; /* its key, and what it says itself, are left out */
	struct gb_str organisation; /* empty if it has none */
};

/* The call to which an upstream's answer should belong. */
struct fr_answer_context {
	struct gb_str id;
	bool conn_reused; /* the connection has carried earlier requests */
	bool keep_fields; /* the caller gets the header fields of the answer */
};

/* Decoded head of an upstream's answer. */
struct fr_answer_head {
	enum ht_verdict verdict;
	enum fw_outcome outcome;
	bool reports_load;
	uint32_t running;
	uint32_t waiting;
	bool leaving; /* the upstream announces that it is leaving */
	gb_time pause; /* for which it wants no requests of this VM; 0: none */
};

/* Kinds of objects in the store. The last one is not always followed. */
enum fr_object_kind {
	FR_ROUTES,
	FR_UPSTREAMS,
	FR_EXCLUSIONS,
	FR_ROLLOUTS,
	FR_KINDS
};

/* An operator's order to move a service to another version, as stored. */
struct fr_rollout_order {
	struct gb_str service;
	struct gb_str target_version;
	gb_time duration;
	int64_t created_revision; /* of the object */
	int64_t revision;
	bool has_status; /* it has a status about this target version */
	bool is_status_invalid; /* of another writer */
	enum ro_step step; /* by the status */
	int64_t ordered_at_ms; /* wall clock, Unix time; 0: unknown */
};

/* What a VM writes as the status of an order. */
struct fr_rollout_status {
	struct gb_str service;
	struct gb_str target_version;
	int64_t revision; /* of the order that the status replaces */
	enum ro_step step;
	int64_t ordered_at_ms;
};

/* Callbacks for the decoded objects. */
struct fr_object_ops {
	/* takes ownership of the table */
	void (*routes)(void *ctx, struct rt_table *table);
	void (*upstream)(void *ctx, const struct fl_entry *entry);
	void (*upstream_removed)(void *ctx, struct gb_str id);
	void (*dc_exclusion)(void *ctx, struct gb_str dc, bool excluded);
	void (*rollout)(void *ctx, const struct fr_rollout_order *order);
	void (*rollout_removed)(void *ctx, struct gb_str service);
	/* Called with each object that other VMs may be sent, as stored. */
	void (*raw_object)(void *ctx, enum fr_object_kind kind,
			   const struct mir_object *object);
	/* The object is invalid; its last valid version stays in force. */
	void (*object_kept)(void *ctx, enum fr_object_kind kind,
			    struct gb_str name);
	/* The name is empty if it cannot be read. */
	void (*invalid_object)(void *ctx, enum fr_object_kind kind,
			       struct gb_str name,
			       const struct gb_error *error);
};

/* Summary of a page of objects or of a list of changes. */
struct fr_page {
	int64_t min_revision; /* pages of an older revision are rejected */
	int64_t revision;
	size_t objects_len;
	bool more;
	/* of the last object that has one, readable or not; owned */
	struct gb_str last_name;
	gb_time peer_age; /* of what another VM knows; -1: it gave none */
};

/*
 * A list or watch request from a VM that follows this one, in the format of the
 * store.
 */
struct fr_store_query {
	enum fr_object_kind kind;
	bool is_watch;
	bool allow_stale; /* objects of any age are accepted */
	int64_t after_revision;
	gb_time max_wait;
};

/* The record in the store of a request that crashes upstreams. */
struct fr_record {
	uint64_t fingerprint;
	uint32_t crashes;
	int64_t crashed_at_ms; /* the last time; wall clock, Unix time */
};

typedef void (*fr_record_fn)(void *ctx, const struct fr_record *record);

/* Encodes and decodes the messages of a platform. */
struct fr_platform {
	struct gb_str ready_path;
	struct gb_str kind_names[FR_KINDS];
	void (*read_request_info)(const struct ht_request *request,
				  struct fr_request_info *info);
	/* Appends the part of the head that is the same for all upstreams. */
	void (*write_common_head)(const struct ht_request *request,
				  const struct fr_identity *identity,
				  struct gb_buf *out);
	/* Appends the rest of the head, and the body. */
	void (*write_call)(const struct ht_request *request,
			   const struct fl_upstream *upstream, gb_time left,
			   struct gb_buf *out);
	void (*read_head)(const struct ht_response *response,
			  const struct fr_answer_context *context,
			  struct fr_answer_head *head,
			  struct fw_answer *answer);
	/* Appends the header fields of the reply to the caller. */
	void (*write_reply)(const struct fw_reply *reply, struct gb_str id,
			    struct gb_buf *fields);
	void (*write_list)(enum fr_object_kind kind, struct gb_str cursor,
			   bool allow_stale, struct gb_buf *out);
	void (*write_watch)(enum fr_object_kind kind, int64_t revision,
			    gb_time max_wait, struct gb_buf *out);
	int (*read_list)(enum fr_object_kind kind, struct gb_str body,
			 const struct fr_object_ops *object_ops, void *ctx,
			 struct fr_page *page);
	int (*read_watch)(enum fr_object_kind kind, struct gb_str body,
			  const struct fr_object_ops *object_ops, void *ctx,
			  struct fr_page *page);
	/* Decodes a list or watch request; returns false for any other path. */
	bool (*read_store_query)(struct gb_str path,
				 struct fr_store_query *query);
	void (*add_object)(bool watch, const struct mir_object *object,
			   struct gb_buf *page);
	/*
	 * Turns the objects appended by add_object() into a whole body, with
	 * the age of what this VM knows; -1 for none.
	 */
	void (*end_page)(bool watch, int64_t revision, gb_time age,
			 struct gb_buf *page);
	/*
	 * Reads the era of an answer of the store, or of a VM: 0 if it has
	 * none. Returns -1 if there are several, or one that is no number.
	 */
	int (*read_era)(const struct ht_response *response, int64_t *era);
	/* Appends the header field of an answer to another VM. */
	void (*write_era)(int64_t era, struct gb_buf *fields);
	/* Requests to the store for the records of crashing requests. */
	void (*write_record_list)(struct gb_buf *out);
	void (*write_record)(const struct fr_record *record, bool replaces,
			     struct gb_buf *out);
	void (*write_record_removal)(uint64_t fingerprint, struct gb_buf *out);
	void (*write_rollout_status)(const struct fr_rollout_status *status,
				     struct gb_buf *out);
	/*
	 * Visits the records of a list and counts the objects that are none;
	 * returns 0, or -1 if it is no list.
	 */
	int (*read_records)(struct gb_str body, fr_record_fn visit, void *ctx,
			    uint32_t *invalid);
};

/* Reads the settings again; returns the number of problems. */
typedef int (*fr_reload_fn)(void *ctx, struct fr_settings *settings);

/* Runs until a signal ends the process; returns its exit status. */
int fr_run(const struct fr_settings *settings,
	   const struct fr_platform *platform, const char *file,
	   fr_reload_fn reload, void *ctx);

#endif
