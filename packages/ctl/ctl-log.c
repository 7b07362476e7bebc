#include "ctl/ctl.h"

#include <string.h>

/* A line "TIME VM NAME event=..." of a log; strings point into the text. */
struct entry {
	double time; /* seconds of wall time */
	struct gb_str text; /* from the time on */
};

struct logs {
	GArray *entries; /* of struct entry */
	GPtrArray *texts; /* of gchar */
	uint32_t skipped; /* lines without an event */
};

/* Cuts the last word off; false if there is none before it. */
static bool cut_word(struct gb_str *rest, struct gb_str *word)
{
	*rest = gb_str_trim(*rest);
	if (!rest->len)
		return false;
	if (!gb_str_cut_last(*rest, ' ', rest, word)) {
		*word = *rest;
		rest->len = 0;
	}
	return true;
}

/*
 * What stands before the time, such as the mark of a collector of logs, is
 * left out.
 */
static bool read_entry(struct gb_str line, struct entry *entry)
{
	const char *event = g_strstr_len(line.ptr, line.len, " event=");
	struct gb_str rest, name, vm, time;

	if (!event)
		return false;
	rest = gb_str_sub(line, 0, event - line.ptr);
	if (!cut_word(&rest, &name) || !cut_word(&rest, &vm) ||
	    !cut_word(&rest, &time) ||
	    gb_str_to_double(time, 0, 1e12, &entry->time))
		return false;
	entry->text = gb_str_sub(line, time.ptr - line.ptr, line.len);
	return true;
}

/* Tells whether the line has "KEY=VALUE" as a word; an empty value matches. */
static bool has(struct gb_str line, const char *key, struct gb_str value)
{
	char *word;
	const char *at;
	bool found;

	if (!value.len)
		return true;
	word = g_strdup_printf(" %s=%.*s", key, (int)value.len, value.ptr);
	at = g_strstr_len(line.ptr, line.len, word);
	found = at && (at + strlen(word) == line.ptr + line.len ||
		       at[strlen(word)] == ' ');
	g_free(word);
	return found;
}

static bool matches(const struct ctl_line *line, struct gb_str text)
{
	return has(text, "request", line->filter.request) &&
	       has(text, "upstream", line->filter.upstream) &&
	       has(text, "dc", line->filter.dc);
}

static int read_file(const struct ctl_line *line, struct gb_str path,
		     struct logs *logs)
{
	char *name = gb_str_to_c(path);
	struct gb_error error;
	struct gb_str text, row;
	gchar *bytes;
	gsize len;
	int ret = 0;

	if (!g_file_get_contents(name, &bytes, &len, NULL)) {
		gb_fail(&error, GB_ERR_IO, path, 0);
		ret = ctl_fail(path, &error);
		goto out;
	}
	g_ptr_array_add(logs->texts, bytes);
	text = (struct gb_str){ bytes, len };
	while (text.len) {
		struct entry entry;

		gb_str_cut(&text, '\n', &row);
		if (!read_entry(row, &entry))
			logs->skipped++;
		else if (matches(line, entry.text))
			g_array_append_val(logs->entries, entry);
	}
out:
	g_free(name);
	return ret;
}

/* Entries of the same time keep the order in which they were read. */
static gint by_time(gconstpointer a, gconstpointer b)
{
	const struct entry *x = a, *y = b;

	if (x->time != y->time)
		return x->time < y->time ? -1 : 1;
	return (x->text.ptr > y->text.ptr) - (x->text.ptr < y->text.ptr);
}

static void print(const struct logs *logs)
{
	struct gb_buf out = GB_BUF_INIT;

	for (guint i = 0; i < logs->entries->len; i++) {
		gb_buf_add(&out,
			   g_array_index(logs->entries, struct entry, i).text);
		gb_buf_addc(&out, '\n');
	}
	gb_buf_addf(&out, "# %u events, %u lines without one\n",
		    logs->entries->len, logs->skipped);
	ctl_print(gb_buf_str(&out));
	gb_buf_free(&out);
}

int ctl_log(const struct ctl_line *line)
{
	struct logs logs = {
		.entries = g_array_new(FALSE, FALSE, sizeof(struct entry)),
		.texts = g_ptr_array_new_with_free_func(g_free),
	};
	int status = CTL_DONE;

	for (guint i = 0; i < line->words->len && status == CTL_DONE; i++)
		status = read_file(line, ctl_word(line, i), &logs);
	if (status == CTL_DONE) {
		g_array_sort(logs.entries, by_time);
		print(&logs);
	}
	g_array_free(logs.entries, TRUE);
	g_ptr_array_free(logs.texts, TRUE);
	return status;
}
