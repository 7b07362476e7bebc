#ifndef PLN_ROW_H
#define PLN_ROW_H

/*
 * NAME
 *	pln-row - the table of intent kinds
 */

#include "plan/pln.h"

/* Members of an intent that a kind needs. */
enum pln_need { PLN_NEED_TARGET = 1, PLN_NEED_FIELD = 2, PLN_NEED_PART = 4 };

struct pln_row {
	struct gb_str name;
	unsigned int needs;
	int (*apply)(struct cfg *next, const struct pln_intent *intent,
		     int64_t wall_ms, struct gb_error *err);
};

/* NULL for a kind outside the table. */
const struct pln_row *pln_row(enum pln_kind kind);

/* Applying functions: each changes next and refuses a change without effect. */
int pln_dc_create(struct cfg *next, const struct pln_intent *intent,
		  int64_t wall_ms, struct gb_error *err);
int pln_dc_out(struct cfg *next, const struct pln_intent *intent,
	       int64_t wall_ms, struct gb_error *err);
int pln_dc_back(struct cfg *next, const struct pln_intent *intent,
		int64_t wall_ms, struct gb_error *err);
int pln_upstream_drain(struct cfg *next, const struct pln_intent *intent,
		       int64_t wall_ms, struct gb_error *err);
int pln_upstream_restore(struct cfg *next, const struct pln_intent *intent,
			 int64_t wall_ms, struct gb_error *err);
int pln_limit_set(struct cfg *next, const struct pln_intent *intent,
		  int64_t wall_ms, struct gb_error *err);
int pln_service_create(struct cfg *next, const struct pln_intent *intent,
		       int64_t wall_ms, struct gb_error *err);
int pln_service_repartition(struct cfg *next, const struct pln_intent *intent,
			    int64_t wall_ms, struct gb_error *err);
int pln_snapshot_publish(struct cfg *next, const struct pln_intent *intent,
			 int64_t wall_ms, struct gb_error *err);
int pln_vm_add(struct cfg *next, const struct pln_intent *intent,
	       int64_t wall_ms, struct gb_error *err);
int pln_vm_remove(struct cfg *next, const struct pln_intent *intent,
		  int64_t wall_ms, struct gb_error *err);

/* Finds the data centre of a part by name in the real configuration. */
int pln_map_dc(const struct cfg *cfg, const struct cfg *part, uint32_t *index,
	       struct gb_error *err);

#endif
