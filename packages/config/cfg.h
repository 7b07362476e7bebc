#ifndef CFG_H
#define CFG_H

/*
 * NAME
 *	cfg - the configuration aggregate and the store of its newest version
 *
 * DESCRIPTION
 *	A struct cfg is built once, checked by cfg_check() and never changed
 *	afterwards; its users share it by reference count. Its version is the
 *	version of the platform object that stores it. A change is made on a
 *	copy (cfg_copy()) and written to the platform conditionally on that
 *	version.
 *
 *	A cfg_store holds the newest version known to one VM. It refuses any
 *	version that is not higher, from whatever source.
 */

#include "base/gb.h"

#include <glib.h>

#define CFG_VMS_MAX 64 /* bits of a roster bitmap */

/*
 * Granters of a cell. Must be even: when one of an odd number of granters is
 * replaced, a majority of the new ones may contain too few of the old ones for
 * quo_epoch_settled(). See docs/design.md, 7.2.
 */
#define CFG_GRANTERS_MAX 4

#define CFG_SHARDS_MAX 4096 /* of a service */
#define CFG_REPLICAS_MAX 64 /* of a shard */
#define CFG_CHANGES_MAX 32 /* ids of the last changes that are kept */
#define CFG_EXCLUDED_VMS_MAX 1024
#define CFG_UNITS 256 /* groups of shards that are leased together */
#define CFG_OBJECT_MAX_BYTES (1024 * 1024) /* encoded configuration */

struct cfg_dc {
	struct gb_str name;
	struct gb_str region;
	bool excluded; /* by an operator; its replicas get no new work */
	/* wall time when it was last included again; starts the load ramp */
	gb_time returned_ms;
};

struct cfg_vm {
	uint32_t id; /* stable; never reused for another address */
	struct gb_str name;
	struct gb_str host;
	uint16_t peer_port;
	uint16_t http_port;
	uint32_t dc; /* index into dcs */
};

struct cfg_replica {
	struct gb_str name;
	struct gb_str host;
	uint16_t port;
	uint32_t dc;
	bool draining; /* finishes its work and receives no new work */
};

struct cfg_shard {
	GArray *replicas; /* of struct cfg_replica */
};

/* A version of the index, with the document counts of its shards. */
struct cfg_snapshot {
	uint64_t id;
	GArray *docs; /* of uint64_t, in shard order */
};

/* Limits of each upstream of a service. */
struct cfg_limits {
	uint32_t slots; /* calls that run at a time */
	uint32_t queue; /* calls that the upstream accepts beyond its slots */
	uint32_t connections;
	uint32_t cold_slots; /* slots right after a cold start */
	gb_time ramp; /* time to raise cold_slots to slots */
};

struct cfg_service {
	struct gb_str name;
	struct gb_str policy; /* "latency" or "coverage" */
	uint32_t priority; /* 0 is served first */
	uint32_t hedge_permille; /* extra attempts per thousand sub-requests */
	gb_time deadline; /* default for requests without one */
	bool canary; /* try an unknown request on one shard first */
	struct cfg_limits limits;
	GArray *shards; /* of struct cfg_shard */
	GArray *snapshots; /* of struct cfg_snapshot, newest last */
};

struct cfg {
	gint refs;
	uint64_t version;
	uint64_t epoch; /* of the roster */
	GArray *dcs; /* of struct cfg_dc */
	GArray *vms; /* of struct cfg_vm, ordered by id */
	GArray *services; /* of struct cfg_service */
	GArray *excluded_vms; /* of uint32_t: must not join by themselves */
	GArray *change_ids; /* of uint64_t: the last changes, newest last */
};

struct cfg *cfg_new(void);
struct cfg *cfg_copy(const struct cfg *cfg);
struct cfg *cfg_ref(struct cfg *cfg);
void cfg_unref(struct cfg *cfg);

/* These add an element with empty arrays and copy the strings. */
struct cfg_dc *cfg_add_dc(struct cfg *cfg, struct gb_str name);
struct cfg_vm *cfg_add_vm(struct cfg *cfg, uint32_t id, struct gb_str name,
			  struct gb_str host);
struct cfg_service *cfg_add_service(struct cfg *cfg, struct gb_str name);

