#ifndef PLN_H
#define PLN_H

/*
 * NAME
 *	pln - changes of the configuration that operators plan and confirm
 *
 * DESCRIPTION
 *	An intent describes a change that an operator requests. pln_make()
 *	applies it to a copy of the configuration and computes the effects. A
 *	plan is bound to the version that it was made from. The confirmation
 *	carries the intent, the plan id and that version; pln_apply() refuses
 *	any other version with GB_ERR_CONFLICT. The plan id is stored in the
 *	changed configuration, so that a writer that got no answer can read
 *	back whether its change took effect.
 */

#include "base/gb.h"
#include "config/cfg.h"

enum pln_kind {
	PLN_DC_CREATE,
	PLN_DC_EXCLUDE,
	PLN_DC_INCLUDE,
	PLN_UPSTREAM_DRAIN,
	PLN_UPSTREAM_RESTORE,
	PLN_LIMIT_SET,
	PLN_SERVICE_CREATE,
	PLN_SERVICE_REPARTITION,
	PLN_SNAPSHOT_PUBLISH,
	PLN_VM_ADD,
	PLN_VM_REMOVE,
	PLN_KINDS
};

/* The table of kinds in pln-row.c gives the members that a kind needs. */
struct pln_intent {
	enum pln_kind kind;
	struct gb_str target; /* data centre, upstream, service or VM */
	/* LIMIT_SET: name of the limit; DC_CREATE: region */
	struct gb_str field;
	uint64_t value; /* LIMIT_SET: new value; VM_ADD: VM id */
	/*
	 * SERVICE_*, SNAPSHOT_PUBLISH, VM_ADD: partial configuration with the
	 * new elements; borrowed
	 */
	struct cfg *fragment;
};

/* A shard that a plan leaves with few usable replicas. */
struct pln_shard_effect {
	struct gb_str service;
	uint32_t shard;
	uint32_t replicas_left;
};

struct pln_plan {
	uint64_t id;
	uint64_t base_version;
	enum pln_kind kind;
	uint32_t upstreams_before; /* that accept new work */
	uint32_t upstreams_after;
	uint32_t slots_before;
	uint32_t slots_after;
	double load_factor; /* expected load per remaining slot; 1: as now */
	uint32_t shards_unserved; /* shards without a usable replica */
	GArray *low_shards; /* of struct pln_shard_effect; at most 1 replica */
};

struct gb_str pln_kind_name(enum pln_kind kind);
enum pln_kind pln_kind_from_name(struct gb_str name); /* PLN_KINDS if none */

/* Makes a plan from cfg; free with pln_free(). */
int pln_make(const struct cfg *cfg, const struct pln_intent *intent,
	     uint64_t id, struct pln_plan **plan, struct gb_error *err);

/*
 * Applies the intent to a copy of cfg. wall_ms is recorded as the time when a
 * data centre is included again. The result carries the plan id; its version is
 * unchanged.
 */
int pln_apply(const struct cfg *cfg, const struct pln_intent *intent,
	      uint64_t id, uint64_t base_version, int64_t wall_ms,
	      struct cfg **next, struct gb_error *err);
void pln_free(struct pln_plan *plan);

#endif
