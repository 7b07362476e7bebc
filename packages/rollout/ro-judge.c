#include "rollout/ro-internal.h"

#include <math.h>

/* Rate of bad answers that is assumed before any answer, and its weight. */
#define RATE_ASSUMED 0.05
#define RATE_ASSUMED_ANSWERS 20

/* Bounds of the rate of bad answers of the current version. */
#define RATE_MIN 0.02
#define RATE_MAX 0.6

/* Rates of bad answers for which the test looks, above that of the current. */
static const double rates_worse[] = { 0.1, 0.2, 0.4, 0.6 };
#define RATE_WORSE_MAX 0.95

/*
 * Part of the ticks in which an upstream pauses for some time. Any part of its
 * answers in that tick may be bad then, so they count little.
 */
#define PAUSED_FRACTION 0.15

/* Most answers of an upstream that count in a tick. */
#define ANSWERS_COUNTED_MAX 40

/* Weight that older answers of the current version keep in each tick. */
#define RATE_MEMORY 0.96

/*
 * Log-likelihood ratio at which a version is worse: with the number of routes
 * and ticks of a roll-out, fewer than 1 in 1,000 good versions reach it.
 */
#define SCORE_WORSE 10.0

/* From this score on, a version is not trusted with all requests. */
#define SCORE_SUSPICIOUS 3.5

/* From this score down, it is trusted again. */
#define SCORE_CLEARED 2.0

/*
 * Without the upstream that contributed most, at least this must be left: one
 * upstream in trouble says nothing about its version.
 */
#define SCORE_OF_OTHERS_MIN 4.0

/* From this score on, one upstream is enough: others may get no requests. */
#define SCORE_WORSE_ALONE 25.0

/* The same if the target version has only one. */
#define SCORE_WORSE_OF_ONE 12.0

/* A VM that has not reported for this long does not count as moved. */
#define REPORT_AGE_MAX (2 * GB_SEC)

/* Identity of a row of a VM's reports. */
struct row_key {
	uint64_t vm;
	uint64_t route;
	uint64_t upstream;
	uint64_t is_target;
};

/* The totals of that row in the last report. */
struct row_totals {
	struct row_key key;
	uint32_t answers;
	uint32_t bad;
};

/* Answers of one upstream in this tick, and its part of the score. */
struct upstream_score {
	uint64_t upstream;
	double answers;
	double bad;
	double score;
};

/* The test on one route, or on all together. */
struct route_test {
	uint64_t route;
	GArray *upstreams; /* of struct upstream_score: the target version */
	double current_answers; /* older ones weigh less */
	double current_bad;
	double score;
	bool is_suspicious;
};

struct vm_state {
	uint64_t vm;
	gb_time reported_at;
	bool moved;
};

/* Stands for all routes together. */
#define ALL_ROUTES 0

struct ro_judge {
	GHashTable *totals; /* of struct row_totals, by its key */
	GHashTable *tests; /* of struct route_test, by its route */
	GHashTable *vms; /* of struct vm_state, by its identity */
};

static guint hash_row_key(gconstpointer key)
{
	const struct gb_str bytes = { key, sizeof(struct row_key) };

	return gb_hash(bytes, 0);
}

static gboolean equal_row_keys(gconstpointer a, gconstpointer b)
{
	const struct row_key *first = a, *second = b;

	return first->vm == second->vm && first->route == second->route &&
	       first->upstream == second->upstream &&
	       first->is_target == second->is_target;
}

static void free_test(gpointer data)
{
	struct route_test *test = data;

	g_array_free(test->upstreams, TRUE);
	g_free(test);
}

struct ro_judge *ro_judge_new(void)
{
	struct ro_judge *judge = g_new0(struct ro_judge, 1);

	judge->totals = g_hash_table_new_full(hash_row_key, equal_row_keys,
					      NULL, g_free);
	judge->tests = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					     free_test);
	judge->vms = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					   g_free);
	return judge;
}

