#include "ctl/ctl-chart.h"
#include "ctl/ctl-entry.h"
#include "metric/met.h"

/* Most rows of the table; the interval of a row grows with the run. */
#define TABLE_ROWS_MAX 40

/* A fault that begins and ends with events of the same VM. */
struct fault_kind {
	struct gb_str begin; /* name of the event */
	struct gb_str end; /* name of the event; empty for an instant */
	const char *label;
	/* Key whose value tells faults of this kind apart; may be NULL. */
	const char *subject_key;
};

static const struct fault_kind fault_kinds[] = {
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

static enum ctl_answer_kind answer_kind_of(struct gb_str reason, int64_t status)
{
	if (gb_str_eq(reason, GB_STR("partial")))
		return CTL_KIND_PARTIAL;
	if (status == 503 || status == 429)
		return CTL_KIND_REFUSED;
	return status < 500 ? CTL_KIND_COMPLETE : CTL_KIND_FAILED;
}

static int64_t number_value(struct gb_str text, const char *key)
{
	struct gb_str value;
	int64_t number;

	if (!ctl_log_value(text, key, &value) ||
	    gb_str_to_int(value, 0, INT64_MAX, &number))
		return 0;
	return number;
}

static void add_answer(struct ctl_chart_data *data,
		       const struct ctl_log_entry *entry, double begin)
{
	struct gb_str reason = GB_STR("");
	struct ctl_answer answer = {
		.time = entry->time - begin,
		.elapsed =
			(double)number_value(entry->text, "elapsed_us") / 1e6,
		.parts = number_value(entry->text, "parts"),
		.missing_parts = number_value(entry->text, "missing"),
	};

	ctl_log_value(entry->text, "reason", &reason);
	answer.kind =
		answer_kind_of(reason, number_value(entry->text, "status"));
	g_array_append_val(data->answers, answer);
}

/*
 * Returns the time at which the fault that begins with an entry ends. It ends
 * at the latest when the VM starts again, or with the last entry.
 */
static double find_fault_end(const struct ctl_logs *logs, guint from,
			     const struct fault_kind *kind)
{
	const struct ctl_log_entry *begin =
		&g_array_index(logs->entries, struct ctl_log_entry, from);
	const struct ctl_log_entry *entry = begin;
	struct gb_str subject = GB_STR(""), entry_subject = GB_STR("");

	if (!kind->end.len)
		return begin->time;
	if (kind->subject_key)
		ctl_log_value(begin->text, kind->subject_key, &subject);
	for (guint i = from + 1; i < logs->entries->len; i++) {
		entry = &g_array_index(logs->entries, struct ctl_log_entry, i);
		if (kind->subject_key)
			ctl_log_value(entry->text, kind->subject_key,
				      &entry_subject);
		if (!gb_str_eq(entry->vm, begin->vm))
			continue;
		if (gb_str_eq(entry->event_name, GB_STR("start")) ||
		    (gb_str_eq(entry->event_name, kind->end) &&
		     gb_str_eq(entry_subject, subject)))
			return entry->time;
	}
	return entry->time;
}

/* Adds a band, or extends one of its kind that ended at most 1 s before it. */
static void add_band(struct ctl_chart_data *data, const struct ctl_band *band)
{
	for (guint i = 0; i < data->bands->len; i++) {
		struct ctl_band *earlier =
			&g_array_index(data->bands, struct ctl_band, i);

		if (earlier->label != band->label ||
		    band->begin > earlier->end + 1)
			continue;
		earlier->end = MAX(earlier->end, band->end);
		return;
	}
	g_array_append_vals(data->bands, band, 1);
}

static void collect_data(const struct ctl_logs *logs,
			 struct ctl_chart_data *data)
{
	double begin = 0;

	for (guint i = 0; i < logs->entries->len; i++) {
		const struct ctl_log_entry *entry =
			&g_array_index(logs->entries, struct ctl_log_entry, i);

		if (!i)
			begin = entry->time;
		data->length = entry->time - begin;
		if (gb_str_eq(entry->event_name, GB_STR("forward_end")))
			add_answer(data, entry, begin);
		for (size_t k = 0; k < G_N_ELEMENTS(fault_kinds); k++) {
			struct ctl_band band = { .begin = entry->time - begin,
						 .label =
							 fault_kinds[k].label };

			if (!gb_str_eq(entry->event_name, fault_kinds[k].begin))
				continue;
			band.end = find_fault_end(logs, i, &fault_kinds[k]) -
				   begin;
			add_band(data, &band);
		}
	}
}

static void fill_rows(const struct ctl_chart_data *data, struct row *rows,
		      double seconds)
{
	for (guint i = 0; i < data->answers->len; i++) {
		const struct ctl_answer *answer =
			&g_array_index(data->answers, struct ctl_answer, i);
		struct row *row = &rows[(int)(answer->time / seconds)];

		row->kinds[answer->kind]++;
		row->parts += answer->parts;
		row->missing += answer->missing_parts;
		met_hist_add(&row->times, (gb_time)(answer->elapsed * GB_SEC));
	}
}

static void print_report(const struct ctl_chart_data *data)
{
	double seconds = MAX(1, (int)(data->length / TABLE_ROWS_MAX) + 1);
	uint32_t len = (uint32_t)(data->length / seconds) + 1;
	struct row *rows = g_new0(struct row, len);
	struct gb_buf out = GB_BUF_INIT;

	fill_rows(data, rows, seconds);
	gb_buf_add(&out, GB_STR("  time_s complete partial refused failed "
				"parts_in  p50_ms  p99_ms\n"));
	for (uint32_t i = 0; i < len; i++) {
		const struct row *row = &rows[i];
		double present =
			row->parts ? 1.0 - (double)row->missing / row->parts
				   : 1;

		if (!row->times.count)
			continue;
		gb_buf_addf(
			&out, "%8.0f %8u %7u %7u %6u %8.3f %7.1f %7.1f\n",
			i * seconds, row->kinds[CTL_KIND_COMPLETE],
			row->kinds[CTL_KIND_PARTIAL],
			row->kinds[CTL_KIND_REFUSED],
			row->kinds[CTL_KIND_FAILED], present,
			(double)met_hist_quantile(&row->times, 0.5) / GB_MSEC,
			(double)met_hist_quantile(&row->times, 0.99) / GB_MSEC);
	}
	for (guint i = 0; i < data->bands->len; i++) {
		const struct ctl_band *band =
			&g_array_index(data->bands, struct ctl_band, i);

		gb_buf_addf(&out, "# %s from %.1f s to %.1f s\n", band->label,
			    band->begin, band->end);
	}
	ctl_print(gb_buf_str(&out));
	gb_buf_free(&out);
	g_free(rows);
}

static int draw_chart(const struct ctl_cmdline *cmdline,
		      const struct ctl_chart_data *data)
{
	struct gb_error error;
	char *path;
	int ret;

	if (!cmdline->output.len)
		return CTL_EXIT_DONE;
	path = gb_str_to_c(cmdline->output);
	ret = ctl_chart_write(data, path);
	g_free(path);
	if (!ret)
		return CTL_EXIT_DONE;
	gb_fail(&error, GB_ERR_IO, cmdline->output, 0);
	return ctl_warn_error(cmdline->output, &error);
}

int ctl_report(const struct ctl_cmdline *cmdline)
{
	struct ctl_chart_data data = {
		.answers = g_array_new(FALSE, FALSE, sizeof(struct ctl_answer)),
		.bands = g_array_new(FALSE, FALSE, sizeof(struct ctl_band)),
	};
	struct ctl_logs logs;
	int status = ctl_logs_read(cmdline, &logs);

	if (status == CTL_EXIT_DONE) {
		collect_data(&logs, &data);
		print_report(&data);
		status = draw_chart(cmdline, &data);
	}
	g_array_free(data.answers, TRUE);
	g_array_free(data.bands, TRUE);
	ctl_logs_free(&logs);
	return status;
}
