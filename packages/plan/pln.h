#ifndef PLN_H
#define PLN_H

/*
 * NAME
 *	pln - operator intents, plans and their effects
 *
 * DESCRIPTION
 *	An intent says what an operator wants. pln_make() applies it to a copy
 *	of the configuration and lists the effects. A plan is bound to the
 *	version that it was made from; the confirmation carries intent, plan
 *	identity and that version, and pln_apply() refuses any other version
 *	with GB_ERR_CONFLICT. The plan identity becomes part of the changed
 *	configuration, so that a writer that lost its answer can read back
 *	whether its own change took effect.
 */

#include "base/gb.h"
#include "config/cfg.h"

enum pln_kind {
	PLN_DC_CREATE,
	PLN_DC_OUT,
	PLN_DC_BACK,
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

/* The fields that a kind uses are given by its row in the kind table. */
struct pln_intent {
	enum pln_kind kind;
	struct gb_str target; /* data centre, upstream, service or VM */
	struct gb_str
		field; /* LIMIT_SET: name of the limit; DC_CREATE: region */
	uint64_t value; /* LIMIT_SET: new value; VM_ADD: VM id */
	struct cfg *part; /* SERVICE_*, SNAPSHOT_PUBLISH, VM_ADD: new
			     elements; borrowed */
};

struct pln_shard_effect {
	struct gb_str service;
	uint32_t shard;
	uint32_t replicas_left;
};

struct pln_plan {
	uint64_t id;
	uint64_t base_version;
	enum pln_kind kind;
	uint32_t upstreams_before; /* open to new work */
	uint32_t upstreams_after;
	uint32_t slots_before;
	uint32_t slots_after;
	double load_factor; /* expected load per remaining slot, 1 = as now */
	uint32_t shards_unserved; /* shards without an open replica */
	GArray *low_shards; /* of struct pln_shard_effect: at most 1 left */
};

struct gb_str pln_kind_name(enum pln_kind kind);
enum pln_kind pln_kind_from_name(struct gb_str name); /* PLN_KINDS if none */

/* Makes a plan from cfg; free with pln_free(). */
int pln_make(const struct cfg *cfg, const struct pln_intent *intent,
	     uint64_t id, struct pln_plan **plan, struct gb_error *err);

/*
 * Applies the intent to a copy of cfg. wall_ms stamps the return of a data
 * centre. The result carries the plan identity; its version is unchanged.
 */
int pln_apply(const struct cfg *cfg, const struct pln_intent *intent,
	      uint64_t id, uint64_t base_version, int64_t wall_ms,
	      struct cfg **next, struct gb_error *err);
void pln_free(struct pln_plan *plan);

#endif
