#include "plan/pln-row.h"

static struct cfg_dc *find(struct cfg *next, const struct pln_intent *intent,
			   struct gb_error *err);

static struct cfg_dc *find(struct cfg *next, const struct pln_intent *intent,
			   struct gb_error *err)
{
	int index = cfg_find_dc(next, intent->target);

	if (index < 0) {
		gb_fail(err, GB_ERR_NOT_FOUND, intent->target, 0);
		return NULL;
	}
	return &g_array_index(next->dcs, struct cfg_dc, index);
}

/* A new data centre has no VMs and replicas yet. */
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

int pln_dc_out(struct cfg *next, const struct pln_intent *intent,
	       int64_t wall_ms, struct gb_error *err)
{
	struct cfg_dc *dc = find(next, intent, err);

	(void)wall_ms;
	if (!dc)
		return -1;
	if (dc->out)
		return gb_fail(err, GB_ERR_DUPLICATE, intent->target, 0);
	dc->out = true;
	return 0;
}

/* The time of return starts the load ramp of the data centre's upstreams. */
int pln_dc_back(struct cfg *next, const struct pln_intent *intent,
		int64_t wall_ms, struct gb_error *err)
{
	struct cfg_dc *dc = find(next, intent, err);

	if (!dc)
		return -1;
	if (!dc->out)
		return gb_fail(err, GB_ERR_DUPLICATE, intent->target, 0);
	dc->out = false;
	dc->returned_ms = wall_ms;
	return 0;
}

int pln_map_dc(const struct cfg *cfg, const struct cfg *part, uint32_t *index,
	       struct gb_error *err)
{
	struct gb_str name;
	int found;

	if (*index >= part->dcs->len)
		return gb_fail(err, GB_ERR_REFERENCE, GB_STR("dc"), *index);
	name = cfg_dc(part, *index)->name;
	found = cfg_find_dc(cfg, name);
	if (found < 0)
		return gb_fail(err, GB_ERR_REFERENCE, name, 0);
	*index = found;
	return 0;
}
