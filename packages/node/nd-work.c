#include "node/nd-internal.h"

/* The sub-requests that run on this VM, grouped by query, and their results. */

static void work_clear(struct nd_work *work);

struct nd_work *nd_work_find(struct node *node, uint64_t query)
{
	return g_hash_table_lookup(node->works, &query);
}

struct nd_work *nd_work_find_or_add(struct node *node, const struct msg *msg)
{
	struct nd_work *work = nd_work_find(node, msg->batch.query);

	if (work)
		return work;
	work = g_new0(struct nd_work, 1);
	work->vm = msg->from;
	work->query = msg->batch.query;
	work->request_id = gb_str_dup(msg->batch.request_id);
	work->results =
		g_array_new(FALSE, FALSE, sizeof(struct msg_sub_result));
	work->shards = g_array_new(FALSE, FALSE, sizeof(struct nd_shard *));
	g_hash_table_insert(node->works, &work->query, work);
	return work;
}

static void work_clear(struct nd_work *work)
{
	gb_str_free(&work->request_id);
	g_array_unref(work->results);
	g_array_unref(work->shards);
	g_free(work);
}

void nd_work_free(struct node *node, struct nd_work *work)
{
	g_hash_table_remove(node->works, &work->query);
	work_clear(work);
}

void nd_work_free_all(struct node *node)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, node->works);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		work_clear(value);
	g_hash_table_destroy(node->works);
	g_ptr_array_free(node->works_to_send, TRUE);
}

/* Adds a result, to be sent at the end of the current input. */
void nd_work_add_result(struct node *node, struct nd_work *work,
			const struct msg_sub_result *result)
{
	if (work->pending)
		work->pending--;
	g_array_append_vals(work->results, result, 1);
	if (work->results_queued)
		return;
	work->results_queued = true;
	g_ptr_array_add(node->works_to_send, work);
}

/* Sends the results of the current input, one message for each query. */
void nd_work_send_results(struct node *node)
{
	for (guint i = 0; i < node->works_to_send->len; i++) {
		struct nd_work *work =
			g_ptr_array_index(node->works_to_send, i);
		struct msg msg = {
			.kind = MSG_RESULT,
			.result = { .query = work->query,
				    .subs = (void *)work->results->data,
				    .subs_len = work->results->len },
		};

		nd_send(node, work->vm, &msg);
		g_array_set_size(work->results, 0);
		work->results_queued = false;
		if (!work->pending)
			nd_work_free(node, work);
	}
	g_ptr_array_set_size(node->works_to_send, 0);
}
