#ifndef JS_CONFIG_H
#define JS_CONFIG_H

/*
 * NAME
 *	js-config - whole and partial configurations as jansson values
 *
 * DESCRIPTION
 *	A partial configuration holds the new elements of an intent. All of its
 *	members but names are optional, and it is not checked as a whole. A
 *	data centre that it only refers to is added by name, so that package
 *	plan can look it up in the current configuration.
 */

#include "config/cfg.h"

#include <jansson.h>

json_t *js_config_to_json(const struct cfg *cfg, bool partial);
struct cfg *js_config_from_json(json_t *json, bool partial,
				struct gb_error *err);

#endif
