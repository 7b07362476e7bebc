#ifndef BENCH_CONTROL_H
#define BENCH_CONTROL_H

/*
 * NAME
 *	bct - the cost of control work against members and configuration
 *
 * DESCRIPTION
 *	A fleet is a set of cells of at most 16 members. Each cell runs in a
 *	world of its own on a virtual clock, without queries, so that every
 *	message is control work. Messages are encoded and decoded as on the
 *	wire; what is counted are bytes of records, without TCP and IP.
 */

#include "base/gb.h"

#include <glib.h>
#include <inttypes.h>

#define BCT_CELL_MAX 16

struct bct_timing {
	struct gb_str name;
	uint32_t heartbeat_ms;
	uint32_t lease_ms;
	uint32_t suspect_ms;
};

/* Means per node and second of virtual time, over members of one kind. */
struct bct_traffic {
	double sent;
	double received;
	double messages; /* sent */
};

struct bct_cell_options {
	const struct bct_timing *timing;
	uint32_t members;
	uint32_t replicas;
	gb_time change_every; /* 0 for none */
};

struct bct_cell {
	struct bct_traffic granter;
	struct bct_traffic other; /* zero in a cell of granters only */
	double cpu; /* seconds per node and second */
	double memory; /* bytes per node */
	double reads, watches, writes; /* per second */
	double waiting; /* watches at the platform at one time */
	gb_time force_max; /* until a change was known everywhere */
	gb_time takeover; /* until a dead member's units were held again */
};

void bct_cell_run(const struct bct_cell_options *options,
		  struct bct_cell *cell);

/*
 * Kills all members of the data centre that has two of the four granters;
 * returns the time until the others hold all units.
 */
gb_time bct_cell_lose_dc(const struct bct_cell_options *options);

/* CPU seconds of this process. */
double bct_cpu(void);

/* Bytes that malloc() has handed out. */
double bct_allocated(void);

/* Straight line through points, by least squares. */
#define BCT_POINTS_MAX 32

struct bct_fit {
	struct gb_str name;
	uint32_t len;
	double x[BCT_POINTS_MAX];
	double y[BCT_POINTS_MAX];
};

void bct_fit_add(struct bct_fit *fit, double x, double y);
void bct_fit_print(const struct bct_fit *fit);

/* Prints what cells of several sizes answer under load. */
void bct_load_run(void);

/* Prints how evenly the hash spreads shards over members. */
void bct_placement_run(void);

/* Prints size, time and memory of configurations of several sizes. */
void bct_config_run(void);

#endif
