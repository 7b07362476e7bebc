#ifndef JS_INTENT_H
#define JS_INTENT_H

/*
 * NAME
 *	js-intent - intents as jansson values, alone and within plans
 */

#include "plan/pln.h"

#include <jansson.h>

json_t *js_intent_to_json(const struct pln_intent *intent);
int js_intent_from_json(json_t *json, struct pln_intent *intent,
			struct gb_error *err);

#endif
