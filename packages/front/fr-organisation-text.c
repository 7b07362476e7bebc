#include "front/fr-organisation.h"

/* Organisations that are listed for operators. */
#define LISTED_MAX 200

/* The list for operators, as far as it is written. */
struct listing {
	struct fr *fr;
	struct gb_buf *out;
	uint32_t len;
};

static void add_line(void *ctx, const struct og_view *view)
{
	struct listing *list = ctx;
	const struct og_org *org = fr_org_find(list->fr, view->org);

	if (!org || list->len++ >= LISTED_MAX)
		return;
	gb_buf_add(list->out, GB_STR("organisation name="));
	ev_quote(org->name, list->out);
	gb_buf_addf(list->out,
		    " priority=%u rate=%g burst=%g admitted=%lld refused=%llu ",
		    org->priority, org->rate, org->burst,
		    (long long)view->admitted,
		    (unsigned long long)view->refused);
	if (view->is_low)
		gb_buf_addf(list->out, "level=%.1f ", view->tokens);
	gb_buf_addf(list->out, "contact_lost=%d keeps_bucket=%d\n",
		    view->contact_lost,
		    !mem_rank(list->fr->members, MEM_ALL, view->org));
}

void fr_org_text(struct fr *fr, struct gb_buf *out)
{
	struct listing list = { .fr = fr, .out = out };

	gb_buf_addf(out, "keys_fresh %d\nproof_age_ms %lld\n",
		    fr_keys_are_fresh(fr),
		    (long long)(fr_proof_age(fr) / GB_MSEC));
	og_each_view(fr->limiter, ht_now(), add_line, &list);
	if (list.len > LISTED_MAX)
		gb_buf_addf(out, "%u more\n", list.len - LISTED_MAX);
}

/* Stands for all organisations that have no sample of their own. */
#define OTHERS GB_STR("")

static struct gb_str name_of(const struct fr *fr, const struct og_view *view)
{
	return fr_org_find(fr, view->org)->name;
}

/* Counts those that the configuration no longer has with the others. */
static void drop_unknown(const struct fr *fr, struct og_largest *largest)
{
	uint32_t known = 0;

	for (uint32_t i = 0; i < largest->len; i++) {
		const struct og_view *view = &largest->view[i];

		if (fr_org_find(fr, view->org))
			largest->view[known++] = *view;
		else
			og_add_to_others(largest, view);
	}
	largest->len = known;
}

static void add_admitted(const struct fr *fr, const struct og_largest *largest,
			 struct gb_buf *out)
{
	static const struct met_family family = {
		.name = GB_STR_INIT("gentianbend_organisation_admitted"),
		.help = GB_STR_INIT(
			"Requests of an organisation with a limit "
			"that were admitted, less those given back."),
		.label = GB_STR_INIT("organisation"),
	};

	met_family(&family, out);
	for (uint32_t i = 0; i < largest->len; i++)
		met_sample(&family, name_of(fr, &largest->view[i]),
			   largest->view[i].admitted, out);
	if (largest->others_len)
		met_sample(&family, OTHERS, largest->others_admitted, out);
}

static void add_refused(const struct fr *fr, const struct og_largest *largest,
			struct gb_buf *out)
{
	static const struct met_family family = {
		.name = GB_STR_INIT("gentianbend_organisation_refused_total"),
		.help = GB_STR_INIT("Requests refused beyond the limit of "
				    "their organisation."),
		.label = GB_STR_INIT("organisation"),
		.is_counter = true,
	};

	met_family(&family, out);
	for (uint32_t i = 0; i < largest->len; i++)
		met_sample(&family, name_of(fr, &largest->view[i]),
			   largest->view[i].refused, out);
	if (largest->others_len)
		met_sample(&family, OTHERS, largest->others_refused, out);
}

void fr_org_metrics(struct fr *fr, struct gb_buf *out)
{
	struct og_largest largest;

	og_find_largest(fr->limiter, ht_now(), &largest);
	drop_unknown(fr, &largest);
	if (!largest.len)
		return;
	add_admitted(fr, &largest, out);
	add_refused(fr, &largest, out);
}
