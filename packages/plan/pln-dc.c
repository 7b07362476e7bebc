#include "plan/pln-row.h"

static struct cfg_dc *find_dc(struct cfg *next, const struct pln_intent *intent,
			      struct gb_error *err);

static struct cfg_dc *find_dc(struct cfg *next, const struct pln_intent *intent,
			      struct gb_error *err)
{
	int index = cfg_find_dc(next, intent->target);

	if (index < 0) {
		gb_fail(err, GB_ERR_NOT_FOUND, intent->target, 0);
		return NULL;
	}
	return &g_array_index(next->dcs, struct cfg_dc, index);
}

/* Adds a data centre without VMs and replicas. */
int pln_dc_create(struct cfg *next, const struct pln_intent *intent,
		  int64_t wall_ms, struct gb_error *err)
{
	struct cfg_dc *dc;

	(void)wall_ms;
	if (cfg_find_dc(next, intent->target) >= 0)
		return gb_fail(err, GB_ERR_DUPLICATE, intent->target, 0);
	dc = cfg_add_dc(next, intent->target);
	gb_str_free(&dc->region);
	dc->region = gb_str_dup(intent->field);
	return 0;
}

int pln_dc_exclude(struct cfg *next, const struct pln_intent *intent,
		   int64_t wall_ms, struct gb_error *err)
{
	struct cfg_dc *dc = find_dc(next, intent, err);

	(void)wall_ms;
	if (!dc)
		return -1;
	if (dc->excluded)
		return gb_fail(err, GB_ERR_DUPLICATE, intent->target, 0);
	dc->excluded = true;
	return 0;
}

/* The load ramp of the data centre's upstreams starts at returned_ms. */
int pln_dc_include(struct cfg *next, const struct pln_intent *intent,
		   int64_t wall_ms, struct gb_error *err)
{
	struct cfg_dc *dc = find_dc(next, intent, err);

	if (!dc)
		return -1;
	if (!dc->excluded)
		return gb_fail(err, GB_ERR_DUPLICATE, intent->target, 0);
	dc->excluded = false;
	dc->returned_ms = wall_ms;
	return 0;
}

int pln_map_dc(const struct cfg *cfg, const struct cfg *fragment,
	       uint32_t *index, struct gb_error *err)
{
	struct gb_str name;
	int found;

	if (*index >= fragment->dcs->len)
		return gb_fail(err, GB_ERR_REFERENCE, GB_STR("dc"), *index);
	name = cfg_dc(fragment, *index)->name;
	found = cfg_find_dc(cfg, name);
	if (found < 0)
		return gb_fail(err, GB_ERR_REFERENCE, name, 0);
	*index = found;
	return 0;
}
