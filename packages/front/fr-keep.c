#include "front/fr-internal.h"

/* A call without an answer for this time has failed. */
#define CALL_TIMEOUT (1 * GB_SEC)

#define HTTP_NOT_FOUND 404
#define HTTP_CONFLICT 409

static const struct ht_call_ops call_ops;

static struct fr_keep *keep_of(struct ht_call *call)
{
	return (struct fr_keep *)((char *)call -
				  offsetof(struct fr_keep, call));
}

/* The time of a record on the wall clock, since VMs share no other clock. */
static struct fr_record to_record(const struct sus_kept *kept)
{
	gb_time age = ht_now() - kept->crashed_at;

	return (struct fr_record){
		.fingerprint = kept->fingerprint,
		.crashes = kept->crashes,
		.crashed_at_ms = g_get_real_time() / 1000 - age / GB_MSEC,
	};
}

static void log_step(const struct fr_keep *keep, enum ev_code code,
		     int64_t number)
{
	const struct ev_event event = { .code = code,
					.num1 = keep->kept.fingerprint,
					.num2 = number };

	fr_log_event(keep->fr, &event);
}

static struct sus_kept to_kept(const struct sus_record *record)
{
	return (struct sus_kept){ .fingerprint = record->fingerprint,
				  .crashes = record->crashes,
				  .crashed_at = ht_now() - record->age };
}

/* Learns of a request from its record in the store. */
static void on_record(void *ctx, const struct fr_record *record)
{
	struct fr_keep *keep = ctx;
	struct fr *fr = keep->fr;
	gb_time age =
		g_get_real_time() * GB_USEC - record->crashed_at_ms * GB_MSEC;
	const struct sus_record crashes = { .fingerprint = record->fingerprint,
					    .crashes = record->crashes,
					    .age = MAX(age, 0) };
	struct sus_kept kept = to_kept(&crashes);

	kept.is_stored = true;
	keep->records_new += sus_merge(fr->engine.suspects, ht_now(), &crashes);
	/* A few VMs are enough to remove what the others have left. */
	if (mem_is_seed(fr->members))
		sus_keep(&keep->keeper, &kept);
}

/* Logs objects of another writer, which cost only themselves. */
static void log_invalid_records(struct fr *fr, uint32_t invalid)
{
	const struct ev_event event = { .code = EV_SUSPECT_RECORDS_INVALID,
					.num1 = invalid };

	if (!invalid)
		return;
	met_add(&fr->metrics, MET_OBJECTS_INVALID, invalid);
	fr_log_event(fr, &event);
}

static bool read_records(struct fr_keep *keep)
{
	struct ev_event event = { .code = EV_SUSPECTS_READ };
	uint32_t invalid;

	keep->records_new = 0;
	if (keep->fr->platform->read_records(gb_buf_str(&keep->call.body),
					     on_record, keep, &invalid))
		return false;
	log_invalid_records(keep->fr, invalid);
	event.num1 = keep->records_new;
	event.num2 = ht_now() - keep->fr->started_at;
	if (event.num1)
		fr_log_event(keep->fr, &event);
	return true;
}

static bool is_success(int status)
{
	return status >= 200 && status < 300;
}

/* Tells whether the call that has ended reached its aim. */
static bool check_result(struct fr_keep *keep, bool answered)
{
	if (!answered)
		return false;
	switch (keep->step) {
	case SUS_KEEP_READ:
		return is_success(keep->http_status) && read_records(keep);
	case SUS_KEEP_REMOVE:
		return is_success(keep->http_status) ||
		       keep->http_status == HTTP_NOT_FOUND;
	default:
		return is_success(keep->http_status);
	}
}

static void finish_call(struct fr_keep *keep, bool answered)
{
	bool succeeded = check_result(keep, answered);
	bool failed_before = keep->keeper.pause;

	keep->running = false;
	gb_buf_free(&keep->call.body);
	if (succeeded && keep->step == SUS_KEEP_WRITE)
		log_step(keep, EV_SUSPECT_KEPT, keep->kept.crashes);
	if (succeeded && keep->step == SUS_KEEP_REMOVE)
		log_step(keep, EV_SUSPECT_REMOVED, keep->kept.is_cleared);
	if (!succeeded && !failed_before)
		log_step(keep, EV_SUSPECT_RECORDS_FAILED,
			 answered ? keep->http_status : 0);
	sus_keep_done(&keep->keeper, ht_now(), keep->step, &keep->kept,
		      succeeded);
}