/* Adds a copy of a service; replicas keep their data centre indices. */
struct cfg_service *cfg_add_service_copy(struct cfg *cfg,
					 const struct cfg_service *from);
struct cfg_shard *cfg_add_shard(struct cfg_service *service);
struct cfg_replica *cfg_add_replica(struct cfg_shard *shard, struct gb_str name,
				    struct gb_str host);
struct cfg_snapshot *cfg_add_snapshot(struct cfg_service *service, uint64_t id);
void cfg_set_policy(struct cfg_service *service, struct gb_str policy);

/* Replaces the shards and snapshots by copies of those of another service. */
void cfg_set_partition(struct cfg_service *to, const struct cfg_service *from);
void cfg_remove_vm(struct cfg *cfg, uint32_t index);

/* Removes the oldest snapshots so that at most max are left. */
void cfg_prune_snapshots(struct cfg_service *service, uint32_t max);
void cfg_add_change(struct cfg *cfg, uint64_t change);

/* A VM that an operator removed stays excluded until an operator adds it. */
void cfg_exclude_vm(struct cfg *cfg, uint32_t id);
void cfg_include_vm(struct cfg *cfg, uint32_t id);
bool cfg_is_vm_excluded(const struct cfg *cfg, uint32_t id);

/* Checks the rules that hold within one version. */
int cfg_check(const struct cfg *cfg, struct gb_error *err);

/* Checks that next may follow prev: at most one VM differs, epoch to match. */
int cfg_check_successor(const struct cfg *prev, const struct cfg *next,
			struct gb_error *err);

/* Look-ups; they return an index of -1 or NULL for an unknown element. */
int cfg_find_dc(const struct cfg *cfg, struct gb_str name);
int cfg_find_vm(const struct cfg *cfg, uint32_t id);
int cfg_find_service(const struct cfg *cfg, struct gb_str name);
bool cfg_has_change(const struct cfg *cfg, uint64_t change);
const struct cfg_dc *cfg_dc(const struct cfg *cfg, uint32_t index);
const struct cfg_vm *cfg_vm(const struct cfg *cfg, uint32_t index);
const struct cfg_service *cfg_service(const struct cfg *cfg, uint32_t index);
const struct cfg_shard *cfg_shard(const struct cfg_service *service,
				  uint32_t index);
const struct cfg_replica *cfg_replica(const struct cfg_shard *shard,
				      uint32_t index);
const struct cfg_snapshot *cfg_snapshot(const struct cfg_service *service,
					uint64_t id);
const struct cfg_snapshot *
cfg_newest_snapshot(const struct cfg_service *service);
uint64_t cfg_snapshot_docs(const struct cfg_snapshot *snapshot);
uint64_t cfg_shard_docs(const struct cfg_snapshot *snapshot, uint32_t shard);

/* Calls fn for each replica of each shard of each service. */
typedef void (*cfg_replica_fn)(void *ctx, const struct cfg *cfg,
			       const struct cfg_service *service,
			       const struct cfg_replica *replica);
void cfg_each_replica(const struct cfg *cfg, cfg_replica_fn fn, void *ctx);

/*
 * The first CFG_GRANTERS_MAX VMs by id are the granters of the cell. These
 * return their number and the size of their majority.
 */
uint32_t cfg_granter_count(const struct cfg *cfg);
uint32_t cfg_majority(const struct cfg *cfg);

/* Returns the lease unit that a shard belongs to. */
uint32_t cfg_shard_unit(const struct cfg_service *service, uint32_t shard);

/* Tells whether the replica may receive new work. */
bool cfg_replica_accepts_work(const struct cfg *cfg,
			      const struct cfg_replica *replica);

/* Returns how many connections one VM may open to an upstream of a service. */
uint32_t cfg_connection_share(const struct cfg *cfg,
			      const struct cfg_service *service);

struct cfg_store {
	struct cfg *current; /* NULL until a version is known */
};

/* Stores next; returns -1 if it is invalid or its version is not higher. */
int cfg_store_update(struct cfg_store *store, struct cfg *next,
		     struct gb_error *err);
uint64_t cfg_store_version(const struct cfg_store *store);
void cfg_store_free(struct cfg_store *store);

#endif
