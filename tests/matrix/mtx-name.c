#include "matrix/mtx.h"

struct each {
	uint64_t seed;
	uint32_t stride;
	uint64_t pairs;
	void (*run)(void *ctx, const struct mtx_id *id);
	void *ctx;
};

static void each_second(struct each *each, struct mtx_id *id);

/* OPERATION.MOMENT.FAULT or OPERATION.MOMENT.FAULT+FAULT */
void mtx_name(const struct mtx_id *id, struct gb_buf *out)
{
	gb_buf_add(out, id->operation->name);
	gb_buf_add(out, GB_STR("."));
	gb_buf_add(out, mtx_moments[id->moment]);
	for (int i = 0; i < MTX_FAULTS && id->fault[i]; i++) {
		gb_buf_add(out, i ? GB_STR("+") : GB_STR("."));
		gb_buf_add(out, id->fault[i]->name);
	}
}

/* The fault alone, twice, and with the others that the stride selects. */
static void each_second(struct each *each, struct mtx_id *id)
{
	id->fault[1] = NULL;
	each->run(each->ctx, id);
	for (size_t i = 0; i < mtx_faults_len; i++) {
		id->fault[1] = &mtx_faults[i];
		if (id->fault[0] == id->fault[1] ||
		    (each->pairs++ + each->seed) % each->stride == 0)
			each->run(each->ctx, id);
	}
}

void mtx_each(uint64_t seed, uint32_t stride,
	      void (*run)(void *ctx, const struct mtx_id *id), void *ctx)
{
	struct each each = {
		.seed = seed, .stride = stride, .run = run, .ctx = ctx
	};

	for (size_t i = 0; i < mtx_operations_len; i++) {
		for (int k = 0; k < MTX_MOMENTS; k++) {
			for (size_t f = 0; f < mtx_faults_len; f++) {
				struct mtx_id id = {
					.operation = &mtx_operations[i],
					.moment = k,
					.fault = { &mtx_faults[f] },
				};

				each_second(&each, &id);
			}
		}
	}
}
