#include "front/fr-delegate.h"
#include "front/fr-organisation.h"

/* Upstreams that are listed for each part. */
#define UPSTREAMS_MAX 4

/* Returns the value of the line "NAME VALUE" with that name, or "". */
static struct gb_str find_value(struct gb_str question, struct gb_str name)
{
	struct gb_str line, key;

	while (question.len) {
		gb_str_cut(&question, '\n', &line);
		if (gb_str_cut(&line, ' ', &key) && gb_str_eq(key, name))
			return line;
	}
	return GB_STR("");
}

/* Looks for the view of one organisation. */
struct lookup {
	uint64_t org;
	struct og_view view;
	bool found;
};

static void take_view(void *ctx, const struct og_view *view)
{
	struct lookup *lookup = ctx;

	if (view->org != lookup->org)
		return;
	lookup->view = *view;
	lookup->found = true;
}

static void add_organisation(struct fr *fr, const struct og_org *org,
			     struct gb_buf *out)
{
	struct lookup lookup = { .org = org->id };

	gb_buf_add(out, GB_STR("organisation name="));
	ev_quote(org->name, out);
	gb_buf_addf(out, " priority=%u rate=%g burst=%g", org->priority,
		    org->rate, org->burst);
	og_each_view(fr->limiter, ht_now(), take_view, &lookup);
	if (lookup.found)
		gb_buf_addf(out, " level=%.1f is_low=%d contact_lost=%d",
			    lookup.view.tokens, lookup.view.is_low,
			    lookup.view.contact_lost);
	gb_buf_addc(out, '\n');
}

/* Returns false if the key is refused. */
static bool add_key(struct fr *fr, const struct rt_route *route,
		    const struct fr_request_info *info,
		    const struct og_org **org, struct gb_buf *out)
{
	const struct fr_org_verdict verdict = fr_org_check_key(fr, route, info);

	if (verdict.status)
		gb_buf_addf(out, "key refused=%d reason=%.*s\n", verdict.status,
			    (int)verdict.reason.len, verdict.reason.ptr);
	else if (verdict.org)
		add_organisation(fr, verdict.org, out);
	*org = verdict.org;
	return !verdict.status;
}

static void add_route(const struct fr *fr, const struct rt_route *route,
		      struct gb_buf *out)
{
	gb_buf_add(out, GB_STR("route name="));
	ev_quote(route->name, out);
	gb_buf_addf(out,
		    " config_version=%lld fanout=%d idempotent=%d priority=%u "
		    "attempts=%u\n",
		    (long long)fr->config.table->version, route->fanout,
		    route->kind == RT_IDEMPOTENT, route->priority,
		    route->attempts_max);
}

/* Tells which VM would gather a fan-out. */
static void add_helper(struct fr *fr, const struct rt_route *route,
		       struct gb_buf *out)
{
	const struct hp_helper *helper = fr_delegate_choose(fr, route);

	if (!helper) {
		gb_buf_add(out, GB_STR("gathered here=1\n"));
		return;
	}
	gb_buf_add(out, GB_STR("gathered here=0 by="));
	ev_quote((struct gb_str){ helper->said.address,
				  helper->said.address_len },
		 out);
	gb_buf_addc(out, '\n');
}

static void add_request(struct fr *fr, struct rt_route *route,
			const struct og_org *org, struct gb_buf *out)
{
	const struct fw_request_params params = { .org = org,
						  .received_at = ht_now(),
						  .is_explained = true };
	struct fw_request *request =
		fw_request_new(&fr->engine, fr->config.table, route, &params);

	fw_explain(request, UPSTREAMS_MAX, ht_now(), out);
	fw_request_free(request);
}

void fr_explain(struct fr *fr, struct gb_str question, struct gb_buf *out)
{
	const struct fr_request_info info = {
		.host = find_value(question, GB_STR("host")),
		.key = find_value(question, GB_STR("key")),
	};
	struct rt_route *route = NULL;
	const struct og_org *org;

	if (fr->config.table)
		route = rt_find_route(fr->config.table, info.host,
				      find_value(question, GB_STR("path")));
	if (!route) {
		gb_buf_addf(out, "route refused=%d ready=%d\n",
			    fr->config.table && !fr_routes_may_be_stale(fr)
				    ? 404
				    : 503,
			    fr_is_ready(fr));
		return;
	}
	add_route(fr, route, out);
	if (!add_key(fr, route, &info, &org, out))
		return;
	add_helper(fr, route, out);
	add_request(fr, route, org, out);
}
