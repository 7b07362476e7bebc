#ifndef GB_H
#define GB_H

/*
 * NAME
 *	gb - strings, errors, time and random numbers shared by all packages
 *
 * DESCRIPTION
 *	A gb_str is a borrowed, length-counted byte string; it is never
 *	required to end in NUL and may hold NUL bytes. A gb_buf owns its bytes
 *	and grows. Functions that can fail return 0 or -1 and fill a
 *	gb_error; gb_error_text() formats the message for readers.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Monotonic time in microseconds, as read by the I/O layer. */
typedef int64_t gb_time;

#define GB_USEC ((gb_time)1)
#define GB_MSEC (1000 * GB_USEC)
#define GB_SEC (1000 * GB_MSEC)
#define GB_NEVER INT64_MAX

struct gb_str {
	const char *ptr;
	size_t len;
};

/* Makes a gb_str from a string literal, without the final NUL. */
#define GB_STR(lit) ((struct gb_str){ .ptr = (lit), .len = sizeof(lit) - 1 })

/* Initialises a static gb_str from a string literal. */
#define GB_STR_INIT(lit)                             \
	{                                            \
		.ptr = (lit), .len = sizeof(lit) - 1 \
	}

struct gb_buf {
	char *ptr;
	size_t len;
	size_t cap;
};

#define GB_BUF_INIT ((struct gb_buf){ .ptr = NULL, .len = 0, .cap = 0 })

struct gb_str gb_str_from_c(const char *text);
struct gb_str gb_str_sub(struct gb_str s, size_t from, size_t len);
struct gb_str gb_str_trim(struct gb_str s);
int gb_str_cmp(struct gb_str a, struct gb_str b);
bool gb_str_eq(struct gb_str a, struct gb_str b);
bool gb_str_starts_with(struct gb_str s, struct gb_str prefix);
bool gb_str_has_control(struct gb_str s);

/* Returns a NUL-terminated copy for C interfaces; free with g_free(). */
char *gb_str_to_c(struct gb_str s);

/* Returns a copy whose bytes are owned; free with gb_str_free(). */
struct gb_str gb_str_dup(struct gb_str s);
void gb_str_free(struct gb_str *s);

/*
 * Cuts s at the first sep: head gets the part before it, s keeps the rest.
 * Without a sep head gets all of s, and the result is false.
 */
bool gb_str_cut(struct gb_str *s, char sep, struct gb_str *head);

/* Gets the parts before and after the last sep; false if there is none. */
bool gb_str_cut_last(struct gb_str s, char sep, struct gb_str *head,
		     struct gb_str *tail);

/* Parses the whole of s as a decimal number within [min, max]. */
int gb_str_to_int(struct gb_str s, int64_t min, int64_t max, int64_t *out);
int gb_str_to_double(struct gb_str s, double min, double max, double *out);

void gb_buf_add(struct gb_buf *buf, struct gb_str s);
void gb_buf_addc(struct gb_buf *buf, char c);
void gb_buf_addf(struct gb_buf *buf, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
void gb_buf_reset(struct gb_buf *buf);
void gb_buf_free(struct gb_buf *buf);
struct gb_str gb_buf_str(const struct gb_buf *buf);

/*
 * ERRORS
 *	Every failure has a code. The operands (subject and number) complete
 *	the message. The subject is copied and cut to GB_ERROR_SUBJECT_MAX.
 */
enum gb_code {
	GB_OK = 0,
	GB_ERR_BAD_REQUEST,
	GB_ERR_BODY_TOO_LARGE,
	GB_ERR_UNKNOWN_SERVICE,
	GB_ERR_NOT_RUN,
	GB_ERR_UNKNOWN_OUTCOME,
	GB_ERR_OVER_LIMIT,
	GB_ERR_DEADLINE,
	GB_ERR_COVERAGE,
	GB_ERR_QUARANTINED,
	GB_ERR_KEY_EXPIRED,
	GB_ERR_IN_PROGRESS,
	GB_ERR_CONFLICT,
	GB_ERR_NOT_FOUND,
	GB_ERR_STORE_UNAVAILABLE,
	GB_ERR_STALE_VERSION,
	GB_ERR_SYNTAX,
	GB_ERR_UNKNOWN_KEY,
	GB_ERR_OUT_OF_RANGE,
	GB_ERR_WRONG_TYPE,
	GB_ERR_MISSING,
	GB_ERR_DUPLICATE,
	GB_ERR_REFERENCE,
	GB_ERR_ROSTER_STEP,
	GB_ERR_TOO_LARGE,
	GB_ERR_TRUNCATED,
	GB_ERR_IO,
	GB_ERR_CODES
};

#define GB_ERROR_SUBJECT_MAX 160 /* bytes */

struct gb_error {
	enum gb_code code;
	char subject[GB_ERROR_SUBJECT_MAX];
	size_t subject_len;
	int64_t number;
};

/* Fills err (which may be NULL) and returns -1. */
int gb_fail(struct gb_error *err, enum gb_code code, struct gb_str subject,
	    int64_t number);

/* Returns the stable name of a code, such as "not_run". */
struct gb_str gb_code_name(enum gb_code code);

/* Finds the code for a name; returns GB_ERR_CODES for an unknown name. */
enum gb_code gb_code_from_name(struct gb_str name);

/* Appends a readable message, such as "unknown service: \"x\"". */
void gb_error_text(const struct gb_error *err, struct gb_buf *out);

/*
 * RANDOM NUMBERS
 *	A seeded generator (splitmix64). Packages that decide use only the
 *	generator that the I/O layer passes to them, so that any run can be
 *	replayed.
 */
struct gb_rng {
	uint64_t state;
};

uint64_t gb_rng_next(struct gb_rng *rng);
uint64_t gb_rng_below(struct gb_rng *rng, uint64_t bound);
double gb_rng_unit(struct gb_rng *rng);
double gb_rng_exponential(struct gb_rng *rng, double mean);

/* Hash and equality of keys that point at a gb_str, for hash tables. */
unsigned int gb_str_key_hash(const void *key);
int gb_str_key_equal(const void *a, const void *b);

/* Hashes with xxHash64; results are stable over processes and versions. */
uint64_t gb_hash(struct gb_str s, uint64_t seed);
uint64_t gb_hash_u64(uint64_t a, uint64_t b);

#endif
