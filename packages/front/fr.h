#ifndef FR_H
#define FR_H

/*
 * NAME
 *	fr - one VM of the tier that forwards requests straight to upstreams
 *
 * DESCRIPTION
 *	This is the shell around the decisions of route, fleet, forward,
 *	member and directory: it owns the loop, the connections and the timers.
 *	How requests, answers and the objects of the store look on the wire is
 *	up to a platform, a table of functions that translates them into the
 *	types of the product and back.
 */

#include "forward/fw.h"
#include "http/ht-client.h"
#include "http/ht-server.h"
#include "mirror/mir.h"

struct fr_settings {
	struct gb_str name; /* of this VM, in log lines */
	struct gb_str dc;
	struct gb_str listen; /* "ADDRESS:PORT" for callers */
	struct gb_str ready; /* for the load balancer's question */
	struct gb_str control; /* for metrics and status; may be empty */
	struct gb_str metrics; /* a further address for those; may be empty */
	struct gb_str seeds; /* control addresses of VMs, with commas */
	uint16_t member_port; /* for datagrams between VMs */
	struct gb_str store; /* address of the platform's store */
	gb_time drain; /* an upstream that leaves still serves so long */
	gb_time grace; /* from SIGTERM until the process is killed */
	gb_time retry_window;
	double retry_ratio; /* repeats per request, of all VMs */
	double retry_extra; /* further repeats a window, of all VMs */
	double cold_allowance; /* requests at once to a cold upstream */
	int log_severity;
	uint32_t log_rate; /* lines/s of severity info and below */
};

/* What a caller's request says, apart from its route. */
struct fr_ask {
	struct gb_str id;
	struct gb_str host; /* without a port */
	gb_time deadline; /* time that the caller waits; 0 if not given */
};

/* What an upstream's answer is expected to belong to. */
struct fr_expect {
	struct gb_str id;
	bool reused; /* earlier requests went over the same connection */
	bool keep_fields; /* the caller gets the answer's header fields */
};

/* The head of an upstream's answer. */
struct fr_head {
	enum ht_verdict verdict;
	enum fw_outcome outcome;
	bool reports_load;
	uint32_t running;
	uint32_t waiting;
};

/* Kinds of objects in the store. */
enum fr_kind { FR_ROUTES, FR_UPSTREAMS, FR_EXCLUSIONS, FR_KINDS };

/* Takes what the objects say. */
struct fr_sink {
	void (*routes)(void *ctx, struct rt_table *table); /* takes over */
	void (*upstream)(void *ctx, const struct fl_entry *entry);
	void (*upstream_gone)(void *ctx, struct gb_str id);
	void (*excluded)(void *ctx, struct gb_str dc, bool excluded);
	/* Each object as it came, before it is decoded. */
	void (*object)(void *ctx, enum fr_kind kind,
		       const struct mir_object *object);
	void (*bad)(void *ctx, enum fr_kind kind, struct gb_str name,
		    const struct gb_error *error);
};

/* The end of a page of objects or of a list of changes. */
struct fr_page {
	int64_t least; /* a page of an older revision is not taken */
	int64_t revision;
	size_t objects;
	bool more;
	struct gb_str last; /* name of the last object; owned */
};

/* What a VM that follows this one asks for, in the store's own words. */
struct fr_store_query {
	enum fr_kind kind;
	bool watch;
	bool stale; /* takes objects of any age */
	int64_t revision;
	gb_time wait;
};

/* How the platform's messages look. */
struct fr_platform {
	struct gb_str ready_path;
	struct gb_str kind_names[FR_KINDS];
	void (*read_ask)(const struct ht_request *request, struct fr_ask *ask);
	/* Appends the part of a request that all its upstreams get. */
	void (*write_base)(const struct ht_request *request,
			   struct gb_buf *out);
	/* Appends the rest of the head and the body. */
	void (*write_call)(const struct ht_request *request,
			   const struct fl_upstream *upstream, gb_time left,
			   struct gb_buf *out);
	void (*read_head)(const struct ht_response *response,
			  const struct fr_expect *expect, struct fr_head *head,
			  struct fw_answer *answer);
	/* Appends the header fields of a reply. */
	void (*write_reply)(const struct fw_reply *reply, struct gb_str id,
			    struct gb_buf *fields);
	void (*write_list)(enum fr_kind kind, struct gb_str after, bool stale,
			   struct gb_buf *out);
	void (*write_watch)(enum fr_kind kind, int64_t revision, gb_time wait,
			    struct gb_buf *out);
	int (*read_list)(enum fr_kind kind, struct gb_str body,
			 const struct fr_sink *sink, void *ctx,
			 struct fr_page *page);
	int (*read_watch)(enum fr_kind kind, struct gb_str body,
			  const struct fr_sink *sink, void *ctx,
			  struct fr_page *page);
	/* The store's side of a list or a watch; false for other paths. */
	bool (*read_query)(struct gb_str path, struct fr_store_query *query);
	void (*add_object)(bool watch, const struct mir_object *object,
			   struct gb_buf *page);
	/* Makes a whole body of what add_object() appended. */
	void (*end_page)(bool watch, int64_t revision, struct gb_buf *page);
};

/* Reads the settings again; returns the number of faults. */
typedef int (*fr_reload)(void *ctx, struct fr_settings *settings);

/* Runs until a signal ends the process; returns its exit status. */
int fr_run(const struct fr_settings *settings,
	   const struct fr_platform *platform, const char *file,
	   fr_reload reload, void *ctx);

#endif
