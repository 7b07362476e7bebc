#ifndef JS_H
#define JS_H

/*
 * NAME
 *	js - JSON texts for callers, operators and the platform
 *
 * DESCRIPTION
 *	Encoders append a text to out. Decoders return -1 or NULL on failure.
 */

#include "base/gb.h"
#include "config/cfg.h"
#include "event/ev.h"
#include "node/nd.h"
#include "plan/pln.h"

/* The text lacks the version, which is that of the platform's object. */
void js_config_encode(const struct cfg *cfg, struct gb_buf *out);
struct cfg *js_config_decode(struct gb_str text, struct gb_error *err);

/*
 * Decodes the platform's list of VMs, [{"host":"..","leaving":true}, ..], and
 * returns the hosts that are leaving as an array of owned struct gb_str.
 */
GArray *js_leaving_hosts_decode(struct gb_str text, struct gb_error *err);

/*
 * Tells whether the body of an upstream's answer is one JSON text: an array,
 * or for an order any value or nothing. Must be checked before the documents
 * of the answer are counted, as an answer that cannot be passed on covers none.
 */
bool js_validate_body(struct gb_str body, bool order);

/*
 * Encodes the body of an answer or a refusal for a caller. If a body of the
 * answer does not pass js_validate_body(), encodes a refusal with status "io",
 * or "unknown_outcome" for an order, which may have run, and returns -1. A
 * single body that is not an array is passed on as "result", like that of an
 * order.
 */
int js_answer_encode(const struct nd_answer *answer, struct gb_buf *out);
void js_error_encode(const struct gb_error *err, struct gb_buf *out);

/* An intent as an operator writes it; js_intent_free() frees what it owns. */
int js_intent_decode(struct gb_str text, struct pln_intent *intent,
		     struct gb_error *err);
void js_intent_encode(const struct pln_intent *intent, struct gb_buf *out);
void js_intent_free(struct pln_intent *intent);

/* A plan with its intent; an operator sends the same text to confirm it. */
void js_plan_encode(const struct pln_plan *plan,
		    const struct pln_intent *intent, struct gb_buf *out);
int js_confirm_decode(struct gb_str text, uint64_t *plan,
		      uint64_t *base_version, struct pln_intent *intent,
		      struct gb_error *err);

/* One event as a line of JSON, which ends in a newline. */
void js_event_encode(const struct ev_event *event, struct gb_buf *out);
int js_event_decode(struct gb_str line, struct ev_event *event,
		    struct gb_error *err);
void js_event_free(struct ev_event *event);

/* cfg is NULL before a configuration is known. */
void js_status_encode(const struct nd_status *status, const struct cfg *cfg,
		      struct gb_buf *out);

#endif