void ro_judge_free(struct ro_judge *judge)
{
	g_hash_table_destroy(judge->totals);
	g_hash_table_destroy(judge->tests);
	g_hash_table_destroy(judge->vms);
	g_free(judge);
}

static struct route_test *get_test(struct ro_judge *judge, uint64_t route)
{
	struct route_test *test = g_hash_table_lookup(judge->tests, &route);

	if (test)
		return test;
	test = g_new0(struct route_test, 1);
	test->route = route;
	test->upstreams =
		g_array_new(FALSE, FALSE, sizeof(struct upstream_score));
	g_hash_table_insert(judge->tests, &test->route, test);
	return test;
}

static struct upstream_score *get_upstream(struct route_test *test,
					   uint64_t upstream)
{
	const struct upstream_score new_score = { .upstream = upstream };

	for (guint i = 0; i < test->upstreams->len; i++) {
		struct upstream_score *score = &g_array_index(
			test->upstreams, struct upstream_score, i);

		if (score->upstream == upstream)
			return score;
	}
	g_array_append_val(test->upstreams, new_score);
	return &g_array_index(test->upstreams, struct upstream_score,
			      test->upstreams->len - 1);
}

static void add_to_test(struct route_test *test, const struct ro_row *row,
			uint32_t answers, uint32_t bad)
{
	struct upstream_score *score;

	if (!row->is_target) {
		test->current_answers += answers;
		test->current_bad += bad;
		return;
	}
	score = get_upstream(test, row->upstream);
	score->answers += answers;
	score->bad += bad;
}

static struct row_totals *get_totals(struct ro_judge *judge, uint64_t vm,
				     const struct ro_row *row)
{
	const struct row_key key = { .vm = vm,
				     .route = row->route,
				     .upstream = row->upstream,
				     .is_target = row->is_target };
	struct row_totals *totals = g_hash_table_lookup(judge->totals, &key);

	if (totals)
		return totals;
	totals = g_new0(struct row_totals, 1);
	totals->key = key;
	g_hash_table_insert(judge->totals, &totals->key, totals);
	return totals;
}

static void add_row(struct ro_judge *judge, uint64_t vm,
		    const struct ro_row *row)
{
	struct row_totals *last = get_totals(judge, vm, row);
	uint32_t answers = row->answers - last->answers;
	uint32_t bad = row->bad - last->bad;

	/* An older report that was overtaken has less; it adds nothing. */
	if (row->answers <= last->answers || row->bad < last->bad)
		return;
	last->answers = row->answers;
	last->bad = row->bad;
	add_to_test(get_test(judge, ALL_ROUTES), row, answers, bad);
	if (row->route != ALL_ROUTES)
		add_to_test(get_test(judge, row->route), row, answers, bad);
}

static void note_vm(struct ro_judge *judge, const struct ro_report *report,
		    gb_time now)
{
	struct vm_state *state = g_hash_table_lookup(judge->vms, &report->vm);

	if (!state) {
		state = g_new0(struct vm_state, 1);
		state->vm = report->vm;
		g_hash_table_insert(judge->vms, &state->vm, state);
	}
	state->reported_at = now;
	state->moved = report->step == RO_PROMOTING && !report->calls_current;
}

void ro_judge_add(struct ro_judge *judge, const struct ro_report *report,
		  gb_time now)
{
	note_vm(judge, report, now);
	for (uint32_t i = 0; i < report->rows_len; i++)
		add_row(judge, report->vm, &report->rows[i]);
}

static double current_rate(const struct route_test *test)
{
	double rate =
		(test->current_bad + RATE_ASSUMED * RATE_ASSUMED_ANSWERS) /
		(test->current_answers + RATE_ASSUMED_ANSWERS);

	return CLAMP(rate, RATE_MIN, RATE_MAX);
}

