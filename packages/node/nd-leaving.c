#include "node/nd-internal.h"

/*
 * Upstreams on hosts that are leaving, by the platform's list of VMs, are
 * drained like those that an operator drains, and a VM of the cell on such a
 * host releases its units. One member of the cell reads the list and sends it
 * to the others, so that the calls to the platform do not grow with the cell.
 */

/* Upstreams are to be drained within seconds, and the list itself lags. */
#define LIST_READ_INTERVAL GB_SEC

static bool is_list_reader(const struct node *node);
static bool is_host_leaving(const struct node *node, struct gb_str host);
static bool same_hosts(const struct node *node, const struct gb_str *hosts,
		       uint32_t len);
static void set_leaving_hosts(struct node *node, const struct gb_str *hosts,
			      uint32_t len);
static void mark_replicas_draining(struct node *node, struct cfg *cfg);
static void build_effective_cfg(struct node *node);
static void fill_leaving_msg(const struct node *node, struct msg *msg);

/* Tells whether this VM reads the list: the live member with the lowest id. */
static bool is_list_reader(const struct node *node)
{
	return node->store.current && node->self_index >= 0 &&
	       !(node->live_vms & ((1ULL << node->self_index) - 1));
}

void nd_leaving_tick(struct node *node)
{
	struct nd_leaving *leaving = &node->leaving;

	if (leaving->call_tag || node->clock.now < leaving->next_read_at ||
	    !is_list_reader(node))
		return;
	leaving->next_read_at = node->clock.now + LIST_READ_INTERVAL;
	leaving->call_tag = node->tag_next++;
	met_add(node->metrics, MET_STORE_READS, 1);
	node->ops->store_list_vms(node->ctx, leaving->call_tag);
}

static bool is_host_leaving(const struct node *node, struct gb_str host)
{
	char *text = gb_str_to_c(host);
	bool found = g_hash_table_contains(node->leaving.hosts, text);

	g_free(text);
	return found;
}

/* Tells whether this VM's own host is leaving. */
bool nd_leaving_includes_self(const struct node *node)
{
	return is_host_leaving(
		node, cfg_vm(node->store.current, node->self_index)->host);
}

static bool same_hosts(const struct node *node, const struct gb_str *hosts,
		       uint32_t len)
{
	if (len != g_hash_table_size(node->leaving.hosts))
		return false;
	for (uint32_t i = 0; i < len; i++)
		if (!is_host_leaving(node, hosts[i]))
			return false;
	return true;
}

static void set_leaving_hosts(struct node *node, const struct gb_str *hosts,
			      uint32_t len)
{
	g_hash_table_remove_all(node->leaving.hosts);
	for (uint32_t i = 0; i < len; i++)
		g_hash_table_add(node->leaving.hosts, gb_str_to_c(hosts[i]));
	nd_event_emit_plain(node, EV_VMS_LEAVING, len, 0);
	if (node->store.current)
		nd_leaving_apply_config(node);
}

static void mark_replicas_draining(struct node *node, struct cfg *cfg)
{
	for (guint i = 0; i < cfg->services->len; i++) {
		const struct cfg_service *service = cfg_service(cfg, i);

		for (guint k = 0; k < service->shards->len; k++) {
			GArray *replicas = cfg_shard(service, k)->replicas;

			for (guint r = 0; r < replicas->len; r++) {
				struct cfg_replica *replica = &g_array_index(
					replicas, struct cfg_replica, r);

				if (is_host_leaving(node, replica->host))
					replica->draining = true;
			}
		}
	}
}

/* Combines the configuration and the list of leaving hosts. */
static void build_effective_cfg(struct node *node)
{
	cfg_unref(node->effective_cfg);
	if (!g_hash_table_size(node->leaving.hosts)) {
		node->effective_cfg = cfg_ref(node->store.current);
		return;
	}
	node->effective_cfg = cfg_copy(node->store.current);
	mark_replicas_draining(node, node->effective_cfg);
}

/* Applies a new configuration or list of leaving hosts to the upstreams. */
void nd_leaving_apply_config(struct node *node)
{
	build_effective_cfg(node);
	nd_warm_apply_config(node);
	nd_owner_apply_config(node);
}

static void fill_leaving_msg(const struct node *node, struct msg *msg)
{
	GHashTableIter iter;
	gpointer key;

	msg->kind = MSG_LEAVING;
	msg->leaving.hosts =
		g_new(struct gb_str, g_hash_table_size(node->leaving.hosts));
	g_hash_table_iter_init(&iter, node->leaving.hosts);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		msg->leaving.hosts[msg->leaving.hosts_len++] =
			gb_str_from_c(key);
}

void nd_leaving_send(struct node *node, uint32_t vm)
{
	struct msg msg = { 0 };

	if (!is_list_reader(node) || !g_hash_table_size(node->leaving.hosts))
		return;
	fill_leaving_msg(node, &msg);
	nd_send(node, vm, &msg);
	g_free(msg.leaving.hosts);
}

void nd_leaving_store_done(struct node *node,
			   const struct nd_store_result *result)
{
	struct msg msg = { 0 };

	if (result->tag != node->leaving.call_tag)
		return;
	node->leaving.call_tag = 0;
	if (result->status != ND_STORE_OK ||
	    same_hosts(node, result->leaving_hosts, result->leaving_hosts_len))
		return;
	set_leaving_hosts(node, result->leaving_hosts,
			  result->leaving_hosts_len);
	node->leaving.list_hlc = ev_clock_tick(&node->hlc, node->clock.wall_ms);
	fill_leaving_msg(node, &msg);
	nd_send_all(node, &msg);
	g_free(msg.leaving.hosts);
}

/* Ignores a list older than the current one, which a former reader sent. */
void nd_on_leaving(struct node *node, const struct msg *msg)
{
	const struct msg_leaving *leaving = &msg->leaving;

	if (msg->hlc <= node->leaving.list_hlc)
		return;
	node->leaving.list_hlc = msg->hlc;
	if (!same_hosts(node, leaving->hosts, leaving->hosts_len))
		set_leaving_hosts(node, leaving->hosts, leaving->hosts_len);
}
