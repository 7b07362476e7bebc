#ifndef REPLICA_H
#define REPLICA_H

/*
 * NAME
 *	replica - a stand-in of one replica
 *
 * DESCRIPTION
 *	It runs SLOTS requests at a time and queues a few more, answers 421 to
 *	a request for another replica, drops a request whose connection closes,
 *	and stops work at the deadline that it receives. Faults are fields that
 *	a case sets while it plays.
 */

#include "stand.h"

struct replica {
	char id[ID_LEN];
	char service[32];
	uint16_t port;
	int slots;
	int queue;
	int work_min; /* ms */
	int work_max;
	/* Called as a request begins to run; tells whether it crashes us. */
	bool (*run_begins)(struct replica *replica, const char *id,
			   const struct message *m);

	/* Faults */
	volatile int shed_percent; /* of requests, with X-Not-Executed */
	volatile int extra_percent; /* of answers, with a late second copy */

	/* State */
	pthread_mutex_t lock;
	pthread_cond_t slot_free;
	int running;
	int waiting;
	int listener;
	volatile uint32_t generation; /* one more with each crash */
	volatile uint32_t extras_sent;
};

/* Starts a process at a free port, or at the port that it had. */
void replica_start(struct replica *replica);
/* The process ends: its connections are reset and its port is closed. */
void replica_crash(struct replica *replica);

/* The runs and the outcomes of a request, by its id. */
struct history {
	char id[ID_LEN];
	int runs;
};

void history_add_run(const char *id);
int history_runs(const char *id);

#endif
