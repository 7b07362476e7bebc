#include "plan/pln-row.h"

static const struct pln_kind_ops kinds[PLN_KINDS] = {
	[PLN_DC_CREATE] = { .name = GB_STR_INIT("dc-create"),
			    .needs = PLN_NEED_TARGET | PLN_NEED_FIELD,
			    .apply = pln_dc_create },
	[PLN_DC_EXCLUDE] = { .name = GB_STR_INIT("dc-out"),
			     .needs = PLN_NEED_TARGET,
			     .apply = pln_dc_exclude },
	[PLN_DC_INCLUDE] = { .name = GB_STR_INIT("dc-back"),
			     .needs = PLN_NEED_TARGET,
			     .apply = pln_dc_include },
	[PLN_UPSTREAM_DRAIN] = { .name = GB_STR_INIT("upstream-drain"),
				 .needs = PLN_NEED_TARGET,
				 .apply = pln_upstream_drain },
	[PLN_UPSTREAM_RESTORE] = { .name = GB_STR_INIT("upstream-restore"),
				   .needs = PLN_NEED_TARGET,
				   .apply = pln_upstream_restore },
	[PLN_LIMIT_SET] = { .name = GB_STR_INIT("limit-set"),
			    .needs = PLN_NEED_TARGET | PLN_NEED_FIELD,
			    .apply = pln_limit_set },
	[PLN_SERVICE_CREATE] = { .name = GB_STR_INIT("service-create"),
				 .needs = PLN_NEED_FRAGMENT,
				 .apply = pln_service_create },
	[PLN_SERVICE_REPARTITION] = { .name = GB_STR_INIT(
					      "service-repartition"),
				      .needs = PLN_NEED_FRAGMENT,
				      .apply = pln_service_repartition },
	[PLN_SNAPSHOT_PUBLISH] = { .name = GB_STR_INIT("snapshot-publish"),
				   .needs = PLN_NEED_FRAGMENT,
				   .apply = pln_snapshot_publish },
	[PLN_VM_ADD] = { .name = GB_STR_INIT("vm-add"),
			 .needs = PLN_NEED_FRAGMENT,
			 .apply = pln_vm_add },
	[PLN_VM_REMOVE] = { .name = GB_STR_INIT("vm-remove"),
			    .needs = PLN_NEED_TARGET,
			    .apply = pln_vm_remove },
};

const struct pln_kind_ops *pln_kind_ops(enum pln_kind kind)
{
	return kind < PLN_KINDS ? &kinds[kind] : NULL;
}

struct gb_str pln_kind_name(enum pln_kind kind)
{
	return kind < PLN_KINDS ? kinds[kind].name : GB_STR("unknown");
}

enum pln_kind pln_kind_from_name(struct gb_str name)
{
	for (int i = 0; i < PLN_KINDS; i++)
		if (gb_str_eq(kinds[i].name, name))
			return i;
	return PLN_KINDS;
}
