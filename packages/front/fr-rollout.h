#ifndef FR_ROLLOUT_H
#define FR_ROLLOUT_H

/*
 * NAME
 *	fr-rollout - what the files of the roll-outs share
 *
 * DESCRIPTION
 *	fr-rollout-order.c takes over orders of the store, fr-rollout.c runs the
 *	steps, fr-rollout-message.c talks to other VMs, and fr-rollout-store.c
 *	writes the status. The decisions are those of the package rollout.
 */

#include "front/fr-internal.h"

/* The key by which VMs have a rank for the service. */
uint64_t fr_rollout_key(const struct fr_rollout *entry);
struct fl_service *fr_rollout_service(struct fr *fr,
				      const struct fr_rollout *entry);

/* Logs what happened to a roll-out, with its counts. */
void fr_rollout_log(struct fr *fr, const struct fr_rollout *entry,
		    enum ev_code code);

/* Sends the totals of this VM to the VMs that judge. */
void fr_rollout_send_report(struct fr *fr, const struct fr_rollout *entry,
			    uint32_t calls_current);

/* Tells some VMs of a roll-back, which must not wait for the store. */
void fr_rollout_spread_step(struct fr *fr, const struct fr_rollout *entry);

#endif
