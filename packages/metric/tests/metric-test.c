#include "metric/met.h"
#include "script/scr.h"

#include <glib.h>
#include <inttypes.h>

static void *open_ctx(void);
static void close_ctx(void *ctx);
static void cmd_bounds(void *ctx, const struct scr_args *args,
		       struct gb_buf *out);
static void cmd_add(void *ctx, const struct scr_args *args, struct gb_buf *out);
static void cmd_quantile(void *ctx, const struct scr_args *args,
			 struct gb_buf *out);
static void cmd_decay(void *ctx, const struct scr_args *args,
		      struct gb_buf *out);
static void cmd_text(void *ctx, const struct scr_args *args,
		     struct gb_buf *out);
static void cmd_names(void *ctx, const struct scr_args *args,
		      struct gb_buf *out);
static void cmd_labels(void *ctx, const struct scr_args *args,
		       struct gb_buf *out);

static const struct scr_command commands[] = {
	{ .name = GB_STR_INIT("bounds"), .run = cmd_bounds },
	{ .name = GB_STR_INIT("add"), .run = cmd_add },
	{ .name = GB_STR_INIT("quantile"), .run = cmd_quantile },
	{ .name = GB_STR_INIT("decay"), .run = cmd_decay },
	{ .name = GB_STR_INIT("text"), .run = cmd_text },
	{ .name = GB_STR_INIT("names"), .run = cmd_names },
	{ .name = GB_STR_INIT("labels"), .run = cmd_labels },
};

static void *open_ctx(void)
{
	return g_new0(struct met_registry, 1);
}

static void close_ctx(void *ctx)
{
	g_free(ctx);
}

/*
 * Counts buckets whose upper bound is not the largest value that they count;
 * the last bucket also counts larger ones.
 */
static void cmd_bounds(void *ctx, const struct scr_args *args,
		       struct gb_buf *out)
{
	int bad = 0;

	(void)ctx;
	(void)args;
	for (unsigned int i = 0; i < MET_BUCKETS; i++) {
		struct met_hist hist = { 0 };

		met_hist_add(&hist, met_hist_upper_bound(i));
		met_hist_add(&hist, met_hist_upper_bound(i) + 1);
		bad += hist.bucket[i] != (i == MET_BUCKETS - 1 ? 2 : 1);
	}
	gb_buf_addf(out, "%d bad\n", bad);
}

static void cmd_add(void *ctx, const struct scr_args *args, struct gb_buf *out)
{
	struct met_registry *reg = ctx;
	int64_t times = scr_int(args, GB_STR("times"), 1);

	(void)out;
	for (int64_t i = 0; i < times; i++)
		met_hist_add(&reg->histogram[MET_QUERY_TIME],
			     scr_int(args, GB_STR("us"), 0));
}

static void cmd_quantile(void *ctx, const struct scr_args *args,
			 struct gb_buf *out)
{
	struct met_registry *reg = ctx;

	gb_buf_addf(out, "%" PRId64 "\n",
		    met_hist_quantile(&reg->histogram[MET_QUERY_TIME],
				      scr_double(args, GB_STR("q"), 0.5)));
}

static void cmd_decay(void *ctx, const struct scr_args *args,
		      struct gb_buf *out)
{
	struct met_hist *hist =
		&((struct met_registry *)ctx)->histogram[MET_QUERY_TIME];

	(void)args;
	met_hist_decay(hist);
	gb_buf_addf(out, "count %" PRIu64 " sum %" PRIu64 "\n", hist->count,
		    hist->sum);
}

/* Prints the lines of the text format that contain the given word. */
static void cmd_text(void *ctx, const struct scr_args *args, struct gb_buf *out)
{
	struct met_registry *reg = ctx;
	struct gb_buf text = GB_BUF_INIT;
	struct gb_str rest, line;
	char *word = gb_str_to_c(scr_word(args, 0));

	met_add(reg, MET_QUERIES, 3);
	met_set(reg, MET_UNITS_HELD, 64);
	met_text(reg, &text);
	rest = gb_buf_str(&text);
	while (rest.len) {
		gb_str_cut(&rest, '\n', &line);
		if (!g_strstr_len(line.ptr, line.len, word))
			continue;
		gb_buf_add(out, line);
		gb_buf_addc(out, '\n');
	}
	g_free(word);
	gb_buf_free(&text);
}

/* Counts metrics without a name or without the suffix of their type. */
static void cmd_names(void *ctx, const struct scr_args *args,
		      struct gb_buf *out)
{
	int bad = 0;

	(void)ctx;
	(void)args;
	for (int i = 0; i < MET_COUNTERS; i++)
		bad += !g_str_has_suffix(met_counter_name(i).ptr, "_total");
	for (int i = 0; i < MET_GAUGES; i++)
		bad += !met_gauge_name(i).len;
	for (int i = 0; i < MET_HISTOGRAMS; i++)
		bad += !g_str_has_suffix(met_histogram_name(i).ptr, "_seconds");
	gb_buf_addf(out, "%d bad\n", bad);
}

/* labels: a family, with values that need escapes */
static void cmd_labels(void *ctx, const struct scr_args *args,
		       struct gb_buf *out)
{
	static const struct met_family family = {
		.name = GB_STR_INIT("f"),
		.help = GB_STR_INIT("Help."),
		.label = GB_STR_INIT("l"),
		.is_counter = true,
	};

	(void)ctx;
	(void)args;
	met_family(&family, out);
	met_sample(&family, GB_STR("plain"), 1, out);
	met_sample(&family, GB_STR("a\"b\\c\nd"), -2, out);
	met_sample(&family, GB_STR(""), 3, out);
}

int main(int argc, char **argv)
{
	const struct scr_suite suite = {
		.name = "metric",
		.folder = "packages/metric/tests",
		.commands = commands,
		.commands_len = G_N_ELEMENTS(commands),
		.context_new = open_ctx,
		.context_free = close_ctx,
	};

	return scr_main(argc, argv, &suite);
}
