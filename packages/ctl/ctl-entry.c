#include "ctl/ctl-entry.h"

#include <string.h>

/* Removes the last word from rest; returns false if rest is empty. */
static bool cut_last_word(struct gb_str *rest, struct gb_str *word)
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
 * Parses a log line. Text before the time, such as the prefix that a log
 * collector adds, is ignored. Returns false if the line holds no event.
 */
static bool read_entry(struct gb_str line, struct ctl_log_entry *entry)
{
	const char *event = g_strstr_len(line.ptr, line.len, " event=");
	struct gb_str rest, name, vm, time;

	if (!event)
		return false;
	rest = gb_str_sub(line, 0, event - line.ptr);
	if (!cut_last_word(&rest, &name) || !cut_last_word(&rest, &vm) ||
	    !cut_last_word(&rest, &time) ||
	    gb_str_to_double(time, 0, 1e12, &entry->time))
		return false;
	entry->text = gb_str_sub(line, time.ptr - line.ptr, line.len);
	entry->vm = vm;
	entry->event_name = name;
	return true;
}

bool ctl_log_value(struct gb_str text, const char *key, struct gb_str *value)
{
	char *word = g_strdup_printf(" %s=", key);
	const char *match = g_strstr_len(text.ptr, text.len, word);
	struct gb_str rest;

	if (match) {
		rest = gb_str_sub(text, match - text.ptr + strlen(word),
				  text.len);
		gb_str_cut(&rest, ' ', value);
	}
	g_free(word);
	return match != NULL;
}

/* Tells whether a log line has that value; an empty one matches any line. */
static bool has_value(struct gb_str text, const char *key,
		      struct gb_str expected)
{
	struct gb_str value;

	return !expected.len ||
	       (ctl_log_value(text, key, &value) && gb_str_eq(value, expected));
}

static bool matches(const struct ctl_cmdline *cmdline, struct gb_str text)
{
	return has_value(text, "request", cmdline->filter.request) &&
	       has_value(text, "upstream", cmdline->filter.upstream) &&
	       has_value(text, "dc", cmdline->filter.dc);
}

static int read_file(const struct ctl_cmdline *cmdline, struct gb_str path,
		     struct ctl_logs *logs)
{
	char *name = gb_str_to_c(path);
	struct gb_error error;
	struct gb_str text, log_line;
	gchar *bytes;
	gsize len;
	int ret = 0;

	if (!g_file_get_contents(name, &bytes, &len, NULL)) {
		gb_fail(&error, GB_ERR_IO, path, 0);
		ret = ctl_warn_error(path, &error);
		goto out;
	}
	g_ptr_array_add(logs->texts, bytes);
	text = (struct gb_str){ bytes, len };
	while (text.len) {
		struct ctl_log_entry entry;

		gb_str_cut(&text, '\n', &log_line);
		if (!read_entry(log_line, &entry))
			logs->skipped_lines++;
		else if (matches(cmdline, entry.text))
			g_array_append_val(logs->entries, entry);
	}
out:
	g_free(name);
	return ret;
}

/* Orders by time; entries of one file with the same time keep their order. */
static gint compare_times(gconstpointer a, gconstpointer b)
{
	const struct ctl_log_entry *x = a, *y = b;

	if (x->time != y->time)
		return x->time < y->time ? -1 : 1;
	return (x->text.ptr > y->text.ptr) - (x->text.ptr < y->text.ptr);
}

int ctl_logs_read(const struct ctl_cmdline *cmdline, struct ctl_logs *logs)
{
	int status = CTL_EXIT_DONE;

	*logs = (struct ctl_logs){
		.entries =
			g_array_new(FALSE, FALSE, sizeof(struct ctl_log_entry)),
		.texts = g_ptr_array_new_with_free_func(g_free),
	};
	for (guint i = 0; i < cmdline->args->len && status == CTL_EXIT_DONE;
	     i++)
		status = read_file(cmdline, ctl_arg(cmdline, i), logs);
	g_array_sort(logs->entries, compare_times);
	return status;
}

void ctl_logs_free(struct ctl_logs *logs)
{
	g_array_free(logs->entries, TRUE);
	g_ptr_array_free(logs->texts, TRUE);
}
