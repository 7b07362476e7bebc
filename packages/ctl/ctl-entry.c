#include "ctl/ctl-entry.h"

#include <string.h>

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
static bool read_entry(struct gb_str line, struct ctl_entry *entry)
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
	entry->vm = vm;
	entry->name = name;
	return true;
}

bool ctl_entry_value(struct gb_str text, const char *key, struct gb_str *value)
{
	char *word = g_strdup_printf(" %s=", key);
	const char *at = g_strstr_len(text.ptr, text.len, word);
	struct gb_str rest;

	if (at) {
		rest = gb_str_sub(text, at - text.ptr + strlen(word), text.len);
		gb_str_cut(&rest, ' ', value);
	}
	g_free(word);
	return at != NULL;
}

/* An empty value matches any line. */
static bool has(struct gb_str text, const char *key, struct gb_str wanted)
{
	struct gb_str value;

	return !wanted.len ||
	       (ctl_entry_value(text, key, &value) && gb_str_eq(value, wanted));
}

static bool matches(const struct ctl_line *line, struct gb_str text)
{
	return has(text, "request", line->filter.request) &&
	       has(text, "upstream", line->filter.upstream) &&
	       has(text, "dc", line->filter.dc);
}

static int read_file(const struct ctl_line *line, struct gb_str path,
		     struct ctl_logs *logs)
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
		struct ctl_entry entry;

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
	const struct ctl_entry *x = a, *y = b;

	if (x->time != y->time)
		return x->time < y->time ? -1 : 1;
	return (x->text.ptr > y->text.ptr) - (x->text.ptr < y->text.ptr);
}

int ctl_logs_read(const struct ctl_line *line, struct ctl_logs *logs)
{
	int status = CTL_DONE;

	*logs = (struct ctl_logs){
		.entries = g_array_new(FALSE, FALSE, sizeof(struct ctl_entry)),
		.texts = g_ptr_array_new_with_free_func(g_free),
	};
	for (guint i = 0; i < line->words->len && status == CTL_DONE; i++)
		status = read_file(line, ctl_word(line, i), logs);
	g_array_sort(logs->entries, by_time);
	return status;
}

void ctl_logs_free(struct ctl_logs *logs)
{
	g_array_free(logs->entries, TRUE);
	g_ptr_array_free(logs->texts, TRUE);
}
