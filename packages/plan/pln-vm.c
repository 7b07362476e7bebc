#include "plan/pln-row.h"

static int find_vm_by_name(const struct cfg *cfg, struct gb_str name);

static int find_vm_by_name(const struct cfg *cfg, struct gb_str name)
{
	for (guint i = 0; i < cfg->vms->len; i++)
		if (gb_str_eq(cfg_vm(cfg, i)->name, name))
			return i;
	return -1;
}

int pln_vm_add(struct cfg *next, const struct pln_intent *intent,
	       int64_t wall_ms, struct gb_error *err)
{
	const struct cfg *fragment = intent->fragment;
	const struct cfg_vm *from;
	struct cfg_vm *to;
	uint32_t dc;

	(void)wall_ms;
	if (fragment->vms->len != 1 || fragment->services->len)
		return gb_fail(err, GB_ERR_BAD_REQUEST, GB_STR("part"),
			       fragment->vms->len);
	from = cfg_vm(fragment, 0);
	if (intent->target.len && !gb_str_eq(intent->target, from->name))
		return gb_fail(err, GB_ERR_REFERENCE, intent->target, 0);
	if (intent->value && intent->value != from->id)
		return gb_fail(err, GB_ERR_REFERENCE, GB_STR("value"),
			       from->id);
	if (cfg_find_vm(next, from->id) >= 0 ||
	    find_vm_by_name(next, from->name) >= 0)
		return gb_fail(err, GB_ERR_DUPLICATE, from->name, from->id);
	dc = from->dc;
	if (pln_map_dc(next, fragment, &dc, err))
		return -1;
	to = cfg_add_vm(next, from->id, from->name, from->host);
	to->peer_port = from->peer_port;
	to->http_port = from->http_port;
	to->dc = dc;
	cfg_include_vm(next, from->id);
	next->epoch++;
	return 0;
}

/* Refuses to remove the last VM: without one no plan could be confirmed. */
int pln_vm_remove(struct cfg *next, const struct pln_intent *intent,
		  int64_t wall_ms, struct gb_error *err)
{
	int index = find_vm_by_name(next, intent->target);

	(void)wall_ms;
	if (index < 0)
		return gb_fail(err, GB_ERR_NOT_FOUND, intent->target, 0);
	if (next->vms->len == 1)
		return gb_fail(err, GB_ERR_OUT_OF_RANGE, GB_STR("vms"), 0);
	cfg_exclude_vm(next, cfg_vm(next, index)->id);
	cfg_remove_vm(next, index);
	next->epoch++;
	return 0;
}
