#include "ctl/ctl-chart.h"
#include "ctl/ctl-entry.h"
#include "metric/met.h"

/* Rows of the table, at most. */
#define ROWS_MAX 40

/* A fault that begins with one event and ends with another one of the VM. */
struct fault {
	struct gb_str begin;
	struct gb_str end; /* empty for a fault without length */
	const char *label;
	/* Word that tells faults of one kind apart; may be NULL. */
	const char *subject;
};

static const struct fault faults[] = {
	{ GB_STR_INIT("start"), GB_STR_INIT(""), "start", NULL },
	{ GB_STR_INIT("directory_lost"), GB_STR_INIT("directory_back"), "store",
	  NULL },
	{ GB_STR_INIT("dc_excluded"), GB_STR_INIT("dc_included"), "excluded",
	  "dc" },
};

struct row {
	uint32_t kinds[CTL_KINDS];
	uint32_t parts, missing;
	struct met_hist times;
};

static enum ctl_kind kind_of(struct gb_str reason, int64_t status)
{
	if (gb_str_eq(reason, GB_STR("partial")))
		return CTL_KIND_PARTIAL;
	if (status == 503 || status == 429)
		return CTL_KIND_REFUSED;
	return status < 500 ? CTL_KIND_COMPLETE : CTL_KIND_FAILED;
}

static int64_t number_of(struct gb_str text, const char *key)
{
	struct gb_str value;
	int64_t number;

	if (!ctl_entry_value(text, key, &value) ||
	    gb_str_to_int(value, 0, INT64_MAX, &number))
		return 0;
	return number;
}

static void add_answer(struct ctl_run *run, const struct ctl_entry *entry,
		       double begin)
{
	struct gb_str reason = GB_STR("");
	struct ctl_answer answer = {
		.time = entry->time - begin,
		.elapsed = (double)number_of(entry->text, "elapsed_us") / 1e6,
		.parts = number_of(entry->text, "parts"),
		.missing = number_of(entry->text, "missing"),
	};

	ctl_entry_value(entry->text, "reason", &reason);
	answer.kind = kind_of(reason, number_of(entry->text, "status"));
	g_array_append_val(run->answers, answer);
}

/* The time at which a fault that begins with an entry ends. */
static double end_of(const struct ctl_logs *logs, guint from,
		     const struct fault *fault)
{
	const struct ctl_entry *begin =
		&g_array_index(logs->entries, struct ctl_entry, from);
	const struct ctl_entry *entry = begin;
	struct gb_str wanted = GB_STR(""), subject = GB_STR("");

	if (!fault->end.len)
		return begin->time;
	if (fault->subject)
		ctl_entry_value(begin->text, fault->subject, &wanted);
	for (guint i = from + 1; i < logs->entries->len; i++) {
		entry = &g_array_index(logs->entries, struct ctl_entry, i);
		if (fault->subject)
			ctl_entry_value(entry->text, fault->subject, &subject);
		if (!gb_str_eq(entry->vm, begin->vm))
			continue;
		if (gb_str_eq(entry->name, GB_STR("start")) ||
		    (gb_str_eq(entry->name, fault->end) &&
		     gb_str_eq(subject, wanted)))
			return entry->time;
	}
	return entry->time;
}

/* Joins a fault to an earlier band of its kind that it overlaps. */
static void add_band(struct ctl_run *run, const struct ctl_band *band)
{
	for (guint i = 0; i < run->bands->len; i++) {
		struct ctl_band *earlier =
			&g_array_index(run->bands, struct ctl_band, i);

		if (earlier->label != band->label ||
		    band->begin > earlier->end + 1)
			continue;
		earlier->end = MAX(earlier->end, band->end);
		return;
	}
	g_array_append_vals(run->bands, band, 1);
}