static void start_call(struct fr_keep *keep)
{
	struct ht_target *store = fr_store_target(keep->fr);

	if (!store)
		return;
	keep->running = true;
	keep->http_status = 0;
	keep->started_at = ht_now();
	ht_call_start(&keep->call, store, &call_ops);
}

static bool on_encode(struct ht_call *call, struct gb_buf *out)
{
	struct fr_keep *keep = keep_of(call);
	const struct fr_platform *platform = keep->fr->platform;
	const struct fr_record record = to_record(&keep->kept);

	if (keep->step == SUS_KEEP_READ) {
		met_add(&keep->fr->metrics, MET_STORE_READS, 1);
		platform->write_record_list(out);
		return true;
	}
	met_add(&keep->fr->metrics, MET_STORE_WRITES, 1);
	if (keep->step == SUS_KEEP_REMOVE)
		platform->write_record_removal(record.fingerprint, out);
	else
		platform->write_record(&record, keep->replaces, out);
	return true;
}

static enum ht_verdict on_head(struct ht_call *call,
			       const struct ht_response *response)
{
	keep_of(call)->http_status = response->status;
	return HT_ACCEPT;
}

static void on_done(struct ht_call *call, enum ht_outcome outcome)
{
	struct fr_keep *keep = keep_of(call);
	bool is_write = keep->step == SUS_KEEP_WRITE;

	if (outcome == HT_ANSWERED && is_write && !keep->replaces &&
	    keep->http_status == HTTP_CONFLICT) {
		gb_buf_free(&keep->call.body);
		keep->replaces = true;
		start_call(keep);
		return;
	}
	finish_call(keep, outcome == HT_ANSWERED);
}

static const struct ht_call_ops call_ops = {
	.encode = on_encode,
	.head = on_head,
	.done = on_done,
};

void fr_keep_init(struct fr *fr)
{
	fr->keep.fr = fr;
}

void fr_keep_crashes(struct fr *fr, uint64_t fingerprint)
{
	const struct sus_table *suspects = fr->engine.suspects;
	gb_time now = ht_now();
	struct sus_record record;
	struct sus_kept kept;
	struct ev_event not_kept = { .code = EV_SUSPECT_NOT_KEPT,
				     .num1 = fingerprint };

	if (sus_state(suspects, now, fingerprint) != SUS_QUARANTINED ||
	    !sus_find(suspects, now, fingerprint, &record))
		return;
	kept = to_kept(&record);
	if (!sus_keep(&fr->keep.keeper, &kept)) {
		not_kept.num2 = record.crashes;
		fr_log_event(fr, &not_kept);
		return;
	}
	fr_keep_tick(fr);
}

void fr_keep_told(struct fr *fr, const struct sus_record *record)
{
	const struct sus_kept told = to_kept(record);

	sus_keep_told(&fr->keep.keeper, &told);
}

/* The VM that adds up the lost runs of a request is told of its answers. */
void fr_keep_cleared(struct fr *fr, uint64_t fingerprint)
{
	bool adds_up = !mem_rank(fr->members, MEM_ALL, fingerprint);

	sus_keep_cleared(&fr->keep.keeper, fingerprint, adds_up);
	fr_keep_tick(fr);
}

void fr_keep_tick(struct fr *fr)
{
	struct fr_keep *keep = &fr->keep;
	gb_time now = ht_now();

	if (keep->running && now - keep->started_at > CALL_TIMEOUT) {
		ht_call_cancel(&keep->call);
		finish_call(keep, false);
	}
	if (keep->running)
		return;
	keep->replaces = false;
	keep->kept = (struct sus_kept){ 0 };
	keep->step = sus_keep_next(&keep->keeper, now, &keep->kept);
	if (keep->step != SUS_KEEP_NONE)
		start_call(keep);
}
