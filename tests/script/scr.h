#ifndef SCR_H
#define SCR_H

/*
 * NAME
 *	scr - scripted tests of one package with expected output
 *
 * DESCRIPTION
 *	A test program gives a table of commands. Each file NAME.script in its
 *	folder is run line by line: the first word selects the command, the
 *	rest are its arguments, "name=value" or plain. Blank lines and lines
 *	that start with '#' are skipped. Each line is echoed as "> line",
 *	followed by what the command printed. The whole output must equal
 *	NAME.expected beside the script. Each script is one GLib test.
 *
 *	With SCR_UPDATE=1 in the environment the expected files are written
 *	anew instead; read the difference before you commit it.
 */

#include "base/gb.h"

#include <glib.h>

#define SCR_ARGS_MAX 24

struct scr_args {
	struct gb_str word[SCR_ARGS_MAX]; /* without the command */
	size_t len;
};

struct scr_command {
	struct gb_str name;
	void (*run)(void *ctx, const struct scr_args *args, struct gb_buf *out);
};

struct scr_suite {
	const char *name; /* of the package */
	const char *folder; /* of the scripts, from the top of the project */
	const struct scr_command *commands;
	size_t commands_len;
	void *(*open)(void); /* a fresh context for each script */
	void (*close)(void *ctx);
};

/* Value of "name=value"; def when there is none. Bad numbers abort. */
struct gb_str scr_str(const struct scr_args *args, struct gb_str name,
		      struct gb_str def);
int64_t scr_int(const struct scr_args *args, struct gb_str name, int64_t def);
double scr_double(const struct scr_args *args, struct gb_str name, double def);

/* The plain word at an index; empty when there is none. */
struct gb_str scr_word(const struct scr_args *args, size_t index);

/* Takes the next line that is neither blank nor a comment. */
bool scr_next_line(struct gb_str *text, struct gb_str *line);

/* Splits a line into its command and arguments. */
void scr_split(struct gb_str line, struct gb_str *name, struct scr_args *args);

/* Sorted paths of the files with a suffix; free with g_ptr_array_free(). */
GPtrArray *scr_files(const char *folder, const char *suffix);

/*
 * Compares output with a file and fails the test with the first line that
 * differs and the hint; or writes the file, with SCR_UPDATE=1.
 */
void scr_settle(const char *path, struct gb_str got, const char *hint);

/* Runs all scripts of the suite under g_test; returns the exit status. */
int scr_main(int argc, char **argv, const struct scr_suite *suite);

#endif