static void collect(const struct ctl_logs *logs, struct ctl_run *run)
{
	double begin = 0;

	for (guint i = 0; i < logs->entries->len; i++) {
		const struct ctl_entry *entry =
			&g_array_index(logs->entries, struct ctl_entry, i);

		if (!i)
			begin = entry->time;
		run->length = entry->time - begin;
		if (gb_str_eq(entry->name, GB_STR("forward_end")))
			add_answer(run, entry, begin);
		for (size_t k = 0; k < G_N_ELEMENTS(faults); k++) {
			struct ctl_band band = { .begin = entry->time - begin,
						 .label = faults[k].label };

			if (!gb_str_eq(entry->name, faults[k].begin))
				continue;
			band.end = end_of(logs, i, &faults[k]) - begin;
			add_band(run, &band);
		}
	}
}

static void fill_rows(const struct ctl_run *run, struct row *rows,
		      double seconds)
{
	for (guint i = 0; i < run->answers->len; i++) {
		const struct ctl_answer *answer =
			&g_array_index(run->answers, struct ctl_answer, i);
		struct row *row = &rows[(int)(answer->time / seconds)];

		row->kinds[answer->kind]++;
		row->parts += answer->parts;
		row->missing += answer->missing;
		met_hist_add(&row->times, (gb_time)(answer->elapsed * GB_SEC));
	}
}

static void print(const struct ctl_run *run)
{
	double seconds = MAX(1, (int)(run->length / ROWS_MAX) + 1);
	uint32_t len = (uint32_t)(run->length / seconds) + 1;
	struct row *rows = g_new0(struct row, len);
	struct gb_buf out = GB_BUF_INIT;

	fill_rows(run, rows, seconds);
	gb_buf_add(&out, GB_STR("  time_s complete partial refused failed "
				"parts_in  p50_ms  p99_ms\n"));
	for (uint32_t i = 0; i < len; i++) {
		const struct row *row = &rows[i];
		double in = row->parts ? 1.0 - (double)row->missing / row->parts
				       : 1;

		if (!row->times.count)
			continue;
		gb_buf_addf(
			&out, "%8.0f %8u %7u %7u %6u %8.3f %7.1f %7.1f\n",
			i * seconds, row->kinds[CTL_KIND_COMPLETE],
			row->kinds[CTL_KIND_PARTIAL],
			row->kinds[CTL_KIND_REFUSED],
			row->kinds[CTL_KIND_FAILED], in,
			(double)met_hist_quantile(&row->times, 0.5) / GB_MSEC,
			(double)met_hist_quantile(&row->times, 0.99) / GB_MSEC);
	}
	for (guint i = 0; i < run->bands->len; i++) {
		const struct ctl_band *band =
			&g_array_index(run->bands, struct ctl_band, i);

		gb_buf_addf(&out, "# %s from %.1f s to %.1f s\n", band->label,
			    band->begin, band->end);
	}
	ctl_print(gb_buf_str(&out));
	gb_buf_free(&out);
	g_free(rows);
}

static int draw(const struct ctl_line *line, const struct ctl_run *run)
{
	struct gb_error error;
	char *path;
	int ret;

	if (!line->output.len)
		return CTL_DONE;
	path = gb_str_to_c(line->output);
	ret = ctl_chart_write(run, path);
	g_free(path);
	if (!ret)
		return CTL_DONE;
	gb_fail(&error, GB_ERR_IO, line->output, 0);
	return ctl_fail(line->output, &error);
}

int ctl_report(const struct ctl_line *line)
{
	struct ctl_run run = {
		.answers = g_array_new(FALSE, FALSE, sizeof(struct ctl_answer)),
		.bands = g_array_new(FALSE, FALSE, sizeof(struct ctl_band)),
	};
	struct ctl_logs logs;
	int status = ctl_logs_read(line, &logs);

	if (status == CTL_DONE) {
		collect(&logs, &run);
		print(&run);
		status = draw(line, &run);
	}
	g_array_free(run.answers, TRUE);
	g_array_free(run.bands, TRUE);
	ctl_logs_free(&logs);
	return status;
}
