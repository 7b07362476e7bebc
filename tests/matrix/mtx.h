#ifndef MTX_H
#define MTX_H

/*
 * NAME
 *	mtx - the fault matrix: each fault at each step of each operation
 *
 * DESCRIPTION
 *	A cell is one operation, one moment of it and one or two faults. It
 *	runs in a world of its own: 4 VMs in 3 data centres, a search service,
 *	an order service and a background load on both. The moment is found by
 *	a run of the same world without a fault. After the fault has lasted,
 *	everything is healed; probes must then succeed within a bound, and no
 *	check of a promise may have found a violation.
 */

#include "bench/fakes/scn.h"

#define MTX_FAULTS 2

/* How long a fault lasts; longer than a lease and the pause of a VM. */
#define MTX_LASTING (1800 * GB_MSEC)

/* VMs by index: one takes requests, the other owns what they need. */
enum mtx_role { MTX_NO_VM, MTX_ENTRY, MTX_SUBJECT };

enum mtx_moment {
	MTX_BEFORE,
	MTX_SENT,
	MTX_MIDDLE,
	MTX_ANSWER, /* just before it */
	MTX_AFTER,
	MTX_MOMENTS
};

struct mtx_cell;

struct mtx_operation {
	struct gb_str name;
	void (*prepare)(struct mtx_cell *cell); /* well before; may be NULL */
	void (*begin)(struct mtx_cell *cell);
	bool (*done)(struct mtx_cell *cell);
	bool at_once; /* begins and ends within one input of one VM */
	bool starts; /* the subject does not run before the operation */
	bool stops; /* the subject does not run after the operation */
};

struct mtx_fault {
	struct gb_str name;
	void (*inject)(struct mtx_cell *cell, const struct mtx_fault *fault);
	enum mtx_role role; /* VM whose process the fault hits */
	bool all; /* all replicas of the shard */
	int64_t value;
};

/* What is to be run. */
struct mtx_id {
	const struct mtx_operation *operation;
	enum mtx_moment moment;
	const struct mtx_fault *fault[MTX_FAULTS]; /* the second may be NULL */
};

struct mtx_cell {
	struct scn_world *world;
	struct mtx_id id;
	uint64_t seed;
	struct gb_buf body; /* of a request whose shard the subject owns */
	struct gb_buf order_body;
	uint32_t shard; /* of the search service, owned by the subject */
	gb_time begin;
	gb_time gap; /* between two faults */
	struct scn_request *request; /* of a lookup or an order */
	uint64_t plans;
	uint64_t version; /* of a change */
	uint64_t snapshot;
	uint64_t run[SCN_VMS_MAX]; /* processes at the beginning */
	bool vm_hit[SCN_VMS_MAX]; /* killed or paused by a fault */
	GPtrArray *probes; /* of struct scn_request */
	struct gb_buf why; /* reasons of a failure */
};

/* mtx-operation.c */
extern const struct mtx_operation mtx_operations[];
extern const size_t mtx_operations_len;
extern const struct gb_str mtx_moments[MTX_MOMENTS];

/* mtx-fault.c */
extern const struct mtx_fault mtx_faults[];
extern const size_t mtx_faults_len;
void mtx_heal(struct mtx_cell *cell);

/* mtx-cell.c */
struct scn_vm *mtx_vm(struct mtx_cell *cell, enum mtx_role role);
void mtx_confirm(struct mtx_cell *cell, struct scn_vm *vm, enum pln_kind kind,
		 struct gb_str target, uint64_t value);
void mtx_publish(struct mtx_cell *cell);
struct scn_upstream *mtx_upstream(struct mtx_cell *cell, uint32_t shard,
				  uint32_t replica);

/* Returns why a cell cannot be reached; empty when it can. */
struct gb_str mtx_unreachable(const struct mtx_id *id);

/* Runs one cell; true if it passed. Trace and reasons may be NULL. */
bool mtx_run(const struct mtx_id *id, uint64_t seed, bool events,
	     struct gb_buf *trace, struct gb_buf *why);

/* mtx-name.c */
void mtx_name(const struct mtx_id *id, struct gb_buf *out);

/* Calls run for each cell; pairs of faults are thinned out by the stride. */
void mtx_each(uint64_t seed, uint32_t stride,
	      void (*run)(void *ctx, const struct mtx_id *id), void *ctx);

/* mtx-report.c */
int mtx_report(const char *file);

#endif
