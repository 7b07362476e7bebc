#ifndef FR_DELEGATE_H
#define FR_DELEGATE_H

/*
 * NAME
 *	fr-delegate - queries that are handed over to another VM, within the
 *	package
 *
 * DESCRIPTION
 *	fr-hop.c encodes what the VMs send each other, fr-delegate.c is the side
 *	of the VM that has the request, and fr-hop-serve.c that of the helper.
 *	Which VM is asked is decided by the package helper.
 */

#include "front/fr-internal.h"

/* What another VM is told of a query that is handed over to it. */
struct fr_hop {
	int64_t config_version;
	gb_time elapsed; /* since the first VM has the request */
	gb_time rtt; /* to the caller */
	gb_time unread_max; /* before the first VM read it */
	int64_t attempts_max; /* upstreams tried per part */
	uint64_t organisation; /* its identity; 0 for none */
};

enum fr_hop_read { FR_HOP_NONE, FR_HOP_READ, FR_HOP_BAD };

/* Appends the request of a query that is handed over. */
void fr_hop_write(const struct fr_hop *hop, const struct ht_request *request,
		  struct gb_buf *out);

/* Takes the field of a query that is handed over from the request. */
enum fr_hop_read fr_hop_read(struct ht_request *request, struct fr_hop *hop);
void fr_hop_mark_reply(struct gb_buf *fields);

/*
 * Copies the fields for the caller; returns whether the reply is one to the
 * query, and not a refusal to take it.
 */
bool fr_hop_read_reply(const struct ht_response *response,
		       struct gb_buf *fields);

/* Serves a query of another VM; returns false if the request is none. */
bool fr_hop_serve(struct fr *fr, struct ht_exchange *exchange);

/* Ends a query whose VM has left; returns false if it is unknown. */
bool fr_hop_cancel(struct fr *fr, struct ht_exchange *exchange);

/* Returns the VM that should gather the query, or NULL if this one should. */
struct hp_helper *fr_delegate_choose(struct fr *fr,
				     const struct rt_route *route);

/* Hands a query to another VM; returns false if this one is to gather it. */
bool fr_delegate(struct fr *fr, struct ht_exchange *exchange,
		 struct rt_table *table, struct rt_route *route,
		 const struct fw_request_params *params);

/*
 * Tells whether a local query may send its reply. It may not if it has failed
 * and the other VM goes on.
 */
bool fr_delegation_take_reply(struct fr_delegation *delegation,
			      const struct fw_reply *reply);

/* Ends a delegation without a reply. */
void fr_delegation_end(struct fr_delegation *delegation);

/* Ends that of a caller that has left; returns false if it is unknown. */
bool fr_delegation_cancel(struct fr *fr, struct ht_exchange *exchange);

/* Ends all of them, since the process is stopping. */
void fr_delegation_abort(struct fr *fr);

#endif
