#include "daemon/gd.h"

static void op_peer_send(void *ctx, uint32_t vm, const struct msg *msg);
static void op_upstream_send(void *ctx, const struct nd_upstream_call *call);
static void op_upstream_cancel(void *ctx, uint64_t call);
static void op_answer(void *ctx, const struct nd_answer *answer);
static void op_admin_answer(void *ctx, const struct nd_admin_result *result);
static void op_store_read(void *ctx, uint64_t tag);
static void op_store_watch(void *ctx, uint64_t tag, uint64_t after);
static void op_store_write(void *ctx, uint64_t tag, const struct cfg *cfg,
			   uint64_t base);
static void op_store_list_vms(void *ctx, uint64_t tag);
static void op_event(void *ctx, const struct ev_event *event);

const struct nd_ops gd_ops = {
	.peer_send = op_peer_send,
	.upstream_send = op_upstream_send,
	.upstream_cancel = op_upstream_cancel,
	.answer = op_answer,
	.admin_answer = op_admin_answer,
	.store_read = op_store_read,
	.store_watch = op_store_watch,
	.store_write = op_store_write,
	.store_list_vms = op_store_list_vms,
	.event = op_event,
};

static void op_peer_send(void *ctx, uint32_t vm, const struct msg *msg)
{
	gd_peer_send(ctx, vm, msg);
}

static void op_upstream_send(void *ctx, const struct nd_upstream_call *call)
{
	gd_upstream_send(ctx, call);
}

static void op_upstream_cancel(void *ctx, uint64_t call)
{
	gd_upstream_cancel(ctx, call);
}

static void op_answer(void *ctx, const struct nd_answer *answer)
{
	gd_caller_answer(ctx, answer);
}

static void op_admin_answer(void *ctx, const struct nd_admin_result *result)
{
	gd_admin_answer(ctx, result);
}

static void op_store_read(void *ctx, uint64_t tag)
{
	gd_platform_read(ctx, tag);
}

static void op_store_watch(void *ctx, uint64_t tag, uint64_t after)
{
	gd_platform_watch(ctx, tag, after);
}

static void op_store_write(void *ctx, uint64_t tag, const struct cfg *cfg,
			   uint64_t base)
{
	gd_platform_write(ctx, tag, cfg, base);
}

static void op_store_list_vms(void *ctx, uint64_t tag)
{
	gd_platform_list_vms(ctx, tag);
}

static void op_event(void *ctx, const struct ev_event *event)
{
	gd_event_record(ctx, event);
}
