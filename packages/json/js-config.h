#ifndef JS_CONFIG_H
#define JS_CONFIG_H

/*
 * NAME
 *	js-config - whole and partial configurations as jansson values
 *
 * DESCRIPTION
 *	A partial configuration carries the new elements of an intent. All of
 *	its members but names may be left out, it is not checked as a whole,
 *	and a data centre that is only referred to is added by name, so that
 *	package plan can look it up in the real configuration.
 */

#include "config/cfg.h"

#include <jansson.h>

json_t *js_config_to_json(const struct cfg *cfg, bool partial);
struct cfg *js_config_from_json(json_t *json, bool partial,
				struct gb_error *err);

#endif
