#ifndef FR_ORGANISATION_H
#define FR_ORGANISATION_H

/*
 * NAME
 *	fr-organisation - keys and limits of organisations, within the package
 *
 * DESCRIPTION
 *	fr-proof.c knows how old the keys in force may be, fr-organisation.c
 *	admits requests and exchanges totals and levels with other VMs, and
 *	fr-ask.c holds requests that the bucket VM decides about. The decisions
 *	are those of the packages organisation and directory.
 */

#include "front/fr-internal.h"

/*
 * Keys of organisations: what proves that the ones in force have not been taken
 * away meanwhile.
 */

/* A clock that goes on while the VM is suspended. */
gb_time fr_boot_now(void);

/* The kind whose watches are short (see FR_WATCH_WAIT_QUIET). */
enum fr_object_kind fr_liveness_kind(const struct fr *fr);

/* Takes the answer to a step over that read the routes. */
void fr_proof_answered(struct fr_follower *follower,
		       const struct fr_page *page);

/* Shortens the wait of the next watch so that the proof stays young enough. */
gb_time fr_proof_wait(const struct fr_follower *follower, gb_time wait);

/* Returns the age of the proof, or -1. */
gb_time fr_proof_age(const struct fr *fr);
bool fr_keys_are_fresh(const struct fr *fr);
void fr_proof_tick(struct fr *fr);

/* Organisations: admission of requests, and limits that all VMs share. */
void fr_org_init(struct fr *fr);

struct fr_org_verdict {
	int status; /* 0: admitted */
	bool asks; /* the bucket VM decides; see fr_ask_start() */
	gb_time retry_after; /* 0 for none */
	struct gb_str reason;
	const struct og_org *org; /* NULL on a public route */
};

/* Checks the key only; neither counts nor takes anything. */
struct fr_org_verdict fr_org_check_key(const struct fr *fr,
				       const struct rt_route *route,
				       const struct fr_request_info *info);

struct fr_org_verdict fr_org_admit(struct fr *fr, const struct rt_route *route,
				   const struct fr_request_info *info);
void fr_org_refund(struct fr *fr, const struct og_org *org);
const struct og_org *fr_org_find(const struct fr *fr, uint64_t id);

/* VMs among which a limit is divided. */
uint32_t fr_org_vms(const struct fr *fr);
void fr_org_log_refusal(struct fr *fr, const struct fr_request_info *info,
			const struct fr_org_verdict *verdict);

/* Requests that wait until the bucket VM of their organisation has decided. */
void fr_ask_init(struct fr *fr);
void fr_ask_start(struct fr *fr, struct ht_exchange *exchange,
		  struct rt_route *route, const struct og_org *org,
		  const struct fr_request_info *info);

/* Forgets a request whose caller has left; returns false if it is unknown. */
bool fr_ask_cancel(struct fr *fr, struct ht_exchange *exchange);

/* Refuses all of them, since the process is stopping. */
void fr_ask_abort(struct fr *fr);
void fr_ask_receive(struct fr *fr, const struct sockaddr *from,
		    const struct msg_quota_report *m);
void fr_ask_granted(struct fr *fr, const struct msg_quota_grant *m);

void fr_org_tick(struct fr *fr);
void fr_org_log_table(struct fr *fr, const struct rt_table *table);
struct og_use fr_org_use_of(const struct msg_quota_report *m);
void fr_org_report(struct fr *fr, const struct sockaddr *from,
		   const struct msg_quota_report *m);
void fr_org_level(struct fr *fr, const struct msg_quota_level *m);

/* Appends a line for each organisation that has had requests here. */
void fr_org_text(struct fr *fr, struct gb_buf *out);

/* Appends metrics of the largest organisations that have had requests here. */
void fr_org_metrics(struct fr *fr, struct gb_buf *out);

#endif
