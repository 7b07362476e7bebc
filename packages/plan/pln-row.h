#ifndef PLN_ROW_H
#define PLN_ROW_H

/*
 * NAME
 *	pln-row - the table of intent kinds
 */

#include "plan/pln.h"

/* Members of an intent that a kind may need; bits of a mask. */
enum pln_need {
	PLN_NEED_TARGET = 1,
	PLN_NEED_FIELD = 2,
	PLN_NEED_FRAGMENT = 4
};

/* Row of the table of intent kinds. */
struct pln_kind_ops {
	struct gb_str name;
	unsigned int needs; /* mask of enum pln_need */
	int (*apply)(struct cfg *next, const struct pln_intent *intent,
		     int64_t wall_ms, struct gb_error *err);
};

/* Returns NULL for a kind outside the table. */
const struct pln_kind_ops *pln_kind_ops(enum pln_kind kind);

/* Functions that apply a kind to next; each refuses a change without effect. */
int pln_dc_create(struct cfg *next, const struct pln_intent *intent,
		  int64_t wall_ms, struct gb_error *err);
int pln_dc_exclude(struct cfg *next, const struct pln_intent *intent,
		   int64_t wall_ms, struct gb_error *err);
int pln_dc_include(struct cfg *next, const struct pln_intent *intent,
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

/* Maps a data centre index of a fragment, by name, to the index in cfg. */
int pln_map_dc(const struct cfg *cfg, const struct cfg *fragment,
	       uint32_t *index, struct gb_error *err);

#endif
