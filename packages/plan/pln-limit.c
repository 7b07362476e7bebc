#include "plan/pln-row.h"

/* A limit of a service: a uint32_t, or a gb_time set in milliseconds. */
struct limit_row {
	struct gb_str name;
	size_t offset;
	bool is_time;
};

static const struct limit_row limits[] = {
	{ .name = GB_STR_INIT("slots"),
	  .offset = offsetof(struct cfg_service, limits.slots) },
	{ .name = GB_STR_INIT("queue"),
	  .offset = offsetof(struct cfg_service, limits.queue) },
	{ .name = GB_STR_INIT("connections"),
	  .offset = offsetof(struct cfg_service, limits.connections) },
	{ .name = GB_STR_INIT("cold_slots"),
	  .offset = offsetof(struct cfg_service, limits.cold_slots) },
	{ .name = GB_STR_INIT("ramp_ms"),
	  .offset = offsetof(struct cfg_service, limits.ramp),
	  .is_time = true },
	{ .name = GB_STR_INIT("hedge_permille"),
	  .offset = offsetof(struct cfg_service, hedge_permille) },
	{ .name = GB_STR_INIT("deadline_ms"),
	  .offset = offsetof(struct cfg_service, deadline),
	  .is_time = true },
	{ .name = GB_STR_INIT("priority"),
	  .offset = offsetof(struct cfg_service, priority) },
};

static const struct limit_row *find_limit(struct gb_str name);
static int64_t get_limit(const struct limit_row *row, const void *member);
static void set_limit(const struct limit_row *row, void *member, int64_t value);

static const struct limit_row *find_limit(struct gb_str name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(limits); i++)
		if (gb_str_eq(limits[i].name, name))
			return &limits[i];
	return NULL;
}

static int64_t get_limit(const struct limit_row *row, const void *member)
{
	if (row->is_time)
		return *(const gb_time *)member;
	return *(const uint32_t *)member;
}

static void set_limit(const struct limit_row *row, void *member, int64_t value)
{
	if (row->is_time)
		*(gb_time *)member = value;
	else
		*(uint32_t *)member = value;
}

/* Checks only that the value fits its type; cfg_check() checks the bounds. */
int pln_limit_set(struct cfg *next, const struct pln_intent *intent,
		  int64_t wall_ms, struct gb_error *err)
{
	const struct limit_row *row = find_limit(intent->field);
	int index = cfg_find_service(next, intent->target);
	int64_t value;
	char *member;

	(void)wall_ms;
	if (!row)
		return gb_fail(err, GB_ERR_UNKNOWN_KEY, intent->field, 0);
	if (index < 0)
		return gb_fail(err, GB_ERR_NOT_FOUND, intent->target, 0);
	if (intent->value > UINT32_MAX)
		return gb_fail(err, GB_ERR_OUT_OF_RANGE, intent->field,
			       (int64_t)MIN(intent->value, INT64_MAX));
	value = (int64_t)intent->value * (row->is_time ? GB_MSEC : 1);
	member = (char *)&g_array_index(next->services, struct cfg_service,
					index) +
		 row->offset;
	if (get_limit(row, member) == value)
		return gb_fail(err, GB_ERR_DUPLICATE, intent->field, value);
	set_limit(row, member, value);
	return 0;
}
