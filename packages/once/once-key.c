#include "once/once.h"

int once_key_issue_time(struct gb_str key, int64_t *issued_ms)
{
	struct gb_str rest = key;
	struct gb_str head;

	if (key.len > ONCE_KEY_MAX || gb_str_has_control(key) ||
	    !gb_str_cut(&rest, '-', &head) || !rest.len)
		return -1;
	/* The bound is far above any clock and keeps sums from overflowing. */
	return gb_str_to_int(head, 1, INT64_MAX / 4, issued_ms);
}

int once_key_check(struct gb_str key, int64_t wall_ms, gb_time retention,
		   gb_time skew, struct gb_error *err)
{
	int64_t issued;

	if (once_key_issue_time(key, &issued))
		return gb_fail(err, GB_ERR_BAD_REQUEST, key, 0);
	if (issued + retention / GB_MSEC < wall_ms)
		return gb_fail(err, GB_ERR_KEY_EXPIRED, key, wall_ms - issued);
	if (issued > wall_ms + skew / GB_MSEC)
		return gb_fail(err, GB_ERR_BAD_REQUEST, key, issued - wall_ms);
	return 0;
}
