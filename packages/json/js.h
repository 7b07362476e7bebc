#ifndef JS_H
#define JS_H

/*
 * NAME
 *	js - JSON encoding of what callers, operators and the platform see
 */

#include "base/gb.h"
#include "config/cfg.h"
#include "event/ev.h"
#include "node/nd.h"
#include "plan/pln.h"

/* The version is not part of the text; the platform's object has it. */
void js_config_encode(const struct cfg *cfg, struct gb_buf *out);
struct cfg *js_config_decode(struct gb_str text, struct gb_error *err);

/*
 * Reads the platform's list of VMs, [{"host":"..","leaving":true}, ..], and
 * returns the hosts that leave as an array of owned struct gb_str; NULL for
 * text of another form.
 */
GArray *js_vms_decode(struct gb_str text, struct gb_error *err);

/*
 * Tells whether the body of an upstream's answer is one JSON text: an array,
 * or for an order any value or nothing. To be asked before the documents of
 * the answer count, as an answer that cannot be passed on covers none.
 */
bool js_body_check(struct gb_str body, bool order);

/*
 * The body of an answer or a refusal for a caller. Returns -1 after encoding
 * a refusal when one of the bodies does not pass js_body_check(): status "io",
 * or "unknown_outcome" for an order, since that may have run. A single body
 * that is no array is passed on under "result", as that of an order is.
 */
int js_answer_encode(const struct nd_answer *answer, struct gb_buf *out);
void js_error_encode(const struct gb_error *err, struct gb_buf *out);

/* An intent as an operator writes it; the parts are owned. */
int js_intent_decode(struct gb_str text, struct pln_intent *intent,
		     struct gb_error *err);
void js_intent_encode(const struct pln_intent *intent, struct gb_buf *out);
void js_intent_free(struct pln_intent *intent);

/* A plan with its intent, as shown to an operator and sent back to confirm. */
void js_plan_encode(const struct pln_plan *plan,
		    const struct pln_intent *intent, struct gb_buf *out);
int js_confirm_decode(struct gb_str text, uint64_t *plan,
		      uint64_t *base_version, struct pln_intent *intent,
		      struct gb_error *err);

/* One event as one line of JSON with its final newline, and back. */
void js_event_encode(const struct ev_event *event, struct gb_buf *out);
int js_event_decode(struct gb_str line, struct ev_event *event,
		    struct gb_error *err);
void js_event_free(struct ev_event *event);

void js_status_encode(const struct nd_status *status, const struct cfg *cfg,
		      struct gb_buf *out);

#endif