/* Probability of so many bad answers of n at that rate, but for a factor. */
static double likelihood(double bad, double n, double rate)
{
	return exp(bad * log(rate) + (n - bad) * log(1 - rate));
}

/* The factor that likelihood() leaves out: the number of ways to choose. */
static double ways(double bad, double n)
{
	return exp(lgamma(n + 1) - lgamma(bad + 1) - lgamma(n - bad + 1));
}

/* Log-likelihood ratio: worse than the current version, against like it. */
static double log_ratio(double bad, double n, double rate)
{
	double worse = 0, alike;

	for (size_t i = 0; i < G_N_ELEMENTS(rates_worse); i++)
		worse += likelihood(bad, n,
				    MIN(rate + rates_worse[i], RATE_WORSE_MAX));
	worse /= G_N_ELEMENTS(rates_worse);
	alike = (1 - PAUSED_FRACTION) * likelihood(bad, n, rate) +
		PAUSED_FRACTION / ((n + 1) * ways(bad, n));
	return log(worse / alike);
}

/* Adds what the answers of an upstream in this tick say. */
static double add_score(struct upstream_score *upstream, double rate)
{
	double counted = MIN(upstream->answers, ANSWERS_COUNTED_MAX);
	double added;

	if (upstream->answers <= 0)
		return 0;
	added = log_ratio(upstream->bad * counted / upstream->answers, counted,
			  rate);
	upstream->answers = 0;
	upstream->bad = 0;
	upstream->score += added;
	return added;
}

static void reset_scores(struct route_test *test)
{
	test->score = 0;
	for (guint i = 0; i < test->upstreams->len; i++)
		g_array_index(test->upstreams, struct upstream_score, i).score =
			0;
}

static double highest_score(const struct route_test *test)
{
	double highest = 0;

	for (guint i = 0; i < test->upstreams->len; i++)
		highest = MAX(highest, g_array_index(test->upstreams,
						     struct upstream_score, i)
					       .score);
	return highest;
}

/* Updates the test; returns whether the target version is worse. */
static bool update_test(struct route_test *test, uint32_t target_ready)
{
	double rate = current_rate(test);

	for (guint i = 0; i < test->upstreams->len; i++)
		test->score +=
			add_score(&g_array_index(test->upstreams,
						 struct upstream_score, i),
				  rate);
	test->current_answers *= RATE_MEMORY;
	test->current_bad *= RATE_MEMORY;
	if (test->score <= 0)
		reset_scores(test);
	if (test->score <= SCORE_CLEARED)
		test->is_suspicious = false;
	else if (test->score >= SCORE_SUSPICIOUS)
		test->is_suspicious = true;
	if (test->score < SCORE_WORSE)
		return false;
	return (target_ready <= 1 && test->score >= SCORE_WORSE_OF_ONE) ||
	       test->score >= SCORE_WORSE_ALONE ||
	       test->score - highest_score(test) >= SCORE_OF_OTHERS_MIN;
}

enum ro_reason ro_judge_test(struct ro_judge *judge, uint32_t target_ready)
{
	enum ro_reason reason = RO_NO_REASON;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, judge->tests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct route_test *test = value;

		if (!update_test(value, target_ready))
			continue;
		if (reason != RO_WORSE_OVERALL)
			reason = test->route == ALL_ROUTES ? RO_WORSE_OVERALL
							   : RO_WORSE_ON_ROUTE;
	}
	return reason;
}

bool ro_judge_is_suspicious(const struct ro_judge *judge)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, judge->tests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct route_test *test = value;

		if (test->is_suspicious)
			return true;
	}
	return false;
}

bool ro_judge_all_moved(const struct ro_judge *judge, uint32_t vms_live,
			gb_time now)
{
	uint32_t moved = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, judge->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct vm_state *state = value;

		if (now - state->reported_at > REPORT_AGE_MAX)
			continue;
		if (!state->moved)
			return false;
		moved++;
	}
	return moved >= vms_live;
}
